"""Lets through what a target in need takes of all VMs together, the most valuable work first.

The load that is answered: a target names 2.8 requests a second, and hundreds of VMs have work
for it. A share for each VM would be one request in two minutes, mostly at VMs that have none just
then, and one request of each VM at once is already too many. So one VM counts for all, a
different one for each target: whoever wants to send asks it first. VMs work out alike who
that is, while their views agree; it grants nothing that it takes another VM to count, and a VM
that gets no answer sends nothing.

When that VM dies at a crest, others take a second or two to leave it out. Until then the next one
by rank stands in, for a part of the limit: the first may only be slow, and count on.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.fleet.rendezvous import rank_by_hash

LEAST_PER_S = 0.25
"""Of a target that takes less, or nothing: an answer now and then shows when that is over."""
FIRST_NEED = 1.0
"""Permits that must be saved for the most valuable work."""
RANK_NEED = 0.25
"""Beyond it for each rank of an organisation or route below the first."""
RANKS = 3
"""Ranks that are told apart."""
AGAIN_NEED = 0.5
"""Beyond it for an attempt after the first, which is only of advantage."""
MOST_SAVED = 2.5
"""Permits, so that each kind of work can be reached."""
STAND_IN_SHARE = 0.4
"""Of a limit: with all of it at the silent VM the sum stays below one and a half of the limit."""
SILENT_MISSES = 2
"""Questions in turn without an answer: one may be lost."""
MISS_APART_S = 0.05
"""Questions closer together that go without an answer are one miss: one pause takes them all."""
MISS_KEPT_S = 1.5
"""From the last of these until the VM is taken for one that answers: longer than others need to
leave out one that is dead."""
MOST_SAVED_S = 0.25
"""The same of a high limit, as the time in which it lets them through."""


@dataclass(frozen=True, kw_only=True)
class Granted:
    """One request may be sent now; ``counted`` if it was taken from a limit."""

    counted: bool = True


@dataclass(frozen=True, kw_only=True)
class Denied:
    """None may be sent now; one like it may be after ``wait_s`` seconds."""

    wait_s: float


PermitOutcome = Granted | Denied


def need_of(*, priority: int, begun: bool, first: bool) -> float:
    """Give the permits that must be saved before work gets one; ``priority`` 0 is the highest.

    An answer that its caller has a part of comes first.
    """
    if begun:
        return FIRST_NEED
    need = FIRST_NEED + RANK_NEED * min(max(priority, 0), RANKS)
    return need if first else need + AGAIN_NEED


def counter_of(target: str, vms: Iterable[str]) -> str:
    """Give the VM that counts the requests to a target."""
    return counters_of(target, vms)[0]


def counters_of(target: str, vms: Iterable[str]) -> list[str]:
    """Give the VM that counts the requests to a target, and then the one that stands in for it."""
    return rank_by_hash(vms, purpose=f"limit {target}")[:2]


@attrs.define(kw_only=True)
class _Permits:
    saved: float
    at: float


@attrs.define(kw_only=True)
class PermitBook:
    """The permits of the targets that this VM counts for; times in monotonic seconds."""

    _permits: dict[str, _Permits] = attrs.field(factory=dict)

    def begin(self, target: str, now: float) -> None:
        """Begin to save for a target that names a limit, with none.

        Each VM does, so that whoever counts from then on need not begin anew.
        """
        self._permits.setdefault(target, _Permits(saved=0.0, at=now))

    def ask(self, target: str, *, per_s: float, need: float, now: float) -> PermitOutcome:
        """Take a permit to send one request, if enough are saved."""
        per_s = max(per_s, LEAST_PER_S)
        self.begin(target, now)
        permits = self._permits[target]
        earned = permits.saved + per_s * (now - permits.at)
        permits.saved = min(max(MOST_SAVED, MOST_SAVED_S * per_s), earned)
        permits.at = now
        if permits.saved < need:
            return Denied(wait_s=(need - permits.saved) / per_s)
        permits.saved -= 1.0
        return Granted()

    def forget(self, target: str) -> None:
        """Drop the count of a target whose process is another one now."""
        self._permits.pop(target, None)

    def retain(self, targets: Collection[str]) -> None:
        """Drop the counts of all other targets."""
        for target in self._permits.keys() - set(targets):
            del self._permits[target]


@attrs.frozen(kw_only=True)
class _Misses:
    count: int
    at: float


@attrs.define(kw_only=True)
class SilentVms:
    """VMs that did not answer this one's questions of late; times in monotonic seconds."""

    _misses: dict[str, _Misses] = attrs.field(factory=dict)

    def answered(self, vm: str) -> None:
        """Note an answer."""
        self._misses.pop(vm, None)

    def missed(self, vm: str, now: float) -> None:
        """Note a question without an answer."""
        known = self._misses.get(vm)
        if known is None or now - known.at > MISS_KEPT_S:
            known = _Misses(count=0, at=float("-inf"))
        if now - known.at >= MISS_APART_S:
            self._misses[vm] = _Misses(count=known.count + 1, at=now)

    def is_silent(self, vm: str, now: float) -> bool:
        """Tell whether a VM has left several questions in turn without an answer."""
        known = self._misses.get(vm)
        if known is None or now - known.at > MISS_KEPT_S:
            return False
        return known.count >= SILENT_MISSES

    def retain(self, vms: Collection[str]) -> None:
        """Forget all other VMs."""
        for vm in self._misses.keys() - set(vms):
            del self._misses[vm]


@attrs.define(kw_only=True)
class HeldTargets:
    """Targets that work has been denied at of late, so that it goes elsewhere meanwhile."""

    _until: dict[str, dict[float, float]] = attrs.field(factory=dict)
    """By target and need of the work."""

    def hold(self, target: str, *, need: float, until: float) -> None:
        """Note that work of a need was denied."""
        self._until.setdefault(target, {})[need] = until

    def is_held(self, target: str, *, need: float, now: float) -> bool:
        """Tell whether work as valuable as this, or more, was denied and is to wait yet."""
        denied = self._until.get(target)
        return denied is not None and any(n <= need and now < at for n, at in denied.items())

    def forget(self, target: str) -> None:
        """Hold nothing back from a target."""
        self._until.pop(target, None)

    def expire(self, now: float) -> None:
        """Drop what is over."""
        for target in [t for t, denied in self._until.items() if now >= max(denied.values())]:
            del self._until[target]
