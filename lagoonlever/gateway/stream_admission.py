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
from lagoonlever.decisions.streams.stream_time import min_time_s
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
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

    def refusal(
        self,
        accepted: Accepted,
        life: StreamLifecycle,
        step: PlaceAttempt | ResumeFromCopy | WaitForEngine,
    ) -> GiveUp | None:
        """Give why a step is not taken, or None where it is."""
        if not self._can_end(accepted, life, step):
            return GiveUp(may_have_run=life.possible_runs > 0, detail="it can't end in time")
        return None

    @MECHANISMS.register(
        "hopeless-refusal",
        does="a stream that no engine could end in its caller's time is refused at once",
        without="it is tried, and broken off when its time is over",
        plain=gives(True),
    )
    def _can_end(
        self,
        accepted: Accepted,
        life: StreamLifecycle,
        step: PlaceAttempt | ResumeFromCopy | WaitForEngine,
    ) -> bool:
        """Tell whether a stream could end in its time on an idle engine."""
        ask = accepted.caller.ask or NO_ASK
        cached = isinstance(step, ResumeFromCopy) or (
            isinstance(step, PlaceAttempt) and bool(step.prefer)
        )
        left_s = accepted.left_s(self._timers.now)
        if life.position and left_s < LEAST_LEFT_S:
            return False
        least_s = min_time_s(
            pace=self._beliefs.book.timings.lower_bound(accepted.service),
            prompt_tokens=ask.prompt_tokens,
            output_tokens=ask.expected_tokens,
            position=life.position or 0,
            event_tokens=self._beliefs.engine_limits(accepted.service).event_tokens,
            cached=cached,
        )
        return least_s <= left_s

    def turned_away(self, refused: RejectedWithRetryAfter) -> GiveUp:
        """Give why a prompt is refused that the line for engines can't reach in its time."""
        spread = self._rng.uniform(1.0, 1.0 + RETURN_SPREAD)
        return GiveUp(
            may_have_run=False,
            detail=refused.detail,
            retry_after_s=refused.retry_after_s * spread,
        )

    def overloaded(self, accepted: Accepted, load: Overloaded) -> GiveUp:
        """Give why a new prompt is refused while engines read for too much of their time."""
        events.PROMPT_REFUSED.log(
            log,
            request=accepted.request_id,
            service=accepted.service,
            share=round(load.share, 3),
            most=round(load.most, 3),
        )
        return GiveUp(
            may_have_run=False,
            detail=f"engines read for {load.share:.0%} of their time already",
            retry_after_s=random_retry_after_s(self._rng),
        )
