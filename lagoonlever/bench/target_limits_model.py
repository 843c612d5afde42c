"""A model of VMs that keep together to the limits that targets name, in virtual time.

Three ways: a share of the limit for each VM; shares for as many VMs as the slack of the bound
lets send at once; and one VM that counts for all. Messages are lost and late, and the first VM
by rank dies in the middle, which the others notice one after the other.
"""

from __future__ import annotations

import enum
import random

import attrs

from lagoonlever.decisions.fleet.rendezvous import rank_by_hash
from lagoonlever.decisions.targets.limit_permits import (
    MIN_REQUIRED_PERMITS,
    DeniedTargets,
    Granted,
    PermitBuckets,
)

WINDOW_S = 4.0
SHARE = 1.5
SLACK = 5
RUN_S = 40.0
DIES_AT_S = 20.0
NOTICED_S = (1.0, 2.7)
"""From the death of a VM until another one has noticed it, at least and at most."""
UNSURE_S = 0.1
HOLD_SPREAD = 0.5


class Way(enum.Enum):
    """How VMs keep to a limit together."""

    SHARES = "a share for each VM"
    SENDERS = "shares for a few VMs"
    COUNTED = "one VM counts"


@attrs.frozen(kw_only=True)
class LimitCase:
    """One deployment: all ``targets`` of a service name ``per_s``."""

    vms: int
    targets: int
    per_s: float
    demand: float = 3.0
    """Requests a second, as a multiple of what all targets take."""
    lost: float = 0.02
    """The part of all messages that is lost."""

    @property
    def allowed(self) -> float:
        """What a target may get in a window."""
        return SHARE * self.per_s * WINDOW_S + SLACK


@attrs.frozen(kw_only=True)
class LimitRun:
    """What came of a run."""

    worst: float
    """The most that a target got in a window, of what is allowed."""
    used: float
    """What targets got, of what they name."""


@attrs.define(kw_only=True)
class _Bucket:
    tokens: float
    at: float = 0.0

    def take(self, rate: float, now: float) -> bool:
        self.tokens = min(1.0, self.tokens + rate * (now - self.at))
        self.at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define(kw_only=True)
class LimitModel:
    """Plays one case in one way."""

    _case: LimitCase
    _way: Way
    _rng: random.Random
    _names: list[str] = attrs.field(init=False)
    _noticed: dict[str, float] = attrs.field(factory=dict)
    _buckets: dict[tuple[str, str], _Bucket] = attrs.field(factory=dict)
    _books: dict[str, PermitBuckets] = attrs.field(factory=dict)
    _held: dict[str, DeniedTargets] = attrs.field(factory=dict)
    _ranks: dict[str, list[str]] = attrs.field(factory=dict)
    _arrived: dict[str, list[float]] = attrs.field(factory=dict)

    @_names.default
    def _make_names(self) -> list[str]:
        return [f"vm-{number}" for number in range(self._case.vms)]

    def run(self) -> LimitRun:
        """Play until the end, with a death of the VM that counts for the first target."""
        case = self._case
        targets = [f"target-{number}" for number in range(case.targets)]
        dead = self._by_rank(targets[0])[0]
        self._noticed = {name: DIES_AT_S + self._rng.uniform(*NOTICED_S) for name in self._names}
        rate, now = case.demand * case.per_s * case.targets, 0.0
        while now < RUN_S:
            now += self._rng.expovariate(rate)
            vm = self._rng.choice(self._names)
            if vm == dead and now >= DIES_AT_S:
                continue
            self._request(vm, targets, dead, now)
        worst = max(self._worst(times) for times in self._arrived.values())
        total = sum(len(times) for times in self._arrived.values())
        return LimitRun(
            worst=worst / case.allowed, used=total / (RUN_S * case.per_s * case.targets)
        )

    def _request(self, vm: str, targets: list[str], dead: str, now: float) -> None:
        for target in self._rng.sample(targets, len(targets)):
            if self._may_send(vm, target, dead, now):
                self._arrived.setdefault(target, []).append(now)
                return

    def _may_send(self, vm: str, target: str, dead: str, now: float) -> bool:
        by_rank = self._by_rank(target)
        if now >= self._noticed[vm]:
            by_rank = [name for name in by_rank[: self._most_senders + 1] if name != dead]
        if self._way is Way.SHARES:
            return self._bucket(vm, target).take(self._case.per_s / self._case.vms, now)
        if self._way is Way.SENDERS:
            senders = by_rank[: self._most_senders]
            rate = self._case.per_s / len(senders)
            return vm in senders and self._bucket(vm, target).take(rate, now)
        return self._ask(vm, target, by_rank[0], dead, now)

    @property
    def _most_senders(self) -> int:
        return SLACK + int(2 * self._case.per_s)

    def _by_rank(self, target: str) -> list[str]:
        if target not in self._ranks:
            self._ranks[target] = rank_by_hash(self._names, purpose=f"limit {target}")
        return self._ranks[target]

    def _ask(self, vm: str, target: str, counter: str, dead: str, now: float) -> bool:
        held = self._held.setdefault(vm, DeniedTargets())
        if held.is_denied(target, need=MIN_REQUIRED_PERMITS, now=now):
            return False
        is_gone = counter == dead and now >= DIES_AT_S
        if counter != vm and (is_gone or self._rng.random() < 2 * self._case.lost):
            held.record_denial(target, need=MIN_REQUIRED_PERMITS, until=now + UNSURE_S)
            return False
        book = self._books.setdefault(counter, PermitBuckets())
        outcome = book.acquire(target, per_s=self._case.per_s, need=MIN_REQUIRED_PERMITS, now=now)
        if isinstance(outcome, Granted):
            return True
        wait_s = outcome.wait_s * self._rng.uniform(1.0, 1.0 + HOLD_SPREAD)
        held.record_denial(target, need=MIN_REQUIRED_PERMITS, until=now + wait_s)
        return False

    def _bucket(self, vm: str, target: str) -> _Bucket:
        key = (vm, target)
        if key not in self._buckets:
            self._buckets[key] = _Bucket(tokens=self._rng.random())
        return self._buckets[key]

    def _worst(self, times: list[float]) -> int:
        most, first = 0, 0
        for number, at in enumerate(times):
            while at - times[first] >= WINDOW_S:
                first += 1
            most = max(most, number - first + 1)
        return most
