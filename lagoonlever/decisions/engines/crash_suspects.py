"""Registry of the crashes under each suspect, to block what crashes its targets.

A suspect is a request, or a part that different prompts share (`suspects.py`). Which parts are
causes is decided in `part_causes.py`; the rest of this page is on requests.

A poison request crashes each target that starts to run it, and its caller sends it again after
each failure, to any VM and under another request id. A VM that only knows which targets were lost
would allow it the usual number of attempts each time, so that within a minute every engine has
crashed, with the streams of all other callers. So crashes are counted by the request that was at
the target, over all VMs, and after the third crash the request is refused.

Other requests are at a target when it crashes, too, and accompany the cause from target to target:

- A request that had started to return its answer is not the cause of the crash, and is not
  counted. One that may only have been queued at the target counts half.
- Two requests that were at two or more crashes together may explain these of each other, so the
  crashes count half for both: the order of the reports says nothing. A crash at one more target,
  or an answer, tells them apart.
- The cause is present at all crashes, so it reaches the bound first. The crashes that it explains
  then count less for the other requests.
- A request that gets a whole answer anywhere does not crash targets: its crashes are cleared. The
  report of a crash may arrive just after the answer that clears it, so answers are remembered for
  a short time, and crashes from before them are not counted.
- A process that says that it leaves ends in any case, so its end counts for nothing. VMs may learn
  that a moment after the end, so an end that was counted before is taken back. An end counts or is
  held aside, never both. Where more of them end under one suspect than chance brings there, or it
  is at as many ends in all as it may reach, all these ends count: an engine that a request ends
  may still say that it leaves, or be listed so by another program.
- A store that is restored from an older copy reports crashes again that an answer has cleared, so
  these answers are remembered for as long as a copy may be old.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from typing import TypeVar

import attrs

from lagoonlever.decisions.engines.crash_causes import BLOCKING_WEIGHT, find_causes, total_weight
from lagoonlever.decisions.engines.part_blocks import BLOCK_S, OpenTrial, block_s
from lagoonlever.decisions.engines.part_causes import (
    BLOCKING,
    GATHERING,
    GATHERING_UNTESTED,
    MAX_TESTED_CRASHES,
    UNTESTED_BLOCKING,
    PartSet,
    find_part_causes,
    has_evidence,
    is_cause,
)
from lagoonlever.decisions.engines.part_doubts import blocked_from, doubt_trial
from lagoonlever.decisions.engines.suspects import SuspectKind, Suspects, kind_of
from lagoonlever.decisions.engines.target_crashes import (
    MAX_REPORT_DELAY_S,
    WEIGHT_STARTED,
    Crash,
    CrashesByRequest,
)

T = TypeVar("T")

ALONE_CRASHES = 3
"""Crashes after which one copy of a request at a time goes on, of those at all VMs."""
MIN_STORED_CRASHES = 2
"""A request is written to the store from this number of crashes of targets that had it.

A target that crashes loses all its requests, and nearly all of them are served elsewhere,
so a single crash is not worth a call to the store.
"""
RETENTION_S = 3600.0
"""The crashes of a request are removed this long after the last one.

Until then a single further crash blocks the request again.
"""
CLEARING_RETENTION_S = 60.0
"""How long an answer that cleared crashes is remembered.

It is longer than the age of any copy from which the store is restored, which is some seconds.
"""
LEAVING_NEWS_S = 2.0
"""Within so long after the end of a process a VM knows whether it had said that it leaves.

It is the way by the store and its watch, and a VM that stood still for a second. An entry that is
changed later says nothing of the end.
"""
TOLD_AGAIN_S = 10.0
"""An end of a process is the one known of it unless it is later by more than this.

VMs read one end from the record by their own clocks. A process that names no start may be another
one under the same id.
"""
MAX_EXCUSED = 4
"""Ends of processes that leave under one suspect, beyond which they are taken for crashes."""
MORE_ENDS = 3
"""Targets that a suspect may still reach once it should be known: a request after its third crash,
a part after its fifth."""
MAX_ANSWERS = 2048
"""Upper bound of the answers that are remembered; beyond it the oldest are removed."""
MAX_SUSPECTS = 256
"""Upper bound of the requests that are remembered; beyond it those with the least crashes go.

They take 55 KB with three crashes each.
"""
MAX_PART_SUSPECTS = 1024
"""The same for parts: several prompts of ``MAX_PARTS`` each."""
MAX_CLEARINGS = MAX_SUSPECTS + MAX_PART_SUSPECTS
_MAX_OF_KIND = {SuspectKind.REQUEST: MAX_SUSPECTS, SuspectKind.PART: MAX_PART_SUSPECTS}
_ALL_COUNT_FROM = {
    SuspectKind.REQUEST: ALONE_CRASHES + MORE_ENDS,
    SuspectKind.PART: UNTESTED_BLOCKING.crashes + MORE_ENDS,
}
"""Ends under one suspect, excused or not, from which each of them counts."""


@attrs.frozen(kw_only=True)
class _Answer:
    """A whole answer to a request, given by any VM; ``at`` in seconds."""

    at: float
    is_own: bool
    """Whether this VM gave it."""


@attrs.frozen(kw_only=True)
class _Clearing:
    """An answer that cleared crashes, and the names of the processes that had crashed."""

    answer: _Answer
    processes: frozenset[str]


@attrs.frozen(kw_only=True)
class Block:
    """Why a request is refused: the number of crashes, and the remaining time."""

    crash_count: int
    remaining_s: float
    parts: PartSet = frozenset()
    """The parts that its prompt shares with those of the crashes; none for the request itself."""


@attrs.frozen(kw_only=True)
class Gathering:
    """Attempts that are kept together, as one more crash would block them."""

    key: str
    """The same for all that go together."""
    crashed: frozenset[str]
    """The processes that have crashed already."""


@attrs.define(kw_only=True)
class CrashSuspects:
    """Crashes under the requests of all VMs; times are seconds of the monotonic clock."""

    _crashes: dict[str, dict[str, Crash]] = attrs.field(factory=dict)
    """By the request's fingerprint, then by the name of the crashed process."""
    _blocked: frozenset[str] = frozenset()
    _part_causes: tuple[PartSet, ...] = ()
    """Parts that are causes; those that can't be told apart as one set."""
    _blocked_from: dict[PartSet, float] = attrs.field(factory=dict)
    """From when each of these is blocked, in seconds."""
    _judged_at: float = -math.inf
    """As of when requests were judged last; later than all crashes where a doubt has ended."""
    _explaining: frozenset[PartSet] = frozenset()
    """The parts whose crashes then counted less for the requests."""
    _suspect_parts: tuple[PartSet, ...] = ()
    """The same for parts that one more crash may show to be causes."""
    _answers_known: bool = True
    """Whether this VM knows on which parts answers begin."""
    _tested: dict[str, None] = attrs.field(factory=dict)
    """Processes of which the sound parts at their crash are known, the oldest first."""
    _leaving: Mapping[str, float] = attrs.field(factory=dict)
    """Processes that said that they leave, and when that became known here."""
    _excused: dict[str, dict[str, Crash]] = attrs.field(factory=dict)
    """Their ends by suspect, the oldest suspect first; where there are too many they count, too."""
    _answers: dict[str, _Answer] = attrs.field(factory=dict)
    """The last whole answer to each request, the oldest first."""
    _clearings: dict[str, _Clearing] = attrs.field(factory=dict)
    """The last whole answer to each request that had crashes, the oldest first."""

    @property
    def crashes(self) -> CrashesByRequest:
        """All crashes that are remembered."""
        return self._crashes

    @property
    def answers_known(self) -> bool:
        """Whether this VM knows on which parts answers begin."""
        return self._answers_known

    @property
    def blocked(self) -> frozenset[str]:
        """The requests that are taken for causes, also those whose block is over."""
        return self._blocked

    def part_causes(self, now: float) -> frozenset[PartSet]:
        """Return the parts that are taken for causes by now; those that are alike as one set."""
        return frozenset(cause for cause in self._part_causes if self._blocked_from[cause] <= now)

    def set_answers_known(self, known: bool) -> None:
        """Set whether this VM knows on which parts answers begin."""
        if known == self._answers_known:
            return
        self._answers_known = known
        self._find_part_causes()

    def set_leaving(self, leaving: Mapping[str, float]) -> bool:
        """Set which processes leave and since when that is known; return whether ends fall away.

        Their ends are held against nothing while they are few, whoever reports them.
        """
        self._leaving = leaving
        kept = {f: self._set_aside(f, processes) for f, processes in self._crashes.items()}
        if kept == self._crashes:
            return False
        self._crashes = {f: dict(processes) for f, processes in kept.items() if processes}
        self._blocked &= self._crashes.keys()
        self._find_causes()
        return True

    def is_excused(self, fingerprint: str, process: str) -> bool:
        """Check whether the end of a process is held aside, as it left, and counts for nothing."""
        ends = self._excused.get(fingerprint, {})
        if process not in ends or process in self._crashes.get(fingerprint, {}):
            return False
        return len(ends) <= MAX_EXCUSED

    def _set_aside(
        self, fingerprint: str, processes: Mapping[str, Crash], *, counted: Collection[str] = ()
    ) -> Mapping[str, Crash]:
        """Return the ends that count, and keep those of processes that leave aside.

        An end is judged once: one that is aside stays there when it is told again, with another
        time or after its leaving was forgotten, and so does one that is ``counted`` already.
        """
        known = self._excused.get(fingerprint, {})
        aside = {
            process: end.merge(known.get(process, end))
            for process, end in processes.items()
            if _is_told_again(known.get(process), end)
            or (process not in counted and self._is_leaving(process, end))
        }
        ends = known | aside
        if not ends:
            return processes
        if aside:
            _store_newest(self._excused, fingerprint, ends, max_size=MAX_CLEARINGS)
        all_ends = {*ends, *processes, *counted}
        if len(ends) > MAX_EXCUSED or len(all_ends) >= _ALL_COUNT_FROM[kind_of(fingerprint)]:
            return {**processes, **ends}
        return {process: end for process, end in processes.items() if process not in aside}

    def _is_leaving(self, process: str, end: Crash) -> bool:
        known_at = self._leaving.get(process)
        return known_at is not None and known_at <= end.at + LEAVING_NEWS_S

    def record_crash(self, fingerprint: str, process: str, crash: Crash) -> bool:
        """Record a crash of a process under a request; return whether it adds information.

        Each VM that had the request at the process reports the same crash; it counts once, with
        the greatest weight reported.
        """
        return self._add({fingerprint: {process: crash}})

    def record_reported_crashes(self, crashes: CrashesByRequest) -> bool:
        """Record crashes that other VMs saw, except those that an answer has cleared.

        Return whether any of them adds information.
        """
        counted = {
            fingerprint: {
                process: crash
                for process, crash in processes.items()
                if self._clearing_answer(fingerprint, process, crash) is None
            }
            for fingerprint, processes in crashes.items()
        }
        return self._add({f: processes for f, processes in counted.items() if processes})

    def has_crashed(self, process: str, before: float) -> bool:
        """Check whether a crash of a process is known from before the given time."""
        known = (processes.get(process) for processes in self._crashes.values())
        return any(crash is not None and crash.at < before for crash in known)

    def find_cleared(self, crashes: CrashesByRequest) -> frozenset[str]:
        """Return the requests that were answered after these crashes, or just before the report."""
        return frozenset(
            fingerprint
            for fingerprint, processes in crashes.items()
            for process, crash in processes.items()
            if self._clearing_answer(fingerprint, process, crash) is not None
        )

    def find_cleared_here(self, crashes: CrashesByRequest) -> frozenset[str]:
        """Return those of the requests in ``find_cleared`` that this VM has answered."""
        return frozenset(
            fingerprint
            for fingerprint, processes in crashes.items()
            for process, crash in processes.items()
            if (answer := self._clearing_answer(fingerprint, process, crash)) and answer.is_own
        )

    def record_answer(self, fingerprint: str, now: float, *, is_own: bool) -> bool:
        """Record a whole answer to a request; return whether it cleared crashes.

        ``is_own`` is true if this VM gave the answer.
        """
        self._excused.pop(fingerprint, None)
        answer = _Answer(at=now, is_own=is_own)
        _store_newest(self._answers, fingerprint, answer, max_size=MAX_ANSWERS)
        processes = self._crashes.pop(fingerprint, None)
        if processes is None:
            return False
        if kind_of(fingerprint) is SuspectKind.PART:
            self._mark_tested(processes)
        clearing = _Clearing(answer=answer, processes=frozenset(processes))
        _store_newest(self._clearings, fingerprint, clearing, max_size=MAX_CLEARINGS)
        self._find_causes()
        return True

    def count_crashes(self, fingerprint: str) -> int:
        """Return how many processes crashed under a request."""
        return len(self._crashes.get(fingerprint, ()))

    def is_one_crash_from_block(self, fingerprint: str) -> bool:
        """Check whether one more crash of full weight would block a request."""
        if fingerprint in self._blocked:
            return False
        return total_weight(self._crashes.get(fingerprint, {})) >= BLOCKING_WEIGHT - WEIGHT_STARTED

    def crashes_to_store(self) -> CrashesByRequest:
        """Return the crashes that must outlive this VM, by request."""
        return {
            fingerprint: {
                process: attrs.evolve(crash, tested=process in self._tested)
                for process, crash in processes.items()
            }
            for fingerprint, processes in self._crashes.items()
            if len(processes) >= MIN_STORED_CRASHES
        }

    def find_block(self, fingerprint: str, now: float) -> Block | None:
        """Return why a request is refused by its own crashes, or None if it may run."""
        if fingerprint not in self._blocked:
            return None
        processes = self._crashes[fingerprint]
        remaining_s = _last_crash_at(processes) + BLOCK_S - now
        return (
            Block(crash_count=len(processes), remaining_s=remaining_s) if remaining_s > 0 else None
        )

    def find_part_block(self, suspects: Suspects, now: float) -> Block | None:
        """Return why a prompt with these parts is refused, or None if it may run."""
        for cause in self._part_causes:
            if not cause.issubset(suspects.parts) or self._blocked_from[cause] > now:
                continue
            processes = self._crashes[next(iter(cause))]
            remaining_s = self._part_blocked_until(cause, suspects) - now
            if remaining_s > 0:
                return Block(crash_count=len(processes), remaining_s=remaining_s, parts=cause)
        return None

    def find_open_trial(self, suspects: Suspects, now: float) -> OpenTrial | None:
        """Return what a request may only try alone, or None if it goes on as any other.

        It is a part of its prompt whose block is over, or the request itself after some crashes.
        """
        for cause in self._part_causes:
            if not cause.issubset(suspects.parts) or self._blocked_from[cause] > now:
                continue
            processes = self._crashes[next(iter(cause))]
            over_s = now - self._part_blocked_until(cause, suspects)
            return OpenTrial(parts=cause, crash_count=len(processes), over_s=over_s)
        count = self.count_crashes(suspects.request)
        if count < ALONE_CRASHES:
            return None
        request = frozenset({suspects.request})
        return OpenTrial(parts=request, crash_count=count, over_s=0.0, is_request=True)

    def find_doubt(self, suspects: Suspects, now: float) -> OpenTrial | None:
        """Return what a request waits for while a part of its prompt may be cleared, or None."""
        own_weight = total_weight(self._crashes.get(suspects.request, {}))
        for cause in self._part_causes:
            if cause.issubset(suspects.parts) and self._blocked_from[cause] > now:
                crashes = self._crashes[next(iter(cause))]
                return doubt_trial(cause, crashes, now, own_weight=own_weight)
        return None

    def _part_blocked_until(self, cause: PartSet, suspects: Suspects) -> float:
        crashes = self._crashes[next(iter(cause))]
        others = sum(self._has_many_crashes(part) for part in suspects.parts if part not in cause)
        own = suspects.request in self._crashes
        return _last_crash_at(crashes) + block_s(
            crashes,
            beside=self._crashed_under_others(cause),
            answers_known=self._answers_known or self._is_tested(cause),
            other_suspects=others + own,
        )

    def _crashed_under_others(self, cause: PartSet) -> frozenset[str]:
        """Return the processes that other causes are as likely to have crashed as a part."""
        own = self._crashes[next(iter(cause))]
        others = [self._crashes[next(iter(o))] for o in self._part_causes if o != cause]
        return frozenset(
            process
            for other in others
            for process, crash in other.items()
            if process in own and crash.weight >= own[process].weight
        )

    def _has_many_crashes(self, part: str) -> bool:
        return has_evidence(self._crashes.get(part, {}), bound=UNTESTED_BLOCKING)

    def find_any_block(self, suspects: Suspects, now: float) -> Block | None:
        """Return why a request is refused, by its own crashes or by a part of its prompt."""
        if not self._crashes:
            return None
        own = self.find_block(suspects.request, now)
        return own if own is not None else self.find_part_block(suspects, now)

    def find_gathering(self, suspects: Suspects, now: float) -> Gathering | None:
        """Return with which others a request is kept together, or None if it may go anywhere.

        A block that is over counts as a suspicion: one attempt at a time tries again.
        """
        if not self._crashes:
            return None
        for parts in self._suspect_parts:
            if parts.issubset(suspects.parts):
                crashed = self._crashes[next(iter(parts))]
                together = parts if self._answers_known else self._all_suspected(suspects)
                return Gathering(key="|".join(sorted(together)), crashed=frozenset(crashed))
        is_over = (
            suspects.request in self._blocked and self.find_block(suspects.request, now) is None
        )
        if is_over or self.is_one_crash_from_block(suspects.request):
            crashed_under = self._crashes.get(suspects.request, {})
            return Gathering(key=suspects.request, crashed=frozenset(crashed_under))
        return None

    def is_suspect(self, suspects: Suspects) -> bool:
        """Check whether a target has crashed under a request, or several under its parts."""
        if not self._crashes:
            return False
        if self.count_crashes(suspects.request):
            return True
        return any(parts.issubset(suspects.parts) for parts in self._suspect_parts)

    def suspected(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return those of the parts under which a target has crashed."""
        return tuple(part for part in parts if part in self._crashes)

    def expire(self, now: float) -> None:
        """Remove suspects without a crash for ``RETENTION_S``, and answers that are too old.

        Requests are judged again once a part in doubt is blocked, as it explains crashes from then
        on that were held against them.
        """
        for fingerprint, processes in list(self._crashes.items()):
            if now - _last_crash_at(processes) > RETENTION_S:
                del self._crashes[fingerprint]
        for fingerprint, processes in list(self._excused.items()):
            if now - _last_crash_at(processes) > RETENTION_S:
                del self._excused[fingerprint]
        self._blocked &= self._crashes.keys()
        self._find_part_causes()
        if self.part_causes(now) - self._explaining:
            self._judged_at = max(self._judged_at, now)
            self._find_causes()
        for fingerprint, answer in list(self._answers.items()):
            if now - answer.at <= MAX_REPORT_DELAY_S:
                break
            del self._answers[fingerprint]
        for fingerprint, clearing in list(self._clearings.items()):
            if now - clearing.answer.at <= CLEARING_RETENTION_S:
                break
            del self._clearings[fingerprint]

    def _add(self, crashes: CrashesByRequest) -> bool:
        is_new = is_changed = False
        for fingerprint, reported in crashes.items():
            former_aside = self._excused.get(fingerprint, {})
            counted = self._crashes.get(fingerprint, {})
            processes = self._set_aside(fingerprint, reported, counted=counted)
            aside = self._excused.get(fingerprint, {})
            is_new |= bool(aside.keys() - former_aside.keys())
            if not processes:
                continue
            known = self._crashes.setdefault(fingerprint, {})
            # Crashes that are told again are from when they were told first.
            self._mark_tested(
                process
                for process, crash in processes.items()
                if crash.tested or (self._answers_known and process not in known)
            )
            for process, crash in processes.items():
                former = known.get(process)
                known[process] = crash if former is None else former.merge(crash)
                is_new |= former is None or former.weight < crash.weight
                is_changed |= former != known[process]
        if is_changed:
            self._trim()
            self._find_causes()
        return is_new

    def _all_suspected(self, suspects: Suspects) -> tuple[str, ...]:
        """Return which suspects of a request crashed targets.

        Those without the cause go to another engine than those with it, so that they begin.
        """
        return self.suspected((suspects.request, *suspects.parts))

    def _find_part_causes(self) -> None:
        parts = self._of_kind(SuspectKind.PART)
        causes = find_part_causes(parts, bound=BLOCKING)
        requests = self._of_kind(SuspectKind.REQUEST)
        times = {cause: self._find_blocked_from(cause, requests) for cause in causes}
        self._blocked_from = {cause: at for cause, at in times.items() if at < math.inf}
        self._part_causes = tuple(self._blocked_from)
        gathering = GATHERING if self._answers_known else GATHERING_UNTESTED
        self._suspect_parts = find_part_causes(parts, bound=gathering)

    def _find_blocked_from(self, cause: PartSet, requests: CrashesByRequest) -> float:
        """Return from when a part is blocked: at once if enough of the crashes are tested."""
        if self._is_tested(cause):
            return -math.inf
        return blocked_from(self._crashes[next(iter(cause))], requests)

    def _is_tested(self, cause: PartSet) -> bool:
        """Check whether enough crashes are from when it was known on which parts answers begin.

        A VM that has just started, and knows of no answer itself, goes by what others knew.
        """
        processes = self._crashes[next(iter(cause))]
        tested = {name: crash for name, crash in processes.items() if name in self._tested}
        return is_cause(tested, bound=BLOCKING)

    def _mark_tested(self, processes: Iterable[str]) -> None:
        """Record that the sound parts at crashes are known, as far as any are."""
        self._tested.update(dict.fromkeys(processes))
        while len(self._tested) > MAX_TESTED_CRASHES:
            del self._tested[next(iter(self._tested))]

    def _find_causes(self) -> None:
        self._find_part_causes()
        ends = (_last_crash_at(own) for own in self._crashes.values())
        self._judged_at = max([self._judged_at, *ends])
        self._explaining = self.part_causes(self._judged_at)
        causes = frozenset[str]().union(*self._explaining)
        explained = frozenset(p for part in causes for p in self._crashes[part])
        self._blocked = find_causes(
            self._of_kind(SuspectKind.REQUEST), explained_by_parts=explained
        )

    def _of_kind(self, kind: SuspectKind) -> CrashesByRequest:
        return {s: processes for s, processes in self._crashes.items() if kind_of(s) is kind}

    def _clearing_answer(self, fingerprint: str, process: str, crash: Crash) -> _Answer | None:
        """Return the answer that has cleared a crash, or None if the crash counts."""
        answer = self._answers.get(fingerprint)
        if answer is not None and crash.at <= answer.at + MAX_REPORT_DELAY_S:
            return answer
        clearing = self._clearings.get(fingerprint)
        if clearing is None or process not in clearing.processes:
            return None
        return clearing.answer

    def _trim(self) -> None:
        """Remove the least important suspects of each kind beyond its upper bound."""
        for kind, max_size in _MAX_OF_KIND.items():
            known = [suspect for suspect in self._crashes if kind_of(suspect) is kind]
            excess = max(0, len(known) - max_size)
            for suspect in sorted(known, key=self._importance)[:excess]:
                del self._crashes[suspect]

    def _importance(self, fingerprint: str) -> tuple[float, float]:
        """Return a sort key: the weight of the crashes up to the bound, then the last crash."""
        processes = self._crashes[fingerprint]
        return min(BLOCKING_WEIGHT, total_weight(processes)), _last_crash_at(processes)


def _store_newest(known: dict[str, T], fingerprint: str, value: T, *, max_size: int) -> None:
    """Store the newest value of a request as the last entry; drop the oldest if too many."""
    known.pop(fingerprint, None)
    known[fingerprint] = value
    if len(known) > max_size:
        del known[next(iter(known))]


def _is_told_again(known: Crash | None, end: Crash) -> bool:
    """Check whether an end is one that is known already."""
    return known is not None and end.at <= known.at + TOLD_AGAIN_S


def _last_crash_at(processes: Mapping[str, Crash]) -> float:
    return max(crash.at for crash in processes.values())
