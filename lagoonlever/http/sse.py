"""Server-sent events: framing of events, and cutting a byte stream into them."""

from __future__ import annotations

import attrs

EVENT_STREAM_TYPE = "text/event-stream"
DONE_DATA = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024


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
        self._buffer = b""

    def feed(self, piece: bytes) -> list[ServerEvent]:
        """Take a piece of the body and give the events that are whole now."""
        self._buffer += piece
        if b"\r" in self._buffer:
            self._buffer = self._buffer.replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is larger than the allowed size")
        return [event for block in blocks if (event := _parse_block(block)) is not None]


def _parse_block(block: bytes) -> ServerEvent | None:
    data: list[bytes] = []
    id_: str | None = None
    name: str | None = None
    for line in block.split(b"\n"):
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
