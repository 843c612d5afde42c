"""Ends the runs of streams that this VM has given up, at engines that may go on with them.

An engine drops a run whose connection closes, if the close reaches it. It doesn't where the
connection leads over a path that was lost, or by way of a VM that was cut off: the engine then
works on, while the stream goes on at another one. So the engine is told by a call of its own, as
soon as this VM or another one reaches it.
"""

from __future__ import annotations

import math

import attrs
import logbook
import trio

from lagoonlever.decisions.engines.target_crashes import process_name
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway import events_paths as events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.lost_engines import is_other_process
from lagoonlever.gateway.messages import EngineReport
from lagoonlever.gateway.prober import EngineProber
from lagoonlever.gateway.run_copier import NoSuchRun, RunCopier, RunStopped
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

SOON_S = 2.0
"""For so long after a run was given up its engine is asked often: its path may come back as the
stream goes on elsewhere."""
ASK_SOON_S = 0.1
ASK_LATER_S = 0.4
SOUGHT_S = 8.0
"""For so long an engine that can't be reached is asked; it may have gone for good."""
REPORT_LAG_S = 0.5
"""Reports are so old at most: a run that a later one does not list has ended."""
LATE_ORDER_S = 1.0
"""For so long an order that got no answer may still arrive."""
ORDER_KEPT_S = 600.0
"""Longer than a run lasts."""
UNNAMED_S = 3.0
"""For so long a run that had not begun is looked for: engines list it only once it has."""


@attrs.define(kw_only=True, eq=False)
class _GivenUp:
    """A run that its VM has given up, and that its engine may go on with."""

    run: EngineRun
    events: int
    """The events that had come of it."""
    at: float

    def is_over(self, report: EngineReport, asked_at: float) -> bool:
        """Check whether a report shows that the engine does not work on the run.

        A run of fewer events is another one, of a caller that has sent its request again.
        """
        age_s = asked_at - self.at
        reported = report.run(self.run.request)
        if reported is None:
            return age_s > (REPORT_LAG_S if self.run.flowing else UNNAMED_S)
        return age_s > REPORT_LAG_S and reported.events < self.events


@attrs.define(kw_only=True, eq=False)
class RunEnder:
    """Asks each engine that has such a run until it is over, once for all runs of a process."""

    _copier: RunCopier
    _prober: EngineProber
    _beliefs: Beliefs
    _timers: TimerService
    _nursery: trio.Nursery | None = None
    _given_up: dict[str, list[_GivenUp]] = attrs.field(factory=dict)
    """The runs that may go on, by the process of their engine."""
    _orders: dict[tuple[str, str], trio.Event] = attrs.field(factory=dict)
    """The orders that wait for their answers, by engine and request."""
    _ordered_at: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """When the last orders went out, by engine and request."""

    async def run(self) -> None:
        """End runs until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                # Attempts that end as this VM stops leave nothing to look after.
                self._nursery = None

    async def end(self, run: EngineRun, engine: ListedTarget) -> RunCopy | None:
        """End a run at an engine that has just reported it; return its memory if it was kept.

        The memory goes to the engine that has the run's copy, or to any other one, so that the
        stream can go on there. If the engine does not answer it is asked later.
        """
        holder = self._holder(run)
        if holder is None:
            return None
        outcome = await self._order(run, engine, holder)
        if isinstance(outcome, str):
            self.end_later(run, engine)
            return None
        if isinstance(outcome, NoSuchRun):
            return None
        events.RUN_ENDED_THERE.log(log, request=run.request, target=engine.id)
        return outcome.copy

    def end_later(self, run: EngineRun, engine: ListedTarget, *, events: int = 0) -> None:
        """End a run of so many events as soon as its engine is reached, beside other work."""
        if self._nursery is None or not self._beliefs.engine_limits(engine.service).moves:
            return
        given_up = _GivenUp(run=run, events=events, at=self._timers.now)
        process = process_name(engine.id, run.engine_started_ms)
        if process in self._given_up:
            self._given_up[process].append(given_up)
            return
        self._given_up[process] = [given_up]
        self._nursery.start_soon(self._end_all, process, engine)

    async def settle(self, run: EngineRun) -> None:
        """Leave a run's engine alone, as it gets the request now: what it reports is the new run.

        Returns once no order for the former one is under way.
        """
        for pending in self._given_up.values():
            pending[:] = [p for p in pending if _key(p.run) != _key(run)]
        order = self._orders.get(_key(run))
        if order is not None:
            await order.wait()

    def has_ordered(self, run: EngineRun, *, since: float) -> bool:
        """Check whether an order of this VM may have ended a run that was sent at ``since``."""
        return self._ordered_at.get(_key(run), -math.inf) >= since - LATE_ORDER_S

    async def _order(
        self, run: EngineRun, engine: ListedTarget, holder: ListedTarget
    ) -> RunStopped | NoSuchRun | str:
        """Order an engine to stop a run."""
        key, now = _key(run), self._timers.now
        for old in [k for k, at in self._ordered_at.items() if now - at > ORDER_KEPT_S]:
            del self._ordered_at[old]
        self._ordered_at[key] = now
        order = self._orders[key] = trio.Event()
        try:
            return await self._copier.stop(run.request, source=engine, to=holder)
        finally:
            order.set()
            if self._orders.get(key) is order:
                del self._orders[key]

    async def _end_all(self, process: str, engine: ListedTarget) -> None:
        """Ask an engine until none of its runs may go on."""
        try:
            while pending := self._given_up[process]:
                now = self._timers.now
                await self._ask(pending, engine)
                newest = max((given_up.at for given_up in pending), default=now)
                pending[:] = [p for p in pending if now - p.at < SOUGHT_S]
                await trio.sleep(ASK_SOON_S if now - newest < SOON_S else ASK_LATER_S)
        finally:
            del self._given_up[process]

    async def _ask(self, pending: list[_GivenUp], engine: ListedTarget) -> None:
        """End the runs that an engine reports, and forget those that it shows to be over."""
        asked_at = self._timers.now
        report = await self._prober.ask(engine, since=asked_at)
        if report is None:
            return
        if is_other_process(engine, report):
            pending.clear()
        for given_up in list(pending):
            is_over = given_up.is_over(report, asked_at)
            if not is_over and given_up in pending and report.run(given_up.run.request) is not None:
                is_over = await self._stop(given_up.run, engine)
            if is_over and given_up in pending:
                pending.remove(given_up)

    async def _stop(self, run: EngineRun, engine: ListedTarget) -> bool:
        """Stop a run whose memory is of no use; return whether it is over."""
        holder = self._holder(run)
        if holder is None:
            return False
        outcome = await self._order(run, engine, holder)
        if not isinstance(outcome, RunStopped):
            return isinstance(outcome, NoSuchRun)
        events.RUN_ENDED_THERE.log(log, request=run.request, target=engine.id)
        if outcome.kept is not None:
            await self._copier.free(outcome.kept)
        return True

    def _holder(self, run: EngineRun) -> ListedTarget | None:
        """Return the engine that a run's memory goes to: that of its copy, or any other one."""
        targets = self._beliefs.targets
        known = targets.find(run.copy.holder) if run.copy is not None else None
        if known is not None and targets.takes_work(known.id, version=run.version):
            return known
        serving = targets.serving(run.service, version=run.version)
        return next((target for target in serving if target.id != run.engine), None)


def _key(run: EngineRun) -> tuple[str, str]:
    return run.engine, run.request
