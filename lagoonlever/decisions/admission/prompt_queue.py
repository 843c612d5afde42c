"""In which order prompts get room at the engines of one service, and which can't in their time.

The load that is answered: bursts of prompts meet a crash of a quarter of the engines. Urgent
and patient callers ask for the same room, at many VMs that each see few of them. Sent at once
they queue inside engines, first come first served, while another engine is soon ready; refused
at once, callers who could have waited for seconds go away unserved. So a prompt that no engine
can begin well now waits here, and goes out when one can.

The order: by the latest start with which the first event is in time. If the line can't reach
all of them, by rank first, and one place in four goes to who waits longest behind a more urgent
kind. Then runs whose prompt is read again: their pause is too long already. Then who is late.
"""

from __future__ import annotations

import enum
import math
from collections import deque

import attrs

from lagoonlever.decisions.admission.capacity import CapacityRequest, RejectedWithRetryAfter

RENEWAL_TIMEOUT_S = 0.75
"""A prompt that its VM has not asked for again within this time is dropped."""
OTHERS_FIRST = 3
"""Places that go past those of lower rank, before one of them is next."""
RATE_WINDOW_S = 2.0
LEAST_BUSY_S = 1.0
"""A line that was there for less tells no rate of its own."""
LEAST_PER_S = 0.5
"""Starts a second that are counted on even when none was seen."""
STALLED_S = 1.0
"""Without a start, work is placed as if there were no line: what is known of room is wrong."""
STALLED_READINGS = 3.0
"""The same in prompts that the engines could have read, where they are few or slow."""
SURELY = 0.8
"""Of an expected wait: engines that were lost come back, and some callers go away."""
MIN_RETRY_AFTER_S = 0.5
MOST_RETURN_PART = 1 / 3
"""Of the caller's time that is left; by then an answer still has time to be made."""


class PriorityClass(enum.IntEnum):
    """What goes before what."""

    IN_TIME = 0
    BROKEN_OFF = 1
    """Its caller has a part of the answer; its prompt is read anew."""
    LATE = 2


@attrs.frozen(kw_only=True)
class QueuedPromptId:
    """Whose place it is: the question of a VM."""

    vm: str
    number: int


@attrs.define(kw_only=True)
class QueuedPrompt:
    """One prompt in line; times are seconds of this VM's monotonic clock."""

    prompt_id: QueuedPromptId
    request: CapacityRequest
    enqueued_at: float
    renewed_at: float
    """When its VM last asked for it."""
    interrupted: bool = False

    def priority_class(self, now: float) -> PriorityClass:
        """Tell what it goes before."""
        if self.interrupted:
            return PriorityClass.BROKEN_OFF
        return PriorityClass.IN_TIME if now <= self.request.start_by else PriorityClass.LATE


@attrs.define(kw_only=True)
class LineRate:
    """How many prompts a second engines take from a line that is never empty."""

    _begun: deque[float] = attrs.field(factory=deque)
    _busy_since: float | None = None

    def busy(self, now: float) -> None:
        """Note that somebody waits."""
        if self._busy_since is None:
            self._busy_since = now

    def empty(self) -> None:
        """Note that nobody waits: what begins now tells nothing of what engines could take."""
        self._busy_since = None
        self._begun.clear()

    def begun(self, now: float) -> None:
        """Note a start."""
        self._begun.append(now)

    def idle_s(self, now: float) -> float:
        """Give how long somebody has waited and nobody was begun."""
        if self._busy_since is None:
            return 0.0
        last = self._begun[-1] if self._begun else self._busy_since
        return now - max(last, self._busy_since)

    def per_s(self, now: float, *, most: float) -> float:
        """Give the rate to count on; ``most`` is what the engines that are left can read."""
        since = self._busy_since
        if since is None or now - since < LEAST_BUSY_S:
            return max(LEAST_PER_S, most)
        window_s = min(RATE_WINDOW_S, now - since)
        while self._begun and now - self._begun[0] > window_s:
            self._begun.popleft()
        return max(LEAST_PER_S, min(most, len(self._begun) / window_s))


@attrs.define(kw_only=True)
class PromptQueue:
    """The prompts that wait for room at one service's engines."""

    _waiting: dict[QueuedPromptId, QueuedPrompt] = attrs.field(factory=dict)
    _rate: LineRate = attrs.field(factory=LineRate)
    _ahead: dict[QueuedPromptId, int] = attrs.field(factory=dict)
    _passed: int = 0
    """Places given past those who wait behind a more urgent kind, one after the other."""

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, place: QueuedPromptId) -> bool:
        return place in self._waiting

    @property
    def waiting(self) -> tuple[QueuedPrompt, ...]:
        """Who waits, in no order."""
        return tuple(self._waiting.values())

    def enqueue_or_renew(self, asked: QueuedPrompt) -> bool:
        """Take a prompt into the line, or note that its VM still wants it; tells if it is new.

        The first figures of its times stay: those of a later message may have been under way.
        """
        known = self._waiting.get(asked.prompt_id)
        if known is not None:
            known.renewed_at = asked.renewed_at
            return False
        self._waiting[asked.prompt_id] = asked
        self._rate.busy(asked.renewed_at)
        return True

    def remove(self, place: QueuedPromptId) -> None:
        """Take out a prompt that is wanted no more."""
        self._waiting.pop(place, None)
        if not self._waiting:
            self._rate.empty()

    def expire(self, now: float) -> tuple[QueuedPrompt, ...]:
        """Take out, and give, those whose VM was not heard of late."""
        silent = tuple(w for w in self._waiting.values() if now - w.renewed_at > RENEWAL_TIMEOUT_S)
        for waiting in silent:
            self.remove(waiting.prompt_id)
        return silent

    def unfinishable(self, now: float) -> tuple[QueuedPrompt, ...]:
        """Give those that could not end in their callers' time any more."""
        return tuple(w for w in self._waiting.values() if now > w.request.end_by)

    def order(self, now: float, *, most_per_s: float) -> list[QueuedPrompt]:
        """Give all who wait, the next one first; ``most_per_s`` is what engines can read."""
        in_time = [
            w for w in self._waiting.values() if w.priority_class(now) is PriorityClass.IN_TIME
        ]
        in_time.sort(key=lambda w: (w.request.start_by, w.request.rank, w.ask.request))
        if not self._reaches_all(in_time, now, most_per_s):
            in_time.sort(key=lambda w: w.request.rank)
        others = [
            w for w in self._waiting.values() if w.priority_class(now) is not PriorityClass.IN_TIME
        ]
        others.sort(
            key=lambda w: (w.priority_class(now), w.request.rank, w.request.arrived, w.ask.request)
        )
        ordered = in_time + others
        behind = self._behind(now) if self._passed >= OTHERS_FIRST else []
        if behind:
            oldest = min(behind, key=lambda w: (w.request.arrived_at, w.request.request))
            ordered.remove(oldest)
            ordered.insert(0, oldest)
        self._ahead = {w.prompt_id: number for number, w in enumerate(ordered)}
        return ordered

    def record_start(self, place: QueuedPromptId, now: float) -> None:
        """Note that a prompt has got a place, and take it out."""
        behind = self._behind(now)
        passes = bool(behind) and all(w.prompt_id != place for w in behind)
        self._passed = self._passed + 1 if passes else 0
        self._rate.begun(now)
        self.remove(place)

    def is_stalled(self, now: float, *, most_per_s: float) -> bool:
        """Tell whether somebody has waited for long and nobody was begun."""
        longest_s = max(STALLED_S, STALLED_READINGS / max(most_per_s, LEAST_PER_S))
        return self._rate.idle_s(now) >= longest_s

    def rejection(
        self, place: QueuedPromptId, now: float, *, most_per_s: float
    ) -> RejectedWithRetryAfter | None:
        """Give why the line can't reach a prompt in its time, and when there will be room.

        Who is late in any case waits as long as an answer can still be made.
        """
        waiting = self._waiting[place]
        ordered = self.order(now, most_per_s=most_per_s)
        per_s = self._rate.per_s(now, most=most_per_s)
        ahead = ordered.index(waiting)
        in_time = waiting.priority_class(now) is PriorityClass.IN_TIME
        start_by = waiting.request.start_by if in_time else waiting.request.end_by
        if now + SURELY * ahead / per_s <= start_by:
            return None
        longest_s = max(MIN_RETRY_AFTER_S, MOST_RETURN_PART * (waiting.request.end_by - now))
        return RejectedWithRetryAfter(
            detail=f"{ahead} prompts go first, and engines begin {per_s:.1f} a second",
            retry_after_s=min(longest_s, max(MIN_RETRY_AFTER_S, len(ordered) / per_s)),
        )

    def count_ahead(self, place: QueuedPromptId) -> int:
        """Count those who went before a prompt when the order was last worked out."""
        return self._ahead.get(place, 0)

    def _reaches_all(self, ordered: list[QueuedPrompt], now: float, most_per_s: float) -> bool:
        per_s = self._rate.per_s(now, most=most_per_s)
        return all(now + n / per_s <= w.request.start_by for n, w in enumerate(ordered))

    def _behind(self, now: float) -> list[QueuedPrompt]:
        """Give those who wait behind a more urgent kind, but those who are late."""
        kinds = {
            w.prompt_id: (w.priority_class(now), w.request.rank) for w in self._waiting.values()
        }
        if not kinds:
            return []
        first = min(kinds.values())
        return [
            w
            for w in self._waiting.values()
            if kinds[w.prompt_id] > first and kinds[w.prompt_id][0] is not PriorityClass.LATE
        ]


def max_prefills_per_s(engines: int, reading_s: float) -> float:
    """Give the prompts a second that so many engines can read."""
    return engines / reading_s if reading_s > 0 else math.inf
