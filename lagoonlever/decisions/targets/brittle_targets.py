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
    """The newest report of each target that has ever been brittle."""

    _reports: dict[str, BrittleReport] = attrs.field(factory=dict)

    @property
    def in_force(self) -> dict[str, BrittleReport]:
        """The reports of the targets that are brittle now."""
        reports = self._reports.items()
        return {target: r for target, r in reports if r.refusals_per_s is not None}

    def borne_by(self, target: str) -> int | None:
        """Return how many refusals a second a target bears, or None if it isn't brittle."""
        report = self._reports.get(target)
        return report.refusals_per_s if report is not None else None

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

    def retain(self, targets: Collection[str]) -> None:
        """Remove the reports of all other targets."""
        for target in self._reports.keys() - set(targets):
            del self._reports[target]
