"""A loopback proxy that harms the connections through it: holds up, cuts one way, resets."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct

import attrs
import trio

from lagoonlever.fakes.path_proxy import is_reset
from lagoonlever.http.messages import Address

PIECE_BYTES = 64 * 1024
RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with no time: closing then resets the connection."""


class Link(enum.Enum):
    """What the proxy does with bytes."""

    WELL = "well"
    HELD = "held"
    """Nothing passes in either direction, and nothing is closed."""
    ONE_WAY = "one-way"
    """What the target sends is held up."""
    SLOW = "slow"


SLOW_S = 0.1
HELD_CHECK_S = 0.02


@attrs.define(kw_only=True, eq=False)
class FaultyProxy:
    """Forwards connections from ``listen`` to ``target``."""

    listen: Address
    target: Address
    link: Link = Link.WELL
    harmed_until: float = 0.0
    """When it last forwarded well again."""
    reset_at: float = 0.0
    """When its connections were last reset."""
    _open: set[trio.SocketStream] = attrs.field(factory=set)

    @property
    def harmed(self) -> bool:
        """Whether it does anything but forward."""
        return self.link is not Link.WELL

    def reset_all(self) -> None:
        """Reset every open connection, on both sides."""
        self.reset_at = trio.current_time()
        for stream in list(self._open):
            _reset(stream)
        self._open.clear()

    async def run(self) -> None:
        """Forward until cancelled."""
        listeners = await trio.open_tcp_listeners(self.listen.port, host=self.listen.host)
        async with trio.open_nursery() as nursery:
            await trio.serve_listeners(self._serve, listeners, handler_nursery=nursery)

    async def _serve(self, caller: trio.SocketStream) -> None:
        try:
            target = await trio.open_tcp_stream(self.target.host, self.target.port)
        except OSError:
            # The target is down; the caller sees its connection reset.
            _reset(caller)
            return
        pair = {caller, target}
        self._open |= pair
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, caller, target, (Link.HELD,))
                nursery.start_soon(self._pump, target, caller, (Link.HELD, Link.ONE_WAY))
        finally:
            self._open -= pair
            for stream in pair:
                await trio.aclose_forcefully(stream)

    async def _hold(self, held_by: tuple[Link, ...], source: trio.SocketStream) -> None:
        """Wait while the link carries nothing; what is held is lost if its sender resets."""
        if self.link not in held_by:
            return
        await self._until_well(held_by)
        if is_reset(source):
            raise trio.BrokenResourceError

    async def _until_well(self, held_by: tuple[Link, ...]) -> None:
        while self.link in held_by:  # noqa: ASYNC110 - the link changes from outside
            await trio.sleep(HELD_CHECK_S)

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, held_by: tuple[Link, ...]
    ) -> None:
        try:
            while piece := await source.receive_some(PIECE_BYTES):
                if self.link is Link.SLOW:
                    await trio.sleep(SLOW_S)
                await self._hold(held_by, source)
                await sink.send_all(piece)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # One side broke or was reset; the other side is to see that too, by the same link.
            await self._until_well(held_by)
            for stream in (source, sink):
                _reset(stream)


def _reset(stream: trio.SocketStream) -> None:
    """Reset a connection; one that has ended by itself is left as it is."""
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    stream.socket.close()
