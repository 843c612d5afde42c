"""``lagoonlever gateway``: the gateway daemon of a VM on the users' platform."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from lagoonlever.gateway.early_signals import ignore_reloads
from lagoonlever.gateway.program import run_gateway
from lagoonlever.logs import LogFormat, LogLevel
from lagoonlever.platform.early_sockets import PATH_VARIABLE, open_early


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
    ignore_reloads()
    listening = open_early(str(settings) if settings else None)
    code = run_gateway(
        settings=settings, sockets=listening, log_format=log_format, log_level=log_level
    )
    raise typer.Exit(code)
