"""Estimates of the targets' load, from load reports and from this VM's own requests.

Targets share their machines with others, and are several times slower for periods of some 0.6 s.
A VM gets a report of each target only every few seconds, and sends requests to it meanwhile. A
choice by the last report alone would send all requests to the target that was idle then. So an
estimate is the newest report, plus the requests that this VM has sent since, minus those that
have ended since. A reported slowdown counts for as long as such a period lasts. Whatever a target
reports, the estimate counts at least the requests that this VM has open there.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import attrs

from lagoonlever.decisions.targets.load_estimate import LoadEstimate, LoadSource
from lagoonlever.decisions.targets.reported_load import USUAL_SLOWNESS, LoadReport

SLOWDOWN_DURATION_S = 0.6
"""How long a machine that targets share with others is slow at a time."""
ENDED_KEPT_S = 2.0
"""How long the end of a request is remembered.

A load report of before the end arrives from another VM within this time, and still counts the
request.
"""
INITIAL_DRIFT = 4.0
"""By how many requests the count of a target is assumed to drift within a second.

It holds until the drift of the target was observed.
"""
DRIFT_WEIGHT = 0.2
"""The weight of the newest observation in the moving average of a target's drift."""
MIN_REPORT_SPACING_S = 0.02
"""Reports that are closer in time are not used to observe the drift, as they measure it badly."""


@attrs.frozen(kw_only=True)
class SentTicket:
    """The handle of one request that this VM has sent to a target, by which its end is recorded."""

    target: str
    number: int


@attrs.frozen(kw_only=True)
class _EndedRequest:
    sent_at: float
    ended_at: float

    def is_counted_by(self, report: LoadReport) -> bool:
        """Check whether a report counts the request, which has ended since."""
        return self.sent_at <= report.at < self.ended_at


@attrs.define(kw_only=True)
class _TargetState:
    """What is known of one process of a target."""

    report: LoadReport | None = None
    """The newest load report."""
    source: LoadSource = LoadSource.NONE
    reports_slowness: bool = False
    open: dict[int, float] = attrs.field(factory=dict)
    """When each open request of this VM was sent, by the number of its ticket."""
    ended: list[_EndedRequest] = attrs.field(factory=list)
    drift: float = INITIAL_DRIFT
    """The average error of the count one second after a report, in requests."""

    def count_since(self, report: LoadReport) -> float:
        """Return the number of requests by a report and by what this VM sent and ended since."""
        sent = sum(at > report.at for at in self.open.values())
        gone = sum(each.is_counted_by(report) for each in self.ended)
        return report.load.running + report.load.waiting + sent - gone

    def forget_ended(self, now: float) -> None:
        """Remove requests that ended long ago, but not those that the newest report counts."""
        report = self.report
        self.ended = [
            each
            for each in self.ended
            if now - each.ended_at <= ENDED_KEPT_S
            or (report is not None and each.is_counted_by(report))
        ]

    def update_drift(self, report: LoadReport) -> None:
        """Update the drift by how much the estimate differs from a new report.

        The error is taken to grow with the square root of the time between two reports.
        """
        if self.report is None or report.at - self.report.at < MIN_REPORT_SPACING_S:
            return
        reported = report.load.running + report.load.waiting
        error = abs(reported - self.count_since(self.report)) / (report.at - self.report.at) ** 0.5
        self.drift += DRIFT_WEIGHT * (error - self.drift)


@attrs.define(kw_only=True)
class TargetLoads:
    """The loads of all targets; times are seconds of the monotonic clock."""

    _states: dict[str, _TargetState] = attrs.field(factory=dict)
    _restarted_at: dict[str, float] = attrs.field(factory=dict)
    """When this VM noticed that a target had restarted; older reports of it are ignored."""
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def targets(self) -> tuple[str, ...]:
        """Every target that is known, sorted by id."""
        return tuple(sorted(self._states))

    def record_report(self, report: LoadReport, *, asked_at: float | None = None) -> bool:
        """Record a load report that a target gave in an answer; return whether it is used.

        ``asked_at`` is when the request was sent. A request of before the target restarted was
        answered by its former process, so its report is ignored, as is one that is not newer
        than the known report.
        """
        asked = report.at if asked_at is None else asked_at
        return self._record(report, LoadSource.ANSWER, asked_at=asked)

    def record_relayed_report(self, report: LoadReport) -> bool:
        """Record a load report that another VM passed on; return whether it is used."""
        return self._record(report, LoadSource.RELAYED, asked_at=report.at)

    def record_sent(self, target: str, now: float) -> SentTicket:
        """Record that a request is sent to a target; return the ticket to record its end by."""
        ticket = SentTicket(target=target, number=next(self._numbers))
        self._state(target).open[ticket.number] = now
        return ticket

    def record_ended(self, ticket: SentTicket, now: float) -> None:
        """Record that a request has ended.

        Has no effect for a second time, or after the target restarted.
        """
        state = self._states.get(ticket.target)
        sent_at = state.open.pop(ticket.number, None) if state else None
        if state is None or sent_at is None:
            return
        state.ended.append(_EndedRequest(sent_at=sent_at, ended_at=now))
        state.forget_ended(now)

    def record_restart(self, target: str, now: float) -> None:
        """Record that a target restarted: the new process has no requests and no reports."""
        self._states.pop(target, None)
        self._restarted_at[target] = now

    def retain(self, targets: frozenset[str]) -> None:
        """Remove all other targets, but keep those at which this VM has open requests."""
        for target, state in list(self._states.items()):
            if target not in targets and not state.open:
                del self._states[target]
        for target in self._restarted_at.keys() - targets:
            del self._restarted_at[target]

    def latest_report(self, target: str) -> LoadReport | None:
        """Return the newest load report of a target's present process, or None."""
        state = self._states.get(target)
        return state.report if state else None

    def open_requests(self, target: str) -> int:
        """Return the number of open requests of this VM at a target."""
        state = self._states.get(target)
        return len(state.open) if state else 0

    def reports_slowness(self, target: str) -> bool:
        """Check whether the target's present process reports its machine's slowdown factor."""
        state = self._states.get(target)
        return state is not None and state.reports_slowness

    def slowness(self, target: str, now: float) -> float:
        """Return the slowdown factor of a target's machine.

        The reported factor returns linearly to the usual 1.0 within ``SLOWDOWN_DURATION_S``.
        """
        state = self._states.get(target)
        reported = state.report.load.slowness if state and state.report else None
        if state is None or state.report is None or reported is None:
            return USUAL_SLOWNESS
        left = max(0.0, 1.0 - (now - state.report.at) / SLOWDOWN_DURATION_S)
        return USUAL_SLOWNESS + (reported - USUAL_SLOWNESS) * min(1.0, left)

    def estimate(self, target: str, now: float) -> LoadEstimate:
        """Return the estimated load of a target.

        Without any report only this VM's open requests count, and their number is also used as
        the number of slots.
        """
        state = self._states.get(target, _TargetState())
        own, report = len(state.open), state.report
        if report is None:
            return LoadEstimate(running=own, waiting=0.0, slots=max(1, own))
        count = max(float(own), state.count_since(report), 0.0)
        full = report.load.running if report.load.waiting > 0 else report.load.slots
        running = min(count, full)
        age_s = max(0.0, now - report.at)
        return LoadEstimate(
            running=running,
            waiting=count - running,
            slots=report.load.slots,
            slowness=self.slowness(target, now),
            age_s=age_s,
            error=min(state.drift * age_s**0.5, max(count, report.load.slots)),
            source=state.source,
        )

    def _record(self, report: LoadReport, source: LoadSource, *, asked_at: float) -> bool:
        if asked_at < self._restarted_at.get(report.target, float("-inf")):
            return False
        state = self._state(report.target)
        if state.report is not None and report.at <= state.report.at:
            return False
        state.update_drift(report)
        state.report, state.source = report, source
        state.reports_slowness = report.load.reports_slowness
        return True

    def _state(self, target: str) -> _TargetState:
        return self._states.setdefault(target, _TargetState())
