"""Which requests end the targets that run them (poison requests), and are run no more.

The load that is answered: one request ends each target that begins to run it, and is back after
each failure, at any VM and under another id. A VM that only knows which targets were lost
allows it as many attempts each time, so that within a minute every engine has ended, with
the streams of everybody else. So ends are counted by the request that was at the target,
over all VMs, and after the third the request is refused.

Other requests are at a target when it ends, too, and follow the cause from target to target. One
that had begun to tell its answer is no cause of it, and is not counted; one that may only have
waited there counts half. Two that were at two ends or more together explain these of each other, so
they count half for both: which of them is told first says nothing. One more target tells them
apart, or an answer. The cause is at all ends, so it reaches the bound first: what it
explains then counts less against the others. And one that gets a whole answer anywhere ends no
target: what was counted against it is forgotten. News of an end may arrive just after the answer
that clears it, so answers are remembered for a moment and ends from before them are not counted.
A store that comes back from an older copy tells ends again that an answer has cleared, so these
answers are remembered for as long as a copy may be old.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import attrs

from lagoonlever.decisions.engines.crash_causes import BLOCKING_WEIGHT, causes_of, weight_of
from lagoonlever.decisions.engines.target_crashes import (
    LATE_NEWS_S,
    WEIGHT_STARTED,
    Crash,
    CrashesByRequest,
)

T = TypeVar("T")

KEPT_FROM = 2
"""CrashesByRequest under a request that are worth a call to the store. A target that crashes takes all
requests that it has with it, and nearly all of them are served elsewhere."""
BARRED_S = 600.0
"""From the last end under it until a request may be tried again, as a repair may be out."""
KEPT_S = 3600.0
"""From the last end under a request until it is forgotten: it is barred again by one more."""
RECALLED_S = 60.0
"""Beyond the age of any copy that the store comes back from: some seconds."""
MOST_ANSWERED = 2048
"""Answers that are remembered; beyond it the oldest are forgotten."""
MOST_KNOWN = 256
"""Requests that are remembered, those with the most ends; 55 KB with three ends each."""


@attrs.frozen(kw_only=True)
class _Answer:
    """A request got a whole answer at some VM; ``at`` in seconds."""

    at: float
    is_own: bool
    """It was this VM that gave it."""


@attrs.frozen(kw_only=True)
class _Clearing:
    """An answer that cleared ends, and the processes that had ended."""

    answer: _Answer
    processes: frozenset[str]


@attrs.frozen(kw_only=True)
class Bar:
    """Why a request is refused: so many targets ended under it, and for how long from now on."""

    ended: int
    for_s: float


@attrs.define(kw_only=True)
class CrashSuspects:
    """What is known of all VMs' requests; times are seconds of the monotonic clock."""

    _ends: dict[str, dict[str, Crash]] = attrs.field(factory=dict)
    _barred: frozenset[str] = frozenset()
    _answers: dict[str, _Answer] = attrs.field(factory=dict)
    """The last whole answer to each request, the oldest first."""
    _clearings: dict[str, _Clearing] = attrs.field(factory=dict)
    """The last whole answer to each request that had ends, the oldest first."""

    @property
    def ends(self) -> CrashesByRequest:
        """Every end that is remembered."""
        return self._ends

    @property
    def barred(self) -> frozenset[str]:
        """The requests that are taken for the cause, also those whose time is over."""
        return self._barred

    def ended_under(self, fingerprint: str, process: str, end: Crash) -> bool:
        """Note that a process ended under a request; gives whether that is news.

        The same end is told by each VM that had the request there; the one where it had begun
        counts.
        """
        return self._add({fingerprint: {process: end}})

    def learn(self, ends: CrashesByRequest) -> bool:
        """Take ends that other VMs saw, but what an answer cleared; gives whether any is news."""
        counted = {
            fingerprint: {
                process: end
                for process, end in processes.items()
                if self._clearing_answer(fingerprint, process, end) is None
            }
            for fingerprint, processes in ends.items()
        }
        return self._add({f: processes for f, processes in counted.items() if processes})

    def has_ended(self, process: str, before: float) -> bool:
        """Tell whether a process was known to have ended before a moment."""
        known = (processes.get(process) for processes in self._ends.values())
        return any(end is not None and end.at < before for end in known)

    def cleared(self, ends: CrashesByRequest) -> frozenset[str]:
        """Give the requests that were answered after ends, or just before these were told."""
        return frozenset(
            fingerprint
            for fingerprint, processes in ends.items()
            for process, end in processes.items()
            if self._clearing_answer(fingerprint, process, end) is not None
        )

    def cleared_here(self, ends: CrashesByRequest) -> frozenset[str]:
        """Give those of them that this VM has answered."""
        return frozenset(
            fingerprint
            for fingerprint, processes in ends.items()
            for process, end in processes.items()
            if (answer := self._clearing_answer(fingerprint, process, end)) and answer.is_own
        )

    def served(self, fingerprint: str, now: float, *, is_own: bool) -> bool:
        """Note that a target has answered a request; gives whether ends are forgotten by it.

        ``is_own`` tells that this VM gave the answer.
        """
        answer = _Answer(at=now, is_own=is_own)
        _remember(self._answers, fingerprint, answer, most=MOST_ANSWERED)
        processes = self._ends.pop(fingerprint, None)
        if processes is None:
            return False
        clearing = _Clearing(answer=answer, processes=frozenset(processes))
        _remember(self._clearings, fingerprint, clearing, most=MOST_KNOWN)
        self._barred = causes_of(self._ends)
        return True

    def count(self, fingerprint: str) -> int:
        """Give how many processes ended under a request."""
        return len(self._ends.get(fingerprint, ()))

    def is_next_to_last(self, fingerprint: str) -> bool:
        """Tell whether one more end bars a request, at the most that an end counts."""
        if fingerprint in self._barred:
            return False
        return weight_of(self._ends.get(fingerprint, {})) >= BLOCKING_WEIGHT - WEIGHT_STARTED

    def kept(self) -> CrashesByRequest:
        """Give the requests that are to outlive this VM."""
        return {
            fingerprint: processes
            for fingerprint, processes in self._ends.items()
            if len(processes) >= KEPT_FROM
        }

    def bar(self, fingerprint: str, now: float) -> Bar | None:
        """Give why a request is refused, or None where it may run."""
        if fingerprint not in self._barred:
            return None
        processes = self._ends[fingerprint]
        for_s = _last_at(processes) + BARRED_S - now
        return Bar(ended=len(processes), for_s=for_s) if for_s > 0 else None

    def expire(self, now: float) -> None:
        """Forget requests under which nothing has ended for long."""
        for fingerprint, processes in list(self._ends.items()):
            if now - _last_at(processes) > KEPT_S:
                del self._ends[fingerprint]
        self._barred &= self._ends.keys()
        for fingerprint, answer in list(self._answers.items()):
            if now - answer.at <= LATE_NEWS_S:
                break
            del self._answers[fingerprint]
        for fingerprint, clearing in list(self._clearings.items()):
            if now - clearing.answer.at <= RECALLED_S:
                break
            del self._clearings[fingerprint]

    def _add(self, ends: CrashesByRequest) -> bool:
        is_news = is_changed = False
        for fingerprint, processes in ends.items():
            known = self._ends.setdefault(fingerprint, {})
            for process, end in processes.items():
                former = known.get(process)
                known[process] = end if former is None else former.joined(end)
                is_news |= former is None or former.weight < end.weight
                is_changed |= former != known[process]
        if is_changed:
            self._forget_beyond(MOST_KNOWN)
            self._barred = causes_of(self._ends)
        return is_news

    def _clearing_answer(self, fingerprint: str, process: str, end: Crash) -> _Answer | None:
        """Give the answer that has cleared an end, or None if it counts."""
        answer = self._answers.get(fingerprint)
        if answer is not None and end.at <= answer.at + LATE_NEWS_S:
            return answer
        clearing = self._clearings.get(fingerprint)
        if clearing is None or process not in clearing.processes:
            return None
        return clearing.answer

    def _forget_beyond(self, most: int) -> None:
        beyond = len(self._ends) - most
        for fingerprint in sorted(self._ends, key=self._importance)[: max(0, beyond)]:
            del self._ends[fingerprint]

    def _importance(self, fingerprint: str) -> tuple[float, float]:
        processes = self._ends[fingerprint]
        return min(BLOCKING_WEIGHT, weight_of(processes)), _last_at(processes)


def _remember(known: dict[str, T], fingerprint: str, value: T, *, most: int) -> None:
    """Keep what is last known of a request, and of too many the newest."""
    known.pop(fingerprint, None)
    known[fingerprint] = value
    if len(known) > most:
        del known[next(iter(known))]


def _last_at(processes: Mapping[str, Crash]) -> float:
    return max(end.at for end in processes.values())
