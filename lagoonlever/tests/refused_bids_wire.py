"""Whole HTTP messages over a stream.

For clients and runners that take part in a verdict on the product, and use none of its code.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterable, Mapping

import attrs
import trio

HEAD_END = b"\r\n\r\n"
RECEIVE_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The option of a socket whose close is a reset."""


@attrs.frozen(kw_only=True)
class Message:
    """A request or an answer that was read whole."""

    words: tuple[str, ...]
    """Of its first line."""
    fields: Mapping[str, str]
    """By their names in small letters."""
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.words[1])


@attrs.define(kw_only=True, eq=False)
class Wire:
    """One connection; messages are read one after the other and written whole."""

    stream: trio.SocketStream
    _received: bytes = b""
    _writing: trio.Lock = attrs.field(factory=trio.Lock)

    async def read(self) -> Message:
        """Read the next message; raise ``trio.BrokenResourceError`` where none comes whole."""
        while HEAD_END not in self._received:
            await self._receive()
        head, _, self._received = self._received.partition(HEAD_END)
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        fields = {name.strip().lower(): value.strip() for name, _, value in pairs}
        size = int(fields.get("content-length", 0))
        while len(self._received) < size:
            await self._receive()
        body, self._received = self._received[:size], self._received[size:]
        return Message(words=tuple(first.split(" ")), fields=fields, body=body)

    async def write(self, message: bytes) -> None:
        """Write a whole message."""
        async with self._writing:
            await self.stream.send_all(message)

    def reset(self) -> None:
        """Close the connection at once, so that the other side sees a reset."""
        with_reset = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.stream.socket.setsockopt(*with_reset)
        self.stream.socket.close()

    async def _receive(self) -> None:
        received = await self.stream.receive_some(RECEIVE_BYTES)
        if not received:
            raise trio.BrokenResourceError("closed")
        self._received += received


def encode(first: str, fields: Iterable[tuple[str, object]], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in fields)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body
