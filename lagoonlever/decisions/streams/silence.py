"""Decides whether the silence of one attempt means that its engine has lost the run.

An engine that crashes with its sockets closed is detected at once. One that becomes
unreachable, or loses a response, is only silent, and a VM has too few streams on one engine to
compare them. So a silence longer than the usual gap between events makes the VM query the
engine for its load report. The query costs little compared with a stream that pauses too long,
and a live engine answers within milliseconds and reports whether it still runs the request.

The threshold of silence follows the gaps of the stream itself, within the pause that callers
accept: an engine that produces an event every 30 ms alone needs 230 ms for one while it
prefills a prompt of another run, and both are twice as long on engines half as fast. Gaps as
long as the recent ones do not cause a query.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import attrs

MIN_SUSPECT_S = 0.12
"""Minimum silence before a query, in seconds: four events of an idle engine."""
QUERY_SHARE_OF_PAUSE = 0.5
"""Share of the accepted pause after which the engine is queried.

The other half is left for the query and the resume.
"""
DEFAULT_MAX_PAUSE_S = 0.7
"""Maximum pause between events that callers accept, in seconds, if the operators' configuration
sets none."""
QUERY_AFTER_GAPS = 2.5
"""Number of mean gaps after which the engine is queried, within the limits above."""
USUAL_GAPS = 1.3
"""Number of mean gaps that never cause a query, however little is left of the accepted pause.

Without this limit, engines that produced an event every 0.46 s were queried before each event:
3,202 queries in a day of 160 streams.
"""
GAP_AVERAGE_WEIGHT = 0.3
"""Weight of a new gap in the exponential moving average of the gaps."""
FIRST_QUERY_S = 0.4
"""Minimum silence before the first event, in seconds, until the engine is queried.

Also the factor of the usual prefill time after which it is queried if that is longer, as an
engine is silent while it prefills a prompt.
"""
FIRST_QUERY_INTERVAL_FACTOR = 1.5
"""Interval between queries before the first event, as a factor of the delay of the first one."""
MAX_QUERY_SHARE_OF_OBJECTIVE = 0.25
"""Maximum delay of the first query, as a share of the time objective of the first event.

The rest of the time is needed because the prompt may have to be prefilled on another engine.
"""
FLOWING_QUERY_INTERVAL_S = 0.25
"""Interval between queries after the first event, in seconds."""
CUT_QUERY_INTERVAL_S = 0.1
"""Interval between queries in seconds where only they show whether the engine produces events.

Reports are about as old.
"""
UNLISTED_TIMEOUT_S = 0.5
"""Silence in seconds after which a run that the engine's report does not list is lost.

Reports are up to some hundred milliseconds old, so a shorter silence proves nothing.
"""
UNDELIVERED_EVENTS = 3
"""Number of events produced but not received that shows that the engine does not send them."""
UNDELIVERED_TIMEOUT_S = 0.6
"""Minimum silence in seconds before undelivered events count as a loss."""


@dataclass(frozen=True, kw_only=True)
class WaitUntil:
    """Step: nothing to do before the time ``at``."""

    at: float


@dataclass(frozen=True, kw_only=True)
class QueryEngine:
    """Step: query the engine for its load report."""


@dataclass(frozen=True, kw_only=True)
class AttemptLost:
    """Step: abandon the attempt as lost, for ``reason``."""

    reason: str
    unanswered: bool = False
    """Whether the engine did not answer the query."""


SilenceStep = WaitUntil | QueryEngine | AttemptLost


class RunStatus(enum.Enum):
    """State of a run according to its engine's load report."""

    NO_REPORT = "none"
    """The engine did not answer the query."""
    RUNNING = "running"
    """The report lists the run."""
    NOT_LISTED = "not-there"
    """The report does not list the run."""
    ENGINE_RESTARTED = "started-again"
    """The engine was restarted as a new process, which has no earlier runs."""
    QUEUED = "queued"
    """The engine has queued requests, and the run may be one of them."""
    PREEMPTED = "preempted"
    """The run waits to be prefilled again, while another engine holds a copy of it."""


@attrs.define(kw_only=True, eq=False)
class SilenceDetector:
    """Decides when the engine of one attempt is queried and when the attempt is lost.

    Points in time are seconds of the monotonic clock.
    """

    _sent_at: float
    _first_query_s: float = FIRST_QUERY_S
    _max_pause_s: float = DEFAULT_MAX_PAUSE_S
    """Maximum pause between events that the callers accept, in seconds."""
    _last_event_at: float = attrs.field(default=attrs.Factory(lambda self: self._sent_at, True))
    _query_at: float = attrs.field(
        default=attrs.Factory(lambda self: self._sent_at + self._first_query_s, True)
    )
    _flowing: bool = False
    _mean_gap_s: float = 0.05
    _unanswered: int = 0
    _suspected: bool = False
    _loss_reason: str | None = None

    def silence_s(self, now: float) -> float:
        """Return the seconds since the last event, or since the request was sent."""
        return now - self._last_event_at

    def record_event(self, now: float) -> None:
        """Record an event of the attempt and schedule the next query."""
        if self._flowing:
            self._mean_gap_s += GAP_AVERAGE_WEIGHT * (now - self._last_event_at - self._mean_gap_s)
        self._flowing = True
        self._last_event_at = now
        self._unanswered = 0
        self._query_at = now + self._query_delay_s

    def query_at_once(self, now: float) -> None:
        """Query at once, because other streams lost this engine or engines near it.

        One unanswered query is then enough to treat the attempt as lost.
        """
        self._query_at = min(self._query_at, now)
        self._suspected = True

    def next_step(self, now: float) -> SilenceStep:
        """Return the step to take at ``now``."""
        if self._loss_reason is not None:
            return AttemptLost(reason=self._loss_reason, unanswered=self._unanswered > 0)
        if now < self._query_at:
            return WaitUntil(at=self._query_at)
        return QueryEngine()

    def record_status(
        self, status: RunStatus, now: float, *, events_ahead: int = 0, path_cut: bool = False
    ) -> None:
        """Record the run's status as the engine reported it at ``now``.

        ``events_ahead`` is the number of events that the engine produced and this VM has not
        received. With ``path_cut`` the report came by way of another VM, as this one has lost its
        path to the engine: an event that was not received is then not merely late.
        """
        silent_s = now - self._last_event_at
        if status is RunStatus.NO_REPORT:
            self._unanswered += 1
            if self._flowing or self._suspected or self._unanswered > 1:
                self._loss_reason = f"silent for {silent_s:.2f} s and does not answer"
            self._query_at = now
            return
        self._unanswered = 0
        self._suspected = False
        if status is RunStatus.ENGINE_RESTARTED:
            self._loss_reason = f"silent for {silent_s:.2f} s, and its engine has started again"
        elif status is RunStatus.PREEMPTED:
            self._loss_reason = f"silent for {silent_s:.2f} s, and its engine has preempted it"
        elif status is RunStatus.NOT_LISTED and silent_s >= UNLISTED_TIMEOUT_S:
            self._loss_reason = f"silent for {silent_s:.2f} s and does not run it"
        elif self._is_undelivered(events_ahead, silent_s, path_cut=path_cut):
            self._loss_reason = f"silent for {silent_s:.2f} s with {events_ahead} events made"
        self._query_at = now + self._query_interval_s(path_cut=path_cut)

    def _is_undelivered(self, events_ahead: int, silent_s: float, *, path_cut: bool) -> bool:
        """Check whether the engine has produced events that will not arrive any more."""
        if path_cut:
            return events_ahead > 0
        return events_ahead >= UNDELIVERED_EVENTS and silent_s >= UNDELIVERED_TIMEOUT_S

    def _query_interval_s(self, *, path_cut: bool) -> float:
        if path_cut:
            return CUT_QUERY_INTERVAL_S
        if self._flowing:
            return FLOWING_QUERY_INTERVAL_S
        return FIRST_QUERY_INTERVAL_FACTOR * self._first_query_s

    @property
    def _query_delay_s(self) -> float:
        """Silence in seconds after which the engine is queried."""
        max_s = QUERY_SHARE_OF_PAUSE * self._max_pause_s
        usual_s = max(MIN_SUSPECT_S, QUERY_AFTER_GAPS * self._mean_gap_s)
        return max(min(max_s, usual_s), USUAL_GAPS * self._mean_gap_s)


def first_query_delay_s(*, usual_reading_s: float, objective_s: float) -> float:
    """Return the silence before the first event, in seconds, after which an engine is queried.

    ``usual_reading_s`` is the usual prefill time, ``objective_s`` the time within which the
    first event should arrive.
    """
    delay_s = max(FIRST_QUERY_S, FIRST_QUERY_S * usual_reading_s)
    return max(FIRST_QUERY_S, min(delay_s, MAX_QUERY_SHARE_OF_OBJECTIVE * objective_s))
