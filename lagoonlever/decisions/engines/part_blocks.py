"""Decision how long a part that is taken for a cause is blocked, and who may try it then.

A block hides the answers that would clear a part, so one that may be wrong ends after seconds. A
block that is right costs an engine each time it ends: so each one is longer than the one before,
and after a few it is as long as one that is certain. And what comes as it ends must not reach an
engine all at once, from every VM: one request of the fleet tries, and all others wait for what
becomes of it.

- The VMs have turns, in an order that each of them finds by itself, and the first one with a
  request for the part tries. It tells the others, which then wait.
- A crash blocks the part again, for all; an answer that begins clears it. A trial that is never
  heard of again ends by itself.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable, Mapping

import attrs

from lagoonlever.decisions.engines.part_causes import (
    SOUND_S,
    SURE,
    UNCERTAIN_BLOCK_S,
    UNTESTED_BLOCKING,
    PartSet,
    evidence_of,
    has_evidence,
    is_explained_by_few,
)
from lagoonlever.decisions.engines.target_crashes import Crash
from lagoonlever.decisions.fleet.rendezvous import rank_by_hash

BLOCK_S = 600.0
"""How long a block lasts that is not doubted.

The fault in the target's software may have been fixed by then.
"""
SURE_ALONE_WEIGHT = 1.5
"""Of the evidence for a part, what no other cause may explain."""
MOST_TRIALS = 3
"""Crashes of trials after which a block is not doubted any more."""
TRIAL_FACTOR = 4.0
"""How many times as long a block is as the one before."""
KNOWN_WITHIN_S = 3.0
"""After the crash that blocks a part every VM knows: a crash later than that was of a trial."""
TURN_S = 0.5
"""From the turn of one VM to that of the next: well beyond a message."""
TRIAL_KEPT_S = 12.0
"""A trial that has shown nothing for so long counts as over."""
REQUEST_TRIAL_KEPT_S = 5.0
"""The same for a request, whose caller may come back to another VM."""
MEET_S = 2.0
"""A VM that has just started tries no part for so long: it has not met the others yet."""


def block_s(
    crashes: Mapping[str, Crash],
    *,
    beside: Container[str],
    answers_known: bool,
    other_suspects: int,
) -> float:
    """Return how long after the last crash a request is blocked for a part.

    ``crashes`` are those of the part, and ``beside`` the processes that other causes crashed. Of
    the request's other suspects more may be causes, so that requests with fewer try first.
    """
    alone = {process: crash for process, crash in crashes.items() if process not in beside}
    is_sure = answers_known and has_evidence(crashes, bound=SURE)
    is_sure = is_sure and evidence_of(alone) >= SURE_ALONE_WEIGHT
    if is_sure and not is_explained_by_few(crashes):
        return BLOCK_S
    trials = count_trials(crashes)
    if trials >= MOST_TRIALS:
        return BLOCK_S
    factor = TRIAL_FACTOR**trials
    if is_sure and len(crashes) >= UNTESTED_BLOCKING.crashes:
        return min(BLOCK_S, SOUND_S * factor)
    return min(BLOCK_S, UNCERTAIN_BLOCK_S * (1 + other_suspects) * factor)


def count_trials(crashes: Mapping[str, Crash]) -> int:
    """Return how many of a part's crashes came when every VM knew that it is blocked."""
    times = sorted(crash.at for crash in crashes.values())
    if len(times) < UNTESTED_BLOCKING.crashes:
        return 0
    known_at = times[UNTESTED_BLOCKING.crashes - 1] + KNOWN_WITHIN_S
    return sum(at > known_at for at in times)


@attrs.frozen(kw_only=True)
class OpenTrial:
    """A part whose block is over, and that nothing has cleared."""

    parts: PartSet
    """Those that can't be told apart."""
    crash_count: int
    over_s: float
    """For how long the block has been over, in seconds."""
    is_request: bool = False
    """Whether it is a whole request, of which one copy at a time goes on, by any VM."""
    is_doubt: bool = False
    """Whether the parts are not blocked yet, and may be cleared."""
    own_weight: float = 0.0
    """In a doubt, what the request's own crashes weigh: with it ``over_s`` begins later."""

    @property
    def kept_s(self) -> float:
        """After how long a trial that has shown nothing counts as over."""
        return REQUEST_TRIAL_KEPT_S if self.is_request else TRIAL_KEPT_S

    @property
    def key(self) -> str:
        """The trial's name, the same at every VM; the next one has another.

        While parts are in doubt there is one, however many more crashes are told.
        """
        turn = "doubt" if self.is_doubt else self.crash_count
        return f"{'|'.join(sorted(self.parts))}#{turn}"


@attrs.frozen(kw_only=True)
class _Elsewhere:
    """A trial of another VM, and when it was told."""

    vm: str
    at: float


@attrs.define(kw_only=True)
class PartTrials:
    """The trials that this VM makes or has heard of; times in seconds of the monotonic clock."""

    _own: dict[str, str] = attrs.field(factory=dict)
    """The request that tries, by the trial's key."""
    _elsewhere: dict[str, _Elsewhere] = attrs.field(factory=dict)
    """By the trial's key."""

    def wait_s(
        self,
        trial: OpenTrial,
        request: str,
        now: float,
        *,
        own: str,
        vms: Iterable[str],
        up_s: float = math.inf,
    ) -> float:
        """Return for how long a request has to wait; 0 if it is the one that tries.

        ``own`` is this VM's name, ``vms`` those of all VMs that are there, read only if they
        matter, ``up_s`` for how long this one has been up.
        """
        holder = self._own.get(trial.key)
        if holder == request:
            return 0.0
        if holder is not None:
            return TURN_S
        elsewhere = self._elsewhere.get(trial.key)
        if elsewhere is not None and now - elsewhere.at < trial.kept_s:
            # The caller of a request whose VM is gone comes back at once.
            is_over = trial.is_request and elsewhere.vm not in {*vms, own}
            if not is_over:
                return trial.kept_s - (now - elsewhere.at)
        if trial.is_request:
            return 0.0
        order = rank_by_hash({*vms, own}, purpose=_purpose(trial.key))
        return max(0.0, order.index(own) * TURN_S - min(trial.over_s, up_s - MEET_S))

    def begin(self, key: str, request: str) -> bool:
        """Record that a request tries; return whether it is news."""
        if self._own.get(key) == request:
            return False
        self._own[key] = request
        return True

    def record_elsewhere(self, key: str, now: float, *, vm: str, own: str) -> bool:
        """Record that another VM tries; return whether an own trial gives way to it.

        Two that began at the same moment find by themselves which of them goes on. A hub may pass
        this VM's own word back to it.
        """
        if vm == own:
            return False
        is_later = key in self._own and rank_by_hash({vm, own}, purpose=_purpose(key))[0] == own
        if is_later:
            return False
        self._elsewhere[key] = _Elsewhere(vm=vm, at=now)
        return self._own.pop(key, None) is not None

    def record_over(self, key: str, *, vm: str) -> None:
        """Record that the trial of another VM has ended."""
        elsewhere = self._elsewhere.get(key)
        if elsewhere is not None and elsewhere.vm == vm:
            del self._elsewhere[key]

    def record_end(self, request: str) -> tuple[str, ...]:
        """Record that a request has ended, whatever became of it; return its trials."""
        ended = tuple(key for key, holder in self._own.items() if holder == request)
        for key in ended:
            del self._own[key]
        return ended

    def expire(self, now: float) -> None:
        """Forget trials of others that have shown nothing."""
        self._elsewhere = {
            key: trial for key, trial in self._elsewhere.items() if now - trial.at < TRIAL_KEPT_S
        }


def _purpose(key: str) -> str:
    return f"trial|{key}"
