"""Targets that report that they are brittle: they fall over if they turn away too many requests.

A brittle target may let fewer requests wait than usual, without a further word. If hundreds of
VMs then choose for themselves, the requests of one burst meet at a target that has room for a few
of them, and it is gone for all. So while a target of a service is brittle, one VM assigns the room
of the service's targets to all VMs, no request is sent that would have to wait at its target, and
a target that had to turn requests away gets none for a while.

The report holds until an answer of the target lacks it. Answers arrive in any order and at many
VMs; the newest report counts.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs

REFUSALS_WINDOW_S = 1.0
"""Window in which the refusals of a brittle target are counted, as it counts them itself."""


@attrs.define(kw_only=True)
class RecentRefusals:
    """Refusals of one target within the last ``REFUSALS_WINDOW_S``."""

    _times: dict[str, float] = attrs.field(factory=dict)
    """When each was recorded, by the id of the attempt, the oldest first."""

    def record(self, attempt: str, now: float) -> None:
        """Record once that the target, which is brittle, had no room for an attempt."""
        self._times.setdefault(attempt, now)

    def spares(self, now: float, *, borne_per_s: int) -> bool:
        """Check whether the target has turned away half of what it bears.

        The other half is for requests that are on their way to it.
        """
        for attempt in [a for a, at in self._times.items() if now - at >= REFUSALS_WINDOW_S]:
            del self._times[attempt]
        return len(self._times) >= max(1, borne_per_s // 2)


@attrs.frozen(kw_only=True)
class BrittleReport:
    """What a target reported in an answer."""

    refusals_per_s: int | None
    """Requests a second that it may turn away before it falls over; None if it isn't brittle."""
    at: float
    """When it was true, in seconds of the monotonic clock."""

    @classmethod
    def from_answer(
        cls, refusals_per_s: int | None, *, sent_at: float, now: float
    ) -> BrittleReport:
        """Return the report of an answer that has just arrived to a request sent at ``sent_at``.

        An answer that lacks the report may have been overtaken by a later one that has it, so
        it is dated by its request.
        """
        return cls(refusals_per_s=refusals_per_s, at=sent_at if refusals_per_s is None else now)


@attrs.define(kw_only=True)
class BrittleTargets:
    """The newest report of each target that has ever been brittle, and its refusals."""

    _reports: dict[str, BrittleReport] = attrs.field(factory=dict)
    _refusals: dict[str, RecentRefusals] = attrs.field(factory=dict)

    @property
    def in_force(self) -> dict[str, BrittleReport]:
        """The reports of the targets that are brittle now."""
        reports = self._reports.items()
        return {target: r for target, r in reports if r.refusals_per_s is not None}

    def borne_by(self, target: str) -> int | None:
        """Return how many refusals a second a target bears, or None if it isn't brittle."""
        report = self._reports.get(target)
        return report.refusals_per_s if report is not None else None

    def record_refusal(self, target: str, attempt: str, now: float) -> None:
        """Record that a target turned an attempt away; one that isn't brittle may do so."""
        if self.borne_by(target) is not None:
            self._refusals.setdefault(target, RecentRefusals()).record(attempt, now)

    def spared(self, now: float) -> frozenset[str]:
        """Return the brittle targets that get no more requests for now."""
        return frozenset(
            target
            for target, refusals in self._refusals.items()
            if (borne := self.borne_by(target)) is not None
            and refusals.spares(now, borne_per_s=borne)
        )

    def update(self, target: str, report: BrittleReport) -> bool:
        """Record a report; return whether it changes what the target bears."""
        known = self._reports.get(target)
        if known is None and report.refusals_per_s is None:
            return False
        if known is not None and report.at <= known.at:
            return False
        self._reports[target] = report
        return known is None or known.refusals_per_s != report.refusals_per_s

    def forget(self, target: str) -> None:
        """Remove the report of a target that has restarted as another process."""
        self._reports.pop(target, None)
        self._refusals.pop(target, None)

    def retain(self, targets: Collection[str]) -> None:
        """Remove the reports of all other targets."""
        for target in self._reports.keys() - set(targets):
            self.forget(target)
