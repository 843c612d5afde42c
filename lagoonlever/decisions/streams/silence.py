"""Whether the silence of one attempt means that its engine is lost.

An engine that crashes with its sockets closed is seen at once. One that goes dark, or
loses an answer, is only silent, and a VM has too few streams on one engine to judge by
the others. So a silence beyond the usual spacing is a reason to ask the engine for its
report: a question costs next to nothing beside a stream that pauses too long, and an
engine that lives answers in a few milliseconds and says whether the run goes on.

The load pattern: an engine that makes an event every 30 ms alone makes one every 230 ms
while it reads a prompt for somebody else, and on engines half as fast both are twice as
long. So what counts as silence follows the spacing that a stream shows, within the pause
that callers allow; a silence that the last events have shown is not asked about again.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import attrs

LEAST_SUSPECT_S = 0.12
"""Four events of an idle engine."""
PART_OF_PAUSE = 0.5
"""Of the pause that callers allow: the other half is for the question and the resume."""
PAUSE_ALLOWED_S = 0.7
"""Where the operators' configuration allows no certain pause."""
SPACINGS = 2.5
SHOWN = 1.3
"""Of the mean spacing: no silence, however little is left of the pause that callers allow.

On engines that made an event every 0.46 s each one was waited for with a question: 3,202
questions in a day of 160 streams.
"""
FADE = 0.3
"""Weight of a new gap in the mean spacing."""
FIRST_ASK_S = 0.4
"""After this, and this part of a usual reading: an engine is silent while it reads a prompt."""
FIRST_ASK_AGAIN = 1.5
"""Of the time until the first question: until the next one, while there is no event."""
PART_OF_OBJECTIVE = 0.25
"""Of the time until a first event is late: a question waits no longer, as the prompt may have
to be read elsewhere."""
FLOWING_ASK_AGAIN_S = 0.25
UNLISTED_S = 0.5
"""Reports are some hundred milliseconds old; a run that is not listed after this is lost."""
HELD_BACK_EVENTS = 3
HELD_BACK_S = 0.6
"""An engine that made this many events more than arrived, for so long, doesn't send them."""


@dataclass(frozen=True, kw_only=True)
class WaitUntil:
    """Nothing to do before this time."""

    at: float


@dataclass(frozen=True, kw_only=True)
class AskEngine:
    """Ask the engine for its report."""


@dataclass(frozen=True, kw_only=True)
class Lost:
    """The attempt is lost, and why."""

    reason: str
    unanswered: bool = False
    """The engine did not answer when it was asked."""


SilenceStep = WaitUntil | AskEngine | Lost


class Answer(enum.Enum):
    """What an engine's report says of a run."""

    NONE = "none"
    """No report came."""
    RUNNING = "running"
    NOT_THERE = "not-there"
    STARTED_AGAIN = "started-again"
    """The engine is another process by now, which has nothing of before."""
    QUEUED = "queued"
    """The engine has requests that wait; the run may be one of them."""
    PREEMPTED = "preempted"
    """It waits to be read again, and another engine holds its copy."""


@attrs.define(kw_only=True, eq=False)
class StreamSilence:
    """Judges one attempt; times are seconds of the monotonic clock."""

    _sent_at: float
    _first_ask_s: float = FIRST_ASK_S
    _pause_allowed_s: float = PAUSE_ALLOWED_S
    _last_at: float = attrs.field(default=attrs.Factory(lambda self: self._sent_at, True))
    _ask_at: float = attrs.field(
        default=attrs.Factory(lambda self: self._sent_at + self._first_ask_s, True)
    )
    _flowing: bool = False
    _spacing_s: float = 0.05
    _unanswered: int = 0
    _suspected: bool = False
    _verdict: str | None = None

    def silence_s(self, now: float) -> float:
        """Give how long the attempt has given nothing."""
        return now - self._last_at

    def event(self, now: float) -> None:
        """Note an event."""
        if self._flowing:
            self._spacing_s += FADE * (now - self._last_at - self._spacing_s)
        self._flowing = True
        self._last_at = now
        self._unanswered = 0
        self._ask_at = now + self._suspect_s

    def suspect(self, now: float) -> None:
        """Take another's loss of the engine, or of those beside it, as a reason to ask at once."""
        self._ask_at = min(self._ask_at, now)
        self._suspected = True

    def decide(self, now: float) -> SilenceStep:
        """Give the next step."""
        if self._verdict is not None:
            return Lost(reason=self._verdict, unanswered=self._unanswered > 0)
        if now < self._ask_at:
            return WaitUntil(at=self._ask_at)
        return AskEngine()

    def answered(self, answer: Answer, now: float, *, events_ahead: int = 0) -> None:
        """Take what the engine said; ``events_ahead`` it has made and we have not got."""
        silent_s = now - self._last_at
        if answer is Answer.NONE:
            self._unanswered += 1
            if self._flowing or self._suspected or self._unanswered > 1:
                self._verdict = f"silent for {silent_s:.2f} s and does not answer"
            self._ask_at = now
            return
        self._unanswered = 0
        self._suspected = False
        if answer is Answer.STARTED_AGAIN:
            self._verdict = f"silent for {silent_s:.2f} s, and its engine has started again"
        elif answer is Answer.PREEMPTED:
            self._verdict = f"silent for {silent_s:.2f} s, and its engine has preempted it"
        elif answer is Answer.NOT_THERE and silent_s >= UNLISTED_S:
            self._verdict = f"silent for {silent_s:.2f} s and does not run it"
        elif events_ahead >= HELD_BACK_EVENTS and silent_s >= HELD_BACK_S:
            self._verdict = f"silent for {silent_s:.2f} s with {events_ahead} events made"
        first_again_s = FIRST_ASK_AGAIN * self._first_ask_s
        self._ask_at = now + (FLOWING_ASK_AGAIN_S if self._flowing else first_again_s)

    @property
    def _suspect_s(self) -> float:
        most_s = PART_OF_PAUSE * self._pause_allowed_s
        usual_s = max(LEAST_SUSPECT_S, SPACINGS * self._spacing_s)
        return max(min(most_s, usual_s), SHOWN * self._spacing_s)


def first_ask_s(*, usual_reading_s: float, objective_s: float) -> float:
    """Give how long an engine may be silent before the first event, until it is asked."""
    later_s = max(FIRST_ASK_S, FIRST_ASK_S * usual_reading_s)
    return max(FIRST_ASK_S, min(later_s, PART_OF_OBJECTIVE * objective_s))
