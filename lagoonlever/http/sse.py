"""Server-sent events: framing of events, and cutting a byte stream into them."""

from __future__ import annotations

import re

import attrs

EVENT_STREAM_TYPE = "text/event-stream"
DONE_DATA = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024
EVENT_END = re.compile(rb"\n\r?\n")
LONGEST_END = 3
"""Bytes of the longest end of an event."""


@attrs.frozen(kw_only=True)
class ServerEvent:
    """One event; ``data`` is the payload without its field name."""

    data: bytes
    id: str | None = None
    event: str | None = None


def encode_event(event: ServerEvent) -> bytes:
    """Give the bytes of one event."""
    head = b""
    if event.id is not None:
        head += b"id: " + event.id.encode("ascii") + b"\n"
    if event.event is not None:
        head += b"event: " + event.event.encode("ascii") + b"\n"
    return head + b"data: " + event.data + b"\n\n"


class EventParser:
    """Cuts the pieces of a body into events; raises ``ValueError`` for an oversized one."""

    def __init__(self) -> None:
        self._splitter = RawEventSplitter()

    def feed(self, piece: bytes) -> list[ServerEvent]:
        """Return the events that are whole with a further piece of the body."""
        blocks = (event.data for event in self._splitter.feed(piece))
        return [event for block in blocks if (event := _parse_block(block)) is not None]


def _parse_block(block: bytes) -> ServerEvent | None:
    data: list[bytes] = []
    id_: str | None = None
    name: str | None = None
    for line in block.replace(b"\r\n", b"\n").split(b"\n"):
        field, _, value = line.partition(b":")
        value = value[1:] if value.startswith(b" ") else value
        if field == b"data":
            data.append(value)
        elif field == b"id":
            id_ = value.decode("utf-8", "replace")
        elif field == b"event":
            name = value.decode("utf-8", "replace")
    if not data and name is None:
        return None
    return ServerEvent(data=b"\n".join(data), id=id_, event=name)


@attrs.frozen(kw_only=True)
class RawEvent:
    """One event as it was received, with its end; ``id`` where it has a numeric one."""

    data: bytes
    id: int | None


class RawEventSplitter:
    """Cuts the pieces of a body after each event without changing a byte.

    Raises ``ValueError`` for an oversized event.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Whether an event has begun and is not whole."""
        return bool(self._buffer)

    def feed(self, piece: bytes) -> list[RawEvent]:
        """Return the events that are whole with a further piece of the body.

        No byte is searched twice but for those of an end that began in a former piece. Guards
        against a target that sends one event without end in tiny pieces.
        """
        searched = max(0, len(self._buffer) - LONGEST_END + 1)
        self._buffer += piece
        events: list[RawEvent] = []
        begin = 0
        while (found := EVENT_END.search(self._buffer, searched)) is not None:
            data = bytes(self._buffer[begin : found.end()])
            events.append(RawEvent(data=data, id=_raw_id(data)))
            begin = searched = found.end()
        del self._buffer[:begin]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is larger than the allowed size")
        return events


def _raw_id(data: bytes) -> int | None:
    for line in data.splitlines():
        field, _, value = line.partition(b":")
        if field == b"id" and value.strip().isdigit():
            return int(value)
    return None
