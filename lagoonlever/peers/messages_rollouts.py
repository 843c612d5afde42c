"""What gateways tell each other of roll-outs: words of who leads one, and counts of answers."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.rollouts.evidence import AnswerCounts
from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutPhase, RolloutState
from lagoonlever.peers.messages import PEER
from lagoonlever.revisions import Revision


@PEER.message("ro")
@attrs.frozen(kw_only=True)
class RolloutWord:
    """What every VM does until the next word, which it needs within a second."""

    service: str
    version: str
    duration_s: float
    ordered_at: Revision
    elapsed_s: float
    """Since the order."""
    phase: RolloutPhase
    state: RolloutState
    shares: dict[str, float] = attrs.field(factory=dict)
    """Of each route, how many requests go to the version on trial."""


@PEER.message("rq")
@attrs.frozen(kw_only=True)
class RolloutAsked:
    """Asks for what was seen of an order; a VM that saw it, or its end, answers by a word."""

    service: str
    version: str
    duration_s: float
    ordered_at: Revision

    @property
    def order(self) -> RolloutOrder:
        """The order as this VM has read it."""
        return RolloutOrder(service=self.service, version=self.version, duration_s=self.duration_s)


@attrs.frozen(kw_only=True)
class AnswerRow:
    """Answers of one kind of request."""

    kind: str
    phase: RolloutPhase | None
    """In which requests went to the new version; None for those to the old one."""
    failed: int
    classes: dict[int, int]
    """Good answers by the class of their duration."""

    @classmethod
    def of(cls, kind: str, phase: RolloutPhase | None, counts: AnswerCounts) -> AnswerRow:
        """Make the row of some counts."""
        classes = {number: count for number, count in enumerate(counts.classes) if count}
        return cls(kind=kind, phase=phase, failed=counts.failed, classes=classes)

    @property
    def counts(self) -> AnswerCounts:
        """The row as counts; classes that no release knows are left out."""
        counts = AnswerCounts(failed=max(0, self.failed))
        classes = list(counts.classes)
        for number, count in self.classes.items():
            if 0 <= number < len(classes):
                classes[number] = max(0, count)
        return attrs.evolve(counts, classes=tuple(classes))


@PEER.message("rc")
@attrs.frozen(kw_only=True)
class RolloutCounts:
    """All that one VM has counted since an order, so that a lost message harms nothing."""

    service: str
    version: str
    ordered_at: Revision
    rows: tuple[AnswerRow, ...]
    arrivals: dict[str, int]
    """Requests by route, of all versions."""
    exposed: int
    """Requests that were sent to the new version."""
