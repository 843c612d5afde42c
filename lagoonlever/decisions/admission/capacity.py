"""Requests for capacity at the targets of a service, and their outcomes.

Streams and calls use the same request. Granted work is sent to its target at once. Queued work
holds no connection to a target and has not run. Rejected work never runs, so that its caller
can safely send it again.
"""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class CapacityRequest:
    """Request for capacity; times are seconds of the requesting VM's monotonic clock."""

    request_id: str
    service: str
    rank: int
    """Urgency of the request; 0 is the most urgent."""
    arrived_at: float
    start_by: float
    """Latest start at which the answer still meets its latency objective."""
    end_by: float
    """Time at which the caller's deadline passes."""
    repeatable: bool = False
    organisation: str | None = None


@attrs.frozen(kw_only=True)
class CapacityGranted:
    """Permission to send the work to a target now; the capacity is reserved for a short time."""

    target: str


@attrs.frozen(kw_only=True)
class QueuedForCapacity:
    """Answer that the work waits; the requester is notified, or asks again after ``seconds``."""

    seconds: float
    ahead: int = 0
    """Number of queued requests of the same service that went first when this was decided."""


@attrs.frozen(kw_only=True)
class RejectedWithRetryAfter:
    """Answer that no target can start the work in time; retry after ``retry_after_s``."""

    detail: str
    retry_after_s: float


CapacityOutcome = CapacityGranted | QueuedForCapacity | RejectedWithRetryAfter
