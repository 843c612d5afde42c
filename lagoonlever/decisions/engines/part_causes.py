"""Decision which parts of prompts cause crashes, and which parts are sound.

A part may crash each engine that begins an answer on it, whatever else the prompt holds, so no
two of its requests are alike and each alone stays below the bound. Every request brings several
parts, most of them sound:

- A part on which an answer has just begun elsewhere is sound. It is not counted at a crash, and
  an answer that begins later clears it.
- Only a crash just as an answer began is counted, once for each process. A request that had given
  events, or only waited, was there by chance.
- Crashes under one request alone may be due to its own part, so a second request is needed.
- A VM that has heard of no answer of late knows no sound part, and what all requests share is at
  every crash. So crashes of that time convict only once another part of them was cleared, or once
  there are many.
- A block hides the answers that would clear a part. So it is short where no answer is known, or
  where two requests that end engines by themselves would explain all crashes.
- The cause is at all crashes. A part that is at fewer of them than another one is explained by it.
- Parts at exactly the same crashes can't be told apart. Only requests with all of them are
  stopped. A request with some of them goes on: its answer, or one more crash, tells them apart.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from lagoonlever.decisions.engines.target_crashes import WEIGHT_STARTED, Crash, CrashesByRequest

BLOCKING_CRASHES = 3
"""Crashes after which a part is blocked; one or two may be a coincidence."""
GATHERING_CRASHES = 2
"""Crashes after which the requests with a part go to one engine."""
MIN_REQUESTS = 2
"""Different requests that must have been at the crashes."""
UNTESTED_BLOCKING_CRASHES = 5
"""Crashes after which a part is blocked though nothing is known of the parts beside it."""
FEW_REQUESTS = 2
"""So many requests may end engines by themselves, and share a part by chance."""
UNCERTAIN_BLOCK_S = 5.0
"""How long a part is blocked that may be sound; as much again for each other suspect."""
MAX_TESTED_CRASHES = 1024
"""Upper bound of the crashes that are known to be tested."""
SOUND_S = 60.0
"""A part is sound for this long after an answer began on it."""
MAX_SOUND_PARTS = 8192
"""Upper bound of the parts that are known to be sound, some 2 MB."""

PartSet = frozenset[str]


def find_part_causes(crashes: CrashesByRequest, *, min_crashes: int) -> tuple[PartSet, ...]:
    """Return the causes with ``min_crashes`` or more; parts that can't be told apart as one set.

    ``crashes`` are those under parts, by the part's id.
    """
    by_processes: dict[frozenset[str], set[str]] = {}
    for part, processes in crashes.items():
        if is_cause(processes, min_crashes=min_crashes):
            by_processes.setdefault(frozenset(started_crashes(processes)), set()).add(part)
    return tuple(
        frozenset(parts)
        for processes, parts in by_processes.items()
        if not any(processes < other for other in by_processes)
    )


def is_cause(processes: Mapping[str, Crash], *, min_crashes: int) -> bool:
    """Check whether a part has ``min_crashes``, and different requests were at them."""
    started = started_crashes(processes)
    requests = {request for crash in started.values() for request in crash.requests}
    return len(started) >= min_crashes and len(requests) >= MIN_REQUESTS


def is_explained_by_few(crashes: Mapping[str, Crash]) -> bool:
    """Check whether ``FEW_REQUESTS`` were at all the crashes between them."""
    return _can_explain(FEW_REQUESTS, [crash.requests for crash in crashes.values()])


def _can_explain(count: int, crashes: Sequence[Collection[str]]) -> bool:
    """Check whether one of some ``count`` requests was at each crash."""
    if not crashes:
        return True
    if count == 0:
        return False
    return any(
        _can_explain(count - 1, [others for others in crashes if request not in others])
        for request in crashes[0]
    )


def started_crashes(processes: Mapping[str, Crash]) -> dict[str, Crash]:
    """Return the crashes that happened as an answer began."""
    return {name: crash for name, crash in processes.items() if crash.weight >= WEIGHT_STARTED}


@attrs.define(kw_only=True)
class SoundParts:
    """The parts on which answers have begun; times are seconds of the monotonic clock."""

    _begun_at: dict[str, float] = attrs.field(factory=dict)
    """When an answer last began on each part, the oldest first."""

    def record_begin(self, parts: Iterable[str], now: float) -> None:
        """Record that an answer has begun on a prompt with these parts."""
        for part in parts:
            self._begun_at.pop(part, None)
            self._begun_at[part] = now
        while len(self._begun_at) > MAX_SOUND_PARTS:
            del self._begun_at[next(iter(self._begun_at))]

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
