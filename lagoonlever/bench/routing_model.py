"""Engines as queues in virtual time, and routers that see them by late reports only."""

from __future__ import annotations

import functools
import heapq
import itertools
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence

import attrs

from lagoonlever.decisions.routing.routing import (
    Choice,
    ModelQuery,
    RequestFeatures,
    Router,
    make_policy,
)
from lagoonlever.decisions.targets.targets import (
    ModelKey,
    Target,
    TargetKind,
    TargetLoad,
    TargetView,
)
from lagoonlever.http.messages import Address

ROUTERS = 9
ENGINES = 20
SLOTS = 16
CACHE_BLOCKS = 3000
BLOCK_TOKENS = 16
PREFILL_S_PER_TOKEN = 0.0002
DECODE_S_PER_TOKEN = 0.03
PROBES_PER_S = 6.0
CACHE_READS_PER_S = 1.0
CACHE_EVENT_LAG_S = 1.0
CACHE_EVENT_GAP = 0.05
SAMPLE_S = 0.5
MODEL = ModelKey(name="model", version="1")


@attrs.frozen(kw_only=True)
class Work:
    """One request: when and where it arrives, its prompt's blocks, and its output."""

    at: float
    router: int
    blocks: tuple[int, ...]
    output_tokens: int


class Clock:
    """Virtual time: calls in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Call something at a time."""
        heapq.heappush(self._calls, (when, next(self._number), call))

    def run(self, until: float) -> None:
        """Run all calls up to a time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()


@attrs.define(kw_only=True)
class _Job:
    work: Work
    on_end: Callable[[float], None]
    sent_at: float
    prefilled: bool = False


@attrs.frozen(kw_only=True)
class _CacheChange:
    at: float
    stored: bool
    blocks: tuple[int, ...]


@attrs.define(kw_only=True, eq=False)
class Engine:
    """A batch of slots, prefills one after the other, and a prefix cache of bounded size."""

    clock: Clock
    rng: random.Random
    prefill_tokens: int = 0
    prompt_tokens: int = 0
    waits_s: list[float] = attrs.field(factory=list)
    _running: int = 0
    _waiting: deque[_Job] = attrs.field(factory=deque)
    _prefill_free_at: float = 0.0
    _cache: OrderedDict[int, None] = attrs.field(factory=OrderedDict)
    _changes: list[_CacheChange] = attrs.field(factory=list)
    _loads: deque[tuple[float, int, int]] = attrs.field(factory=deque)

    @property
    def busy(self) -> int:
        """Requests that run or wait."""
        return self._running + len(self._waiting)

    def load_at(self, at: float) -> tuple[int, int]:
        """Give the requests running and waiting as they were at a time."""
        while len(self._loads) > 1 and self._loads[1][0] <= at:
            self._loads.popleft()
        if not self._loads or self._loads[0][0] > at:
            return 0, 0
        return self._loads[0][1], self._loads[0][2]

    def changes_after(self, index: int) -> list[_CacheChange]:
        """Give the cache's changes from an index on that are old enough to be told."""
        told_until = self.clock.now - CACHE_EVENT_LAG_S
        return [change for change in self._changes[index:] if change.at <= told_until]

    def take(self, work: Work, on_end: Callable[[float], None]) -> None:
        """Take a request."""
        self._waiting.append(_Job(work=work, on_end=on_end, sent_at=self.clock.now))
        self._start_next()
        self._note_load()

    def _start_next(self) -> None:
        while self._running < SLOTS and self._waiting:
            self._running += 1
            self._prefill(self._waiting.popleft())

    def _prefill(self, job: _Job) -> None:
        begins_at = max(self.clock.now, self._prefill_free_at)
        uncached = self._uncached_tokens(job.work.blocks)
        self._store(job.work.blocks)
        self.prefill_tokens += uncached
        self.prompt_tokens += len(job.work.blocks) * BLOCK_TOKENS
        self._prefill_free_at = begins_at + uncached * PREFILL_S_PER_TOKEN
        self.waits_s.append(begins_at - job.sent_at)
        ends_at = self._prefill_free_at + job.work.output_tokens * DECODE_S_PER_TOKEN
        self.clock.at(ends_at, lambda: self._end(job))

    def _end(self, job: _Job) -> None:
        self._running -= 1
        self._start_next()
        self._note_load()
        job.on_end(self.clock.now - job.sent_at)

    def _note_load(self) -> None:
        self._loads.append((self.clock.now, self._running, len(self._waiting)))

    def _uncached_tokens(self, blocks: Sequence[int]) -> int:
        for depth, block in enumerate(blocks):
            if block not in self._cache:
                return (len(blocks) - depth) * BLOCK_TOKENS
        return 0

    def _store(self, blocks: Sequence[int]) -> None:
        new = tuple(block for block in blocks if block not in self._cache)
        for block in blocks:
            self._cache[block] = None
            self._cache.move_to_end(block)
        removed = []
        while len(self._cache) > CACHE_BLOCKS:
            removed.append(self._cache.popitem(last=False)[0])
        for stored, changed in ((True, new), (False, tuple(removed))):
            if changed and self.rng.random() >= CACHE_EVENT_GAP:
                change = _CacheChange(at=self.clock.now, stored=stored, blocks=changed)
                self._changes.append(change)


@attrs.define(kw_only=True, eq=False)
class RouterUnderTest:
    """One router: the project's decision code, and probes that reach it late."""

    index: int
    clock: Clock
    engines: list[Engine]
    router: Router
    load_lag_s: float
    choice_s: list[float] = attrs.field(factory=list)
    _targets: list[Target] = attrs.field(init=False)
    _view: TargetView = attrs.field(init=False)
    _next_probe: int = 0
    _next_read: int = 0
    _read_up_to: list[int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._targets = [
            Target(
                name=f"engine-{index}",
                address=Address(host="10.0.0.1", port=8000 + index),
                kind=TargetKind.ENGINE,
                models=(MODEL,),
            )
            for index in range(len(self.engines))
        ]
        self._view = TargetView(targets=tuple(self._targets))
        self._read_up_to = [0] * len(self.engines)
        self._next_probe = self._next_read = self.index * 2
        self.clock.at(self.index / ROUTERS / PROBES_PER_S, self._probe)
        self.clock.at(self.index / ROUTERS / CACHE_READS_PER_S, self._read_cache_events)

    def dispatch(self, work: Work) -> None:
        """Choose an engine for a request and send it there."""
        features = RequestFeatures(
            query=ModelQuery(name=MODEL.name),
            now=self.clock.now,
            blocks=work.blocks,
            prompt_tokens=len(work.blocks) * BLOCK_TOKENS,
            output_tokens=work.output_tokens,
        )
        began = time.perf_counter()
        choice = self.router.choose(features, self._view)
        self.choice_s.append(time.perf_counter() - began)
        if not isinstance(choice, Choice):
            raise RuntimeError("every engine serves the model")
        name = choice.target.name
        self.router.dispatched(features, name)
        engine = self.engines[int(name.rpartition("-")[2])]
        engine.take(work, lambda took_s: self._ended(name, took_s))

    def _ended(self, name: str, took_s: float) -> None:
        self.router.ended(name, now=self.clock.now, took_s=took_s)

    def _probe(self) -> None:
        index = self._next_probe % len(self.engines)
        self._next_probe += 1
        running, waiting = self.engines[index].load_at(self.clock.now - self.load_lag_s)
        load = TargetLoad(running=running, waiting=waiting, slots=SLOTS, received_at=self.clock.now)
        self._targets[index] = attrs.evolve(self._targets[index], load=load)
        self._view = TargetView(targets=tuple(self._targets))
        self.clock.at(self.clock.now + 1.0 / PROBES_PER_S, self._probe)

    def _read_cache_events(self) -> None:
        index = self._next_read % len(self.engines)
        self._next_read += 1
        changes = self.engines[index].changes_after(self._read_up_to[index])
        self._read_up_to[index] += len(changes)
        for change in changes:
            tell = self.router.cache_stored if change.stored else self.router.cache_removed
            tell(f"engine-{index}", change.blocks)
        self.clock.at(self.clock.now + 1.0 / CACHE_READS_PER_S, self._read_cache_events)


@attrs.define(kw_only=True, eq=False)
class RoutingRun:
    """Nine routers before twenty engines under one policy."""

    policy: str
    load_lag_s: float
    seed: int
    clock: Clock = attrs.field(factory=Clock)
    engines: list[Engine] = attrs.field(init=False)
    spreads: list[float] = attrs.field(factory=list)
    _routers: list[RouterUnderTest] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        rng = random.Random(self.seed)
        self.engines = [
            Engine(clock=self.clock, rng=random.Random(rng.random())) for _ in range(ENGINES)
        ]
        self._routers = [
            RouterUnderTest(
                index=index,
                clock=self.clock,
                engines=self.engines,
                load_lag_s=self.load_lag_s,
                router=Router(
                    node=f"vm-{index}",
                    policy=make_policy(self.policy),
                    rng=random.Random(rng.random()),
                    subset_size=ENGINES,
                ),
            )
            for index in range(ROUTERS)
        ]

    @property
    def choice_s(self) -> list[float]:
        """The time that each choice took, in seconds of this machine."""
        return [taken for router in self._routers for taken in router.choice_s]

    def run(self, works: Sequence[Work], *, warm_up_s: float) -> None:
        """Run all of the work; what is measured begins after the warm-up."""
        for work in works:
            self.clock.at(work.at, functools.partial(self._routers[work.router].dispatch, work))
        self.clock.run(warm_up_s)
        for engine in self.engines:
            engine.prefill_tokens = engine.prompt_tokens = 0
            engine.waits_s.clear()
        self._sample()
        self.clock.run(works[-1].at)

    def _sample(self) -> None:
        """Note the busiest engine against the mean."""
        busy = [engine.busy for engine in self.engines]
        mean = sum(busy) / len(busy)
        if mean:
            self.spreads.append(max(busy) / mean)
        self.clock.at(self.clock.now + SAMPLE_S, self._sample)
