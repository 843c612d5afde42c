"""The peer bus over ZeroMQ: one socket that receives, and one connection a peer on demand.

Messages are soft state and said again by whoever needs them: they are lost
rather than late, and nothing waits for a dead peer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs
import logbook
import trio
import zmq

from lagoonlever.codec import UnknownMessage, UnsendableMessage
from lagoonlever.events import event
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.age import AgeEstimator
from lagoonlever.peers.connection import Outgoing, PeerConnection, endpoint, wait_events
from lagoonlever.peers.frames import BadFrame, FrameHeader, decode_header
from lagoonlever.peers.interface import DEFAULT_TTL_S
from lagoonlever.peers.messages import PEER, Received
from lagoonlever.peers.subscriptions import DEFAULT_CAPACITY, Subscriptions
from lagoonlever.peers.traffic import MESSAGE_OVERHEAD_BYTES, DropReason, Traffic

log = logbook.Logger(__name__)

T = TypeVar("T")

MESSAGE_UNSENDABLE = event(
    113,
    "message-unsendable",
    "error",
    "A message to other VMs can't be sent and is dropped: {error}",
    "A value from outside is out of range and was not turned away where it came in. Report it.",
)

RECEIVE_HWM = 256
KEEPALIVE_S = 60
KEEPALIVE_PROBES = 3
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
RECEIVE_BATCH = 64
"""Messages that are read before other tasks get their turn."""
MAX_KNOWN_SENDERS = 2048
PARTS = 3


@attrs.define(kw_only=True)
class PeerBus:
    """Sends and receives messages between VMs; ``run`` owns every socket."""

    _own: Incarnation
    _listen: Address
    _now: Callable[[], float] = trio.current_time
    traffic: Traffic = attrs.field(factory=Traffic)
    _bound: Address | None = None
    _router: zmq.Socket[bytes] | None = None
    _context: zmq.Context[zmq.Socket[bytes]] = attrs.field(factory=zmq.Context, init=False)
    _connections: dict[Address, PeerConnection] = attrs.field(factory=dict, init=False)
    _ages: dict[Incarnation, AgeEstimator] = attrs.field(factory=dict, init=False)
    _subscriptions: Subscriptions = attrs.field(factory=Subscriptions, init=False)
    _nursery: trio.Nursery | None = None

    @property
    def own(self) -> Incarnation:
        """The incarnation that this bus sends as."""
        return self._own

    @property
    def address(self) -> Address:
        """The address that the bus listens on; with port 0 known after ``bind``."""
        return self._bound or self._listen

    def bind(self) -> Address:
        """Open the receiving socket; raises ``zmq.ZMQError`` if the port is taken."""
        if self._context.closed:
            self._context = zmq.Context()
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.RCVHWM, RECEIVE_HWM)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        # This socket only reads, so without keepalives the connection of a VM that
        # vanished without a word would stay open for ever.
        router.setsockopt(zmq.TCP_KEEPALIVE, 1)
        router.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_S)
        router.setsockopt(zmq.TCP_KEEPALIVE_INTVL, KEEPALIVE_S)
        router.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
        router.setsockopt(zmq.IPV6, int(":" in self._listen.host))
        router.bind(endpoint(self._listen))
        bound = router.getsockopt_string(zmq.LAST_ENDPOINT).removeprefix("tcp://")
        self._bound = Address.parse(bound)
        self._router = router
        return self._bound

    def subscribe(
        self, message_class: type[T], *, capacity: int = DEFAULT_CAPACITY
    ) -> trio.MemoryReceiveChannel[Received[T]]:
        """Give a channel of the received messages of one class; news is dropped when full."""
        return self._subscriptions.add(message_class, capacity=capacity)

    def send(
        self,
        to: Address,
        message: object,
        *,
        expected: Incarnation | None = None,
        ttl_s: float = DEFAULT_TTL_S,
    ) -> None:
        """Send without waiting; dropped when full, late, or met by another incarnation.

        With ``expected`` a VM that came back at the same address drops what was
        meant for its former life.
        """
        outgoing = self._pack(message, expected=expected, ttl_s=ttl_s)
        if outgoing is not None:
            self._offer(to, outgoing)

    def send_to_all(self, addresses: Iterable[Address], message: object) -> None:
        """Send one message to many VMs, encoded once."""
        outgoing = self._pack(message, expected=None, ttl_s=DEFAULT_TTL_S)
        if outgoing is None:
            return
        for address in addresses:
            self._offer(address, outgoing)

    def _pack(
        self, message: object, *, expected: Incarnation | None, ttl_s: float
    ) -> Outgoing | None:
        """Return a message as it is sent, or None for one that can't be: it is as good as lost.

        A value of it may come from outside. Whoever sends it serves a request, or others wait.
        """
        try:
            payload = PEER.encode(message)
        except UnsendableMessage as error:
            MESSAGE_UNSENDABLE.log(log, error=str(error))
            return None
        return Outgoing(
            tag=PEER.tag_of(message),
            payload=payload,
            expected=expected,
            deadline=self._now() + ttl_s,
        )

    async def run(self) -> None:
        """Receive and send until cancelled; binds first unless ``bind`` was called."""
        if self._router is None:
            self.bind()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                try:
                    await self._receive()
                finally:
                    # A part that still sends as all end must find no nursery that has closed.
                    self._nursery = None
        finally:
            self._close()

    def _offer(self, to: Address, outgoing: Outgoing) -> None:
        connection = self._connection_to(to)
        if connection is None or not connection.offer(outgoing):
            self.traffic.count_dropped(DropReason.OUTBOX_FULL)

    def _close(self) -> None:
        if self._router is not None:
            self._router.close(linger=0)
        self._router = None
        self._context.destroy(linger=0)

    def _connection_to(self, address: Address) -> PeerConnection | None:
        connection = self._connections.get(address)
        if connection is not None:
            return connection
        if self._nursery is None:
            return None
        connection = PeerConnection(
            address=address,
            own=self._own,
            context=self._context,
            now=self._now,
            traffic=self.traffic,
        )
        self._connections[address] = connection
        self._nursery.start_soon(self._run_connection, connection)
        return connection

    async def _run_connection(self, connection: PeerConnection) -> None:
        try:
            await connection.run()
        finally:
            del self._connections[connection.address]

    async def _receive(self) -> None:
        router = self._router
        assert router is not None
        while True:
            await wait_events(router, zmq.POLLIN)
            for _ in range(RECEIVE_BATCH):
                try:
                    parts = router.recv_multipart(zmq.NOBLOCK)
                except zmq.Again:
                    break
                self._take(parts)
            await trio.lowlevel.checkpoint()

    def _take(self, parts: list[bytes]) -> None:
        if len(parts) != PARTS:
            self.traffic.count_dropped(DropReason.UNREADABLE)
            return
        _, head, payload = parts
        try:
            header = decode_header(head)
            message = PEER.decode(payload)
        except (BadFrame, UnknownMessage, ValueError):
            self.traffic.count_dropped(DropReason.UNREADABLE)
            return
        size = len(head) + len(payload) + MESSAGE_OVERHEAD_BYTES
        self.traffic.count_received(PEER.tag_of(message), size)
        reason = self._fault_of(header)
        if reason is not None:
            self.traffic.count_dropped(reason)
            return
        if not self._subscriptions.deliver(sender=header.sender, message=message):
            self.traffic.count_dropped(DropReason.NO_ROOM)

    def _fault_of(self, header: FrameHeader) -> DropReason | None:
        if header.expected_nonce is not None and header.expected_nonce != self._own.nonce:
            return DropReason.OTHER_INCARNATION
        age_s = self._age_of(header.sender).age_s(sent_at=header.sent_at_ms / 1000, now=self._now())
        if age_s * 1000 > header.ttl_ms:
            return DropReason.EXPIRED_RECEIVED
        return None

    def _age_of(self, sender: Incarnation) -> AgeEstimator:
        estimator = self._ages.pop(sender, None) or AgeEstimator()
        self._ages[sender] = estimator
        if len(self._ages) > MAX_KNOWN_SENDERS:
            del self._ages[next(iter(self._ages))]
        return estimator
