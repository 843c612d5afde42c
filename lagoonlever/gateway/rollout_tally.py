"""Counts, on one VM, what the versions of a service answer while one is rolled out."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.rollouts.evidence import AnswerCounts
from lagoonlever.decisions.rollouts.totals import Lane
from lagoonlever.decisions.rollouts.versions import RolloutOrder
from lagoonlever.peers.messages_rollouts import AnswerRow, RolloutCounts
from lagoonlever.revisions import Revision

AGAIN_S = 1.0
"""After which counts that have not changed are told again."""


@attrs.define(kw_only=True)
class RolloutTally:
    """All counts are since the order."""

    order: RolloutOrder
    ordered_at: Revision
    _arrivals: dict[str, int] = attrs.field(factory=dict)
    _counts: dict[Lane, AnswerCounts] = attrs.field(factory=dict)
    _exposed: int = 0
    _told: RolloutCounts | None = None
    _told_to: str | None = None
    _told_at: float = 0.0

    def arrived(self, route: str) -> None:
        """Count a request of the service."""
        self._arrivals[route] = self._arrivals.get(route, 0) + 1

    def sent_to_new(self) -> None:
        """Count a request that is sent to the new version, also one that was sent before."""
        self._exposed += 1

    def answered(self, lane: Lane, seconds: float) -> None:
        """Count a good answer."""
        self._counts[lane] = self._counts.get(lane, AnswerCounts()).with_answer(seconds)

    def failed(self, lane: Lane) -> None:
        """Count a failure of a target that lives."""
        self._counts[lane] = self._counts.get(lane, AnswerCounts()).with_failure()

    def message(self) -> RolloutCounts:
        """Return all that was counted."""
        rows = (AnswerRow.of(kind, phase, c) for (kind, phase), c in self._counts.items())
        return RolloutCounts(
            service=self.order.service,
            version=self.order.version,
            ordered_at=self.ordered_at,
            rows=tuple(rows),
            arrivals=dict(self._arrivals),
            exposed=self._exposed,
        )

    def news(self, leader: str, now: float) -> RolloutCounts | None:
        """Return all that was counted, if the VM that leads may lack some of it.

        Another one than before has heard nothing yet, and any message may be lost: a leader
        that knows too little of what a version has got would let it get too much.
        """
        message = self.message()
        is_known = message == self._told and leader == self._told_to
        if is_known and now - self._told_at < AGAIN_S:
            return None
        self._told, self._told_to, self._told_at = message, leader, now
        return message
