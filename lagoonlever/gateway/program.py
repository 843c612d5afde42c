"""Runs the gateway daemon as a process: settings, logs, signals, exit code."""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path

import trio

from lagoonlever.exceptions import FaultsError
from lagoonlever.gateway.daemon import GatewayDaemon
from lagoonlever.logs import LogFormat, LogLevel, set_up_logs
from lagoonlever.platform.early_sockets import PATH_VARIABLE
from lagoonlever.platform.settings_file import load_settings

FAULTS = 1
"""The exit code of a process whose settings are wrong."""


def run_gateway(
    *,
    settings: Path | None = None,
    sockets: Mapping[str, socket.socket] | None = None,
    log_format: LogFormat = LogFormat.JSON,
    log_level: LogLevel = LogLevel.INFO,
) -> int:
    """Run the daemon until it is told to stop; gives the exit code."""
    set_up_logs(format=log_format, level=log_level, stream=sys.stdout)
    try:
        loaded = load_settings(settings or Path(os.environ.get(PATH_VARIABLE, "")))
    except FaultsError as error:
        for fault in error.faults:
            print(f"fault: {fault}", file=sys.stderr)
        return FAULTS
    trio.run(_run, GatewayDaemon(settings=loaded, sockets=sockets or {}))
    return 0


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
