"""Streams at engines of uneven pace: a wave of prompts replayed through the books of sixty VMs."""

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
from lagoonlever.decisions.streams.booked_runs import BookedRun
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.load_estimate import LoadSource
from lagoonlever.decisions.targets.load_view import TargetLoads
from lagoonlever.decisions.targets.told_load import LoadWord, ToldLoad
from lagoonlever.http.messages import Address

VMS, ENGINES = 60, 45
FAST, SLOW, SLOW_PART = 0.7, 1.7, 1 / 3
"""Times as long as usual that engines take, and the part of those that are slow."""
MOMENT_S, MOMENT_SLOWNESS, MOMENT_PART = 0.6, 2.5, 0.15
STREAMS_PER_S, SWING, WAVE_S, DAY_S = 12.0, 0.55, 17.0, 50.0
LEARNT_S = 10.0
"""Engines have shown their paces by then."""
READING_S, MAKING_S, NEWS_S = 1.04, 3.9, 0.02
STEP_S = 0.05
LIMITS = EngineLimits(slots=16, memory_tokens=55_000)
PROMPT, MEMORY, TOKENS = 5_200, 6_500, 1_260


@attrs.define(kw_only=True)
class Day:
    """One wave of streams; engines read one prompt after the other."""

    seed: int
    tells: bool
    """Whether engines tell how slow their machines are."""
    first_events_s: list[float] = attrs.field(factory=list)
    _now: float = 0.0
    _queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _read_until: dict[str, float] = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(init=False)
    _paces: dict[str, float] = attrs.field(init=False)
    _books: list[EngineScheduler] = attrs.field(init=False)
    _engines: list[ListedTarget] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        address = Address(host="10.0.0.1", port=80)
        self._engines = [
            ListedTarget(id=f"e{n}", service="engines", address=address, data_center=f"d{n % 3}")
            for n in range(ENGINES)
        ]
        slow = self._rng.sample(self._engines, round(SLOW_PART * ENGINES))
        self._paces = {e.id: SLOW if e in slow else FAST for e in self._engines}
        self._books = [
            EngineScheduler(rng=random.Random(n), data_center=f"d{n % 3}", loads=TargetLoads())
            for n in range(VMS)
        ]

    def play(self) -> list[float]:
        """Give the seconds to the first event of each stream, in order."""
        at = 0.0
        while at < DAY_S:
            rate = STREAMS_PER_S * (1.0 + SWING * math.sin(2 * math.pi * at / WAVE_S))
            at += self._rng.expovariate(rate)
            self._plan(at, self._arrive)
        while self._queue:
            self._now, _, happen = heapq.heappop(self._queue)
            happen()
        return sorted(self.first_events_s)

    def _plan(self, at: float, happen: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._numbers), happen))

    def _slowness(self, engine: str, at: float) -> float:
        moment = random.Random(f"{self.seed} {engine} {int(at / MOMENT_S)}")
        return MOMENT_SLOWNESS if moment.random() < MOMENT_PART else 1.0

    def _tell(self, vm: int, change: Callable[[EngineScheduler], None]) -> None:
        change(self._books[vm])
        others = [book for number, book in enumerate(self._books) if number != vm]
        self._plan(self._now + NEWS_S, lambda: [change(book) for book in others] and None)

    def _arrive(self) -> None:
        vm, now = self._rng.randrange(VMS), self._now
        self._books[vm].expire(now)
        placement = self._books[vm].place(
            self._engines, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=now
        )
        assert placement is not None
        engine = placement.engine.id
        run = BookedRun(
            request=f"r{next(self._numbers)}",
            vm=f"vm-{vm}",
            engine=engine,
            prompt_tokens=PROMPT,
            memory_tokens=MEMORY,
            service="engines",
        )
        self._tell(vm, lambda book: book.begin(run, self._now))
        read_at = self._read(engine)
        self._plan(read_at, lambda: self._flow(vm, run))
        if now > LEARNT_S:
            self.first_events_s.append(read_at - now)

    def _read(self, engine: str) -> float:
        """Give when the engine has read a prompt that arrives now."""
        begins_at = max(self._now, self._read_until.get(engine, 0.0))
        self._read_until[engine] = self._done_at(engine, begins_at, READING_S)
        return self._read_until[engine]

    def _done_at(self, engine: str, at: float, usual_s: float) -> float:
        """Give when an engine has done work that it begins then, through its slow moments."""
        left_s = usual_s * self._paces[engine]
        while left_s > STEP_S / 2:
            left_s -= STEP_S / self._slowness(engine, at)
            at += STEP_S
        return at

    def _flow(self, vm: int, run: BookedRun) -> None:
        slowness = self._slowness(run.engine, self._now) if self.tells else None
        load = ToldLoad(running=1.0, waiting=0.0, slots=16.0, slowness=slowness)
        word = LoadWord(target=run.engine, load=load, at=self._now)

        def heard(book: EngineScheduler) -> None:
            book.flows(run.request, self._now)
            book.loads.passed_on(word)

        self._tell(vm, heard)
        done_at = self._done_at(run.engine, self._now, MAKING_S)
        token_s = (done_at - self._now) / TOKENS
        self._plan(done_at, lambda: self._end(vm, run, token_s))

    def _end(self, vm: int, run: BookedRun, token_s: float) -> None:
        def heard(book: EngineScheduler) -> None:
            book.end(run.request, self._now, whole=True, token_s=token_s, tokens=TOKENS)

        self._tell(vm, heard)


SEEDS = range(1, 4)
THREE = [
    ListedTarget(
        id=f"e{n}", service="engines", address=Address(host="10.0.0.1", port=80), data_center="a"
    )
    for n in (1, 2, 3)
]


def played(*, tells: bool) -> list[float]:
    return sorted(s for seed in SEEDS for s in Day(seed=seed, tells=tells).play())


@pytest.fixture
def switched_off() -> Iterator[None]:
    """Do without what is on only for engines that tell how slow they are."""
    MECHANISMS.switch_off(["engine-own-pace", "slow-moments"])
    yield
    MECHANISMS.switch_off([])


def test_streams_begin_sooner_where_engines_tell_how_slow_they_are() -> None:
    """Guards against choices by count, which give slow engines a stream in ten or more."""
    before, after = played(tells=False), played(tells=True)
    at_95 = math.floor(0.95 * len(before))
    assert statistics.mean(after) < 0.93 * statistics.mean(before)
    assert after[at_95] < 0.85 * before[at_95]


def test_without_the_mechanisms_the_choices_are_those_of_engines_that_tell_nothing(
    switched_off: None,
) -> None:
    assert Day(seed=1, tells=True).play() == Day(seed=1, tells=False).play()


def told_book(*, seed: int = 1, **slowness: float) -> EngineScheduler:
    """Give a book that has heard of engines at 0 s, each so slow then, and of their paces."""
    made = EngineScheduler(rng=random.Random(seed), data_center="a")
    for engine, times in slowness.items():
        load = ToldLoad(running=0.0, waiting=0.0, slots=16.0, slowness=times)
        made.loads.passed_on(LoadWord(target=engine, load=load, at=0.0))
    return made


def shows(book: EngineScheduler, engine: str, pace: float, *, times: int = 5) -> None:
    for _ in range(times):
        book.paces.read("engines", engine, tokens=PROMPT, seconds=READING_S * pace, now=0.0)


def chosen(book: EngineScheduler, now: float) -> str:
    placement = book.place(
        THREE, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=now
    )
    assert placement is not None
    return placement.engine.id


def run_at(engine: str) -> BookedRun:
    return BookedRun(
        request="r",
        vm="vm-1",
        engine=engine,
        prompt_tokens=PROMPT,
        memory_tokens=MEMORY,
        service="engines",
    )


def test_a_stream_goes_past_a_slow_engine_though_it_is_idle() -> None:
    for seed in range(20):
        book = told_book(seed=seed, e1=1.0, e2=1.0, e3=1.0)
        for engine, pace in (("e1", SLOW), ("e2", FAST), ("e3", SLOW)):
            shows(book, engine, pace)
        assert chosen(book, 0.1) == "e2"


def test_vms_that_choose_at_once_do_not_all_take_the_fastest_engine() -> None:
    """Guards against a herd onto the engine that has just told that it is idle and fast."""
    taken = Counter[str]()
    for seed in range(60):
        book = told_book(seed=seed, e1=1.0, e2=1.0, e3=1.0)
        for engine, pace in (("e1", FAST), ("e2", FAST * 1.05), ("e3", FAST * 1.1)):
            shows(book, engine, pace)
        taken[chosen(book, 0.1)] += 1
    assert max(taken.values()) < 40 and len(taken) == 3, taken


def test_one_slow_moment_does_not_make_an_engine_slow() -> None:
    book = told_book(e1=1.0)
    shows(book, "e1", FAST, times=3)
    shows(book, "e2", FAST, times=3)
    usual = book.paces.relative("engines", "e1", 0.0)
    shows(book, "e1", FAST * MOMENT_SLOWNESS, times=1)
    assert book.paces.relative("engines", "e1", 0.0) <= usual


def test_a_slow_moment_costs_no_more_than_what_is_left_of_it() -> None:
    book = told_book(e1=2.5)
    uneven = UnevenEngines(paces=book.paces, loads=book.loads)
    assert uneven.moment_s("e1", 0.1, 0.0) == pytest.approx(0.15)
    assert 0.0 < uneven.moment_s("e1", 5.0, 0.3) < uneven.moment_s("e1", 5.0, 0.0) < MOMENT_S
    assert uneven.moment_s("e1", 5.0, MOMENT_S) == 0.0
    assert uneven.moment_s("e2", 5.0, 0.0) == 0.0


def test_the_second_look_leaves_an_engine_that_has_turned_out_slow_before_it_reads() -> None:
    book = told_book(e1=1.0, e2=1.0, e3=1.0)
    for engine, pace in (("e1", SLOW), ("e2", FAST), ("e3", FAST)):
        shows(book, engine, pace)
    book.record_dispatch(run_at("e1"), 0.0)
    assert book.has_better("r", THREE, limits=LIMITS, now=0.03)
    book.record_dispatch(run_at("e2"), 0.0)
    assert not book.has_better("r", THREE, limits=LIMITS, now=0.03)
    book.record_dispatch(run_at("e1"), 0.0)
    book.record_first_event("r", 0.02)
    assert not book.has_better("r", THREE, limits=LIMITS, now=0.03)


def test_an_engine_that_starts_again_is_judged_as_its_service_until_it_tells() -> None:
    book = told_book(e1=2.5)
    shows(book, "e1", SLOW)
    shows(book, "e2", FAST, times=9)
    uneven = UnevenEngines(paces=book.paces, loads=book.loads)
    assert uneven.relative("engines", "e1", 0.1) > 1.2
    book.loads.started_again("e1", 0.1)
    assert uneven.relative("engines", "e1", 0.1) == 1.0
    assert uneven.moment_s("e1", 1.0, 0.1) == 0.0


def test_a_choice_tells_what_it_knew_of_the_engine_that_it_passed_over() -> None:
    book = told_book(e1=1.0, e2=2.5)
    shows(book, "e1", SLOW)
    shows(book, "e2", FAST)
    book.record_dispatch(attrs.evolve(run_at("e2"), request="flowing"), 0.0)
    book.record_first_event("flowing", 0.0)
    placement = book.place(
        THREE[:2], limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=0.3
    )
    assert placement is not None and placement.choice is not None
    taken, other = placement.choice.taken, placement.choice.passed_over
    assert (taken.engine, other.engine) == ("e2", "e1")
    assert taken.pace < other.pace and taken.slowness > other.slowness == 1.0
    assert (other.age_s, other.source) == (pytest.approx(0.3), LoadSource.NEWS)


def test_a_choice_that_counting_would_make_too_tells_nothing() -> None:
    book = told_book(e1=1.0, e2=1.0, e3=1.0)
    placement = book.place(
        THREE, limits=LIMITS, prompt_tokens=PROMPT, memory_tokens=MEMORY, now=0.1
    )
    assert placement is not None and placement.choice is None
