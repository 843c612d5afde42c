"""Who is heard by the administration API."""

from __future__ import annotations

import attrs
import pytest
import trio
from typer.testing import CliRunner, Result

from lagoonlever.__main__ import app
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.entry.admin.operators import AdminSettings, Operators
from lagoonlever.exceptions import RequestRefused
from lagoonlever.fakes.cluster import EmbeddedCluster
from lagoonlever.http.messages import Headers, Request
from lagoonlever.tests.base import LIMIT_S
from lagoonlever.tree.options import api_key_digest

KEY = "operators-key"
WITH_KEY = AdminSettings(api_keys=(api_key_digest(KEY),))


def request(*, peer: str, authorization: str | None = None) -> Request:
    headers = Headers() if authorization is None else Headers((("Authorization", authorization),))
    return Request(method="GET", path="/", query={}, headers=headers, body=b"", peer=peer)


@pytest.mark.parametrize(
    ("settings", "peer", "authorization", "status"),
    [
        (AdminSettings(), "127.0.0.1:5", None, None),
        (AdminSettings(), "[::1]:5", None, None),
        (AdminSettings(), "10.0.0.9:5", f"Bearer {KEY}", 403),
        (WITH_KEY, "10.0.0.9:5", f"bearer {KEY}", None),
        (WITH_KEY, "127.0.0.1:5", None, 401),
        (WITH_KEY, "127.0.0.1:5", KEY, 401),
        (WITH_KEY, "127.0.0.1:5", "Bearer other", 401),
    ],
)
def test_who_is_heard(
    settings: AdminSettings, peer: str, authorization: str | None, status: int | None
) -> None:
    operators = Operators(settings=settings)
    asked = request(peer=peer, authorization=authorization)
    if status is None:
        operators.check(asked)
        return
    with pytest.raises(RequestRefused) as refused:
        operators.check(asked)
    assert refused.value.status == status


@pytest.mark.parametrize("command", [("status",), ("settings", "show"), ("orders", "show")])
def test_every_command_of_operators_needs_the_key(command: tuple[str, ...]) -> None:
    """Story: a caller in the deployment's network reads who uses the pool, and drains an engine.

    Cause: a path below ``/admin`` that does not ask who calls.
    """

    def cli(address: str, *options: str) -> Result:
        return CliRunner().invoke(app, [*command, "--address", address, *options])

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                cluster = EmbeddedCluster(
                    nursery=nursery, adjust=lambda each: attrs.evolve(each, admin=WITH_KEY)
                )
                await cluster.start(engines=1, vms=1)
                address = str(cluster.vms["vm-1"].daemon.address)
                refused = await trio.to_thread.run_sync(cli, address)
                assert refused.exit_code == ExitCode.UNREACHABLE
                assert "operator's key" in refused.output
                heard = await trio.to_thread.run_sync(cli, address, "--key", KEY)
                assert heard.exit_code == ExitCode.OK, heard.output
                nursery.cancel_scope.cancel()

    trio.run(main)
