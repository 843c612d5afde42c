"""Runs the gateway daemon as a process: settings, logs, signals, exit code."""

from __future__ import annotations

import os
import signal
import socket
import sys
from collections.abc import Mapping
from pathlib import Path

import attrs
import logbook
import trio

from lagoonlever.allocator import return_large_blocks
from lagoonlever.decisions.fleet.peer_table import ANNOUNCE_INTERVAL_S
from lagoonlever.exceptions import FaultsError
from lagoonlever.gateway import events
from lagoonlever.gateway.daemon import GatewayDaemon
from lagoonlever.gateway.options import apply_options, load_options
from lagoonlever.http.client import ClientConnection, Opener
from lagoonlever.log_writer import BoundedHandler, LogTender
from lagoonlever.logs import LogFormat, LogLevel, set_up_bounded_logs
from lagoonlever.platform.early_sockets import PATH_VARIABLE
from lagoonlever.platform.settings_file import load_settings
from lagoonlever.timers import Tick

log = logbook.Logger(__name__)

FAULTS = 1
"""The exit code of a process whose settings are wrong."""
FLUSH_S = ANNOUNCE_INTERVAL_S
"""How often lines that wait for a slow reader are offered again.

In step with what a VM says of itself, so that a VM at rest wakes up once for all of it.
"""
LOOK_S = 3 * ANNOUNCE_INTERVAL_S
"""How often the settings file is looked at for a change."""


def run_gateway(
    *,
    settings: Path | None = None,
    sockets: Mapping[str, socket.socket] | None = None,
    log_format: LogFormat = LogFormat.JSON,
    log_level: LogLevel = LogLevel.INFO,
    open_target: Opener = ClientConnection.open,
) -> int:
    """Run the daemon until it is told to stop; return the exit code.

    ``open_target`` opens connections to targets from this VM itself.
    """
    return_large_blocks()
    file = settings or Path(os.environ.get(PATH_VARIABLE, ""))
    try:
        loaded = load_settings(file)
        apply_options(load_options())
    except FaultsError as error:
        for fault in error.faults:
            print(f"fault: {fault}", file=sys.stderr)
        return FAULTS
    handler = set_up_bounded_logs(format=log_format, level=log_level, process=loaded.name)
    daemon = GatewayDaemon(settings=loaded, sockets=sockets or {}, open_target=open_target)
    trio.run(_run, daemon, file, handler)
    return 0


async def _run(daemon: GatewayDaemon, file: Path, handler: BoundedHandler) -> None:
    def report_lost(lines: int, total: int) -> None:
        events.LOG_LINES_LOST.log(log, lines=lines, total=total)
        daemon.log_lines_lost(total)

    log_tender = LogTender(handler=handler, report=report_lost)
    file_watch = FileWatch(daemon=daemon, file=file)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_obey_signals, daemon, file)
        with (
            daemon.timers.subscribed(log_tender.on_tick, period_s=FLUSH_S),
            daemon.timers.subscribed(file_watch.on_tick, period_s=LOOK_S),
        ):
            await daemon.run()
        nursery.cancel_scope.cancel()


async def _obey_signals(daemon: GatewayDaemon, file: Path) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(daemon, file)
            else:
                daemon.stop()


@attrs.define(kw_only=True)
class FileWatch:
    """Reloads settings that were changed without a signal."""

    _daemon: GatewayDaemon
    _file: Path
    _seen: tuple[int, int] | None = attrs.field(init=False)

    @_seen.default
    def _now(self) -> tuple[int, int] | None:
        return _stamp(self._file)

    def on_tick(self, _: Tick) -> None:
        """Look whether the file is another one now."""
        stamp = _stamp(self._file)
        if stamp != self._seen:
            self._seen = stamp
            _reload(self._daemon, self._file)


def _reload(daemon: GatewayDaemon, file: Path) -> None:
    try:
        daemon.reload(load_settings(file))
    except FaultsError as error:
        events.SETTINGS_FAULTY.log(log, faults=str(error))


def _stamp(file: Path) -> tuple[int, int] | None:
    """Return what changes with a file; None while it is not there, as when it is replaced."""
    try:
        found = file.stat()
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size
