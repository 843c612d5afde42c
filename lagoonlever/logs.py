"""Set-up of the log: lines for people, or one JSON object a line for collectors.

A module logs through ``log = Logger(__name__)`` (from ``logbook``) and the events
of ``lagoonlever.events``; only the command line sets the log up.
"""

from __future__ import annotations

import enum
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

import logbook
import msgspec

from lagoonlever.events import LogEvent
from lagoonlever.log_writer import BoundedHandler, LineWriter

STDOUT_FD = 1
STDERR_FD = 2
HUMAN_TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"


class LogFormat(enum.Enum):
    """How log records are written."""

    HUMAN = "human"
    JSON = "json"


class LogLevel(enum.Enum):
    """The least level that is written."""

    DEBUG = "debug"
    INFO = "info"
    NOTICE = "notice"
    WARNING = "warning"
    ERROR = "error"
    CRITICAL = "critical"


def format_human(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Give a record as a line for people: time, level, event number and name, message."""
    event: LogEvent | None = record.extra.get("event")
    tag = f"{event.number} {event.name}" if event else record.channel
    stamp = _time_of(record).strftime(HUMAN_TIME_FORMAT)
    line = f"{stamp} {record.level_name.lower():8} {tag}: {record.message}"
    trace = record.formatted_exception
    return f"{line}\n{trace}" if trace else line


def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Give a record as one JSON object, with the event's fields as they were logged."""
    event: LogEvent | None = record.extra.get("event")
    payload: dict[str, Any] = {
        "time": _time_of(record).isoformat(),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
    }
    process = getattr(handler, "process", None)
    if process is not None:
        payload["process"] = process
    if event is not None:
        payload["event"] = event.number
        payload["name"] = event.name
        payload["fields"] = record.kwargs
    if record.formatted_exception:
        payload["exception"] = record.formatted_exception
    return msgspec.json.encode(payload, enc_hook=str).decode()


_FORMATTERS = {LogFormat.HUMAN: format_human, LogFormat.JSON: format_json}


def log_handler(
    *,
    format: LogFormat = LogFormat.HUMAN,
    level: LogLevel = LogLevel.INFO,
    stream: TextIO | None = None,
) -> logbook.Handler:
    """Give a handler that writes records to a stream, by default standard error."""
    handler = logbook.StreamHandler(stream or sys.stderr, level=level.name)
    handler.formatter = _FORMATTERS[format]
    return handler


def set_up_logs(
    *,
    format: LogFormat = LogFormat.HUMAN,
    level: LogLevel = LogLevel.INFO,
    stream: TextIO | None = None,
) -> None:
    """Send the whole process's log to a stream, by default standard error."""
    log_handler(format=format, level=level, stream=stream).push_application()


def set_up_bounded_logs(
    *,
    format: LogFormat = LogFormat.JSON,
    level: LogLevel = LogLevel.INFO,
    fd: int = STDOUT_FD,
    process: str | None = None,
) -> BoundedHandler:
    """Send the process's log to a descriptor without ever waiting for its reader.

    ``process`` is told in each JSON line. Gives the handler, which its owner flushes
    now and then, and asks what was lost.
    """
    handler = BoundedHandler(
        writer=LineWriter(fd=fd),
        formatter=_FORMATTERS[format],
        level=level.name,
        process=process,
    )
    handler.push_application()
    return handler


def _time_of(record: logbook.LogRecord) -> datetime:
    time: datetime = record.time
    return time.replace(tzinfo=UTC) if time.tzinfo is None else time.astimezone(UTC)
