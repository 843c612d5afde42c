"""``lagoonlever report``: reports for operators, and the snapshots that they work from."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Annotated

import attrs
import trio
import typer
from rich.console import Console

from lagoonlever.codec import UnknownMessage
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.config.vm import load_vm_settings
from lagoonlever.exceptions import FaultsError, PeerError
from lagoonlever.history.recorder import read_history
from lagoonlever.http.client import fetch
from lagoonlever.http.messages import Address
from lagoonlever.report.burn import DEFAULT_PERIOD_S, Tally, burns, series_by_key
from lagoonlever.report.burn_history import tallies_of_history
from lagoonlever.report.burn_output import PlotUnavailable, burn_json, burn_table, plot_burn
from lagoonlever.report.objectives import Objective, ObjectiveSettings
from lagoonlever.report.snapshots import (
    Snapshot,
    append_snapshots,
    read_snapshots,
    snapshot_of,
    tallies_of,
)

METRICS_PATH = "/metrics"
HTTP_OK = 200

app = typer.Typer(
    name="report",
    help="Reports for operators: service-level burn, and the snapshots it works from.",
    no_args_is_help=True,
)


@attrs.define(kw_only=True)
class _Round:
    """What one round over the VMs brought."""

    snapshots: list[Snapshot] = attrs.field(factory=list)
    problems: list[str] = attrs.field(factory=list)


@app.command()
def burn(
    *,
    history: Annotated[
        list[Path] | None, typer.Option(help="A history file of a VM; may be given several times.")
    ] = None,
    snapshots: Annotated[
        Path | None, typer.Option(help="A file written by `lagoonlever report snapshot`.")
    ] = None,
    settings: Annotated[
        Path | None, typer.Option(help="A VM's settings file, for its section `objectives`.")
    ] = None,
    period_s: Annotated[
        float, typer.Option(help="Seconds that the error budget is for; the windows scale with it.")
    ] = DEFAULT_PERIOD_S,
    json: Annotated[bool, typer.Option("--json", help="Print JSON in place of a table.")] = False,
    plot: Annotated[
        Path | None, typer.Option(help="Also draw the burn rates over time into this PNG file.")
    ] = None,
) -> None:
    """Show how fast each organisation's error budgets burn, and which alerts fire.

    A rate of 1 spends the budget in exactly the period. An alert fires when both
    windows of a pair are at its threshold: 14.4 and 6 page, 1 opens a ticket.
    Exits with 1 if an input has faults.
    """
    if (snapshots is None) == (not history):
        raise typer.BadParameter("give either --history or --snapshots")
    try:
        objectives = load_vm_settings(settings).objectives if settings else ObjectiveSettings()
        tallies = _read_tallies(history or [], snapshots)
    except (FaultsError, UnknownMessage, OSError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.FAULTS) from error
    if not tallies:
        typer.echo("no event of an objective was found", err=True)
        raise typer.Exit(ExitCode.OK)
    goals = {objective.value: objectives.goal(objective) for objective in Objective}
    series = series_by_key(tallies)
    times = [tally.at for tally in tallies]
    found = burns(series, goals=goals, now=max(times), period_s=period_s)
    if json:
        sys.stdout.buffer.write(burn_json(found) + b"\n")
    else:
        Console().print(burn_table(found))
    if plot is None:
        return
    try:
        plot_burn(
            series, goals=goals, start=min(times), end=max(times), period_s=period_s, file=plot
        )
    except PlotUnavailable as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.FAULTS) from error


@app.command()
def snapshot(
    *,
    address: Annotated[
        list[str], typer.Option(help="IP number and port of an entry VM; give one for each VM.")
    ],
    file: Annotated[Path, typer.Option(help="The file that the snapshots are added to.")],
    timeout_s: Annotated[float, typer.Option(help="Seconds to wait for each answer.")] = 5.0,
) -> None:
    """Add the objectives' counters of the given VMs to a file, for `report burn`.

    Run it every minute from a scheduler. Exits with 3 if a VM could not be read;
    what the others answered is kept.
    """
    try:
        addresses = [Address.parse(text) for text in address]
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--address") from error
    found = trio.run(_take_round, addresses, timeout_s)
    append_snapshots(file, found.snapshots)
    for problem in found.problems:
        typer.echo(problem, err=True)
    if found.problems:
        raise typer.Exit(ExitCode.UNREACHABLE)


def _read_tallies(history: list[Path], snapshots: Path | None) -> list[Tally]:
    if snapshots is not None:
        return list(tallies_of(read_snapshots(snapshots)))
    return list(tallies_of_history(read_history(history)))


async def _take_round(addresses: list[Address], timeout_s: float) -> _Round:
    found = _Round()
    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(_take_snapshot, address, timeout_s, found)
    return found


async def _take_snapshot(address: Address, timeout_s: float, found: _Round) -> None:
    try:
        response = await fetch(address, path=METRICS_PATH, step="scrape", timeout_s=timeout_s)
    except PeerError as error:
        found.problems.append(str(error))
        return
    if response.status != HTTP_OK:
        found.problems.append(f"scrape with {address}: status {response.status}")
        return
    found.snapshots.append(snapshot_of(response.body, vm=str(address), at=time.time()))
