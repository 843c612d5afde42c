"""Records in the log and the metrics how requests ended."""

from __future__ import annotations

import attrs
import logbook

from lagoonlever.decisions.streams.stream_lifecycle import StreamLifecycle
from lagoonlever.gateway import events, metrics
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.tally import Tally
from lagoonlever.http.messages import Request
from lagoonlever.outcomes import NotRun, Reason
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

NO_KIND = "none"
"""The kind of a request that no route was found for."""
NO_ORGANISATION = "none"


@attrs.frozen(kw_only=True)
class Ending:
    """How a request ended, as the log and the metrics tell it."""

    status: int
    """0 where the caller got no answer."""
    outcome: str
    detail: str
    reason: Reason | None = None
    """Why the caller, which stayed, has no whole answer; None where it has."""


@attrs.define(kw_only=True, eq=False)
class Reporter:
    """One line and one count for each request; shared by all that serve them."""

    timers: TimerService
    tally: Tally = attrs.field(factory=Tally)

    def refused(
        self,
        request: Request,
        request_id: str | None,
        outcome: NotRun,
        *,
        accepted: Accepted | None = None,
    ) -> None:
        """Record a request that was refused at once; without ``accepted`` no route was found."""
        ending = Ending(
            status=int(outcome.status),
            outcome=outcome.tag.value,
            detail=outcome.message,
            reason=outcome.reason,
        )
        self._ended_early(request, request_id, ending, accepted=accepted, seconds=0.0)

    def left(self, accepted: Accepted) -> None:
        """Record a request whose caller left before it was decided whether it may run."""
        ending = Ending(status=0, outcome="caller-gone", detail="the caller left while it waited")
        self._ended_early(
            accepted.exchange.request,
            accepted.request_id,
            ending,
            accepted=accepted,
            seconds=self.timers.now - accepted.arrived,
        )

    def _ended_early(
        self,
        request: Request,
        request_id: str | None,
        ending: Ending,
        *,
        accepted: Accepted | None,
        seconds: float,
    ) -> None:
        """Record a request that was never served."""
        kind = NO_KIND if accepted is None else accepted.route.kind.value
        organisation = None if accepted is None else accepted.organisation
        self._count(kind, organisation, ending)
        events.REQUEST_ENDED.log(
            log,
            request=request_id,
            route=request.target if accepted is None else accepted.route.name,
            organisation=organisation,
            status=ending.status,
            outcome=ending.outcome,
            seconds=seconds,
            allowed_s=None,
            attempts=0,
            target=None,
            detail=ending.detail,
        )

    def call_ended(
        self, accepted: Accepted, ending: Ending, *, attempts: int, target: str | None
    ) -> None:
        """Record a call with one whole answer."""
        seconds = self._count_end(accepted, ending)
        self.tally.record(metrics.CALL_LATENCY, seconds, accepted.route.kind.value)
        events.REQUEST_ENDED.log(
            log,
            request=accepted.request_id,
            route=accepted.route.name,
            organisation=accepted.organisation,
            status=ending.status,
            outcome=ending.outcome,
            seconds=seconds,
            allowed_s=round(accepted.deadline - accepted.arrived, 3),
            attempts=attempts,
            target=target,
            detail=ending.detail,
        )

    def stream_ended(self, accepted: Accepted, ending: Ending, life: StreamLifecycle) -> None:
        """Record a stream, with what its caller saw of its pace."""
        seconds = self._count_end(accepted, ending)
        first_at = life.timing.first_at
        first_s = None if first_at is None else first_at - accepted.arrived
        if first_s is not None:
            self.tally.record(metrics.FIRST_EVENT_LATENCY, first_s)
            self.tally.record(metrics.LONGEST_PAUSE, life.timing.longest_pause_s)
        events.STREAM_ENDED.log(
            log,
            request=accepted.request_id,
            route=accepted.route.name,
            organisation=accepted.organisation,
            status=ending.status,
            outcome=ending.outcome,
            seconds=seconds,
            allowed_s=round(accepted.deadline - accepted.arrived, 3),
            attempts=life.sent_attempts,
            position=life.position,
            first_s=first_s,
            pause_s=life.timing.longest_pause_s,
            detail=ending.detail,
        )

    def attempt_ended(self, accepted: Accepted, result: str) -> None:
        """Count an attempt by what became of it."""
        self.tally.add(metrics.ATTEMPTS, accepted.route.kind.value, result)

    def _count_end(self, accepted: Accepted, ending: Ending) -> float:
        """Count the end of a request, and give the seconds since its arrival."""
        self._count(accepted.route.kind.value, accepted.organisation, ending)
        return self.timers.now - accepted.arrived

    def _count(self, kind: str, organisation: str | None, ending: Ending) -> None:
        self.tally.add(metrics.REQUESTS, kind, ending.outcome)
        if ending.reason is not None:
            named = organisation or NO_ORGANISATION
            self.tally.add(metrics.UNSERVED, kind, named, ending.reason.value)
