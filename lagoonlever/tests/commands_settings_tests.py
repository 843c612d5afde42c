"""``lagoonlever settings`` against the administration API of a running settings part."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest
import trio
from typer.testing import CliRunner, Result

from lagoonlever.bench.settings_vms import SettingsVms
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.commands.settings import app
from lagoonlever.entry.admin.admin import SettingsAdmin
from lagoonlever.entry.admin.operators import AdminSettings, Operators
from lagoonlever.exceptions import RequestRefused
from lagoonlever.fakes.platform import PlatformFault, PlatformFaultKind
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address
from lagoonlever.http.refusals import error_payload
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.tree.options import api_key_digest

KEY = "operators-key"
TIMEOUT_S = 60

Cli = Callable[..., Result]


def run(use: Callable[[Cli, SettingsVms], None], *, admin: AdminSettings | None = None) -> None:
    """Serve the API of one of three VMs, and use the command line in a thread."""

    async def main() -> None:
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                vms = await SettingsVms.open(nursery, count=3)
                address = await serve(nursery, vms, admin or AdminSettings())

                def cli(*arguments: str, key: str | None = None) -> Result:
                    env = {"LAGOONLEVER_ADDRESS": str(address), "LAGOONLEVER_ADMIN_KEY": key}
                    return CliRunner().invoke(app, [*arguments], env=env)

                await trio.to_thread.run_sync(use, cli, vms)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def serve(nursery: trio.Nursery, vms: SettingsVms, admin: AdminSettings) -> Address:
    api = SettingsAdmin(part=vms.vms[0].part, operators=Operators(settings=admin))

    async def handle(exchange: Exchange) -> None:
        try:
            await api.handle(exchange)
        except RequestRefused as refused:
            await exchange.respond_json(status=refused.status, payload=error_payload(refused))

    listeners = await open_listeners(host="127.0.0.1", port=0)

    async def serve_all() -> None:
        await serve_http(
            handler=handle, listeners=listeners, limits=ServerLimits(), state=ServerState()
        )

    nursery.start_soon(serve_all)
    return Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])


def test_set_tells_the_version_and_where_it_is_in_force() -> None:
    def use(cli: Cli, vms: SettingsVms) -> None:
        stored = cli("set", "/motus", "weight=3", "models=a,b", "--note", "May")
        assert stored.exit_code == ExitCode.OK, stored.output
        assert "in force on 3 VMs: vm-1, vm-2, vm-3" in stored.output
        told = json.loads(cli("set", "/motus/desk", "priority=5", "--json").stdout)
        assert told["tag"] == "stored"
        assert told["in_force"]["in_force"] == ["vm-1", "vm-2", "vm-3"]
        assert cli("get", "/motus/desk", "weight").stdout == "3.0\n"
        node = json.loads(cli("get", "/motus/desk", "--json").stdout)
        origins = {each["option"]: each["origin"] for each in node["options"]}
        assert origins["weight"] == "/motus" and origins["priority"] == "/motus/desk"
        assert "default" in cli("get", "/motus").output
        assert cli("wait", str(told["version"])).exit_code == ExitCode.OK
        again = cli("set", "/motus", "weight=3")
        assert "nothing to change" in again.output
        shown = cli("history")
        assert "/motus.weight: (inherited) -> 3.0" in shown.output and "May" in shown.output
        removed = cli("set", "/motus/desk", "--remove")
        assert removed.exit_code == ExitCode.OK
        assert cli("get", "/motus/desk").exit_code == ExitCode.UNREACHABLE

    run(use)


def test_every_fault_is_told_before_anything_is_stored(tmp_path: Path) -> None:
    def use(cli: Cli, vms: SettingsVms) -> None:
        wrong = cli("set", "/motus", "weigth=3", "max_tokens=0")
        assert wrong.exit_code == ExitCode.FAULTS
        assert "/motus.weigth" in wrong.output and "/motus.max_tokens" in wrong.output
        document = tmp_path / "tree.json"
        document.write_text('{"/a/b": {}, "/c": {"weight": "x"}}')
        checked = cli("check", str(document))
        assert checked.exit_code == ExitCode.FAULTS
        assert "/a/b: has no parent" in checked.output and "/c.weight" in checked.output
        long = cli("set", "/motus", "weight=3", "--note", "x" * 501)
        assert long.exit_code == ExitCode.UNREACHABLE and "501 characters" in long.output
        assert vms.vms[0].part.version == 0

    run(use)


def test_an_edited_document_keeps_comments_and_others_changes(tmp_path: Path) -> None:
    def use(cli: Cli, vms: SettingsVms) -> None:
        document = tmp_path / "tree.json"
        written = cli("show").stdout.replace("{}", '{"weight": 2} // ours', 1)
        document.write_text(written)
        assert "/.weight: (inherited) -> 2.0" in cli("diff", str(document)).output
        assert cli("edit", str(document)).exit_code == ExitCode.OK
        edited = cli("show").stdout
        assert "// ours" in edited
        document.write_text(edited.replace('"weight": 2', '"weight": 4'))
        assert cli("set", "/motus", "priority=7").exit_code == ExitCode.OK
        merged = cli("edit", str(document))
        assert merged.exit_code == ExitCode.OK and "merged" in merged.output
        assert cli("get", "/", "weight").stdout == "4.0\n"
        assert cli("get", "/motus", "priority").stdout == "7\n"
        assert "// ours" in cli("show").stdout

    run(use)


def test_a_race_is_a_conflict_that_names_the_key(tmp_path: Path) -> None:
    """Story: two operators edit the same weight, and the first one's change vanishes unseen."""

    def use(cli: Cli, vms: SettingsVms) -> None:
        document = tmp_path / "tree.json"
        document.write_text(cli("show").stdout.replace("{}", '{"weight": 2}', 1))
        assert cli("set", "/", "weight=5").exit_code == ExitCode.OK
        refused = cli("edit", str(document))
        assert refused.exit_code == ExitCode.NOT_RUN
        assert "/.weight: you saw (inherited), now 5.0, you want 2.0" in refused.output
        assert cli("get", "/", "weight").stdout == "5.0\n"
        stale = cli("set", "/", "weight=6", "--expect", "1")
        assert stale.exit_code == ExitCode.NOT_RUN

    run(use)


def test_in_an_outage_the_vm_shows_what_it_has_and_stores_nothing() -> None:
    def use(cli: Cli, vms: SettingsVms) -> None:
        assert cli("set", "/motus", "weight=3").exit_code == ExitCode.OK
        down = PlatformFault(kind=PlatformFaultKind.DOWN)
        trio.from_thread.run_sync(vms.platform.inject, down)
        shown = cli("show")
        assert '"weight": 3.0' in shown.output and "the platform can't be read" in shown.output
        assert cli("set", "/motus", "weight=4").exit_code == ExitCode.NOT_RUN
        assert cli("history").exit_code == ExitCode.UNREACHABLE

    run(use)


@pytest.mark.parametrize(("key", "code"), [(KEY, ExitCode.OK), ("x", ExitCode.UNREACHABLE)])
def test_with_keys_only_operators_are_heard(key: str, code: ExitCode) -> None:
    def use(cli: Cli, vms: SettingsVms) -> None:
        answer = cli("show", key=key)
        assert answer.exit_code == code, answer.output
        assert code is ExitCode.OK or "operator's key" in answer.output

    run(use, admin=AdminSettings(api_keys=(api_key_digest(KEY),)))
