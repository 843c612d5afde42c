"""One connection to a peer: a bounded outbox and the task that owns its socket."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio
import zmq

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.frames import encode_header
from lagoonlever.peers.traffic import MESSAGE_OVERHEAD_BYTES, DropReason, Traffic

OUTBOX_MESSAGES = 64
SEND_HWM = 16
ONLY_LIVE_LINKS = 1
IDLE_S = 30.0
"""A connection that carried nothing for this long is closed."""
CONNECT_TIMEOUT_MS = 1000
RECONNECT_MS = 200
RECONNECT_MAX_MS = 2000
UNACKNOWLEDGED_MS = 5000
"""A link that acknowledges nothing for this long is given up, with what is queued on it."""


@attrs.frozen(kw_only=True)
class Outgoing:
    """A message that waits to be sent; ``deadline`` by the monotonic clock in seconds."""

    tag: str
    payload: bytes
    expected: Incarnation | None
    deadline: float


def endpoint(address: Address) -> str:
    """Give the form of an address that ZeroMQ takes."""
    return f"tcp://{address}"


async def wait_events(socket: zmq.Socket[bytes], wanted: int) -> None:
    """Wait until a socket is ready for one of the wanted events.

    The descriptor tells of changes only, and reading the events takes the change
    away: so the events are asked for before each wait and again after it.
    """
    while not int(socket.getsockopt(zmq.EVENTS)) & wanted:
        await trio.lowlevel.wait_readable(int(socket.getsockopt(zmq.FD)))


@attrs.define(kw_only=True, eq=False)
class PeerConnection:
    """Sends what it is offered in order, until it has been idle for ``IDLE_S``."""

    address: Address
    _own: Incarnation
    _context: zmq.Context[zmq.Socket[bytes]]
    _now: Callable[[], float]
    _traffic: Traffic
    _send: trio.MemorySendChannel[Outgoing] = attrs.field(init=False)
    _receive: trio.MemoryReceiveChannel[Outgoing] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._send, self._receive = trio.open_memory_channel[Outgoing](OUTBOX_MESSAGES)

    def offer(self, outgoing: Outgoing) -> bool:
        """Take a message if there is room; tells whether it was taken."""
        try:
            self._send.send_nowait(outgoing)
        except trio.WouldBlock:
            return False
        return True

    async def run(self) -> None:
        """Send until idle or cancelled."""
        socket = self._open()
        self._traffic.connections_opened += 1
        self._traffic.open_connections += 1
        try:
            await self._send_all(socket)
        finally:
            self._traffic.open_connections -= 1
            socket.close(linger=0)

    async def _send_all(self, socket: zmq.Socket[bytes]) -> None:
        while True:
            with trio.move_on_after(IDLE_S) as idle:
                outgoing = await self._receive.receive()
            if idle.cancelled_caught:
                return
            await self._send_one(socket, outgoing)

    async def _send_one(self, socket: zmq.Socket[bytes], outgoing: Outgoing) -> None:
        left_s = outgoing.deadline - self._now()
        with trio.move_on_after(max(0.0, left_s)):
            await wait_events(socket, zmq.POLLOUT)
        left_s = outgoing.deadline - self._now()
        if left_s <= 0:
            self._traffic.count_dropped(DropReason.EXPIRED_UNSENT)
            return
        head = encode_header(
            sender=self._own, expected=outgoing.expected, now=self._now(), ttl_s=left_s
        )
        try:
            socket.send_multipart((head, outgoing.payload), zmq.NOBLOCK)
        except zmq.Again:
            self._traffic.count_dropped(DropReason.OUTBOX_FULL)
            return
        size = len(head) + len(outgoing.payload) + MESSAGE_OVERHEAD_BYTES
        self._traffic.count_sent(outgoing.tag, size)

    def _open(self) -> zmq.Socket[bytes]:
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, SEND_HWM)
        # Without this a message for a peer that is down is queued, and a peer that
        # comes back minutes later reads it; with it, only a live link takes messages,
        # and a broken link takes its queue with it.
        socket.setsockopt(zmq.IMMEDIATE, ONLY_LIVE_LINKS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MS)
        socket.setsockopt(zmq.IPV6, int(":" in self.address.host))
        socket.connect(endpoint(self.address))
        return socket
