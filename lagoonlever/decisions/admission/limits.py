"""The limits of one node of the settings tree, and how overload is told."""

from __future__ import annotations

import math
import random

import attrs

from lagoonlever.outcomes import NotRun, Reason

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
JITTER = 0.25
"""Callers told at the same time come back spread over this part of the interval, either way."""


@attrs.frozen(kw_only=True)
class NodeLimits:
    """What the requests below one node may use."""

    max_running: int = 10_000
    """Requests running at once, counted over all VMs."""
    queue_bound: int = 1_000
    """Requests waiting at one VM."""
    max_queue_wait_s: float = 10.0


def retry_after_s(drain_s: float, rng: random.Random) -> float:
    """Give a jittered time to come back for a queue that drains in ``drain_s`` seconds."""
    bounded = min(max(drain_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return bounded * rng.uniform(1.0 - JITTER, 1.0 + JITTER)


def retry_after_pause_s(rest_s: float, rng: random.Random) -> float:
    """Give when a caller is to come back after a rest, later than it and apart from others."""
    spread_s = max(MIN_RETRY_AFTER_S, JITTER * rest_s)
    return min(rest_s, MAX_RETRY_AFTER_S) + rng.uniform(0.0, spread_s)


def overloaded_outcome(message: str, *, drain_s: float, rng: random.Random) -> NotRun:
    """Give the final answer to a request that can't be served in its time."""
    if not math.isfinite(drain_s):
        drain_s = MAX_RETRY_AFTER_S
    return NotRun(
        reason=Reason.OVERLOADED,
        message=message,
        retry_after_s=round(retry_after_s(drain_s, rng), 2),
    )
