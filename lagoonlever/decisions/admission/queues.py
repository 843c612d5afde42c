"""Bounded queues, one a leaf: first come first served, with the time by which each must start."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator

import attrs

RATE_WINDOW_S = 5.0
"""Time constant of the measured rate at which a leaf's requests leave its queue."""
MIN_BUSY_S = 1.0
"""A queue that was busy for less than this has no known rate."""


@attrs.frozen(kw_only=True)
class QueuedRequest:
    """One queued request; it must start by ``give_up_at`` (monotonic seconds)."""

    ticket: int
    queued_at: float
    give_up_at: float


@attrs.define(kw_only=True)
class LeafQueue:
    """The requests of one leaf that wait at this VM, and how fast they leave."""

    entitled_rate: float | None = None
    """Starts a second by the leaf's share and how long its requests run; None if not known."""
    _waiting: deque[QueuedRequest] = attrs.field(factory=deque)
    _starts: float = 0.0
    _busy_s: float = 0.0
    _measured_at: float | None = None

    @property
    def waiting(self) -> Iterator[QueuedRequest]:
        """The queued requests, oldest first."""
        return iter(self._waiting)

    def __len__(self) -> int:
        return len(self._waiting)

    def expected_wait_s(self, position: int, now: float) -> float:
        """Estimate seconds until the request at a position (from 0) starts; 0 if not known."""
        if self.entitled_rate is None:
            return 0.0
        self._measure(now)
        measured = self._starts / self._busy_s if self._busy_s >= MIN_BUSY_S else 0.0
        rate = max(measured, self.entitled_rate)
        return (position + 1) / rate if rate > 0 else math.inf

    def push(self, waiting: QueuedRequest) -> None:
        """Add a request behind the others."""
        self._measure(waiting.queued_at)
        self._waiting.append(waiting)

    def start_next(self, now: float) -> QueuedRequest:
        """Take out the oldest request because it starts, and learn the rate from that."""
        self._measure(now)
        self._starts += 1.0
        return self._waiting.popleft()

    def remove(self, ticket: int) -> bool:
        """Take out a request that its caller gave up; false if it is not here."""
        for waiting in self._waiting:
            if waiting.ticket == ticket:
                self._waiting.remove(waiting)
                return True
        return False

    def remove_unservable(self, now: float, *, patience: float) -> list[QueuedRequest]:
        """Take out what is past its time, or whose expected wait is ``patience`` times its time."""
        removed: list[QueuedRequest] = []
        kept: deque[QueuedRequest] = deque()
        for waiting in self._waiting:
            left_s = waiting.give_up_at - now
            hopeless = left_s <= 0 or self.expected_wait_s(len(kept), now) > patience * left_s
            (removed if hopeless else kept).append(waiting)
        self._waiting = kept
        return removed

    def _measure(self, now: float) -> None:
        # Starts and the time in which something waited fade alike, so their ratio stays a rate.
        elapsed_s = 0.0 if self._measured_at is None else max(0.0, now - self._measured_at)
        self._measured_at = now if self._measured_at is None else max(now, self._measured_at)
        fade = math.exp(-elapsed_s / RATE_WINDOW_S)
        self._starts *= fade
        self._busy_s = self._busy_s * fade + (elapsed_s if self._waiting else 0.0)
