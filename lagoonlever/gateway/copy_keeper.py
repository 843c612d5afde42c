"""Keeps a copy of a run's memory at another engine while one attempt of a stream goes on."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.streams.copy_policy import CHECK_INTERVAL_S, CopyPolicy
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.run_placement import Placed, PlacementRequest
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway import events, metrics
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.placer import Placer
from lagoonlever.gateway.reporter import Reporter
from lagoonlever.gateway.run_copier import RunCopier
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)


@attrs.define(kw_only=True, eq=False)
class CopyKeeper:
    """Copies a run anew when the engine that holds its copy is lost or leaves."""

    _request: str
    _run: EngineRun
    _engine: ListedTarget
    _limits: EngineLimits
    _beliefs: Beliefs
    _timers: TimerService
    _reporter: Reporter
    _copier: RunCopier
    _placer: Placer
    _on_copied: Callable[[RunCopy], None]
    """Told of each copy that was made by a call."""
    flowing: bool = False
    """The run has given its first event; before that there is nothing to copy."""
    _called_copy: RunCopy | None = None
    _keeping: CopyPolicy = attrs.field(init=False)

    @_keeping.default
    def _make_keeping(self) -> CopyPolicy:
        return CopyPolicy(retention_s=self._limits.copy_kept_s)

    def engine_leaves(self, at: float) -> None:
        """Have the copy made anew before the run's own engine leaves."""
        self._keeping.set_engine_departure(at)

    @MECHANISMS.register(
        "copy-keeping",
        does="a run is copied anew when the engine with its copy is lost or leaves",
        without="it goes on without a copy",
        plain=gives(None),
    )
    async def run(self) -> None:
        """Look at the copy now and then, until cancelled."""
        keeping = self._keeping
        keeping.record_incremental_copy(self._run.copy_holder)
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            usable = self._is_usable(keeping.holder)
            if not self.flowing or not keeping.is_copy_due(self._timers.now, holder_usable=usable):
                continue
            to = await self._new_holder(keeping.holder if usable else None)
            copied = await self._copy_to(to)
            if isinstance(copied, str):
                keeping.record_failure(self._timers.now)
            else:
                keeping.record_copy(copied.holder, self._timers.now)
                self._called_copy = copied
                self._on_copied(copied)
            self._tell(to, copied)

    async def free(self) -> None:
        """Free a copy that was made by a call; an engine ends a growing one by itself."""
        copy, self._called_copy = self._called_copy, None
        if copy is None:
            return
        fault = await self._copier.free(copy)
        if fault is not None:
            events.COPY_NOT_FREED.log(log, request=self._request, holder=copy.holder, outcome=fault)

    async def _copy_to(self, to: ListedTarget | None) -> RunCopy | str:
        if to is None:
            return "no engine has room"
        return await self._copier.copy(self._request, source=self._engine, to=to)

    def _tell(self, to: ListedTarget | None, copied: RunCopy | str) -> None:
        result = "failed" if isinstance(copied, str) else "made"
        self._reporter.tally.add(metrics.COPIES, result)
        events.RUN_COPIED.log(
            log,
            request=self._request,
            target=self._engine.id,
            holder=to.id if to else None,
            outcome=copied if isinstance(copied, str) else "made",
        )

    def _is_usable(self, holder: str | None) -> bool:
        """Check whether a holder takes work, and is the process that was given the copy."""
        target = self._beliefs.targets.find(holder) if holder is not None else None
        version = self._run.version
        if target is None or version is None:
            return False
        if not self._beliefs.targets.takes_work(target.id, version=version):
            return False
        copy = self._called_copy or self._run.copy
        if copy is not None and copy.is_lost(target.id, target.started_ms):
            return False
        return not self._beliefs.book.avoidance.is_avoided(target.id, self._timers.now)

    async def _new_holder(self, present: str | None) -> ListedTarget | None:
        """Return the engine for a called copy: the present holder, which then gets what is new."""
        targets = self._beliefs.targets
        if present is not None:
            return targets.find(present)
        ask = PlacementRequest(
            request=self._request,
            service=self._engine.service,
            prompt_tokens=0,
            memory_tokens=self._run.memory_tokens,
            settled=self._engine.id,
            attempt=False,
        )
        outcome = await self._placer.place(ask)
        holder = outcome.copy_to if isinstance(outcome, Placed) else None
        return targets.find(holder) if holder is not None else None
