"""Which of the targets that are listed at one address are known to have been replaced there.

Only one process runs at an address. The entry of one that ended stays listed until it lapses, and
may even be written once more: a call that got no answer may be executed by the store seconds later.
So the newest entry does not show by itself which process is running. What does, from the best
evidence to the least:

- An answer: a target rejects a request that is addressed to another process by its id. The answer
  names who is running and who is not, until a later answer, a report or entries show otherwise.
- The starts of the processes, if all entries at the address name them.
- The revisions of the entries.

A target that was replaced by another entry counts as replaced for as long as that entry is there
and is the later one.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

import attrs

from lagoonlever.decisions.targets.leave_announcements import FORGET_S
from lagoonlever.decisions.targets.listed_target import ListedTarget

LATE_WRITE_S = 10.0
"""An entry that is written so long after its target was found to be replaced shows that it lives.

Calls of a process that ended may be executed for some seconds after its end.
"""


@attrs.frozen(kw_only=True)
class _Replacement:
    """Why a target counts as replaced."""

    by: str | None
    """The id of the process that runs in its place; None if it is not known."""
    answered_at: float | None = None
    """When an answer showed it, in monotonic seconds; None if the entries at its address did."""


@attrs.define(kw_only=True)
class ReplacedTargets:
    """The targets that count as replaced, by id."""

    _replacements: dict[str, _Replacement] = attrs.field(factory=dict)

    def is_replaced(self, target_id: str) -> bool:
        """Check whether another process is known to run in a target's place."""
        return target_id in self._replacements

    def record_answer(self, target_id: str, *, by: str | None, now: float) -> None:
        """Record that another process answers in a target's place."""
        self._replacements[target_id] = _Replacement(by=by, answered_at=now)

    def record_entry(self, target_id: str, now: float) -> None:
        """Record that a target's entry was written."""
        answered_at = self._answered_at(target_id)
        if answered_at is not None and now - answered_at > LATE_WRITE_S:
            self.forget(target_id)

    def compare(self, there: Sequence[ListedTarget], *, self_reported: Collection[str]) -> None:
        """Judge the targets at one address by their entries.

        ``self_reported`` are targets whose start was told at their address, and not by their entry.
        """
        possible = [target for target in there if self._answered_at(target.id) is None]
        if not possible:
            return
        running = _latest(possible, self_reported)
        for target in possible:
            if target is not running:
                self._replacements[target.id] = _Replacement(by=running.id)
        known = self._replacements.get(running.id)
        if known is not None and any(target.id == known.by for target in there):
            del self._replacements[running.id]

    def forget(self, target_id: str) -> None:
        """Record that a target lives, or that another process has its id."""
        self._replacements.pop(target_id, None)

    def remove(self, target_id: str) -> None:
        """Record that a target is gone; its entry counts against no other one any more."""
        self.forget(target_id)
        for other, known in list(self._replacements.items()):
            if known.by == target_id and known.answered_at is None:
                del self._replacements[other]

    def expire(self, now: float) -> None:
        """Forget the answers that are older than ``FORGET_S``."""
        for target_id in list(self._replacements):
            answered_at = self._answered_at(target_id)
            if answered_at is not None and now - answered_at > FORGET_S:
                self.forget(target_id)

    def _answered_at(self, target_id: str) -> float | None:
        known = self._replacements.get(target_id)
        return None if known is None else known.answered_at


def _latest(targets: Sequence[ListedTarget], self_reported: Collection[str]) -> ListedTarget:
    """Return the target whose process is the latest, by its start or else by its entry.

    Of two targets with the same start one was asked for its report, and the other one answered.
    """
    starts = [target.started_ms for target in targets if target.started_ms is not None]
    if len(starts) < len(targets):
        return max(targets, key=lambda target: target.revision)
    by_start = zip(starts, targets, strict=True)
    _, latest = max(
        by_start, key=lambda pair: (pair[0], pair[1].id not in self_reported, pair[1].revision)
    )
    return latest
