"""What the parts of a VM see of the peer bus; the ZeroMQ and the in-memory bus both give it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

import trio

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.messages import Received

T = TypeVar("T")

DEFAULT_TTL_S = 1.0
"""Seconds after which a message is worth nothing: peers say everything again."""


class Bus(Protocol):
    """Unreliable, unordered messages between VMs: lost rather than late."""

    @property
    def own(self) -> Incarnation:
        """The incarnation that this bus sends as."""

    @property
    def address(self) -> Address:
        """The address that peers send to."""

    def send(
        self,
        to: Address,
        message: object,
        *,
        expected: Incarnation | None = None,
        ttl_s: float = DEFAULT_TTL_S,
    ) -> None:
        """Send without waiting; dropped when full, late, or met by another incarnation."""

    def send_to_all(self, addresses: Iterable[Address], message: object) -> None:
        """Send one message to many VMs without waiting."""

    def subscribe(
        self, message_class: type[T], *, capacity: int = ...
    ) -> trio.MemoryReceiveChannel[Received[T]]:
        """Give a channel of the received messages of one class; news is dropped when full."""
