"""Attempts that were left before their answers had flowed, and whose engines may end all the same.

A request that crashes its engine does so as the answer begins. Its caller may leave just then, or
its time be over, so that nobody reads how the connection ends. So such an attempt is remembered
for a moment, until it is known what became of the engine's process:

- A crash that somebody saw, from before the engine had let go of the request, counts as if the
  attempt had gone on.
- An engine whose end is found out later, by its next life or as it takes no connection, may have
  ended after it had let go. That is a half at most.
- An engine that is suspected, as others ended under the same request or a part of it, is asked
  once it must have let go. Others are not: many callers leave, and a question is work for an
  engine.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from lagoonlever.decisions.engines.answer_stages import CrashWeights
from lagoonlever.decisions.engines.target_crashes import WEIGHT_QUEUED

T = TypeVar("T")

LINGER_S = 0.5
"""For so long at most an engine is at work on a request after it was left."""
KEPT_S = 5.0
"""How long an attempt is remembered: an engine that crashed is missed, or back, within this."""
MAX_LEFT = 256
"""Upper bound of the attempts that are remembered; beyond it the oldest are removed."""


@attrs.frozen(kw_only=True)
class LeftAttempt(Generic[T]):
    """An attempt at an engine's process; times are seconds of the monotonic clock."""

    work: T
    """What it was, for whoever counts the crash."""
    process: str
    sent_at: float
    left_at: float

    @property
    def let_go_at(self) -> float:
        """When the engine has let go of the request at the latest."""
        return self.left_at + LINGER_S

    def was_there(self, crashed_at: float) -> bool:
        """Check whether a crash of the process came while it may have worked on the request."""
        return self.sent_at <= crashed_at <= self.let_go_at


@attrs.define(kw_only=True)
class LeftAttempts(Generic[T]):
    """The attempts that were left of late, the oldest first."""

    _attempts: list[LeftAttempt[T]] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self._attempts)

    def record(self, attempt: LeftAttempt[T]) -> None:
        """Remember an attempt; the oldest one is forgotten if there are too many."""
        self._attempts.append(attempt)
        del self._attempts[:-MAX_LEFT]

    def take_crashed(self, process: str, crashed_at: float) -> tuple[T, ...]:
        """Forget the attempts at a process that has crashed; return those that were there."""
        taken = self._take(lambda attempt: attempt.process == process)
        return tuple(attempt.work for attempt in taken if attempt.was_there(crashed_at))

    def take_shown(self, is_shown: Callable[[T], bool], now: float) -> tuple[T, ...]:
        """Forget and return those let go of whose engines something says to be lost."""
        taken = self._take(lambda attempt: attempt.let_go_at <= now and is_shown(attempt.work))
        return tuple(attempt.work for attempt in taken)

    def expire(self, now: float) -> None:
        """Forget attempts that were left too long ago."""
        self._take(lambda attempt: now - attempt.left_at > KEPT_S)

    def _take(self, condition: Callable[[LeftAttempt[T]], bool]) -> list[LeftAttempt[T]]:
        taken = [attempt for attempt in self._attempts if condition(attempt)]
        if taken:
            self._attempts = [attempt for attempt in self._attempts if not condition(attempt)]
        return taken


def weigh_found_late(weights: CrashWeights) -> CrashWeights:
    """Return how much a crash counts that may have come after the engine had let go."""
    return CrashWeights(
        request=min(weights.request, WEIGHT_QUEUED), parts=min(weights.parts, WEIGHT_QUEUED)
    )
