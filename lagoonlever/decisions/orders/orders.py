"""Decides which orders the lease holder sends to engines, and when it reads their state.

Several VMs may send orders, so one lease decides which VM does. A VM that was
paused can still believe that it holds an expired lease, and its order can arrive
after an order of the new holder.

An order states the whole wanted state of one engine, never an incremental step,
and carries the fencing number of the lease. Engines that compare fencing numbers
reject the orders of a former holder. For engines that ignore the number, an order
is sent only on the basis of a recent report and only while the lease is valid with
a margin, and every engine is read periodically, so that a late order of a former
holder is detected and corrected. An engine that checks fencing numbers according
to the settings is read less often: there, the reads only have to detect that the
engine itself lost its order, for example in a restart.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.targets.targets import ModelKey

ORDER_TIMEOUT_S = 1.0
LEASE_MARGIN_S = 1.0
"""Subtracted from the lease's validity, in addition to ``ORDER_TIMEOUT_S``.

It covers the drift between two clocks over the duration of one lease.
"""
READ_PERIOD_S = 2.0
"""Interval between reads of an engine, also when there is no order to send."""
CHECKED_READ_PERIOD_S = 30.0
"""Interval between reads of an engine that checks fencing numbers.

It is longer because such an engine never accepts an order of a former holder.
"""
MAX_READS_PER_S = 6.0
"""Limit on the rate of periodic reads, which find nothing to order, over all engines.

In a fleet that would exceed it, each engine is read less often.
"""
MAX_READS_PER_STEP = 16
"""Limit on the reads started in one call of ``OrderHolder.next_actions``.

A new lease holder has to order hundreds of engines; without the limit it would read
all of them at once.
"""
MAX_REPORT_AGE_S = 1.0
"""Maximum age of the report that an order is based on; an older one is read again."""
RETRY_DELAY_S = 1.0
"""Delay before the next attempt at an engine that could not be reached."""


@attrs.frozen(kw_only=True)
class WantedState:
    """The complete state of an engine; the order of ``models`` has no meaning."""

    models: tuple[ModelKey, ...] = ()
    role: str = "both"
    draining: bool = False

    def same_as(self, other: WantedState) -> bool:
        """Return whether both states are equal, ignoring the order of models."""
        return (
            set(self.models) == set(other.models)
            and self.role == other.role
            and self.draining == other.draining
        )


@attrs.frozen(kw_only=True)
class OrderReport:
    """An engine's report on its orders.

    ``fencing`` and ``wanted`` are those of the last order that it accepted;
    ``actual`` is its current state.
    """

    fencing: int
    wanted: WantedState
    actual: WantedState


@dataclass(frozen=True, kw_only=True)
class ReadEngine:
    """An action: read an engine's order report."""

    engine: str


@dataclass(frozen=True, kw_only=True)
class SendOrder:
    """An action: send an order to an engine.

    The sender must check ``OrderHolder.may_write`` again right before it sends.
    """

    engine: str
    fencing: int
    wanted: WantedState


OrderAction = ReadEngine | SendOrder


@attrs.define(kw_only=True)
class LoadBudget:
    """A token bucket that limits model loads to the rate of the weight store.

    One token stands for one load of a model; times are monotonic seconds.
    """

    _loads_per_s: float
    _burst: int = 1
    _tokens: float = 0.0
    _updated_at: float = 0.0

    def covers(self, loads: int, now: float) -> bool:
        """Return whether ``take`` would succeed now.

        For more loads than the burst size, a full bucket suffices.
        """
        return not loads or self._refilled(now) >= min(loads, self._burst)

    def start_empty(self, now: float) -> None:
        """Empty the bucket.

        A new lease holder does not know how many loads the former holder has just
        started, so it waits before its first load as long as between two loads.
        """
        self._tokens, self._updated_at = 0.0, now

    def take(self, loads: int, now: float) -> bool:
        """Consume tokens for ``loads`` model loads, and return whether the rate allowed it.

        More loads than the burst size leave the bucket with a negative level, which
        delays the next loads.
        """
        covered = self.covers(loads, now)
        self._tokens, self._updated_at = self._refilled(now), now
        if covered:
            self._tokens -= loads
        return covered

    def _refilled(self, now: float) -> float:
        level = self._tokens + (now - self._updated_at) * self._loads_per_s
        return min(float(self._burst), level)


@attrs.define
class _EngineState:
    """The wanted state of one engine, its last report, and when it was read or ordered.

    ``report`` is None if the engine must be read before the next order; ``busy`` is
    True while an action for the engine is in progress.
    """

    wanted: WantedState
    report: OrderReport | None = None
    read_at: float = float("-inf")
    retry_at: float = float("-inf")
    ordered_at: float = float("-inf")
    tried_at: float = float("-inf")
    """When the last read or order was started, whether or not it succeeded."""
    busy: bool = False


@attrs.define(kw_only=True)
class OrderHolder:
    """One VM's view of the order lease, and its schedule of reads and orders.

    Times are monotonic seconds of that VM.
    """

    _budget: LoadBudget
    _read_period_s: float = READ_PERIOD_S
    _checked_read_period_s: float = CHECKED_READ_PERIOD_S
    _reads_per_s: float = MAX_READS_PER_S
    _fencing: int | None = None
    _valid_until: float = float("-inf")
    _engines: dict[str, _EngineState] = attrs.field(factory=dict)

    @property
    def fencing(self) -> int | None:
        """The fencing number while this VM believes that it holds the lease, or None."""
        return self._fencing

    def may_write(self, fencing: int, now: float) -> bool:
        """Return whether an order may be sent now; call it right before sending.

        Guards against a holder that was paused and resumes after its lease has
        expired: the clock advanced during the pause, so the lease counts as expired
        even though no notification arrived. The lease must remain valid for
        ``ORDER_TIMEOUT_S`` more, which covers the time in which the order is in transit.
        """
        return self._fencing == fencing and now + ORDER_TIMEOUT_S <= self._valid_until

    def record_lease_acquired(self, *, fencing: int, sent_at: float, ttl_s: float) -> None:
        """Record that the lease was acquired by a call sent at ``sent_at``.

        The wanted states of an earlier lease are discarded, as they may have changed.
        """
        self._fencing = fencing
        self._valid_until = sent_at + ttl_s - LEASE_MARGIN_S
        self._engines.clear()
        self._budget.start_empty(sent_at)

    def record_lease_renewed(self, *, sent_at: float, ttl_s: float) -> None:
        """Record that the lease was renewed by a call sent at ``sent_at``."""
        self._valid_until = max(self._valid_until, sent_at + ttl_s - LEASE_MARGIN_S)

    def step_down(self) -> None:
        """Record that the lease is lost; no order is sent until it is acquired again."""
        self._fencing = None
        self._valid_until = float("-inf")

    def update_wanted(self, wanted: Mapping[str, WantedState]) -> None:
        """Replace the wanted states by those read from the store under this lease.

        Engines that are missing in ``wanted`` are no longer read or ordered.
        """
        for name in self._engines.keys() - wanted.keys():
            del self._engines[name]
        for name, wanted_state in wanted.items():
            self._engines.setdefault(name, _EngineState(wanted_state)).wanted = wanted_state

    def next_actions(
        self, engines: Iterable[str], now: float, *, checked: Collection[str] = ()
    ) -> list[OrderAction]:
        """Return the reads and orders to start now, at most one in progress per engine.

        ``checked`` names the engines that reject old fencing numbers; they are read
        less often. The engine whose last order is oldest comes first: otherwise an
        engine whose responses are always lost could use up the whole load budget.
        """
        if self._fencing is None or not self.may_write(self._fencing, now):
            return []
        names = set(engines) & self._engines.keys()
        periods_s = self._read_periods_s(names, checked)
        actions: list[OrderAction] = []
        reads: list[OrderAction] = []
        for name in sorted(names, key=lambda name: (self._engines[name].ordered_at, name)):
            action = self._next_action(
                name, self._engines[name], self._fencing, now, periods_s[name]
            )
            if action is not None:
                (reads if isinstance(action, ReadEngine) else actions).append(action)
        # Engines that never respond are due in every call, so that the read limit would starve
        # the others: the engines whose last attempt is oldest come first.
        reads.sort(key=lambda action: self._engines[action.engine].tried_at)
        actions += reads[:MAX_READS_PER_STEP]
        for action in actions:
            state = self._engines[action.engine]
            state.busy, state.tried_at = True, now
        return actions

    def record_report(self, engine: str, report: OrderReport, now: float) -> None:
        """Record an engine's report, read at ``now``.

        A greater fencing number than this VM's shows that another VM has acquired the
        lease since, so this VM steps down.
        """
        if self._fencing is not None and report.fencing > self._fencing:
            self.step_down()
        state = self._engines.get(engine)
        if state is not None:
            state.report, state.read_at, state.busy = report, now, False

    def record_order_sent(self, engine: str) -> None:
        """Record that an order was sent, whatever the response: the engine is read again next."""
        state = self._engines.get(engine)
        if state is not None:
            state.report, state.busy = None, False

    def record_failure(self, engine: str, now: float) -> None:
        """Record that an engine could not be reached; it is retried after ``RETRY_DELAY_S``."""
        state = self._engines.get(engine)
        if state is not None:
            state.report, state.busy, state.retry_at = None, False, now + RETRY_DELAY_S

    def _read_periods_s(self, names: Collection[str], checked: Collection[str]) -> dict[str, float]:
        """Return the read interval of each engine in seconds.

        All intervals are multiplied by one factor if the rate of reads would exceed its limit.
        """
        checked_names = frozenset(checked)
        periods_s = {
            name: self._checked_read_period_s if name in checked_names else self._read_period_s
            for name in names
        }
        reads_per_s = sum(1.0 / period_s for period_s in periods_s.values())
        stretch = max(1.0, reads_per_s / self._reads_per_s)
        return {name: period_s * stretch for name, period_s in periods_s.items()}

    def _next_action(
        self, name: str, state: _EngineState, fencing: int, now: float, read_period_s: float
    ) -> OrderAction | None:
        if state.busy or now < state.retry_at:
            return None
        report = state.report
        if report is None or now - state.read_at >= read_period_s:
            return ReadEngine(engine=name)
        if report.fencing == fencing and report.wanted.same_as(state.wanted):
            return None
        loads = _new_loads(report, state.wanted)
        if not self._budget.covers(loads, now):
            return None
        if now - state.read_at > MAX_REPORT_AGE_S:
            return ReadEngine(engine=name)
        if not self._budget.take(loads, now):
            return None
        state.ordered_at = now
        return SendOrder(engine=name, fencing=fencing, wanted=state.wanted)


def _new_loads(report: OrderReport, wanted: WantedState) -> int:
    """Return how many models an order would newly load.

    An order that only raises the fencing number loads none.
    """
    return len(set(wanted.models) - set(report.actual.models) - set(report.wanted.models))
