"""``lagoonlever status``: one VM's view of VMs, targets, shares, queues and waits."""

from __future__ import annotations

import sys
from typing import Annotated

import trio
import typer
from rich.console import Console

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.exceptions import BadResponse, PeerError
from lagoonlever.http.client import fetch
from lagoonlever.http.messages import Address
from lagoonlever.report.status import StatusReport, decode_status, encode_status
from lagoonlever.report.status_tables import status_tables

STATUS_PATH = "/admin/status"
HTTP_OK = 200


def status(
    *,
    address: Annotated[
        str, typer.Option(help="IP number and port of any entry VM, such as 10.0.0.1:8080.")
    ],
    json: Annotated[bool, typer.Option("--json", help="Print JSON in place of tables.")] = False,
    timeout_s: Annotated[float, typer.Option(help="Seconds to wait for the answer.")] = 5.0,
) -> None:
    """Show the VMs, targets, shares, queues and waits as one VM sees them.

    Ask several VMs to compare their views: each answers for itself, also while
    the platform is down. Exits with 3 if the VM can't be reached.
    """
    try:
        report = trio.run(_fetch_status, Address.parse(address), timeout_s)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--address") from error
    except PeerError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.UNREACHABLE) from error
    if json:
        sys.stdout.buffer.write(encode_status(report) + b"\n")
        return
    console = Console()
    for table in status_tables(report):
        console.print(table)


async def _fetch_status(address: Address, timeout_s: float) -> StatusReport:
    response = await fetch(address, path=STATUS_PATH, step="ask for status", timeout_s=timeout_s)
    if response.status != HTTP_OK:
        raise BadResponse(f"status {response.status}", step="ask for status", peer=str(address))
    return decode_status(response.body, peer=str(address))
