"""``lagoonlever status``: one VM's view of VMs, targets, shares, queues and waits."""

from __future__ import annotations

from typing import Annotated

import typer
from rich.console import Console

from lagoonlever.commands.admin_calls import AddressOption, KeyOption, ask, print_json
from lagoonlever.commands.admin_client import AdminClient
from lagoonlever.report.status import StatusReport
from lagoonlever.report.status_tables import status_tables

STATUS_PATH = "/admin/status"


def status(
    *,
    address: AddressOption,
    key: KeyOption = None,
    json: Annotated[bool, typer.Option("--json", help="Print JSON in place of tables.")] = False,
    timeout_s: Annotated[float, typer.Option(help="Seconds to wait for the answer.")] = 5.0,
) -> None:
    """Show the VMs, targets, shares, queues and waits as one VM sees them.

    Ask several VMs to compare their views: each answers for itself, also while
    the platform is down. Exits with 3 if the VM can't be reached.
    """
    report = ask(AdminClient, address, key, lambda client: _read(client, timeout_s))
    if json:
        print_json(report)
        return
    console = Console()
    for table in status_tables(report):
        console.print(table)


async def _read(client: AdminClient, timeout_s: float) -> StatusReport:
    return await client.get(STATUS_PATH, StatusReport, timeout_s=timeout_s)
