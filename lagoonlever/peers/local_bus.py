"""An in-memory bus for tests and benchmarks: the same interface, with loss and cuts to order."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import TypeVar

import attrs
import trio

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.interface import DEFAULT_TTL_S
from lagoonlever.peers.messages import PEER, Received
from lagoonlever.peers.subscriptions import DEFAULT_CAPACITY, Subscriptions
from lagoonlever.peers.traffic import Traffic

T = TypeVar("T")


@attrs.define(kw_only=True)
class LocalNetwork:
    """Connects local buses; ``loss`` and ``duplication`` are shares of the messages."""

    _random: Random
    loss: float = 0.0
    duplication: float = 0.0
    _buses: dict[Address, LocalBus] = attrs.field(factory=dict, init=False)
    _cuts: set[frozenset[Address]] = attrs.field(factory=set, init=False)

    def attach(self, bus: LocalBus) -> None:
        """Connect a bus; one that comes back at an address replaces the former."""
        self._buses[bus.address] = bus

    def cut(self, one: Address, other: Address) -> None:
        """Lose every message between two addresses."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """End every cut."""
        self._cuts.clear()

    def carry(
        self, *, sender: LocalBus, to: Address, data: bytes, expected: Incarnation | None
    ) -> None:
        """Deliver at once, unless lost or cut."""
        receiver = self._buses.get(to)
        if receiver is None or self._buses.get(sender.address) is not sender:
            return
        if frozenset((sender.address, to)) in self._cuts or self._random.random() < self.loss:
            return
        if expected is not None and expected != receiver.own:
            return
        copies = 2 if self._random.random() < self.duplication else 1
        for _ in range(copies):
            receiver.take(sender=sender.own, data=data)


@attrs.define(kw_only=True, eq=False)
class LocalBus:
    """One VM's end of a local network."""

    _own: Incarnation
    _address: Address
    _network: LocalNetwork
    traffic: Traffic = attrs.field(factory=Traffic)
    _subscriptions: Subscriptions = attrs.field(factory=Subscriptions, init=False)

    def __attrs_post_init__(self) -> None:
        self._network.attach(self)

    @property
    def own(self) -> Incarnation:
        """The incarnation that this bus sends as."""
        return self._own

    @property
    def address(self) -> Address:
        """The address that peers send to."""
        return self._address

    def send(
        self,
        to: Address,
        message: object,
        *,
        expected: Incarnation | None = None,
        ttl_s: float = DEFAULT_TTL_S,
    ) -> None:
        """Send without waiting; the message is encoded as on the real bus."""
        self._carry((to,), message, expected=expected)

    def send_to_all(self, addresses: Iterable[Address], message: object) -> None:
        """Send one message to many VMs without waiting, encoded once."""
        self._carry(addresses, message)

    def _carry(
        self, addresses: Iterable[Address], message: object, *, expected: Incarnation | None = None
    ) -> None:
        tag, data = PEER.tag_of(message), PEER.encode(message)
        for to in addresses:
            self.traffic.count_sent(tag, len(data))
            self._network.carry(sender=self, to=to, data=data, expected=expected)

    def subscribe(
        self, message_class: type[T], *, capacity: int = DEFAULT_CAPACITY
    ) -> trio.MemoryReceiveChannel[Received[T]]:
        """Give a channel of the received messages of one class; news is dropped when full."""
        return self._subscriptions.add(message_class, capacity=capacity)

    def take(self, *, sender: Incarnation, data: bytes) -> None:
        """Hand a carried message to the subscribers."""
        message = PEER.decode(data)
        self.traffic.count_received(PEER.tag_of(message), len(data))
        self._subscriptions.deliver(sender=sender, message=message)
