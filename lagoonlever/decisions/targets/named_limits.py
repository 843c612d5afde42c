"""The limits that targets in need name in their answers.

A target names how many requests a second it takes from all VMs together, for as long as it
says so. Answers arrive in any order and at many VMs; the newest word counts.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs


@attrs.frozen(kw_only=True)
class LimitWord:
    """What an answer said of its target's limit."""

    per_s: float | None
    """Requests a second; None where the target names no limit any more."""
    at: float
    """When it was true, in seconds of the monotonic clock."""

    @classmethod
    def of_answer(cls, per_s: float | None, *, sent_at: float, now: float) -> LimitWord:
        """Give the word of an answer that has just come.

        That there is no limit is only known of the time before the answer, which may have been
        overtaken by one that names it: it counts as of when its request was sent.
        """
        return cls(per_s=per_s, at=sent_at if per_s is None else now)


@attrs.define(kw_only=True)
class NamedLimits:
    """The last word of each target that has ever named a limit."""

    _words: dict[str, LimitWord] = attrs.field(factory=dict)

    @property
    def in_force(self) -> dict[str, LimitWord]:
        """The words of the targets that name a limit now."""
        return {target: word for target, word in self._words.items() if word.per_s is not None}

    def of(self, target: str) -> LimitWord | None:
        """Give the limit that a target names now, or None."""
        word = self._words.get(target)
        return word if word is not None and word.per_s is not None else None

    def last(self, target: str) -> LimitWord | None:
        """Give the last word of a target, also that it names no limit any more."""
        return self._words.get(target)

    def learn(self, target: str, word: LimitWord) -> bool:
        """Take a word; gives whether it changes the limit."""
        known = self._words.get(target)
        if known is None and word.per_s is None:
            return False
        if known is not None and word.at <= known.at:
            return False
        self._words[target] = word
        return known is None or known.per_s != word.per_s

    def forget(self, target: str) -> None:
        """Drop what a target has said: its process is another one now."""
        self._words.pop(target, None)

    def retain(self, targets: Collection[str]) -> None:
        """Forget targets that are gone."""
        for target in self._words.keys() - set(targets):
            del self._words[target]
