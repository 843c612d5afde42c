"""Counts what the peer bus sends, receives and drops, to hold against the budget for control."""

from __future__ import annotations

import enum

import attrs

MESSAGE_OVERHEAD_BYTES = 4
"""What ZeroMQ adds to a message of two parts, each shorter than 256 bytes."""


class DropReason(enum.Enum):
    """Why a message was dropped."""

    OUTBOX_FULL = "outbox-full"
    EXPIRED_UNSENT = "expired-unsent"
    EXPIRED_RECEIVED = "expired-received"
    OTHER_INCARNATION = "other-incarnation"
    UNREADABLE = "unreadable"
    NO_ROOM = "no-room"


@attrs.define(kw_only=True)
class Count:
    """Messages and bytes of one kind."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Count one message."""
        self.messages += 1
        self.bytes += size


@attrs.define(kw_only=True)
class Traffic:
    """All counts of one bus, by the tag of the message class."""

    sent: dict[str, Count] = attrs.field(factory=dict)
    received: dict[str, Count] = attrs.field(factory=dict)
    dropped: dict[DropReason, int] = attrs.field(factory=dict)
    connections_opened: int = 0
    open_connections: int = 0

    def count_sent(self, tag: str, size: int) -> None:
        """Count a message that was handed to the transport."""
        self.sent.setdefault(tag, Count()).add(size)

    def count_received(self, tag: str, size: int) -> None:
        """Count a message that was read."""
        self.received.setdefault(tag, Count()).add(size)

    def count_dropped(self, reason: DropReason) -> None:
        """Count a message that was dropped."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
