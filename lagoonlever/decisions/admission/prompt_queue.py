"""Order in which prompts get capacity at the engines of one service, and which are rejected.

A burst of prompts may coincide with a crash of a quarter of the engines. Urgent and patient
callers compete for the same capacity, through many VMs that each see only few of them. Prompts
that are sent at once queue inside engines, first come first served, even where another engine is
about to become free. Prompts that are rejected at once include callers who could have waited for
seconds. So a prompt that no engine can start soon enough waits in this queue, and is sent as soon
as an engine can start it.

Prompts that can still meet their objective go first, sorted by the latest start that meets it. If
the queue can't start all of these in time, they are sorted by rank first, and one start in four
goes to the prompt that has waited longest behind a more urgent class. Next are interrupted
streams, whose prompt needs another prefill: their pause is already too long. Prompts that have
missed their objective go last.
"""

from __future__ import annotations

import enum
import math
from collections import deque

import attrs

from lagoonlever.decisions.admission.capacity import CapacityRequest, RejectedWithRetryAfter

RENEWAL_TIMEOUT_S = 0.75
"""A prompt is dropped if its VM has not renewed its request for this long."""
MAX_CONSECUTIVE_URGENT_STARTS = 3
"""After this many starts ahead of a waiting lower class, one start goes to that class."""
RATE_WINDOW_S = 2.0
MIN_BUSY_S = 1.0
"""A queue that has been non-empty for less than this has no measured start rate."""
MIN_STARTS_PER_S = 0.5
"""Lower bound of the start rate, which also applies when no start was seen."""
STALL_TIMEOUT_S = 1.0
"""A non-empty queue without a start for this long is bypassed, as its view of capacity is wrong."""
STALL_TIMEOUT_PREFILLS = 3.0
"""The same timeout in prefills that the engines could have done, for few or slow engines."""
WAIT_DISCOUNT = 0.8
"""Factor on an expected wait: lost engines come back, and some callers leave the queue."""
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_SHARE = 1 / 3
"""A retry is due within this share of the caller's remaining time, so an answer can still end."""


class PriorityClass(enum.IntEnum):
    """Class of a queued prompt; lower values go first."""

    IN_TIME = 0
    INTERRUPTED = 1
    """The caller has received part of the answer; the prompt needs another prefill."""
    LATE = 2


@attrs.frozen(kw_only=True)
class QueuedPromptId:
    """Identity of a queued prompt: the VM that requested capacity, and its request's number."""

    vm: str
    number: int


@attrs.define(kw_only=True)
class QueuedPrompt:
    """Prompt in the queue; times are seconds of this VM's monotonic clock."""

    prompt_id: QueuedPromptId
    request: CapacityRequest
    enqueued_at: float
    renewed_at: float
    """Time at which its VM last requested capacity for it."""
    interrupted: bool = False

    def priority_class(self, now: float) -> PriorityClass:
        """Return the class that decides its place in the order."""
        if self.interrupted:
            return PriorityClass.INTERRUPTED
        return PriorityClass.IN_TIME if now <= self.request.start_by else PriorityClass.LATE


@attrs.define(kw_only=True)
class StartRate:
    """Measured rate, in prompts per second, at which engines take prompts from a busy queue.

    Only starts from a queue that is not empty count: starts from an empty queue are limited by
    demand and say nothing about the engines.
    """

    _starts: deque[float] = attrs.field(factory=deque)
    _busy_since: float | None = None

    def mark_busy(self, now: float) -> None:
        """Record that the queue is not empty."""
        if self._busy_since is None:
            self._busy_since = now

    def mark_empty(self) -> None:
        """Record that the queue is empty, and discard the starts seen so far."""
        self._busy_since = None
        self._starts.clear()

    def record_start(self, now: float) -> None:
        """Record that an engine was given a prompt."""
        self._starts.append(now)

    def idle_s(self, now: float) -> float:
        """Return the seconds for which prompts have waited without a start."""
        if self._busy_since is None:
            return 0.0
        last = self._starts[-1] if self._starts else self._busy_since
        return now - max(last, self._busy_since)

    def starts_per_s(self, now: float, *, max_per_s: float) -> float:
        """Return the expected start rate; ``max_per_s`` is the prefill rate of the engines left.

        Without a measurement the engines' prefill rate is used.
        """
        since = self._busy_since
        if since is None or now - since < MIN_BUSY_S:
            return max(MIN_STARTS_PER_S, max_per_s)
        window_s = min(RATE_WINDOW_S, now - since)
        while self._starts and now - self._starts[0] > window_s:
            self._starts.popleft()
        return max(MIN_STARTS_PER_S, min(max_per_s, len(self._starts) / window_s))


@attrs.define(kw_only=True)
class PromptQueue:
    """Prompts that wait for capacity at the engines of one service."""

    _waiting: dict[QueuedPromptId, QueuedPrompt] = attrs.field(factory=dict)
    _rate: StartRate = attrs.field(factory=StartRate)
    _ahead: dict[QueuedPromptId, int] = attrs.field(factory=dict)
    """Number of prompts ahead of each, as of the last call of ``order``."""
    _urgent_starts: int = 0
    """Consecutive starts of prompts while others waited behind a more urgent class."""

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, prompt_id: QueuedPromptId) -> bool:
        return prompt_id in self._waiting

    @property
    def waiting(self) -> tuple[QueuedPrompt, ...]:
        """The queued prompts, in no particular order."""
        return tuple(self._waiting.values())

    def enqueue_or_renew(self, prompt: QueuedPrompt) -> bool:
        """Add a prompt to the queue, or renew one that is queued; return whether it is new.

        A renewal keeps the times of the first request, as a later message may have been delayed.
        """
        known = self._waiting.get(prompt.prompt_id)
        if known is not None:
            known.renewed_at = prompt.renewed_at
            return False
        self._waiting[prompt.prompt_id] = prompt
        self._rate.mark_busy(prompt.renewed_at)
        return True

    def remove(self, prompt_id: QueuedPromptId) -> None:
        """Remove a prompt, if it is queued."""
        self._waiting.pop(prompt_id, None)
        if not self._waiting:
            self._rate.mark_empty()

    def expire(self, now: float) -> tuple[QueuedPrompt, ...]:
        """Remove and return the prompts whose VM has not renewed them in time."""
        silent = tuple(w for w in self._waiting.values() if now - w.renewed_at > RENEWAL_TIMEOUT_S)
        for prompt in silent:
            self.remove(prompt.prompt_id)
        return silent

    def unfinishable(self, now: float) -> tuple[QueuedPrompt, ...]:
        """Return the prompts whose answers can no longer end before their callers' deadlines."""
        return tuple(w for w in self._waiting.values() if now > w.request.end_by)

    def order(self, now: float, *, max_per_s: float) -> list[QueuedPrompt]:
        """Return all queued prompts, the next one first.

        ``max_per_s`` is the number of prompts per second that the engines can prefill.
        """
        in_time = [
            w for w in self._waiting.values() if w.priority_class(now) is PriorityClass.IN_TIME
        ]
        in_time.sort(key=lambda w: (w.request.start_by, w.request.rank, w.request.request_id))
        if not self._can_start_all_in_time(in_time, now, max_per_s):
            in_time.sort(key=lambda w: w.request.rank)
        others = [
            w for w in self._waiting.values() if w.priority_class(now) is not PriorityClass.IN_TIME
        ]
        others.sort(
            key=lambda w: (
                w.priority_class(now),
                w.request.rank,
                w.request.arrived_at,
                w.request.request_id,
            )
        )
        ordered = in_time + others
        starved = (
            self._behind_urgent(now) if self._urgent_starts >= MAX_CONSECUTIVE_URGENT_STARTS else []
        )
        if starved:
            oldest = min(starved, key=lambda w: (w.request.arrived_at, w.request.request_id))
            ordered.remove(oldest)
            ordered.insert(0, oldest)
        self._ahead = {w.prompt_id: number for number, w in enumerate(ordered)}
        return ordered

    def record_start(self, prompt_id: QueuedPromptId, now: float) -> None:
        """Record that a prompt was given to an engine, and remove it from the queue."""
        behind = self._behind_urgent(now)
        is_urgent = bool(behind) and all(w.prompt_id != prompt_id for w in behind)
        self._urgent_starts = self._urgent_starts + 1 if is_urgent else 0
        self._rate.record_start(now)
        self.remove(prompt_id)

    def is_stalled(self, now: float, *, max_per_s: float) -> bool:
        """Check whether prompts have waited for the stall timeout without a start."""
        timeout_s = max(STALL_TIMEOUT_S, STALL_TIMEOUT_PREFILLS / max(max_per_s, MIN_STARTS_PER_S))
        return self._rate.idle_s(now) >= timeout_s

    def rejection(
        self, prompt_id: QueuedPromptId, now: float, *, max_per_s: float
    ) -> RejectedWithRetryAfter | None:
        """Return a rejection if the prompt can't start in time, with the time to retry after.

        A prompt that has already missed its objective, or is interrupted, may wait for as long
        as its answer can still end before the caller's deadline.
        """
        prompt = self._waiting[prompt_id]
        ordered = self.order(now, max_per_s=max_per_s)
        per_s = self._rate.starts_per_s(now, max_per_s=max_per_s)
        ahead = min(ordered.index(prompt), self._starts_until_share(prompt, now))
        in_time = prompt.priority_class(now) is PriorityClass.IN_TIME
        start_by = prompt.request.start_by if in_time else prompt.request.end_by
        if now + WAIT_DISCOUNT * ahead / per_s <= start_by:
            return None
        max_retry_after_s = max(
            MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_SHARE * (prompt.request.end_by - now)
        )
        return RejectedWithRetryAfter(
            detail=f"{ahead} prompts go first, and engines begin {per_s:.1f} a second",
            retry_after_s=min(max_retry_after_s, max(MIN_RETRY_AFTER_S, len(ordered) / per_s)),
        )

    def count_ahead(self, prompt_id: QueuedPromptId) -> int:
        """Return how many prompts were ahead when the order was last computed; 0 if not known."""
        return self._ahead.get(prompt_id, 0)

    def _can_start_all_in_time(
        self, ordered: list[QueuedPrompt], now: float, max_per_s: float
    ) -> bool:
        """Check whether all prompts, started in this order at the usual rate, meet ``start_by``.

        The waits are not reduced by ``WAIT_DISCOUNT``, which applies to rejections only.
        """
        per_s = self._rate.starts_per_s(now, max_per_s=max_per_s)
        return all(now + n / per_s <= w.request.start_by for n, w in enumerate(ordered))

    def _starts_until_share(self, prompt: QueuedPrompt, now: float) -> float:
        """Return the starts until a prompt gets one of those that less urgent ones have.

        Infinity for a prompt that has no share of its own: of the most urgent ones, or late.
        """
        behind = self._behind_urgent(now)
        if prompt not in behind:
            return math.inf
        own = (prompt.request.arrived_at, prompt.request.request_id)
        older = sum((w.request.arrived_at, w.request.request_id) < own for w in behind)
        return (older + 1) * (MAX_CONSECUTIVE_URGENT_STARTS + 1) - 1

    def _behind_urgent(self, now: float) -> list[QueuedPrompt]:
        """Return the prompts of other than the most urgent class and rank; late ones excluded."""
        classes = {
            w.prompt_id: (w.priority_class(now), w.request.rank) for w in self._waiting.values()
        }
        if not classes:
            return []
        first = min(classes.values())
        return [
            w
            for w in self._waiting.values()
            if classes[w.prompt_id] > first and classes[w.prompt_id][0] is not PriorityClass.LATE
        ]


def max_prefills_per_s(engines: int, prefill_s: float) -> float:
    """Return the prompts per second that ``engines`` can prefill at ``prefill_s`` seconds each."""
    return engines / prefill_s if prefill_s > 0 else math.inf
