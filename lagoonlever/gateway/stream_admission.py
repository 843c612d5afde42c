"""Which streams are refused before anything of them is sent, and what their callers are told."""

from __future__ import annotations

import random

import attrs
import logbook

from lagoonlever.decisions.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.prompt_admission import admits, come_back_s, most_share
from lagoonlever.decisions.stream_life import (
    GiveUp,
    Place,
    ResumeFrom,
    StreamLife,
    WaitForEngine,
)
from lagoonlever.decisions.stream_time import least_time_s
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.messages import NO_ASK
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

LEAST_LEFT_S = 0.6
"""A return with less has no time for a connection, a slot, and the events that it lacks."""


@attrs.define(kw_only=True, eq=False)
class StreamAdmission:
    """Judges each step of a stream by what was learnt of the engines."""

    _beliefs: Beliefs
    _timers: TimerService
    _rng: random.Random

    def refusal(
        self, accepted: Accepted, life: StreamLife, step: Place | ResumeFrom | WaitForEngine
    ) -> GiveUp | None:
        """Give why a step is not taken, or None where it is."""
        if not self._can_end(accepted, life, step):
            return GiveUp(may_have_run=life.runs > 0, detail="it can't end in time")
        if isinstance(step, WaitForEngine) or life.sent or life.position:
            return None
        return self._overload(accepted)

    @MECHANISMS.register(
        "hopeless-refusal",
        does="a stream that no engine could end in its caller's time is refused at once",
        without="it is tried, and broken off when its time is over",
        plain=gives(True),
    )
    def _can_end(
        self, accepted: Accepted, life: StreamLife, step: Place | ResumeFrom | WaitForEngine
    ) -> bool:
        """Tell whether a stream could end in its time on an idle engine."""
        ask = accepted.caller.ask or NO_ASK
        cached = isinstance(step, ResumeFrom) or (isinstance(step, Place) and bool(step.prefer))
        left_s = accepted.left_s(self._timers.now)
        if life.position and left_s < LEAST_LEFT_S:
            return False
        least_s = least_time_s(
            pace=self._beliefs.book.paces.fastest(accepted.service),
            prompt_tokens=ask.prompt_tokens,
            output_tokens=ask.expected_tokens,
            position=life.position or 0,
            event_tokens=self._beliefs.engine_limits(accepted.service).event_tokens,
            cached=cached,
        )
        return least_s <= left_s

    def _overload(self, accepted: Accepted) -> GiveUp | None:
        """Refuse a new prompt while engines read so much that answers can't end in time."""
        service = accepted.service
        load = self._beliefs.book.reading_load(
            service, engines=len(self._beliefs.targets.serving(service)), now=self._timers.now
        )
        most = self._most_share(accepted)
        if most is None or admits(load, most=most):
            return None
        events.PROMPT_REFUSED.log(
            log,
            request=accepted.request_id,
            service=service,
            share=round(load.share, 3),
            most=round(most, 3),
        )
        return GiveUp(
            may_have_run=False,
            detail=f"engines read for {load.share:.0%} of their time already",
            retry_after_s=come_back_s(self._rng),
        )

    def _most_share(self, accepted: Accepted) -> float | None:
        """Give the part of the engines' time that may go into reading; None if not known.

        By the time that usual callers have. By what is left to this one, callers that came
        back after a loss with five seconds were refused while engines read for a quarter of
        their time.
        """
        paces, service = self._beliefs.book.paces, accepted.service
        making_s = paces.usual_making_s(service)
        if making_s is None:
            return None
        return most_share(
            making_s=making_s,
            reading_s=paces.usual_reading_s(service),
            allowed_s=accepted.route.timeout_s,
            slowdown=paces.slowdown(service),
        )
