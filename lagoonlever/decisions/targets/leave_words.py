"""Targets that have said in an answer that they leave, whatever the list tells of them.

A word is of one process: another one under the same id has not said it. The list may be behind
the word, and name the process before it, where the store has come back from an older copy.
"""

from __future__ import annotations

from collections.abc import Container

import attrs

from lagoonlever.decisions.targets.listed_target import ListedTarget

FORGET_S = 60.0
"""No entry of a target that is gone is still on its way after so long."""


@attrs.frozen(kw_only=True)
class _Said:
    started_ms: int | None
    at: float

    def is_before(self, started_ms: int | None) -> bool:
        """Tell whether it is the word of an earlier process than one that started then."""
        if self.started_ms is None or started_ms is None:
            return False
        return self.started_ms < started_ms


@attrs.define(kw_only=True)
class LeaveWords:
    """Holds the words by target; times are seconds of the monotonic clock."""

    _said: dict[str, _Said] = attrs.field(factory=dict)

    @property
    def starts(self) -> dict[str, int | None]:
        """The targets that have said so, with the starts of their processes."""
        return {target: said.started_ms for target, said in self._said.items()}

    def holds(self, target: str) -> bool:
        """Tell whether a target has said that it leaves."""
        return target in self._said

    def say(self, target: str, *, started_ms: int | None, now: float) -> bool:
        """Take a target's word; gives whether it is news, and not of an earlier process."""
        said = self._said.get(target)
        if said is not None and not said.is_before(started_ms):
            return False
        self._said[target] = _Said(started_ms=started_ms, at=now)
        return True

    def forget(self, target: str) -> None:
        """Forget the word of a target whose process is another one now."""
        self._said.pop(target, None)

    def listed(self, entry: ListedTarget, *, former_start: int | None) -> None:
        """Take an entry: a word of an earlier process than it names is forgotten.

        ``former_start`` is that of the process that was known before, None if none was.
        """
        said = self._said.get(entry.id)
        if said is None:
            return
        start = former_start if said.started_ms is None else said.started_ms
        is_new = entry.has_started_again(former_start) and entry.has_started_again(start)
        if is_new or entry.is_later_than(start):
            del self._said[entry.id]

    def expire(self, now: float, *, kept: Container[str]) -> None:
        """Forget old words of targets that are not listed."""
        for target in [t for t, said in self._said.items() if now - said.at > FORGET_S]:
            if target not in kept:
                del self._said[target]
