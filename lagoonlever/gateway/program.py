"""Runs the gateway daemon as a process: settings, logs, signals, exit code."""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path

import logbook
import trio

from lagoonlever.exceptions import FaultsError
from lagoonlever.gateway import events
from lagoonlever.gateway.daemon import GatewayDaemon
from lagoonlever.gateway.options import apply_options, load_options
from lagoonlever.log_writer import BoundedHandler
from lagoonlever.logs import LogFormat, LogLevel, set_up_bounded_logs
from lagoonlever.platform.early_sockets import PATH_VARIABLE
from lagoonlever.platform.settings_file import load_settings

log = logbook.Logger(__name__)

FAULTS = 1
"""The exit code of a process whose settings are wrong."""
FLUSH_S = 0.25
"""How often lines that wait for a slow reader are offered again."""
LOOK_S = 1.0
"""How often the settings file is looked at for a change."""


def run_gateway(
    *,
    settings: Path | None = None,
    sockets: Mapping[str, socket.socket] | None = None,
    log_format: LogFormat = LogFormat.JSON,
    log_level: LogLevel = LogLevel.INFO,
) -> int:
    """Run the daemon until it is told to stop; gives the exit code."""
    file = settings or Path(os.environ.get(PATH_VARIABLE, ""))
    try:
        loaded = load_settings(file)
        apply_options(load_options())
    except FaultsError as error:
        for fault in error.faults:
            print(f"fault: {fault}", file=sys.stderr)
        return FAULTS
    handler = set_up_bounded_logs(format=log_format, level=log_level, process=loaded.name)
    trio.run(_run, GatewayDaemon(settings=loaded, sockets=sockets or {}), file, handler)
    return 0


async def _run(daemon: GatewayDaemon, file: Path, handler: BoundedHandler) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_tend_log, daemon, handler)
        nursery.start_soon(_obey_signals, daemon, file)
        nursery.start_soon(_watch_file, daemon, file)
        await daemon.run()
        nursery.cancel_scope.cancel()


async def _obey_signals(daemon: GatewayDaemon, file: Path) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(daemon, file)
            else:
                daemon.stop()


async def _tend_log(daemon: GatewayDaemon, handler: BoundedHandler) -> None:
    """Write what waits for a slow reader, and tell how much was lost."""
    told = 0
    while True:
        await trio.sleep(FLUSH_S)
        handler.writer.flush()
        if handler.lost > told and not handler.writer.waiting_bytes:
            events.LOG_LINES_LOST.log(log, lines=handler.lost - told, total=handler.lost)
            told = handler.lost
            daemon.log_lines_lost(told)


async def _watch_file(daemon: GatewayDaemon, file: Path) -> None:
    """Reload settings that were changed without a signal."""
    seen = _stamp(file)
    while True:
        await trio.sleep(LOOK_S)
        stamp = _stamp(file)
        if stamp != seen:
            seen = stamp
            _reload(daemon, file)


def _reload(daemon: GatewayDaemon, file: Path) -> None:
    try:
        daemon.reload(load_settings(file))
    except FaultsError as error:
        events.SETTINGS_FAULTY.log(log, faults=str(error))


def _stamp(file: Path) -> tuple[int, int] | None:
    """Give what changes with a file; None while it is not there, as when it is replaced."""
    try:
        found = file.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size
