"""What is thought of each target's load: its words, others' news, and this VM's own requests.

The load that is answered: targets share their machines, which are several times slower for
moments of some 0.6 s; a VM hears of each target once in seconds, and sends to it meanwhile.
A choice by the last word alone sends everything to the one that was idle then. So the
newest word counts, plus what this VM has sent there since and less what has ended since;
slowness counts for as long as such a moment lasts; and whatever a target says, what this VM
itself has open there is there.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import attrs

from lagoonlever.decisions.targets.load_estimate import LoadEstimate, LoadSource
from lagoonlever.decisions.targets.reported_load import USUAL, LoadReport

MOMENT_S = 0.6
"""How long a machine that others share is slow at a time."""
KEPT_S = 2.0
"""How long the end of a request is remembered: news of before it arrives within that."""
PRIOR_DRIFT = 4.0
"""Requests that come or go at a target within a second, until it was seen."""
DRIFT_WEIGHT = 0.2
"""Of the newest observation."""
LEAST_AGE_S = 0.02
"""Words that are closer tell the drift of the time between them badly."""


@attrs.frozen(kw_only=True)
class SentTicket:
    """One request that this VM has written to a target; ended by it, once."""

    target: str
    number: int


@attrs.frozen(kw_only=True)
class _Ended:
    sent_at: float
    ended_at: float

    def is_within(self, word: LoadReport) -> bool:
        """Tell whether a word counts the request, which has ended since."""
        return self.sent_at <= word.at < self.ended_at


@attrs.define(kw_only=True)
class _TargetState:
    """Of one process of a target."""

    word: LoadReport | None = None
    source: LoadSource = LoadSource.NONE
    tells_slowness: bool = False
    open: dict[int, float] = attrs.field(factory=dict)
    """When each request of this VM was sent, by the number of its ticket."""
    ended: list[_Ended] = attrs.field(factory=list)
    drift: float = PRIOR_DRIFT

    def count_since(self, word: LoadReport) -> float:
        """Give how many requests there are by a word, and by what this VM did since."""
        sent = sum(at > word.at for at in self.open.values())
        gone = sum(each.is_within(word) for each in self.ended)
        return word.load.running + word.load.waiting + sent - gone

    def forget_ended(self, now: float) -> None:
        """Forget ends of long ago, but for those of requests that the newest word counts."""
        word = self.word
        self.ended = [
            each
            for each in self.ended
            if now - each.ended_at <= KEPT_S or (word is not None and each.is_within(word))
        ]

    def learn_drift(self, word: LoadReport) -> None:
        """Learn from a new word by how much the former one was wrong by now."""
        if self.word is None or word.at - self.word.at < LEAST_AGE_S:
            return
        told = word.load.running + word.load.waiting
        off = abs(told - self.count_since(self.word)) / (word.at - self.word.at) ** 0.5
        self.drift += DRIFT_WEIGHT * (off - self.drift)


@attrs.define(kw_only=True)
class TargetLoads:
    """The loads of all targets; times are seconds of the monotonic clock."""

    _states: dict[str, _TargetState] = attrs.field(factory=dict)
    _born_at: dict[str, float] = attrs.field(factory=dict)
    """When a target was last heard to have started again: words of before are void."""
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def targets(self) -> tuple[str, ...]:
        """Every target that is known, in order."""
        return tuple(sorted(self._states))

    def record_report(self, word: LoadReport, *, asked_at: float | None = None) -> bool:
        """Take a target's own word, given to a request of ``asked_at``; gives if it counts.

        A request of before the target started again was answered by the former process.
        """
        asked = word.at if asked_at is None else asked_at
        return self._take(word, LoadSource.ANSWER, asked_at=asked)

    def record_relayed_report(self, word: LoadReport) -> bool:
        """Take a target's word that another VM passes on; gives whether it counts."""
        return self._take(word, LoadSource.NEWS, asked_at=word.at)

    def sent(self, target: str, now: float) -> SentTicket:
        """Note a request that is written to a target."""
        ticket = SentTicket(target=target, number=next(self._numbers))
        self._state(target).open[ticket.number] = now
        return ticket

    def ended(self, ticket: SentTicket, now: float) -> None:
        """Note that a request is over; a second time, or after a new start, it says nothing."""
        state = self._states.get(ticket.target)
        sent_at = state.open.pop(ticket.number, None) if state else None
        if state is None or sent_at is None:
            return
        state.ended.append(_Ended(sent_at=sent_at, ended_at=now))
        state.forget_ended(now)

    def record_restart(self, target: str, now: float) -> None:
        """Note that another process has a target's id: it holds and has said nothing."""
        self._states.pop(target, None)
        self._born_at[target] = now

    def retain(self, targets: frozenset[str]) -> None:
        """Forget targets that are gone and have nothing of this VM."""
        for target, state in list(self._states.items()):
            if target not in targets and not state.open:
                del self._states[target]
        for target in self._born_at.keys() - targets:
            del self._born_at[target]

    def word(self, target: str) -> LoadReport | None:
        """Give the newest word of a target's present process."""
        state = self._states.get(target)
        return state.word if state else None

    def open_requests(self, target: str) -> int:
        """Give how many requests of this VM are at a target."""
        state = self._states.get(target)
        return len(state.open) if state else 0

    def tells_slowness(self, target: str) -> bool:
        """Tell whether the target's present process has said how slow its machine is."""
        state = self._states.get(target)
        return state is not None and state.tells_slowness

    def slowness(self, target: str, now: float) -> float:
        """Give how many times as long as usual work takes; fades to the usual with age."""
        state = self._states.get(target)
        told = state.word.load.slowness if state and state.word else None
        if state is None or state.word is None or told is None:
            return USUAL
        left = max(0.0, 1.0 - (now - state.word.at) / MOMENT_S)
        return USUAL + (told - USUAL) * min(1.0, left)

    def estimate(self, target: str, now: float) -> LoadEstimate:
        """Give what is thought of a target; without any word its slots are those in use."""
        state = self._states.get(target, _TargetState())
        own, word = len(state.open), state.word
        if word is None:
            return LoadEstimate(running=own, waiting=0.0, slots=max(1, own))
        count = max(float(own), state.count_since(word), 0.0)
        full = word.load.running if word.load.waiting > 0 else word.load.slots
        running = min(count, full)
        age_s = max(0.0, now - word.at)
        return LoadEstimate(
            running=running,
            waiting=count - running,
            slots=word.load.slots,
            slowness=self.slowness(target, now),
            age_s=age_s,
            error=min(state.drift * age_s**0.5, max(count, word.load.slots)),
            source=state.source,
        )

    def _take(self, word: LoadReport, source: LoadSource, *, asked_at: float) -> bool:
        if asked_at < self._born_at.get(word.target, float("-inf")):
            return False
        state = self._state(word.target)
        if state.word is not None and word.at <= state.word.at:
            return False
        state.learn_drift(word)
        state.word, state.source = word, source
        state.tells_slowness = word.load.tells_slowness
        return True

    def _state(self, target: str) -> _TargetState:
        return self._states.setdefault(target, _TargetState())
