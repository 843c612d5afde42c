"""``lagoonlever status``: the payload survives the wire, and both outputs show it."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest
import trio
import typer
from typer.testing import CliRunner

from lagoonlever.commands import status as status_command
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.exceptions import BadResponse
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.report.status import (
    MemberStatus,
    PoolStatus,
    QueueStatus,
    ShareStatus,
    StatusReport,
    TargetStatus,
    VmStatus,
    decode_status,
    encode_status,
)
from lagoonlever.report.status_tables import status_tables

REPORT = StatusReport(
    vm=VmStatus(
        name="e1",
        incarnation="e1~1~2",
        data_center="dc-a",
        address="127.0.0.1:1",
        phase="serving",
        uptime_s=3.5,
        settings_version=7,
        platform_reachable=False,
    ),
    members=(
        MemberStatus(
            name="e2", incarnation="e2~1~2", data_center="dc-b", address="127.0.0.1:2", state="dead"
        ),
    ),
    targets=(
        TargetStatus(
            name="engine-1", kind="engine", address="127.0.0.1:3", state="live", models=("m@1",)
        ),
    ),
    pools=(PoolStatus(pool="m", slots=8, quota=4.0, running=2, waiting=3, vms_heard=1),),
    shares=(ShareStatus(path="/motus", weight=2, entitled=0.25, used=0.5),),
    queues=(QueueStatus(path="/motus", waiting=3, bound=10, wait_p50_s=1.5),),
)


async def _with_server(body: bytes, use: Callable[[Address], None]) -> None:
    async def answer(exchange: Exchange) -> None:
        await exchange.respond(status=200, headers=Headers(), body=body)

    listeners = await open_listeners(host="127.0.0.1", port=0)
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            lambda: serve_http(
                handler=answer, listeners=listeners, limits=ServerLimits(), state=ServerState()
            )
        )
        await trio.to_thread.run_sync(use, Address(host="127.0.0.1", port=port))
        nursery.cancel_scope.cancel()


def _run(address: str, *options: str) -> tuple[int, str]:
    app = typer.Typer()
    app.command()(status_command.status)
    result = CliRunner().invoke(app, ["--address", address, *options], env={"COLUMNS": "160"})
    return result.exit_code, result.output


def test_the_payload_survives_the_wire() -> None:
    assert decode_status(encode_status(REPORT), peer="x") == REPORT


def test_an_answer_of_another_shape_names_the_peer() -> None:
    with pytest.raises(BadResponse, match=r"10\.0\.0\.1:80"):
        decode_status(b'{"vm": {}}', peer="10.0.0.1:80")


def test_the_command_prints_json_and_tables() -> None:
    outputs: list[tuple[int, str]] = []

    def use(address: Address) -> None:
        outputs.append(_run(str(address), "--json"))
        outputs.append(_run(str(address)))

    trio.run(_with_server, encode_status(REPORT), use)
    (json_code, json_text), (table_code, table_text) = outputs
    assert json_code == table_code == ExitCode.OK
    assert json.loads(json_text)["queues"][0]["waiting"] == 3
    for shown in ("unreachable", "engine-1", "/motus", "50.0%"):
        assert shown in table_text


def test_a_vm_that_cannot_be_reached_has_its_own_exit_code() -> None:
    code, _ = _run("127.0.0.1:1")
    assert code == ExitCode.UNREACHABLE


def test_every_item_of_the_payload_has_a_row_in_a_table() -> None:
    assert [table.row_count for table in status_tables(REPORT)] == [9, 1, 1, 1, 1, 1]
