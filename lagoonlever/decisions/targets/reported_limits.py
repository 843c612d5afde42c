"""The rate limits that overloaded targets report in their answers.

A target reports how many requests per second it accepts from all VMs together. The limit holds
until the target reports another one, or none. Answers arrive in any order and at many VMs; the
newest report counts.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs


@attrs.frozen(kw_only=True)
class LimitReport:
    """The rate limit that a target reported in an answer."""

    per_s: float | None
    """Requests per second from all VMs together; None if the target has no limit any more."""
    at: float
    """When it was true, in seconds of the monotonic clock."""

    @classmethod
    def from_answer(cls, per_s: float | None, *, sent_at: float, now: float) -> LimitReport:
        """Return the report of an answer that has just arrived.

        A report of no limit is dated by ``sent_at``, when its request was sent: the answer may
        have been overtaken by a later one that reports a limit. A report of a limit is dated by
        ``now``, when it arrived.
        """
        return cls(per_s=per_s, at=sent_at if per_s is None else now)


@attrs.define(kw_only=True)
class ReportedLimits:
    """The newest limit report of each target that has ever reported a limit."""

    _reports: dict[str, LimitReport] = attrs.field(factory=dict)

    @property
    def in_force(self) -> dict[str, LimitReport]:
        """The reports of the targets that have a limit now."""
        return {
            target: report for target, report in self._reports.items() if report.per_s is not None
        }

    def current(self, target: str) -> LimitReport | None:
        """Return the limit that a target has now, or None."""
        report = self._reports.get(target)
        return report if report is not None and report.per_s is not None else None

    def latest(self, target: str) -> LimitReport | None:
        """Return the newest report of a target, also one that there is no limit any more."""
        return self._reports.get(target)

    def update(self, target: str, report: LimitReport) -> bool:
        """Record a report; return whether it changes the limit."""
        known = self._reports.get(target)
        if known is None and report.per_s is None:
            return False
        if known is not None and report.at <= known.at:
            return False
        self._reports[target] = report
        return known is None or known.per_s != report.per_s

    def forget(self, target: str) -> None:
        """Remove the report of a target that has restarted as another process."""
        self._reports.pop(target, None)

    def retain(self, targets: Collection[str]) -> None:
        """Remove the reports of all other targets."""
        for target in self._reports.keys() - set(targets):
            del self._reports[target]
