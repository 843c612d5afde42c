"""Decision which parts of prompts cause crashes, and which parts are sound.

A part may crash each engine that begins an answer on it, whatever else the prompt holds, so no
two of its requests are alike and each alone stays below the bound. Every request brings several
parts, most of them sound:

- A part on which an answer has just begun elsewhere is sound. It is not counted at a crash, and
  an answer that begins later clears it.
- A crash just as an answer began is whole evidence, once for each process. One before anything
  of the answer came is a half: the request may have begun, or only have waited there. A request
  that had given events for a while was there by chance.
- Crashes under one request alone may be due to its own part, so a second request is needed.
- Engines of one data centre crash together, each with requests that waited. So halves convict
  only if they come from different moments.
- A VM that has heard of no answer of late knows no sound part, and what all requests share is at
  every crash. So crashes of that time convict only once another part of them was cleared, or once
  there are many (`part_doubts.py`).
- A block hides the answers that would clear a part. So it is short where no answer is known,
  where two requests that end engines by themselves would explain all crashes, or where halves
  come from few moments.
- The cause is at all crashes. A part that is only at crashes of one with more of them, or of
  several causes, is explained by these. A crash under requests that all hold a stronger cause is
  no evidence against the other parts of these.
- Parts at exactly the same crashes can't be told apart. Only requests with all of them are
  stopped. A request with some of them goes on: its answer, or one more crash, tells them apart.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from lagoonlever.decisions.engines.answer_stages import BEGUN_S
from lagoonlever.decisions.engines.correlated_loss import CORRELATION_WINDOW_S
from lagoonlever.decisions.engines.target_crashes import (
    MAX_REPORT_DELAY_S,
    WEIGHT_STARTED,
    Crash,
    CrashesByRequest,
)


@attrs.frozen(kw_only=True)
class EvidenceBound:
    """What is needed to take a part for a cause."""

    crashes: int
    """So many whole ones, or as many in all if ``weight`` is reached, too."""
    weight: float
    moments: int
    """The different moments that halves must come from."""


BLOCKING = EvidenceBound(crashes=3, weight=2.5, moments=2)
"""A part is blocked; one or two crashes may be a coincidence."""
GATHERING = EvidenceBound(crashes=2, weight=1.0, moments=1)
"""The requests with a part go to one engine."""
GATHERING_UNTESTED = EvidenceBound(crashes=2, weight=1.0, moments=2)
"""The same where nothing is known of the parts beside it."""
UNTESTED_BLOCKING = EvidenceBound(crashes=5, weight=2.5, moments=3)
"""A part is blocked though nothing is known of the parts beside it."""
SURE = EvidenceBound(crashes=3, weight=2.5, moments=3)
"""Crashes that are no coincidence of one moment or two."""
MIN_REQUESTS = 2
"""Different requests that must have been at the crashes."""
OTHERS_WEIGHT = 1.0
"""The evidence that there must be without any one request, where some of it is halves."""
FEW_REQUESTS = 2
"""So many requests may end engines by themselves, and share a part by chance."""
UNCERTAIN_BLOCK_S = 5.0
"""How long a part is blocked that may be sound; as much again for each other suspect."""
MAX_TESTED_CRASHES = 1024
"""Upper bound of the crashes that are known to be tested."""
LIVED_ON_S = BEGUN_S + MAX_REPORT_DELAY_S
"""A crash under an answer is told within this time from its first event."""
SOUND_S = 60.0
"""A part is sound for this long after an answer began on it."""
MAX_SOUND_PARTS = 8192
"""Upper bound of the parts that are known to be sound, some 2 MB."""

PartSet = frozenset[str]


def find_part_causes(crashes: CrashesByRequest, *, bound: EvidenceBound) -> tuple[PartSet, ...]:
    """Return the causes by ``bound``; parts that can't be told apart as one set.

    ``crashes`` are those under parts, by the part's id.
    """
    alike: dict[frozenset[tuple[str, float]], set[str]] = {}
    for part, processes in crashes.items():
        if is_cause(processes, bound=bound):
            key = frozenset((process, crash.weight) for process, crash in processes.items())
            alike.setdefault(key, set()).add(part)
    causes: list[PartSet] = []
    found = _CausesByProcess()
    for parts in sorted(alike.values(), key=lambda parts: -evidence_of(crashes[min(parts)])):
        processes = crashes[next(iter(parts))]
        if is_cause(found.unexplained(processes), bound=bound):
            causes.append(frozenset(parts))
            found.add(frozenset(parts), processes)
    return _without_explained(causes, crashes)


def _without_explained(causes: Sequence[PartSet], crashes: CrashesByRequest) -> tuple[PartSet, ...]:
    """Leave out causes that others explain, those with the least evidence first.

    A part that requests with several causes share is at crashes of each of them.
    """
    kept = {cause: crashes[next(iter(cause))] for cause in causes}
    others = _CausesByProcess()
    for cause, processes in kept.items():
        others.add(cause, processes)
    for cause in sorted(causes, key=lambda cause: evidence_of(kept[cause])):
        processes = kept.pop(cause)
        others.remove(cause, processes)
        if not others.explain(processes):
            kept[cause] = processes
            others.add(cause, processes)
    return tuple(kept)


@attrs.frozen(kw_only=True)
class _Cause:
    """The crashes of a cause, and how much evidence they are together."""

    processes: Mapping[str, Crash]
    evidence: float


@attrs.define(kw_only=True)
class _CausesByProcess:
    """Causes by the processes that crashed under them.

    Where engines crash by the hundred there are hundreds of causes at first. Each is compared with
    those at its own crashes only.
    """

    _causes: dict[str, dict[PartSet, _Cause]] = attrs.field(factory=dict)

    def explain(self, processes: Mapping[str, Crash]) -> bool:
        """Check whether one of the causes is as likely that of each crash."""
        return all(
            any(other.processes[process].weight >= crash.weight for other in self._at(process))
            for process, crash in processes.items()
        )

    def unexplained(self, processes: Mapping[str, Crash]) -> dict[str, Crash]:
        """Return crashes without those under requests that a cause of more evidence was in, too."""
        evidence = evidence_of(processes)
        return {
            process: crash
            for process, crash in processes.items()
            if not any(
                other.evidence > evidence
                and set(crash.requests) <= set(other.processes[process].requests)
                for other in self._at(process)
            )
        }

    def add(self, cause: PartSet, processes: Mapping[str, Crash]) -> None:
        """Add a cause and its crashes."""
        added = _Cause(processes=processes, evidence=evidence_of(processes))
        for process in processes:
            self._causes.setdefault(process, {})[cause] = added

    def remove(self, cause: PartSet, processes: Mapping[str, Crash]) -> None:
        """Remove a cause that was added with these crashes."""
        for process in processes:
            del self._causes[process][cause]

    def _at(self, process: str) -> Iterable[_Cause]:
        return self._causes.get(process, {}).values()


def is_cause(processes: Mapping[str, Crash], *, bound: EvidenceBound) -> bool:
    """Check whether there is enough evidence, and not of one request alone."""
    if len(processes) < bound.crashes:
        return False
    started = started_crashes(processes)
    if len(started) >= bound.crashes and _has_different_requests(started):
        return True
    return has_evidence(processes, bound=bound) and not _is_of_one_request(processes)


def has_evidence(processes: Mapping[str, Crash], *, bound: EvidenceBound) -> bool:
    """Check whether crashes are enough by ``bound``, whichever requests were there."""
    if len(started_crashes(processes)) >= bound.crashes:
        return True
    is_enough = len(processes) >= bound.crashes and evidence_of(processes) >= bound.weight
    return is_enough and count_moments(processes) >= bound.moments


def count_moments(processes: Mapping[str, Crash]) -> int:
    """Return how many moments crashes are from: those of one moment may have one cause."""
    moments, begun_at = 0, 0.0
    for at in sorted(crash.at for crash in processes.values()):
        if not moments or at - begun_at > CORRELATION_WINDOW_S:
            moments, begun_at = moments + 1, at
    return moments


def evidence_of(processes: Mapping[str, Crash]) -> float:
    """Return how much evidence crashes are together."""
    return sum(crash.weight for crash in processes.values())


def _has_different_requests(processes: Mapping[str, Crash]) -> bool:
    requests = {request for crash in processes.values() for request in crash.requests}
    return len(requests) >= MIN_REQUESTS


def _is_of_one_request(processes: Mapping[str, Crash]) -> bool:
    """Check whether one request was at nearly all the evidence."""
    requests = {request for crash in processes.values() for request in crash.requests}
    if len(requests) < MIN_REQUESTS:
        return True
    return any(
        evidence_of({n: c for n, c in processes.items() if request not in c.requests})
        < OTHERS_WEIGHT
        for request in requests
    )


def is_explained_by_few(crashes: Mapping[str, Crash]) -> bool:
    """Check whether ``FEW_REQUESTS`` were at all the crashes between them."""
    return can_explain(FEW_REQUESTS, [crash.requests for crash in crashes.values()])


def can_explain(count: int, crashes: Sequence[Collection[str]]) -> bool:
    """Check whether one of some ``count`` requests was at each crash."""
    if not crashes:
        return True
    if count == 0:
        return False
    return any(
        can_explain(count - 1, [others for others in crashes if request not in others])
        for request in crashes[0]
    )


def started_crashes(processes: Mapping[str, Crash]) -> dict[str, Crash]:
    """Return the crashes that happened as an answer began."""
    return {name: crash for name, crash in processes.items() if crash.weight >= WEIGHT_STARTED}


@attrs.frozen(kw_only=True)
class _FirstEvent:
    """The first event of an answer on some parts; ``at`` in seconds."""

    parts: tuple[str, ...]
    at: float


@attrs.define(kw_only=True)
class SoundParts:
    """The parts on which answers have begun; times are seconds of the monotonic clock."""

    _begun_at: dict[str, float] = attrs.field(factory=dict)
    """When an answer last began on each part, the oldest first."""
    _first_events: dict[str, list[_FirstEvent]] = attrs.field(factory=dict)
    """Those that show nothing yet, by the process that wrote them."""

    def record_begin(self, parts: Iterable[str], now: float) -> None:
        """Record that an answer has begun on a prompt with these parts."""
        for part in parts:
            self._begun_at.pop(part, None)
            self._begun_at[part] = now
        while len(self._begun_at) > MAX_SOUND_PARTS:
            del self._begun_at[next(iter(self._begun_at))]

    def record_first_event(self, process: str, parts: tuple[str, ...], now: float) -> None:
        """Record a first event, which shows something once its process has lived on."""
        self._first_events.setdefault(process, []).append(_FirstEvent(parts=parts, at=now))

    def withdraw(self, process: str) -> None:
        """Forget the first events of a process that has crashed."""
        self._first_events.pop(process, None)

    def take_lived_on(self, now: float) -> tuple[tuple[str, ...], ...]:
        """Return the parts of each first event whose process has lived on since, only once."""
        found: list[tuple[str, ...]] = []
        for process, events in list(self._first_events.items()):
            found += [event.parts for event in events if now - event.at >= LIVED_ON_S]
            open_events = [event for event in events if now - event.at < LIVED_ON_S]
            if open_events:
                self._first_events[process] = open_events
            else:
                del self._first_events[process]
        return tuple(found)

    def knows_any(self, now: float) -> bool:
        """Check whether an answer has begun of late on any prompt that shares parts."""
        newest = next(reversed(self._begun_at.values()), None)
        return newest is not None and now - newest <= SOUND_S

    def unproven(self, parts: Iterable[str], now: float) -> tuple[str, ...]:
        """Return those of the parts on which no answer has begun of late."""
        return tuple(part for part in parts if not self._is_sound(part, now))

    def expire(self, now: float) -> None:
        """Remove parts on which no answer has begun for ``SOUND_S``."""
        for part, begun_at in list(self._begun_at.items()):
            if now - begun_at <= SOUND_S:
                break
            del self._begun_at[part]

    def _is_sound(self, part: str, now: float) -> bool:
        begun_at = self._begun_at.get(part)
        return begun_at is not None and now - begun_at <= SOUND_S
