"""``lagoonlever entry``: the entry daemon of a VM."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Annotated

import logbook
import trio
import typer

from lagoonlever.allocator import return_large_blocks
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.config.vm import VmSettings, load_vm_settings
from lagoonlever.entry.daemon import EntryDaemon
from lagoonlever.events import event
from lagoonlever.exceptions import FaultsError
from lagoonlever.log_writer import BoundedHandler, LogTender
from lagoonlever.logs import STDERR_FD, LogFormat, LogLevel, set_up_bounded_logs

log = logbook.Logger(__name__)

FLUSH_S = 0.5
"""How often lines that wait for a slow reader are offered again."""

LOG_LINES_LOST = event(
    104,
    "entry-log-lines-lost",
    "warning",
    "{lines} log lines were dropped, {total} since the start.",
    "The reader of the log was too slow, or there was more detail than the bound allows. "
    "Warnings and errors go before detail.",
)


def entry(
    settings: Annotated[Path, typer.Option(help="The VM's settings file: JSON with comments.")],
    log_format: Annotated[LogFormat, typer.Option(help="Lines for people, or JSON.")] = (
        LogFormat.HUMAN
    ),
    log_level: Annotated[LogLevel, typer.Option(help="The least level to log.")] = LogLevel.INFO,
) -> None:
    """Run the entry daemon of a VM until it is told to stop.

    SIGTERM or SIGINT begins a planned stop: callers are sent elsewhere, whoever
    still comes is served, and the process ends by itself once nothing is held.
    """
    return_large_blocks()
    handler = set_up_bounded_logs(format=log_format, level=log_level, fd=STDERR_FD)
    try:
        loaded = load_vm_settings(settings)
    except FaultsError as error:
        _tell(error)
        raise typer.Exit(ExitCode.FAULTS) from error
    try:
        trio.run(_run, loaded, handler)
    except BaseExceptionGroup as group:
        faults = group.subgroup(FaultsError)
        if faults is None:
            raise
        _tell(faults)
        raise typer.Exit(ExitCode.FAULTS) from group


def _tell(error: BaseException) -> None:
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            _tell(each)
    if isinstance(error, FaultsError):
        for fault in error.faults:
            typer.echo(f"fault: {fault}", err=True)


async def _run(settings: VmSettings, handler: BoundedHandler) -> None:
    daemon = EntryDaemon(settings=settings)
    log_tender = LogTender(handler=handler, report=_report_lost)
    async with trio.open_nursery() as nursery:
        with (
            trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals,
            daemon.timers.subscribed(log_tender.on_tick, period_s=FLUSH_S),
        ):

            async def stop_on_signal() -> None:
                async for _ in signals:
                    daemon.stop()

            nursery.start_soon(stop_on_signal)
            await nursery.start(_announce, daemon)
            await daemon.run()
            nursery.cancel_scope.cancel()


def _report_lost(lines: int, total: int) -> None:
    LOG_LINES_LOST.log(log, lines=lines, total=total)


async def _announce(
    daemon: EntryDaemon, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    task_status.started()
    await daemon.wait_started()
    typer.echo(f"listening on {daemon.address}, peers on {daemon.peer_address}")
