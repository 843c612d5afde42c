"""Joins what all VMs have counted of a roll-out, by the second in which it became known."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.rollouts.evidence import AnswerCounts, AnswersBySecond, Judgement, judge
from lagoonlever.decisions.rollouts.plan import TrialProgress
from lagoonlever.decisions.rollouts.versions import RolloutPhase

Lane = tuple[str, RolloutPhase | None]
"""A kind of request, and the phase in which it went to the new version, if it did."""


@attrs.frozen(kw_only=True)
class VmCounts:
    """All that one life of a VM has counted since the order."""

    lanes: dict[Lane, AnswerCounts] = attrs.field(factory=dict)
    arrivals: dict[str, int] = attrs.field(factory=dict)
    exposed: int = 0


@attrs.define(kw_only=True)
class RolloutTotals:
    """Counts are since the order; a VM that has restarted is another life, and counts anew."""

    _vms: dict[str, VmCounts] = attrs.field(factory=dict)
    _seconds: dict[Lane, dict[int, AnswerCounts]] = attrs.field(factory=dict)

    def record_vm_counts(self, life: str, counts: VmCounts, *, elapsed_s: float) -> None:
        """Take a VM's counts; one that is older than what is known changes nothing."""
        known = self._vms.get(life, VmCounts())
        if sum(counts.arrivals.values()) < sum(known.arrivals.values()):
            return
        for lane, total in counts.lanes.items():
            new = _minus(total, known.lanes.get(lane, AnswerCounts()))
            if new is None:
                return
            if new.total:
                by_second = self._seconds.setdefault(lane, {})
                second = int(elapsed_s)
                by_second[second] = by_second.get(second, AnswerCounts()).plus(new)
        self._vms[life] = counts

    def progress(self, *, elapsed_s: float, is_moving: bool) -> TrialProgress:
        """Give where the roll-out stands."""
        arrivals: dict[str, int] = {}
        for counts in self._vms.values():
            for route, count in counts.arrivals.items():
                arrivals[route] = arrivals.get(route, 0) + count
        return TrialProgress(
            elapsed_s=elapsed_s,
            arrivals=arrivals,
            exposed=sum(counts.exposed for counts in self._vms.values()),
            judgement=self._judge(RolloutPhase.TRIAL, RolloutPhase.MOVING),
            judgement_since_move=self._judge(RolloutPhase.MOVING),
            is_moving=is_moving,
        )

    @property
    def other_version_answers(self) -> int:
        """How many good answers of targets of other versions have become known.

        A failure may be that of a connection, and tells of no target that it is there.
        """
        return sum(
            counts.total - counts.failed
            for (_, phase), by_second in self._seconds.items()
            if phase is None
            for counts in by_second.values()
        )

    def _judge(self, *phases: RolloutPhase) -> Judgement:
        kinds = {kind for kind, phase in self._seconds if phase in phases}
        return judge(
            (self._together(kind, *phases), self._together(kind, None)) for kind in sorted(kinds)
        )

    def _together(self, kind: str, *phases: RolloutPhase | None) -> AnswersBySecond:
        together: dict[int, AnswerCounts] = {}
        for phase in phases:
            for second, counts in self._seconds.get((kind, phase), {}).items():
                together[second] = together.get(second, AnswerCounts()).plus(counts)
        return AnswersBySecond(counts=together)


def _minus(total: AnswerCounts, known: AnswerCounts) -> AnswerCounts | None:
    """Give what has come since; None where the total is older."""
    classes = tuple(a - b for a, b in zip(total.classes, known.classes, strict=True))
    failed = total.failed - known.failed
    if failed < 0 or min(classes) < 0:
        return None
    return AnswerCounts(failed=failed, classes=classes)
