"""Bounded queues, one per leaf of the share tree: first come first served, each with a deadline."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator

import attrs

RATE_WINDOW_S = 5.0
"""Time constant of the measured rate at which a leaf's requests leave its queue."""
MIN_BUSY_S = 1.0
"""The rate of a queue that was non-empty for less than this is not known."""


@attrs.frozen(kw_only=True)
class QueuedRequest:
    """Request in a queue; it must start by ``give_up_at`` (monotonic seconds)."""

    ticket: int
    queued_at: float
    give_up_at: float


@attrs.define(kw_only=True)
class LeafQueue:
    """Requests of one leaf that wait at this VM, and the rate at which they start."""

    entitled_rate: float | None = None
    """Starts per second by the leaf's share and its requests' running time; None if not known."""
    _waiting: deque[QueuedRequest] = attrs.field(factory=deque)
    _starts: float = 0.0
    """Number of starts, decayed over time."""
    _busy_s: float = 0.0
    """Seconds in which requests waited, decayed in the same way."""
    _measured_at: float | None = None

    @property
    def waiting(self) -> Iterator[QueuedRequest]:
        """The queued requests, oldest first."""
        return iter(self._waiting)

    def __len__(self) -> int:
        return len(self._waiting)

    def expected_wait_s(self, position: int, now: float) -> float:
        """Estimate the seconds until the request at a position (from 0) starts; 0 if not known.

        The rate is the larger one of the measured rate and of the leaf's entitled rate.
        """
        if self.entitled_rate is None:
            return 0.0
        self._measure(now)
        measured = self._starts / self._busy_s if self._busy_s >= MIN_BUSY_S else 0.0
        rate = max(measured, self.entitled_rate)
        return (position + 1) / rate if rate > 0 else math.inf

    def push(self, request: QueuedRequest) -> None:
        """Add a request at the end of the queue."""
        self._measure(request.queued_at)
        self._waiting.append(request)

    def start_next(self, now: float) -> QueuedRequest:
        """Remove and return the oldest request, which starts now, and count the start."""
        self._measure(now)
        self._starts += 1.0
        return self._waiting.popleft()

    def remove(self, ticket: int) -> bool:
        """Remove a request whose caller gave up; return False if it is not queued."""
        for request in self._waiting:
            if request.ticket == ticket:
                self._waiting.remove(request)
                return True
        return False

    def remove_unservable(self, now: float, *, patience: float) -> list[QueuedRequest]:
        """Remove and return the requests that can't start in time.

        These are past their deadline, or have an expected wait of more than ``patience`` times
        the time that is left.
        """
        removed: list[QueuedRequest] = []
        kept: deque[QueuedRequest] = deque()
        for request in self._waiting:
            left_s = request.give_up_at - now
            unservable = left_s <= 0 or self.expected_wait_s(len(kept), now) > patience * left_s
            (removed if unservable else kept).append(request)
        self._waiting = kept
        return removed

    def _measure(self, now: float) -> None:
        # Starts and busy time decay by the same factor, so that their ratio stays a rate.
        elapsed_s = 0.0 if self._measured_at is None else max(0.0, now - self._measured_at)
        self._measured_at = now if self._measured_at is None else max(now, self._measured_at)
        decay = math.exp(-elapsed_s / RATE_WINDOW_S)
        self._starts *= decay
        self._busy_s = self._busy_s * decay + (elapsed_s if self._waiting else 0.0)
