"""The prober of a VM: asks its subset of the targets for models, load and cache events."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Iterable

import attrs
import trio

from lagoonlever.decisions.targets.targets import Target, TargetIncarnation, TargetKind, TargetView
from lagoonlever.entry.targets.targets import TargetSettings, TargetWatch
from lagoonlever.exceptions import PeerError
from lagoonlever.http.client import Pool
from lagoonlever.published import Published
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


@attrs.define
class _Probed:
    """When one life of a target was last asked for what, in monotonic seconds."""

    load_at: float = float("-inf")
    models_at: float = float("-inf")
    cache_at: float = float("-inf")
    cache_sequence: int = 0
    busy: bool = False


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
    _probed: dict[TargetIncarnation, _Probed] = attrs.field(factory=dict, init=False)

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
        """Ask a new engine for its models at once: until then it gets no work.

        The one asked longest ago comes first, or a few that never answer would
        keep all others from being asked.
        """
        while True:
            self._forget_old_lives()
            new = [target for target in self._used() if self._watch.needs_models(target)]
            new.sort(key=lambda target: self._of(target).models_at)
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
        free = [target for target in self._used() if not self._of(target).busy]
        if not free:
            return
        target = min(free, key=lambda target: self._of(target).load_at)
        self._of(target).load_at = self._timers.now
        nursery.start_soon(self._guarded, target, self._probe)

    def _read_next_cache_events(self, nursery: trio.Nursery) -> None:
        engines = [t for t in self._used() if t.kind is TargetKind.ENGINE and not t.impaired]
        free = [target for target in engines if not self._of(target).busy]
        if not free:
            return
        target = min(free, key=lambda target: self._of(target).cache_at)
        self._of(target).cache_at = self._timers.now
        nursery.start_soon(self._guarded, target, self._read_cache_events)

    def _used(self) -> list[Target]:
        return [target for target in self._subset_of(self._view.value) if target.takes_work]

    def _of(self, target: Target) -> _Probed:
        return self._probed.setdefault(target.incarnation, _Probed())

    def _forget_old_lives(self) -> None:
        lives = {target.incarnation for target in self._view.value.targets}
        for life in self._probed.keys() - lives:
            del self._probed[life]

    async def _guarded(self, target: Target, probe: Callable[[Target], Awaitable[None]]) -> None:
        """Run one probe; a failure only lowers the target's standing."""
        probed = self._of(target)
        if probed.busy:
            return
        probed.busy = True
        try:
            await probe(target)
        except PeerError:
            self._watch.connect_failed(target)
        finally:
            probed.busy = False

    async def _probe(self, target: Target) -> None:
        now = self._timers.now
        load = await fetch_load(
            target.address, timeout_s=self._settings.probe_timeout_s, pool=self._pool, now=now
        )
        self._watch.load_read(target, load)
        if target.kind is TargetKind.ENGINE and self._models_due(target, now):
            await self._read_models(target)

    def _models_due(self, target: Target, now: float) -> bool:
        return now - self._of(target).models_at >= MODELS_PERIOD_S

    async def _read_models(self, target: Target) -> None:
        self._of(target).models_at = self._timers.now
        models = await fetch_models(
            target.address, timeout_s=self._settings.probe_timeout_s, pool=self._pool
        )
        self._watch.models_read(target, models)

    async def _read_cache_events(self, target: Target) -> None:
        probed = self._of(target)
        events = await fetch_cache_events(
            target.address,
            after=probed.cache_sequence,
            timeout_s=self._settings.probe_timeout_s,
            pool=self._pool,
        )
        if not events:
            return
        probed.cache_sequence = events[-1].sequence
        self._cache_sink(target, events)

    def _jittered(self, period_s: float) -> float:
        return period_s * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
