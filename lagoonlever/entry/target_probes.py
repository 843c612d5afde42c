"""The prober of a VM: asks its subset of the targets for models, load and cache events."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable

import attrs
import trio

from lagoonlever.decisions.targets import Target, TargetKind, TargetView
from lagoonlever.entry.published import Published
from lagoonlever.entry.targets import TargetSettings, TargetWatch
from lagoonlever.exceptions import PeerError
from lagoonlever.http.client import Pool
from lagoonlever.targets.probes import (
    CacheEvent,
    fetch_cache_events,
    fetch_load,
    fetch_models,
)
from lagoonlever.timers import TimerService

MODELS_PERIOD_S = 10.0
"""An order or an operator may change an engine's models at any time."""
MODELS_AT_ONCE = 8
JITTER = 0.2

SubsetOf = Callable[[TargetView], Iterable[Target]]
"""Gives the targets that this VM uses."""
CacheSink = Callable[[Target, tuple[CacheEvent, ...]], None]
"""Takes an engine's cache events."""


@attrs.define(kw_only=True, eq=False)
class TargetProber:
    """Probes at a bounded rate over all targets, the one asked longest ago first."""

    _watch: TargetWatch
    _subset_of: SubsetOf
    _cache_sink: CacheSink
    _timers: TimerService
    _random: random.Random
    _settings: TargetSettings = attrs.field(factory=TargetSettings)
    _pool: Pool = attrs.field(factory=Pool, init=False)
    _load_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _models_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _cache_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _cache_sequence: dict[str, int] = attrs.field(factory=dict, init=False)
    _busy: set[str] = attrs.field(factory=set, init=False)

    @property
    def _view(self) -> Published[TargetView]:
        return self._watch.view

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._probe_new_targets)
                nursery.start_soon(self._at_rate, self._settings.probe_rate, self._probe_next)
                if self._settings.cache_event_rate:
                    rate = self._settings.cache_event_rate
                    nursery.start_soon(self._at_rate, rate, self._read_next_cache_events)
        finally:
            with trio.CancelScope(shield=True):
                await self._pool.aclose()

    async def _probe_new_targets(self) -> None:
        """Ask a new engine for its models at once: until then it gets no work."""
        while True:
            new = [target for target in self._used() if self._watch.needs_models(target)]
            async with trio.open_nursery() as nursery:
                for target in new[:MODELS_AT_ONCE]:
                    nursery.start_soon(self._guarded, target, self._read_models)
            with trio.move_on_after(self._jittered(1.0)):
                await self._view.wait_change()

    async def _at_rate(self, rate: float, start_next: Callable[[trio.Nursery], None]) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                start_next(nursery)
                await trio.sleep(self._jittered(1.0 / rate))

    def _probe_next(self, nursery: trio.Nursery) -> None:
        target = self._oldest(self._load_at, self._used())
        if target is None:
            return
        nursery.start_soon(self._guarded, target, self._probe)

    def _read_next_cache_events(self, nursery: trio.Nursery) -> None:
        engines = [t for t in self._used() if t.kind is TargetKind.ENGINE and not t.impaired]
        target = self._oldest(self._cache_at, engines)
        if target is None:
            return
        nursery.start_soon(self._guarded, target, self._read_cache_events)

    def _used(self) -> list[Target]:
        return [target for target in self._subset_of(self._view.value) if target.takes_work]

    def _oldest(self, asked_at: dict[str, float], targets: Iterable[Target]) -> Target | None:
        free = [target for target in targets if target.name not in self._busy]
        if not free:
            return None
        oldest = min(free, key=lambda target: asked_at.get(target.name, float("-inf")))
        asked_at[oldest.name] = self._timers.now
        return oldest

    async def _guarded(self, target: Target, probe: Callable[[Target], Awaitable[None]]) -> None:
        """Run one probe; a failure only lowers the target's standing."""
        if target.name in self._busy:
            return
        self._busy.add(target.name)
        try:
            await probe(target)
        except PeerError:
            self._watch.connect_failed(target)
        finally:
            self._busy.discard(target.name)

    async def _probe(self, target: Target) -> None:
        now = self._timers.now
        load = await fetch_load(
            target.address, timeout_s=self._settings.probe_timeout_s, pool=self._pool, now=now
        )
        self._watch.load_read(target, load)
        if target.kind is TargetKind.ENGINE and self._models_due(target, now):
            await self._read_models(target)

    def _models_due(self, target: Target, now: float) -> bool:
        return now - self._models_at.get(target.name, float("-inf")) >= MODELS_PERIOD_S

    async def _read_models(self, target: Target) -> None:
        self._models_at[target.name] = self._timers.now
        models = await fetch_models(
            target.address, timeout_s=self._settings.probe_timeout_s, pool=self._pool
        )
        self._watch.models_read(target, models)

    async def _read_cache_events(self, target: Target) -> None:
        life = f"{target.name}@{target.address}"
        events = await fetch_cache_events(
            target.address,
            after=self._cache_sequence.get(life, 0),
            timeout_s=self._settings.probe_timeout_s,
            pool=self._pool,
        )
        if not events:
            return
        self._cache_sequence[life] = events[-1].sequence
        self._cache_sink(target, events)

    def _jittered(self, period_s: float) -> float:
        return period_s * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
