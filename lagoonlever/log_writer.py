"""Writes log lines without ever waiting for their reader, and within a bound.

A process whose log nobody reads must serve on: a full pipe makes an ordinary write wait
for ever, and with it every request. Lines that find no room are dropped and counted,
and the count is logged once there is room.
"""

from __future__ import annotations

import os
import time
from collections import deque
from collections.abc import Callable

import attrs
import logbook

from lagoonlever.timers import Tick

BUFFER_BYTES = 256 * 1024
"""What waits for a slow reader: some two seconds of a busy VM."""
LINES_PER_S = 600
"""Three times what a VM writes at twice today's busiest load; above it, detail is dropped."""
BURST_S = 2.0
"""Unused lines that are kept, in seconds of the rate: a loss of engines writes many at once."""
WRITES_PER_CALL = 8


@attrs.define(kw_only=True)
class LineBudget:
    """A token bucket of lines; warnings and worse are not counted."""

    _per_s: float = LINES_PER_S
    _tokens: float = LINES_PER_S * BURST_S
    _at: float | None = None

    def take(self, now: float) -> bool:
        """Take one line if there is one."""
        if self._at is not None:
            grown = self._tokens + (now - self._at) * self._per_s
            self._tokens = min(self._per_s * BURST_S, grown)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@attrs.define(kw_only=True, eq=False)
class LineWriter:
    """Writes lines to a descriptor that is set not to block."""

    _fd: int
    _buffer_bytes: int = BUFFER_BYTES
    _lines: deque[bytes] = attrs.field(factory=deque)
    _waiting_bytes: int = 0
    dropped: int = 0
    """Lines lost since the process started."""
    written_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self._fd, False)

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait for the reader."""
        return self._waiting_bytes

    def write(self, line: bytes) -> bool:
        """Take a line if there is room; tells whether it was taken."""
        if self._waiting_bytes + len(line) > self._buffer_bytes:
            self.flush()
        if self._waiting_bytes + len(line) > self._buffer_bytes:
            self.dropped += 1
            return False
        self._lines.append(line)
        self._waiting_bytes += len(line)
        self.flush()
        return True

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        for _ in range(WRITES_PER_CALL):
            if not self._lines:
                return
            line = self._lines[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; the lines have nowhere to go.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._waiting_bytes = 0
                return
            self.written_bytes += written
            self._waiting_bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()


class BoundedHandler(logbook.Handler):  # type: ignore[misc]
    """A handler of logbook that formats records and hands them to a writer."""

    def __init__(
        self,
        *,
        writer: LineWriter,
        formatter: Callable[[logbook.LogRecord, logbook.Handler], str],
        level: str,
        clock: Callable[[], float] = time.monotonic,
        process: str | None = None,
    ) -> None:
        super().__init__(level=level)
        self.process = process
        self.formatter = formatter
        self._writer = writer
        self._budget = LineBudget()
        self._clock = clock
        self._over_budget = 0

    @property
    def lost(self) -> int:
        """Lines that were not written, for want of room or of budget."""
        return self._writer.dropped + self._over_budget

    @property
    def writer(self) -> LineWriter:
        """The writer, to be flushed now and then."""
        return self._writer

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, unless it is detail beyond the budget."""
        if record.level < logbook.WARNING and not self._budget.take(self._clock()):
            self._over_budget += 1
            return
        self._writer.write(self.format(record).encode() + b"\n")


@attrs.define(kw_only=True)
class LogTender:
    """Writes what waits for a slow reader of the log, and reports how much was lost."""

    _handler: BoundedHandler
    _report: Callable[[int, int], None]
    """Told how many lines were lost since the last report, and in all."""
    _told: int = 0

    def on_tick(self, _: Tick) -> None:
        """Offer waiting lines again."""
        writer, lost = self._handler.writer, self._handler.lost
        writer.flush()
        if lost > self._told and not writer.waiting_bytes:
            self._report(lost - self._told, lost)
            self._told = lost
