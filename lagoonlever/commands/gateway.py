"""``lagoonlever gateway``: the gateway daemon of a VM on the users' platform."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path
from typing import Annotated

import trio
import typer

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.exceptions import FaultsError
from lagoonlever.gateway.daemon import GatewayDaemon
from lagoonlever.logs import LogFormat, LogLevel, set_up_logs
from lagoonlever.platform.settings_file import PATH_VARIABLE, load_settings


def gateway(
    settings: Annotated[
        Path | None, typer.Option(help=f"The VM's settings file; without it, ${PATH_VARIABLE}.")
    ] = None,
    log_format: Annotated[LogFormat, typer.Option(help="Lines for people, or JSON.")] = (
        LogFormat.JSON
    ),
    log_level: Annotated[LogLevel, typer.Option(help="The least level to log.")] = LogLevel.INFO,
) -> None:
    """Run the gateway daemon of a VM until it is told to stop.

    SIGTERM or SIGINT begins a planned stop: callers are sent elsewhere, open requests
    are finished, and the process ends by itself.
    """
    set_up_logs(format=log_format, level=log_level, stream=sys.stdout)
    file = settings or Path(os.environ.get(PATH_VARIABLE, ""))
    try:
        loaded = load_settings(file)
    except FaultsError as error:
        for fault in error.faults:
            typer.echo(f"fault: {fault}", err=True)
        raise typer.Exit(ExitCode.FAULTS) from error
    trio.run(_run, GatewayDaemon(settings=loaded))


async def _run(daemon: GatewayDaemon) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, daemon)
        await daemon.run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(daemon: GatewayDaemon) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                daemon.stop()
