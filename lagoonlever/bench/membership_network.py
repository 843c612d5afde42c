"""Runs many membership protocols in one process, over a lossy network in virtual time.

Messages go through the real codec, so their bytes and the processor time of each
node are measured; only the network and the clock are made up.
"""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Iterable
from random import Random

import attrs

from lagoonlever.decisions.membership.membership import Member, MemberState
from lagoonlever.decisions.membership.outbox import Send
from lagoonlever.decisions.membership.protocol import MembershipProtocol
from lagoonlever.decisions.membership.settings import MembershipSettings
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.frames import encode_header
from lagoonlever.peers.messages import PEER

TICK_S = 0.1
DELAY_S = 0.0005
DELAY_JITTER_S = 0.0015
DATA_CENTERS = 3
SEEDS = 3


def node_name(index: int) -> str:
    """Give the name of a node."""
    return f"entry-{index:03d}"


def node_address(index: int) -> Address:
    """Give the peer address of a node."""
    return Address(host=f"10.{index % DATA_CENTERS}.{index // 250}.{index % 250}", port=7000)


@attrs.define(kw_only=True, eq=False)
class Node:
    """One life of a node; ``busy_s`` is its processor time."""

    index: int
    incarnation: Incarnation
    protocol: MembershipProtocol
    paused_until: float | None = None
    last_tick: float = 0.0
    sent_messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    busy_s: float = 0.0

    @property
    def address(self) -> Address:
        """The peer address."""
        return node_address(self.index)


@attrs.frozen(kw_only=True)
class _Delivery:
    to: Address
    data: bytes
    expected: Incarnation | None
    size: int


@attrs.define(kw_only=True, eq=False)
class Network:
    """The nodes and what is under way between them; times in virtual seconds."""

    _random: Random
    settings: MembershipSettings = attrs.field(factory=MembershipSettings)
    loss: float = 0.0
    duplication: float = 0.0
    late_s: float = 0.0
    """A tenth of the messages is this much late."""
    now: float = attrs.field(default=0.0, init=False)
    nodes: dict[int, Node] = attrs.field(factory=dict, init=False)
    _last_tick: float = attrs.field(default=0.0, init=False)
    _by_address: dict[Address, Node] = attrs.field(factory=dict, init=False)
    _cut_off: frozenset[Address] = attrs.field(default=frozenset(), init=False)
    _under_way: list[tuple[float, int, _Delivery]] = attrs.field(factory=list, init=False)
    _order: itertools.count[int] = attrs.field(factory=itertools.count, init=False)
    _lives: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1), init=False)

    def start(self, index: int, *, seeds: Iterable[int] = range(SEEDS)) -> Node:
        """Start a node, as a new life if it has run before."""
        life = next(self._lives)
        incarnation = Incarnation(
            name=node_name(index),
            started_ms=1_800_000_000_000 + round(self.now * 1000) + life,
            nonce=self._random.getrandbits(32),
        )
        member = Member(
            incarnation=incarnation,
            data_center=f"dc-{index % DATA_CENTERS}",
            http=Address(host=node_address(index).host, port=8000),
            peers=node_address(index),
            state=MemberState.ALIVE,
        )
        protocol = MembershipProtocol(
            own=member,
            settings=self.settings,
            random=Random(self._random.getrandbits(32)),
            started_at=self.now,
            seeds=tuple(node_address(seed) for seed in seeds),
        )
        node = Node(index=index, incarnation=incarnation, protocol=protocol, last_tick=self.now)
        self.nodes[index] = node
        self._by_address[node.address] = node
        return node

    def kill(self, index: int) -> None:
        """End a node without a word."""
        node = self.nodes.pop(index)
        del self._by_address[node.address]

    def stop(self, index: int) -> None:
        """End a node after it has said so."""
        node = self.nodes[index]
        node.protocol.depart(self.now)
        self._send_all(node)
        self.kill(index)

    def pause(self, index: int, duration_s: float) -> None:
        """Freeze a node: it neither ticks nor reads until it wakes."""
        self.nodes[index].paused_until = self.now + duration_s

    def cut_off(self, indexes: Iterable[int]) -> None:
        """Lose every message between these nodes and the others."""
        self._cut_off = frozenset(node_address(index) for index in indexes)

    def heal(self) -> None:
        """End the cut."""
        self._cut_off = frozenset()

    def run(self, duration_s: float) -> None:
        """Let virtual time pass."""
        for _ in range(round(duration_s / TICK_S)):
            next_tick = round(self._last_tick + TICK_S, 6)
            self._deliver_until(next_tick)
            self.now = self._last_tick = next_tick
            for node in list(self.nodes.values()):
                self._tick(node)

    def _tick(self, node: Node) -> None:
        if node.paused_until is not None:
            if self.now < node.paused_until:
                return
            node.paused_until = None
        late_s = self.now - node.last_tick - TICK_S
        node.last_tick = self.now
        started = time.process_time()
        node.protocol.tick(self.now, paused_s=late_s if late_s > 1.0 else 0.0)
        node.busy_s += time.process_time() - started
        self._send_all(node)

    def _send_all(self, node: Node) -> None:
        started = time.process_time()
        for send in node.protocol.take_sends():
            self._send(node, send)
        node.busy_s += time.process_time() - started

    def _send(self, node: Node, send: Send) -> None:
        data = PEER.encode(send.message)
        head = encode_header(
            sender=node.incarnation, expected=send.expected, now=self.now, ttl_s=1.0
        )
        size = len(data) + len(head)
        node.sent_messages += 1
        node.sent_bytes += size
        delivery = _Delivery(to=send.to, data=data, expected=send.expected, size=size)
        copies = 2 if self._random.random() < self.duplication else 1
        for _ in range(copies):
            if self._random.random() >= self.loss and not self._is_cut(node.address, send.to):
                due = self.now + self._delay_s()
                heapq.heappush(self._under_way, (due, next(self._order), delivery))

    def _delay_s(self) -> float:
        if self.late_s and self._random.random() < 0.1:
            return self.late_s
        return DELAY_S + DELAY_JITTER_S * self._random.random()

    def _is_cut(self, one: Address, other: Address) -> bool:
        return (one in self._cut_off) != (other in self._cut_off)

    def _deliver_until(self, end: float) -> None:
        while self._under_way and self._under_way[0][0] <= end:
            self.now, _, delivery = heapq.heappop(self._under_way)
            node = self._by_address.get(delivery.to)
            if node is not None:
                self._receive(node, delivery)

    def _receive(self, node: Node, delivery: _Delivery) -> None:
        # What reaches a paused node is aged when it wakes, and the bus drops it.
        if node.paused_until is not None:
            return
        if delivery.expected is not None and delivery.expected != node.incarnation:
            return
        started = time.process_time()
        message = PEER.decode(delivery.data)
        node.protocol.receive(message, self.now)  # type: ignore[arg-type]
        node.busy_s += time.process_time() - started
        node.received_bytes += delivery.size
        self._send_all(node)
