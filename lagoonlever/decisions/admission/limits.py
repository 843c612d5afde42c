"""Limits of one node of the settings tree, and the answers that report overload to callers."""

from __future__ import annotations

import math
import random

import attrs

from lagoonlever.outcomes import NotRun, Reason

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
JITTER = 0.25
"""Retry times are spread over this share of the interval, so that callers rejected at the same
time don't return together."""


@attrs.frozen(kw_only=True)
class NodeLimits:
    """Limits on the requests of one node of the settings tree and of the nodes below it."""

    max_running: int = 10_000
    """Number of requests running at once, counted over all VMs."""
    queue_bound: int = 1_000
    """Number of requests waiting at one VM."""
    max_queue_wait_s: float = 10.0


def retry_after_s(drain_s: float, rng: random.Random) -> float:
    """Return a jittered retry time for a queue that drains in ``drain_s`` seconds.

    It is up to a quarter shorter or longer than ``drain_s`` within the bounds.
    """
    bounded = min(max(drain_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return bounded * rng.uniform(1.0 - JITTER, 1.0 + JITTER)


def retry_after_pause_s(pause_s: float, rng: random.Random) -> float:
    """Return a jittered retry time after a pause of ``pause_s`` seconds, never before its end."""
    spread_s = max(MIN_RETRY_AFTER_S, JITTER * pause_s)
    return min(pause_s, MAX_RETRY_AFTER_S) + rng.uniform(0.0, spread_s)


def overloaded_outcome(message: str, *, drain_s: float, rng: random.Random) -> NotRun:
    """Return the final answer to a request that can't be served in its time."""
    if not math.isfinite(drain_s):
        drain_s = MAX_RETRY_AFTER_S
    return NotRun(
        reason=Reason.OVERLOADED,
        message=message,
        retry_after_s=round(retry_after_s(drain_s, rng), 2),
    )
