"""Totals of a roll-out over all VMs.

Each VM reports cumulative counts since the order. The totals keep the increase between two reports
of a VM under the second in which it was received, so that the answers of the new version can be
compared with those that other versions gave in the same second.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.rollouts.evidence import AnswerCounts, AnswersBySecond, Judgement, judge
from lagoonlever.decisions.rollouts.plan import TrialProgress
from lagoonlever.decisions.rollouts.versions import RolloutPhase

Lane = tuple[str, RolloutPhase | None]
"""A kind of request, and the roll-out phase in which it was sent to the new version.

The phase is None for a request that was sent to another version.
"""


@attrs.frozen(kw_only=True)
class VmCounts:
    """Cumulative counts of one incarnation of a VM since the order."""

    lanes: dict[Lane, AnswerCounts] = attrs.field(factory=dict)
    arrivals: dict[str, int] = attrs.field(factory=dict)
    """Requests for all versions, by kind of request."""
    exposed: int = 0
    """Requests that were sent to the new version."""


@attrs.define(kw_only=True)
class RolloutTotals:
    """Totals of the counts that all VMs have reported since the order.

    A restarted VM is a new incarnation, whose counts start at zero and are added to those of the
    previous one.
    """

    _counts_by_incarnation: dict[str, VmCounts] = attrs.field(factory=dict)
    _counts_by_second: dict[Lane, dict[int, AnswerCounts]] = attrs.field(factory=dict)

    def record_vm_counts(self, incarnation: str, counts: VmCounts, *, elapsed_s: float) -> None:
        """Record the cumulative counts that a VM's incarnation has reported.

        ``elapsed_s`` is the time from the order to the receipt. A report that is older than the
        recorded one (a delayed message) is ignored, and a repeated one adds nothing.
        """
        known = self._counts_by_incarnation.get(incarnation, VmCounts())
        if sum(counts.arrivals.values()) < sum(known.arrivals.values()):
            return
        for lane, total in counts.lanes.items():
            increase = _increase(total, known.lanes.get(lane, AnswerCounts()))
            if increase is None:
                return
            if increase.total:
                by_second = self._counts_by_second.setdefault(lane, {})
                second = int(elapsed_s)
                by_second[second] = by_second.get(second, AnswerCounts()).plus(increase)
        self._counts_by_incarnation[incarnation] = counts

    def progress(self, *, elapsed_s: float, is_moving: bool) -> TrialProgress:
        """Return the state of the roll-out ``elapsed_s`` seconds after the order."""
        arrivals: dict[str, int] = {}
        for counts in self._counts_by_incarnation.values():
            for route, count in counts.arrivals.items():
                arrivals[route] = arrivals.get(route, 0) + count
        return TrialProgress(
            elapsed_s=elapsed_s,
            arrivals=arrivals,
            exposed=sum(counts.exposed for counts in self._counts_by_incarnation.values()),
            judgement=self._judge(RolloutPhase.TRIAL, RolloutPhase.MOVING),
            judgement_since_move=self._judge(RolloutPhase.MOVING),
            is_moving=is_moving,
        )

    @property
    def other_version_answers(self) -> int:
        """Number of good answers by targets of other versions.

        Failures don't count: a failure may be that of a connection, which does not show that the
        target exists.
        """
        return sum(
            counts.total - counts.failed
            for (_, phase), by_second in self._counts_by_second.items()
            if phase is None
            for counts in by_second.values()
        )

    def _judge(self, *phases: RolloutPhase) -> Judgement:
        kinds = {kind for kind, phase in self._counts_by_second if phase in phases}
        return judge(
            (self._answers_by_second(kind, *phases), self._answers_by_second(kind, None))
            for kind in sorted(kinds)
        )

    def _answers_by_second(self, kind: str, *phases: RolloutPhase | None) -> AnswersBySecond:
        combined: dict[int, AnswerCounts] = {}
        for phase in phases:
            for second, counts in self._counts_by_second.get((kind, phase), {}).items():
                combined[second] = combined.get(second, AnswerCounts()).plus(counts)
        return AnswersBySecond(counts=combined)


def _increase(total: AnswerCounts, known: AnswerCounts) -> AnswerCounts | None:
    """Return the increase from ``known`` to ``total``, or None if ``total`` is the older one."""
    classes = tuple(a - b for a, b in zip(total.classes, known.classes, strict=True))
    failed = total.failed - known.failed
    if failed < 0 or min(classes) < 0:
        return None
    return AnswerCounts(failed=failed, classes=classes)
