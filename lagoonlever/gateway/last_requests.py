"""Turns away what this VM can't end before it stops."""

from __future__ import annotations

import random

import attrs

from lagoonlever.decisions.fleet.departure import Departure
from lagoonlever.decisions.settings.configuration import RouteKind
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.outcomes import NotRun, Reason
from lagoonlever.timers import TimerService

RETURN_SPREAD = 0.2
"""Share of the time to come back over which callers are spread, as all hear of the same end."""
MESSAGE = "this VM stops before the request could end"


@attrs.define(kw_only=True, eq=False)
class LastRequests:
    """Judges requests by the end of this VM; before it was told to stop, nothing is turned away."""

    _beliefs: Beliefs
    _timers: TimerService
    _rng: random.Random
    departure: Departure = attrs.field(factory=Departure)

    def refusal(self, accepted: Accepted) -> NotRun | None:
        """Return why a call is not begun, or None if its answer is due before the end.

        A stream may be due long after it ends; it is judged by how long it takes.
        """
        if accepted.route.kind is RouteKind.STREAM or self.can_answer(accepted):
            return None
        return NotRun(
            reason=Reason.LEAVING, message=MESSAGE, retry_after_s=self.choose_retry_after_s()
        )

    def can_answer(self, accepted: Accepted) -> bool:
        """Check whether a call's answer, whatever it is, is due before this VM ends."""
        return not self.departure.is_over_by(accepted.deadline)

    def can_begin_stream(self, accepted: Accepted, *, seconds: float) -> bool:
        """Check whether to begin a stream that is expected to take so many seconds at most."""
        return self.departure.can_begin_stream(
            self._timers.now, seconds=seconds, resumable=accepted.route.repeatable
        )

    def choose_retry_after_s(self) -> float:
        """Return when a caller that is turned away should come back, in seconds."""
        now = self._timers.now
        fellows = self._beliefs.fellows
        after_s = self.departure.retry_after_s(
            now,
            others_serve=bool(fellows.accepting_callers(now)),
            others_left_at=fellows.leaving_since(now),
        )
        return after_s * self._rng.uniform(1.0, 1.0 + RETURN_SPREAD)
