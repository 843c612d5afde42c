"""Which streams are refused before anything of them is sent, and what their callers are told."""

from __future__ import annotations

import random

import attrs
import logbook

from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.admission.prompt_admission import random_retry_after_s
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.streams.run_placement import Overloaded
from lagoonlever.decisions.streams.stream_lifecycle import (
    GiveUp,
    PlaceAttempt,
    ResumeFromCopy,
    StreamLifecycle,
    WaitForEngine,
)
from lagoonlever.decisions.streams.stream_time import RemainingStream
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.last_requests import MESSAGE, LastRequests
from lagoonlever.gateway.messages import NO_ASK
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

RETURN_SPREAD = 0.2
"""Of a time to come back, over which callers are spread that were refused together."""
LEAST_LEFT_S = 0.6
"""A return with less has no time for a connection, a slot, and the events that it lacks."""


@attrs.define(kw_only=True, eq=False)
class StreamAdmission:
    """Judges each step of a stream by what was learnt of the engines."""

    _beliefs: Beliefs
    _timers: TimerService
    _rng: random.Random
    _last: LastRequests

    def refusal(
        self,
        accepted: Accepted,
        life: StreamLifecycle,
        step: PlaceAttempt | ResumeFromCopy | WaitForEngine,
    ) -> GiveUp | None:
        """Return why a step is not taken, or None if it is."""
        remaining = self._remaining(accepted, life, step)
        if not self._can_end(accepted, life, remaining):
            return GiveUp(detail="it can't end in time")
        return self.refusal_as_vm_leaves(accepted, life, step)

    def refusal_as_vm_leaves(
        self,
        accepted: Accepted,
        life: StreamLifecycle,
        step: PlaceAttempt | ResumeFromCopy | WaitForEngine,
    ) -> GiveUp | None:
        """Return why a step is not taken by a VM that stops, or None if it is.

        A stream of which the caller has the beginning goes on here until the end of this VM.
        """
        remaining = self._remaining(accepted, life, step)
        if life.response_started or self._can_begin(accepted, remaining):
            return None
        return GiveUp(
            detail=MESSAGE,
            retry_after_s=self._last.choose_retry_after_s(),
            leaving=True,
        )

    def _remaining(
        self,
        accepted: Accepted,
        life: StreamLifecycle,
        step: PlaceAttempt | ResumeFromCopy | WaitForEngine,
    ) -> RemainingStream:
        ask = accepted.caller.ask or NO_ASK
        cached = isinstance(step, ResumeFromCopy) or (
            isinstance(step, PlaceAttempt) and bool(step.prefer)
        )
        return RemainingStream(
            prompt_tokens=ask.prompt_tokens,
            output_tokens=ask.expected_tokens,
            position=life.position or 0,
            event_tokens=self._beliefs.engine_limits(accepted.service).event_tokens,
            cached=cached,
        )

    def _can_begin(self, accepted: Accepted, remaining: RemainingStream) -> bool:
        """Check whether this VM may begin a stream, by the longest that it may take."""
        longest = attrs.evolve(
            remaining, output_tokens=(accepted.caller.ask or NO_ASK).output_tokens
        )
        usual = self._beliefs.book.timings.usual(accepted.service)
        return self._last.can_begin_stream(accepted, seconds=longest.max_time_s(usual))

    @MECHANISMS.register(
        "hopeless-refusal",
        does="a stream that no engine could end in its caller's time is refused at once",
        without="it is tried, and broken off when its time is over",
        plain=gives(True),
    )
    def _can_end(
        self, accepted: Accepted, life: StreamLifecycle, remaining: RemainingStream
    ) -> bool:
        """Check whether a stream could end in its time on an idle engine."""
        left_s = accepted.left_s(self._timers.now)
        if life.position and left_s < LEAST_LEFT_S:
            return False
        fastest = self._beliefs.book.timings.lower_bound(accepted.service)
        return remaining.min_time_s(fastest) <= left_s

    def turned_away(self, refused: RejectedWithRetryAfter) -> GiveUp:
        """Return why a prompt is refused that the line for engines can't reach in its time."""
        spread = self._rng.uniform(1.0, 1.0 + RETURN_SPREAD)
        return GiveUp(
            detail=refused.detail,
            retry_after_s=refused.retry_after_s * spread,
        )

    def overloaded(self, accepted: Accepted, load: Overloaded) -> GiveUp:
        """Return why a new prompt is refused while engines read for too much of their time."""
        events.PROMPT_REFUSED.log(
            log,
            request=accepted.request_id,
            service=accepted.service,
            share=round(load.share, 3),
            most=round(load.most, 3),
        )
        return GiveUp(
            detail=f"engines read for {load.share:.0%} of their time already",
            retry_after_s=random_retry_after_s(self._rng),
        )
