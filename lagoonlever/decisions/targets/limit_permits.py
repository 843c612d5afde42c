"""Permits by which all VMs together keep to a target's rate limit, for the most valuable work.

An overloaded target may report a limit of, for example, 2.8 requests per second, while hundreds
of VMs have requests for it. An equal share for each VM would be one request in two minutes,
mostly at VMs that have none just then, and one request of each VM at once already exceeds the
limit. So one VM, the limit coordinator, issues the permits of a target to all VMs, a different
VM for each target, and a VM requests a permit before it sends a request. All VMs compute the same
coordinator while their membership views agree. A VM issues no permits if by its view another VM
is the coordinator, and a VM that gets no answer sends nothing.

If the coordinator dies while the load is at its highest, it takes other VMs a second or two to
remove it from their views. Until then the next VM by rank stands in with a part of the limit, as
the coordinator may only be slow and still issue permits.

Permits accumulate at the rate of the limit. The less valuable some work is, the more of them have
to be saved before it gets one. Work that has begun, so that its caller has a part of the answer,
requires the fewest, like a first attempt of the highest priority. A lower priority requires more,
and so does a retry.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.fleet.rendezvous import rank_by_hash

MIN_RATE_PER_S = 0.25
"""A target that reports a lower limit, or none at all, still gets this many requests per second.

An answer now and then shows when the overload is over.
"""
MIN_REQUIRED_PERMITS = 1.0
"""Number of permits that must be saved before the most valuable work gets one."""
EXTRA_PERMITS_PER_RANK = 0.25
"""Number of further permits for each rank of an organisation or route below the first."""
MAX_RANK = 3
"""Ranks beyond this one are treated like it."""
EXTRA_PERMITS_FOR_RETRY = 0.5
"""Number of further permits for an attempt after the first, which is useful but not needed."""
MAX_SAVED_PERMITS = 2.5
"""The maximum number of saved permits at a low limit.

It is more than the highest number that any work requires, so that all work gets permits.
"""
STAND_IN_SHARE = 0.4
"""The part of a limit that the VM which stands in for a silent coordinator issues permits for.

If the coordinator is only slow and issues the whole limit, the sum stays below 1.5 of the limit.
"""
MAX_MISSES = 2
"""A VM counts as silent after this many unanswered requests in succession; one may get lost."""
MIN_MISS_SPACING_S = 0.05
"""Unanswered requests that are closer in time count as one, as one pause affects them all."""
MISSES_KEPT_S = 1.5
"""This long after its last unanswered request, a VM is no longer counted as silent.

It is longer than it takes other VMs to remove a dead VM from their views.
"""
MAX_SAVED_S = 0.25
"""The maximum number of saved permits at a high limit, in seconds of the limit's rate."""


@dataclass(frozen=True, kw_only=True)
class Granted:
    """One request may be sent now; ``counted`` if a permit was used up for it."""

    counted: bool = True


@dataclass(frozen=True, kw_only=True)
class Denied:
    """No request may be sent now; a request of the same value may be in ``wait_s`` seconds."""

    wait_s: float


PermitOutcome = Granted | Denied


def required_permits(*, priority: int, begun: bool, first: bool) -> float:
    """Return how many permits must be saved before some work gets one.

    ``priority`` 0 is the highest. ``first`` says whether it is the first attempt. Work that has
    ``begun``, so that its caller has a part of the answer, requires the fewest.
    """
    if begun:
        return MIN_REQUIRED_PERMITS
    need = MIN_REQUIRED_PERMITS + EXTRA_PERMITS_PER_RANK * min(max(priority, 0), MAX_RANK)
    return need if first else need + EXTRA_PERMITS_FOR_RETRY


def limit_coordinator(target: str, vms: Iterable[str]) -> str:
    """Return the VM that issues the permits of a target."""
    return limit_coordinators(target, vms)[0]


def limit_coordinators(target: str, vms: Iterable[str]) -> list[str]:
    """Return the VM that issues the permits of a target, and then the one that stands in for it.

    With a single VM there is none to stand in.
    """
    return rank_by_hash(vms, purpose=f"limit {target}")[:2]


@attrs.define(kw_only=True)
class _Permits:
    saved: float
    """Number of saved permits; fractions accumulate until a permit is whole."""
    at: float
    """When ``saved`` was updated last."""


@attrs.define(kw_only=True)
class PermitBuckets:
    """A token bucket of permits for each target; times in monotonic seconds."""

    _permits: dict[str, _Permits] = attrs.field(factory=dict)

    def begin(self, target: str, now: float) -> None:
        """Begin to save permits for a target that reports a limit, from 0.

        Every VM does, so that a VM which becomes the coordinator has permits saved already.
        """
        self._permits.setdefault(target, _Permits(saved=0.0, at=now))

    def acquire(self, target: str, *, per_s: float, need: float, now: float) -> PermitOutcome:
        """Use up a permit to send one request to a target, if at least ``need`` are saved.

        ``per_s`` is the target's limit in requests per second.
        """
        per_s = max(per_s, MIN_RATE_PER_S)
        self.begin(target, now)
        permits = self._permits[target]
        earned = permits.saved + per_s * (now - permits.at)
        permits.saved = min(max(MAX_SAVED_PERMITS, MAX_SAVED_S * per_s), earned)
        permits.at = now
        if permits.saved < need:
            return Denied(wait_s=(need - permits.saved) / per_s)
        permits.saved -= 1.0
        return Granted()

    def forget(self, target: str) -> None:
        """Remove the permits of a target that has restarted as another process."""
        self._permits.pop(target, None)

    def retain(self, targets: Collection[str]) -> None:
        """Remove the permits of all other targets."""
        for target in self._permits.keys() - set(targets):
            del self._permits[target]


@attrs.frozen(kw_only=True)
class _Misses:
    count: int
    at: float
    """When the last of them was counted."""


@attrs.define(kw_only=True)
class SilentVms:
    """The VMs that did not answer permit requests of this VM lately; times in monotonic seconds."""

    _misses: dict[str, _Misses] = attrs.field(factory=dict)

    def record_answer(self, vm: str) -> None:
        """Record that a VM answered a request."""
        self._misses.pop(vm, None)

    def record_miss(self, vm: str, now: float) -> None:
        """Record that a VM did not answer a request."""
        known = self._misses.get(vm)
        if known is None or now - known.at > MISSES_KEPT_S:
            known = _Misses(count=0, at=float("-inf"))
        if now - known.at >= MIN_MISS_SPACING_S:
            self._misses[vm] = _Misses(count=known.count + 1, at=now)

    def is_silent(self, vm: str, now: float) -> bool:
        """Check whether a VM left ``MAX_MISSES`` requests in succession unanswered.

        The last of them counts for ``MISSES_KEPT_S``.
        """
        known = self._misses.get(vm)
        if known is None or now - known.at > MISSES_KEPT_S:
            return False
        return known.count >= MAX_MISSES

    def retain(self, vms: Collection[str]) -> None:
        """Remove all other VMs."""
        for vm in self._misses.keys() - set(vms):
            del self._misses[vm]


@attrs.define(kw_only=True)
class DeniedTargets:
    """Targets at which permits were denied lately, so that work goes to others meanwhile.

    Times are seconds of the monotonic clock.
    """

    _until: dict[str, dict[float, float]] = attrs.field(factory=dict)
    """By target and required permits of the work, until when work is denied."""

    def record_denial(self, target: str, *, need: float, until: float) -> None:
        """Record that work which requires ``need`` saved permits was denied."""
        self._until.setdefault(target, {})[need] = until

    def is_denied(self, target: str, *, need: float, now: float) -> bool:
        """Check whether work of this value, or of a higher one, is to wait for permits still.

        Work is the more valuable the fewer saved permits it requires.
        """
        denied = self._until.get(target)
        return denied is not None and any(n <= need and now < at for n, at in denied.items())

    def forget(self, target: str) -> None:
        """Remove all denials at a target."""
        self._until.pop(target, None)

    def expire(self, now: float) -> None:
        """Remove targets at which no work is denied any more."""
        for target in [t for t, denied in self._until.items() if now >= max(denied.values())]:
            del self._until[target]
