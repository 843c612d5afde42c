"""Orders to engines: which to give now, by the holder of one lease, as state wanted.

An order names the whole state wanted of one engine, never a step, and carries
the lease's fencing number. Engines that compare numbers refuse an old holder's.
For those that ignore the number the order is safe by its shape: it is given
only on a state just read, only while the lease holds with a margin, and every
engine is read again and again, so that an old holder's late order is put right.
Where the settings say that an engine checks numbers, it is read seldom: only its
own loss of what it was told, as in a restart, has to be found there.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.targets.targets import ModelKey

ORDER_TIMEOUT_S = 1.0
LEASE_MARGIN_S = 1.0
"""Beyond an order's own time: what two clocks may differ by over one lease."""
READ_PERIOD_S = 2.0
"""An engine is read this often, also when nothing is to be ordered."""
CHECKED_READ_PERIOD_S = 30.0
"""The same for an engine that checks numbers: no old holder's order can stand there."""
MAX_READS_PER_S = 6.0
"""All reads that find nothing to order; a larger fleet's engines are read less often."""
MAX_READS_PER_STEP = 16
"""Reads begun in one step: a new holder stamps hundreds of engines one after the other."""
MAX_REPORT_AGE_S = 1.0
"""An order rests on a state that was read no longer ago."""
RETRY_DELAY_S = 1.0


@attrs.frozen(kw_only=True)
class WantedState:
    """The state wanted of an engine; models in no order."""

    models: tuple[ModelKey, ...] = ()
    role: str = "both"
    draining: bool = False

    def same_as(self, other: WantedState) -> bool:
        """Tell whether two states want the same."""
        return (
            set(self.models) == set(other.models)
            and self.role == other.role
            and self.draining == other.draining
        )


@attrs.frozen(kw_only=True)
class OrderReport:
    """What an engine tells: the last order it took, its number, and what it has by now."""

    fencing: int
    wanted: WantedState
    actual: WantedState


@dataclass(frozen=True, kw_only=True)
class ReadEngine:
    """Read an engine's order."""

    engine: str


@dataclass(frozen=True, kw_only=True)
class SendOrder:
    """Give an engine an order, after ``may_write`` was asked once more."""

    engine: str
    fencing: int
    wanted: WantedState


OrderAction = ReadEngine | SendOrder


@attrs.define(kw_only=True)
class LoadBudget:
    """Spreads loads of models under the weight store's rate."""

    _loads_per_s: float
    _burst: int = 1
    _tokens: float = 0.0
    _at: float = 0.0

    def covers(self, loads: int, now: float) -> bool:
        """Tell whether so many loads could be taken now; more than the burst need a whole one."""
        return not loads or self._grown(now) >= min(loads, self._burst)

    def start_empty(self, now: float) -> None:
        """Begin without any load to give.

        A new holder can't know how many loads the former began in the last moment,
        so it waits for its first one as long as between any two.
        """
        self._tokens, self._at = 0.0, now

    def take(self, loads: int, now: float) -> bool:
        """Take so many loads if the rate allows."""
        covered = self.covers(loads, now)
        self._tokens, self._at = self._grown(now), now
        if covered:
            self._tokens -= loads
        return covered

    def _grown(self, now: float) -> float:
        grown = self._tokens + (now - self._at) * self._loads_per_s
        return min(float(self._burst), grown)


@attrs.define
class _Duty:
    """What the holder knows of one engine."""

    wanted: WantedState
    report: OrderReport | None = None
    read_at: float = float("-inf")
    retry_at: float = float("-inf")
    ordered_at: float = float("-inf")
    tried_at: float = float("-inf")
    """When it was last read or ordered."""
    busy: bool = False


@attrs.define(kw_only=True)
class OrderHolder:
    """One VM's side of the orders; times are monotonic seconds of that VM."""

    _budget: LoadBudget
    _read_period_s: float = READ_PERIOD_S
    _checked_read_period_s: float = CHECKED_READ_PERIOD_S
    _reads_per_s: float = MAX_READS_PER_S
    _fencing: int | None = None
    _valid_until: float = float("-inf")
    _duties: dict[str, _Duty] = attrs.field(factory=dict)

    @property
    def fencing(self) -> int | None:
        """The fencing number while the lease is thought to be held, or None."""
        return self._fencing

    def may_write(self, fencing: int, now: float) -> bool:
        """Tell whether an order may be written now; ask right before the write.

        Guards against a holder that was paused and wakes after its lease has
        lapsed: the clock went on meanwhile, so the lease counts as void even if
        nobody told. The margin covers the order's own time on its way.
        """
        return self._fencing == fencing and now + ORDER_TIMEOUT_S <= self._valid_until

    def record_lease_acquired(self, *, fencing: int, sent_at: float, ttl_s: float) -> None:
        """Take that the lease is held; ``sent_at`` is before the call that granted it.

        What was wanted under an earlier lease is forgotten: it may have changed.
        """
        self._fencing = fencing
        self._valid_until = sent_at + ttl_s - LEASE_MARGIN_S
        self._duties.clear()
        self._budget.start_empty(sent_at)

    def record_lease_renewed(self, *, sent_at: float, ttl_s: float) -> None:
        """Take that the lease was renewed by a call sent then."""
        self._valid_until = max(self._valid_until, sent_at + ttl_s - LEASE_MARGIN_S)

    def step_down(self) -> None:
        """Take that the lease is lost; it counts only once acquired anew."""
        self._fencing = None
        self._valid_until = float("-inf")

    def update_wanted(self, wanted: Mapping[str, WantedState]) -> None:
        """Take the states that operators want, read from the platform under this lease."""
        for name in self._duties.keys() - wanted.keys():
            del self._duties[name]
        for name, state in wanted.items():
            self._duties.setdefault(name, _Duty(state)).wanted = state

    def next_actions(
        self, engines: Iterable[str], now: float, *, checked: Collection[str] = ()
    ) -> list[OrderAction]:
        """Give what to do now, at most one thing for each engine at a time.

        Engines that are ``checked`` refuse old numbers, and are read seldom.
        Whoever was ordered longest ago comes first: an engine whose answers are
        always lost must not use up the rate of loads alone.
        """
        if self._fencing is None or not self.may_write(self._fencing, now):
            return []
        names = set(engines) & self._duties.keys()
        periods_s = self._read_periods_s(names, checked)
        actions: list[OrderAction] = []
        reads: list[OrderAction] = []
        for name in sorted(names, key=lambda name: (self._duties[name].ordered_at, name)):
            action = self._next(name, self._duties[name], self._fencing, now, periods_s[name])
            if action is not None:
                (reads if isinstance(action, ReadEngine) else actions).append(action)
        # Engines that never answer are due at every step: the longest untried come first.
        reads.sort(key=lambda action: self._duties[action.engine].tried_at)
        actions += reads[:MAX_READS_PER_STEP]
        for action in actions:
            duty = self._duties[action.engine]
            duty.busy, duty.tried_at = True, now
        return actions

    def record_report(self, engine: str, report: OrderReport, now: float) -> None:
        """Take what an engine told; a greater number than ours ends our holding."""
        if self._fencing is not None and report.fencing > self._fencing:
            self.step_down()
        duty = self._duties.get(engine)
        if duty is not None:
            duty.report, duty.read_at, duty.busy = report, now, False

    def record_order_sent(self, engine: str) -> None:
        """Take that an order was written, whatever came back: it is read again at once."""
        duty = self._duties.get(engine)
        if duty is not None:
            duty.report, duty.busy = None, False

    def record_failure(self, engine: str, now: float) -> None:
        """Take that an engine was not reached."""
        duty = self._duties.get(engine)
        if duty is not None:
            duty.report, duty.busy, duty.retry_at = None, False, now + RETRY_DELAY_S

    def _read_periods_s(self, names: Collection[str], checked: Collection[str]) -> dict[str, float]:
        """Give how often to read each engine, all stretched alike to keep to the rate of reads."""
        known = frozenset(checked)
        periods_s = {
            name: self._checked_read_period_s if name in known else self._read_period_s
            for name in names
        }
        reads_per_s = sum(1.0 / period_s for period_s in periods_s.values())
        stretch = max(1.0, reads_per_s / self._reads_per_s)
        return {name: period_s * stretch for name, period_s in periods_s.items()}

    def _next(
        self, name: str, duty: _Duty, fencing: int, now: float, read_period_s: float
    ) -> OrderAction | None:
        if duty.busy or now < duty.retry_at:
            return None
        report = duty.report
        if report is None or now - duty.read_at >= read_period_s:
            return ReadEngine(engine=name)
        if report.fencing == fencing and report.wanted.same_as(duty.wanted):
            return None
        loads = _loads(report, duty.wanted)
        if not self._budget.covers(loads, now):
            return None
        if now - duty.read_at > MAX_REPORT_AGE_S:
            return ReadEngine(engine=name)
        if not self._budget.take(loads, now):
            return None
        duty.ordered_at = now
        return SendOrder(engine=name, fencing=fencing, wanted=duty.wanted)


def _loads(report: OrderReport, wanted: WantedState) -> int:
    """Count the models that an order would newly load; a mere new number loads none."""
    return len(set(wanted.models) - set(report.actual.models) - set(report.wanted.models))
