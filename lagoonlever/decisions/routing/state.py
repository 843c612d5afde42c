"""What one VM remembers for routing: its own dispatches, prefixes, and its subset."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence

import attrs

from lagoonlever.decisions.routing.prefixes import PrefixIndex
from lagoonlever.decisions.targets.targets import Target

DEFAULT_SLOTS = 16
HISTORY_S = 20.0
EXPECTED_LAG_S = 1.0
"""How old a load report is taken to be when it arrives; engines don't tell."""
BELIEF_DECAY_S = 1.0
"""A report's difference from the others' mean loses weight with its age at this pace."""
SERVICE_WEIGHT = 0.05
FIRST_SERVICE_S = 5.0


@attrs.frozen
class _Level:
    at: float
    in_flight: int


@attrs.define
class _Ledger:
    """The VM's own requests in flight at one target, now and over the last seconds."""

    in_flight: int = 0
    levels: deque[_Level] = attrs.field(factory=deque)

    def change(self, by: int, now: float) -> None:
        self.in_flight = max(0, self.in_flight + by)
        self.levels.append(_Level(now, self.in_flight))
        while len(self.levels) > 1 and self.levels[1].at < now - HISTORY_S:
            self.levels.popleft()

    def in_flight_at(self, at: float) -> int:
        for level in reversed(self.levels):
            if level.at <= at:
                return level.in_flight
        return 0


@attrs.frozen(kw_only=True)
class LoadEstimate:
    """Requests that a target is thought to have now, and how many it runs at once."""

    busy: float
    slots: int

    @property
    def excess(self) -> float:
        """Requests that one more would wait behind, in rounds of a full batch."""
        return max(0.0, self.busy + 1.0 - self.slots) / self.slots

    @property
    def fill(self) -> float:
        """Requests in rounds of a full batch."""
        return self.busy / self.slots


@attrs.define(kw_only=True)
class RoutingState:
    """The memory of one VM's routing; the only writer is the part that dispatches."""

    _expected_lag_s: float = EXPECTED_LAG_S
    _decay_s: float = BELIEF_DECAY_S
    _ledgers: dict[str, _Ledger] = attrs.field(factory=dict)
    _subset: frozenset[str] | None = None
    _turns: int = 0
    _service_s: float = FIRST_SERVICE_S
    prefixes: PrefixIndex = attrs.field(factory=PrefixIndex)

    @property
    def service_s(self) -> float:
        """The mean time of a request at a target, learnt from those that ended."""
        return self._service_s

    def in_subset(self, name: str) -> bool:
        """Tell whether this VM uses a target."""
        return self._subset is None or name in self._subset

    def in_flight(self, name: str) -> int:
        """Give this VM's requests in flight at a target."""
        ledger = self._ledgers.get(name)
        return 0 if ledger is None else ledger.in_flight

    def estimates(self, targets: Sequence[Target], now: float) -> dict[str, LoadEstimate]:
        """Give the load of each target: own requests exactly, those of other VMs by report.

        Guards against herds: nine VMs that read the same old report of an idle
        target would all go there until the next one. Own requests since the
        report count at once, and what it says of the others' requests shrinks
        to the mean over the targets as it ages.
        """
        others = {target.name: self._others(target) for target in targets}
        known = [count for count in others.values() if count is not None]
        mean = sum(known) / len(known) if known else 0.0
        return {
            target.name: LoadEstimate(
                busy=self.in_flight(target.name) + self._aged(target, others, mean, now),
                slots=target.load.slots if target.load else DEFAULT_SLOTS,
            )
            for target in targets
        }

    def use_subset(self, names: Iterable[str] | None) -> None:
        """Use only these targets, or all of them."""
        self._subset = None if names is None else frozenset(names)

    def next_turn(self) -> int:
        """Give a number that counts the choices made in turn."""
        self._turns += 1
        return self._turns

    def dispatched(self, target: str, blocks: Sequence[int], now: float) -> None:
        """Note that a request is being written to a target, which will cache its prompt."""
        self._ledgers.setdefault(target, _Ledger()).change(+1, now)
        self.prefixes.stored(target, blocks)

    def ended(self, target: str, now: float, *, took_s: float | None = None) -> None:
        """Note that a request is over; ``took_s`` is None when the target failed."""
        ledger = self._ledgers.get(target)
        if ledger is not None:
            ledger.change(-1, now)
        if took_s is not None:
            self._service_s += SERVICE_WEIGHT * (took_s - self._service_s)

    def forget(self, target: str) -> None:
        """Note that a life of a target is over: its cache is lost."""
        self.prefixes.forget(target)
        ledger = self._ledgers.get(target)
        if ledger is not None and not ledger.in_flight:
            del self._ledgers[target]

    def _others(self, target: Target) -> float | None:
        """Give the requests of other VMs by the report, without this VM's at that time."""
        if target.load is None:
            return None
        reported = target.load.running + target.load.waiting
        ledger = self._ledgers.get(target.name)
        counted_at = target.load.received_at - self._expected_lag_s
        own = 0 if ledger is None else ledger.in_flight_at(counted_at)
        return float(max(0, reported - own))

    def _aged(
        self, target: Target, others: dict[str, float | None], mean: float, now: float
    ) -> float:
        reported = others[target.name]
        if reported is None or target.load is None:
            return mean
        age_s = target.load.age_s(now) + self._expected_lag_s
        return mean + (reported - mean) * math.exp(-age_s / self._decay_s)
