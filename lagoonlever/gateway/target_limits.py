"""What targets name as their limits, and what this VM sends to those that do."""

from __future__ import annotations

import attrs
import logbook

from lagoonlever.decisions.named_limits import LimitWord, NamedLimits
from lagoonlever.gateway import events, metrics
from lagoonlever.gateway.messages import AnswerHead
from lagoonlever.gateway.tally import Tally
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

MISDIRECTED = 421
"""Another process answers at the target's address."""
TELL_EVERY_S = 1.0
"""Between two lines on what was sent to one target."""


@attrs.define(kw_only=True)
class _Sends:
    since: float
    first: int = 0
    later: int = 0


@attrs.define(kw_only=True, eq=False)
class TargetLimits:
    """Hears every answer of a target, and of every request that is sent to one."""

    _timers: TimerService
    _tally: Tally
    _named: NamedLimits = attrs.field(factory=NamedLimits)
    _sends: dict[str, _Sends] = attrs.field(factory=dict)
    _unreadable: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    """The fields of each target that were logged last."""

    def heard(self, target: str, head: AnswerHead, *, sent_at: float) -> None:
        """Take what the head of a target's answer says of its limit."""
        if head.status == MISDIRECTED or head.target_id not in (None, target):
            return
        if self._note_unreadable(target, head):
            return
        former, now = self._named.of(target), self._timers.now
        word = LimitWord.of_answer(head.limit_per_s, sent_at=sent_at, now=now)
        if not self._named.learn(target, word):
            return
        events.TARGET_LIMIT.log(
            log,
            target=target,
            limit=_told(word),
            former=_told(former),
            source="its own answer",
        )

    def _note_unreadable(self, target: str, head: AnswerHead) -> bool:
        """Tell whether an answer has unreadable fields; logs those that are new."""
        if not head.unreadable:
            return False
        if self._unreadable.get(target) != head.unreadable:
            self._unreadable[target] = head.unreadable
            events.TARGET_FIELD_UNREADABLE.log(log, target=target, fields=head.unreadable)
        return True

    def sent(self, target: str, *, first: bool) -> None:
        """Count a request that is written to a target, if the target names a limit."""
        word = self._named.of(target)
        if word is None:
            return
        self._tally.add(metrics.LIMITED_SENDS, "first" if first else "later")
        now = self._timers.now
        sends = self._sends.setdefault(target, _Sends(since=now))
        if first:
            sends.first += 1
        else:
            sends.later += 1
        if now - sends.since < TELL_EVERY_S:
            return
        events.LIMITED_SENDS.log(
            log,
            target=target,
            limit=_told(word),
            age_s=now - word.at,
            first=sends.first,
            later=sends.later,
            seconds=now - sends.since,
        )
        del self._sends[target]


def _told(word: LimitWord | None) -> str:
    return "none" if word is None or word.per_s is None else f"{word.per_s:g}/s"
