"""The outcomes of asking for room at the targets of a service: where, when, or not at all.

Streams and calls put the same question. Work that is given a place is sent at once; work
that waits holds no connection to a target and has not run; work that is refused never runs.
"""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class CapacityRequest:
    """What work needs to know of room; times are seconds of the asking VM's monotonic clock."""

    request_id: str
    service: str
    rank: int
    """0 is the most urgent."""
    arrived_at: float
    start_by: float
    """The latest start with which its answer is still on time."""
    end_by: float
    """When its caller's time is over."""
    repeatable: bool = False
    organisation: str | None = None


@attrs.frozen(kw_only=True)
class CapacityGranted:
    """The work goes to this target now; the place is kept for a moment."""

    target: str


@attrs.frozen(kw_only=True)
class QueuedForCapacity:
    """The work waits: it is told of its place, or asks again after ``seconds``."""

    seconds: float
    ahead: int = 0
    """Work of the same service that goes first, when this was decided."""


@attrs.frozen(kw_only=True)
class RejectedWithRetryAfter:
    """No target can begin the work in time; there will be room after ``retry_after_s``."""

    detail: str
    retry_after_s: float


CapacityOutcome = CapacityGranted | QueuedForCapacity | RejectedWithRetryAfter
