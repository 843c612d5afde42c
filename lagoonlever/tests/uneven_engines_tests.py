"""Streams at engines that differ in speed: waves of prompts through the schedulers of 60 VMs."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import statistics
from collections import Counter
from collections.abc import Callable, Iterator

import attrs
import pytest

from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.engines.uneven_engines import UnevenEngines
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.settings.mechanisms import MECHANISMS
from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.load_estimate import LoadSource
from lagoonlever.decisions.targets.load_view import TargetLoads
from lagoonlever.decisions.targets.reported_load import LoadReport, ReportedLoad
from lagoonlever.http.messages import Address

VMS, ENGINES = 60, 45
FAST, SLOW, SLOW_SHARE = 0.7, 1.7, 1 / 3
"""How many times as long as usual engines take, and the share of slow engines."""
SLOW_PERIOD_S, SLOW_PERIOD_FACTOR, SLOW_PERIOD_SHARE = 0.6, 2.5, 0.15
STREAMS_PER_S, SWING, WAVE_S, DAY_S = 12.0, 0.55, 17.0, 50.0
WARM_UP_S = 10.0
"""Time after which the timings of all engines have been measured."""
PREFILL_S, DECODE_S, GOSSIP_DELAY_S = 1.04, 3.9, 0.02
STEP_S = 0.05
LIMITS = EngineLimits(slots=16, memory_tokens=55_000)
PROMPT, MEMORY, TOKENS = 5_200, 6_500, 1_260


@attrs.define(kw_only=True)
class Day:
    """Simulation of a day with waves of streams; engines process one prefill after the other."""

    seed: int
    reports_slowness: bool
    """Whether engines report the slowdown factor of their machines."""
    first_events_s: list[float] = attrs.field(factory=list)
    _now: float = 0.0
    _queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _prefill_until: dict[str, float] = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(init=False)
    _relative_times: dict[str, float] = attrs.field(init=False)
    _schedulers: list[EngineScheduler] = attrs.field(init=False)
    _engines: list[ListedTarget] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        address = Address(host="10.0.0.1", port=80)
        self._engines = [
            ListedTarget(id=f"e{n}", service="engines", address=address, data_center=f"d{n % 3}")
            for n in range(ENGINES)
        ]
        slow = self._rng.sample(self._engines, round(SLOW_SHARE * ENGINES))
        self._relative_times = {e.id: SLOW if e in slow else FAST for e in self._engines}
        self._schedulers = [
            EngineScheduler(rng=random.Random(n), data_center=f"d{n % 3}", loads=TargetLoads())
            for n in range(VMS)
        ]

    def run(self) -> list[float]:
        """Run the simulation; return the seconds to the first event of each stream, sorted."""
        at = 0.0
        while at < DAY_S:
            rate = STREAMS_PER_S * (1.0 + SWING * math.sin(2 * math.pi * at / WAVE_S))
            at += self._rng.expovariate(rate)
            self._schedule(at, self._arrive)
        while self._queue:
            self._now, _, action = heapq.heappop(self._queue)
            action()
        return sorted(self.first_events_s)

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._numbers), action))

    def _slowness(self, engine: str, at: float) -> float:
        period = random.Random(f"{self.seed} {engine} {int(at / SLOW_PERIOD_S)}")
        return SLOW_PERIOD_FACTOR if period.random() < SLOW_PERIOD_SHARE else 1.0

    def _broadcast(self, vm: int, change: Callable[[EngineScheduler], None]) -> None:
        change(self._schedulers[vm])
        others = [scheduler for number, scheduler in enumerate(self._schedulers) if number != vm]
        self._schedule(
            self._now + GOSSIP_DELAY_S, lambda: [change(scheduler) for scheduler in others] and None
        )

    def _arrive(self) -> None:
        vm, now = self._rng.randrange(VMS), self._now
        self._schedulers[vm].expire(now)
        placement = self._schedulers[vm].choose_engine(
            self._engines, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=now
        )
        assert placement is not None
        engine = placement.engine.id
        run = EngineRun(
            request=f"r{next(self._numbers)}",
            vm=f"vm-{vm}",
            engine=engine,
            prompt_tokens=PROMPT,
            memory_tokens=MEMORY,
            service="engines",
        )
        self._broadcast(vm, lambda scheduler: scheduler.record_dispatch(run, self._now))
        prefill_ends_at = self._prefill(engine)
        self._schedule(prefill_ends_at, lambda: self._on_first_event(vm, run))
        if now > WARM_UP_S:
            self.first_events_s.append(prefill_ends_at - now)

    def _prefill(self, engine: str) -> float:
        """Return when the engine finishes the prefill of a prompt that arrives now."""
        begins_at = max(self._now, self._prefill_until.get(engine, 0.0))
        self._prefill_until[engine] = self._done_at(engine, begins_at, PREFILL_S)
        return self._prefill_until[engine]

    def _done_at(self, engine: str, at: float, usual_s: float) -> float:
        """Return when an engine finishes work that it starts at ``at``, with its slow periods."""
        left_s = usual_s * self._relative_times[engine]
        while left_s > STEP_S / 2:
            left_s -= STEP_S / self._slowness(engine, at)
            at += STEP_S
        return at

    def _on_first_event(self, vm: int, run: EngineRun) -> None:
        slowness = self._slowness(run.engine, self._now) if self.reports_slowness else None
        load = ReportedLoad(running=1.0, waiting=0.0, slots=16.0, slowness=slowness)
        word = LoadReport(target=run.engine, load=load, at=self._now)

        def update(scheduler: EngineScheduler) -> None:
            scheduler.record_first_event(run.request, self._now)
            scheduler.loads.record_relayed_report(word)

        self._broadcast(vm, update)
        done_at = self._done_at(run.engine, self._now, DECODE_S)
        token_s = (done_at - self._now) / TOKENS
        self._schedule(done_at, lambda: self._end(vm, run, token_s))

    def _end(self, vm: int, run: EngineRun, token_s: float) -> None:
        def update(scheduler: EngineScheduler) -> None:
            scheduler.record_end(run.request, self._now, whole=True, token_s=token_s, tokens=TOKENS)

        self._broadcast(vm, update)


SEEDS = range(1, 4)
THREE = [
    ListedTarget(
        id=f"e{n}", service="engines", address=Address(host="10.0.0.1", port=80), data_center="a"
    )
    for n in (1, 2, 3)
]


def simulate(*, reports_slowness: bool) -> list[float]:
    return sorted(
        s for seed in SEEDS for s in Day(seed=seed, reports_slowness=reports_slowness).run()
    )


@pytest.fixture
def switched_off() -> Iterator[None]:
    """Switch off the mechanisms for engines that report their slowdown factor."""
    MECHANISMS.switch_off(["engine-own-pace", "slow-moments"])
    yield
    MECHANISMS.switch_off([])


def test_streams_begin_sooner_if_engines_report_their_slowdown_factor() -> None:
    """Guards against choices by number of runs, which send a tenth of streams to slow engines."""
    before, after = simulate(reports_slowness=False), simulate(reports_slowness=True)
    at_95 = math.floor(0.95 * len(before))
    assert statistics.mean(after) < 0.93 * statistics.mean(before)
    assert after[at_95] < 0.85 * before[at_95]


def test_without_the_mechanisms_reported_slowdown_factors_change_no_choice(
    switched_off: None,
) -> None:
    assert Day(seed=1, reports_slowness=True).run() == Day(seed=1, reports_slowness=False).run()


def scheduler_with_reports(*, seed: int = 1, **slowness: float) -> EngineScheduler:
    """Return a scheduler with load reports of engines at 0 s, each with its slowdown factor."""
    scheduler = EngineScheduler(rng=random.Random(seed), data_center="a")
    for engine, times in slowness.items():
        load = ReportedLoad(running=0.0, waiting=0.0, slots=16.0, slowness=times)
        scheduler.loads.record_relayed_report(LoadReport(target=engine, load=load, at=0.0))
    return scheduler


def observe_prefills(
    scheduler: EngineScheduler, engine: str, pace: float, *, times: int = 5
) -> None:
    for _ in range(times):
        scheduler.timings.observe_prefill(
            "engines", engine, tokens=PROMPT, seconds=PREFILL_S * pace, now=0.0
        )


def chosen(scheduler: EngineScheduler, now: float) -> str:
    placement = scheduler.choose_engine(
        THREE, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=now
    )
    assert placement is not None
    return placement.engine.id


def run_at(engine: str) -> EngineRun:
    return EngineRun(
        request="r",
        vm="vm-1",
        engine=engine,
        prompt_tokens=PROMPT,
        memory_tokens=MEMORY,
        service="engines",
    )


def test_a_stream_avoids_a_slow_engine_even_if_it_is_idle() -> None:
    for seed in range(20):
        scheduler = scheduler_with_reports(seed=seed, e1=1.0, e2=1.0, e3=1.0)
        for engine, pace in (("e1", SLOW), ("e2", FAST), ("e3", SLOW)):
            observe_prefills(scheduler, engine, pace)
        assert chosen(scheduler, 0.1) == "e2"


def test_vms_that_choose_at_once_do_not_all_choose_the_fastest_engine() -> None:
    """Guards against a thundering herd at an engine that has just reported to be idle and fast."""
    taken = Counter[str]()
    for seed in range(60):
        scheduler = scheduler_with_reports(seed=seed, e1=1.0, e2=1.0, e3=1.0)
        for engine, pace in (("e1", FAST), ("e2", FAST * 1.05), ("e3", FAST * 1.1)):
            observe_prefills(scheduler, engine, pace)
        taken[chosen(scheduler, 0.1)] += 1
    assert max(taken.values()) < 40 and len(taken) == 3, taken


def test_one_slow_period_does_not_make_an_engine_slow() -> None:
    scheduler = scheduler_with_reports(e1=1.0)
    observe_prefills(scheduler, "e1", FAST, times=3)
    observe_prefills(scheduler, "e2", FAST, times=3)
    usual = scheduler.timings.relative_time("engines", "e1", 0.0)
    observe_prefills(scheduler, "e1", FAST * SLOW_PERIOD_FACTOR, times=1)
    assert scheduler.timings.relative_time("engines", "e1", 0.0) <= usual


def test_a_slow_period_costs_at_most_its_remaining_time() -> None:
    scheduler = scheduler_with_reports(e1=2.5)
    uneven = UnevenEngines(timings=scheduler.timings, loads=scheduler.loads)
    assert uneven.slow_period_delay_s("e1", 0.1, 0.0) == pytest.approx(0.15)
    assert (
        0.0
        < uneven.slow_period_delay_s("e1", 5.0, 0.3)
        < uneven.slow_period_delay_s("e1", 5.0, 0.0)
        < SLOW_PERIOD_S
    )
    assert uneven.slow_period_delay_s("e1", 5.0, SLOW_PERIOD_S) == 0.0
    assert uneven.slow_period_delay_s("e2", 5.0, 0.0) == 0.0


def test_a_run_moves_away_from_a_slow_engine_before_its_prefill_ends() -> None:
    scheduler = scheduler_with_reports(e1=1.0, e2=1.0, e3=1.0)
    for engine, pace in (("e1", SLOW), ("e2", FAST), ("e3", FAST)):
        observe_prefills(scheduler, engine, pace)
    scheduler.record_dispatch(run_at("e1"), 0.0)
    assert scheduler.should_move("r", THREE, limits=LIMITS, now=0.03)
    scheduler.record_dispatch(run_at("e2"), 0.0)
    assert not scheduler.should_move("r", THREE, limits=LIMITS, now=0.03)
    scheduler.record_dispatch(run_at("e1"), 0.0)
    scheduler.record_first_event("r", 0.02)
    assert not scheduler.should_move("r", THREE, limits=LIMITS, now=0.03)


def test_a_restarted_engine_counts_as_usual_until_it_reports_its_slowdown_factor() -> None:
    scheduler = scheduler_with_reports(e1=2.5)
    observe_prefills(scheduler, "e1", SLOW)
    observe_prefills(scheduler, "e2", FAST, times=9)
    uneven = UnevenEngines(timings=scheduler.timings, loads=scheduler.loads)
    assert uneven.relative_time("engines", "e1", 0.1) > 1.2
    scheduler.loads.record_restart("e1", 0.1)
    assert uneven.relative_time("engines", "e1", 0.1) == 1.0
    assert uneven.slow_period_delay_s("e1", 1.0, 0.1) == 0.0


def test_a_choice_has_snapshots_of_the_chosen_and_the_rejected_engine() -> None:
    scheduler = scheduler_with_reports(e1=1.0, e2=2.5)
    observe_prefills(scheduler, "e1", SLOW)
    observe_prefills(scheduler, "e2", FAST)
    scheduler.record_dispatch(attrs.evolve(run_at("e2"), request="flowing"), 0.0)
    scheduler.record_first_event("flowing", 0.0)
    placement = scheduler.choose_engine(
        THREE[:2], limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=0.3
    )
    assert placement is not None and placement.choice is not None
    taken, other = placement.choice.taken, placement.choice.passed_over
    assert (taken.engine, other.engine) == ("e2", "e1")
    assert taken.pace < other.pace and taken.slowness > other.slowness == 1.0
    assert (other.age_s, other.source) == (pytest.approx(0.3), LoadSource.RELAYED)


def test_a_choice_that_equal_engines_would_give_too_has_no_snapshots() -> None:
    scheduler = scheduler_with_reports(e1=1.0, e2=1.0, e3=1.0)
    placement = scheduler.choose_engine(
        THREE, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=0.1
    )
    assert placement is not None and placement.choice is None
