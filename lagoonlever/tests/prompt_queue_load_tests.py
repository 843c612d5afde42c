"""Load tests of the prompt queue: replays with fleets of several sizes, in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator

import attrs
import pytest
import trio

from lagoonlever.bench.local_fleet import Fleet, run_fleet, start_many
from lagoonlever.bench.placing_fleet import MEMORY, PROMPT, SERVICE, PlacingVm, placing_fleet
from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.streams.run_placement import Placed, PlacementRequest
from lagoonlever.peers.messages_gateway import RunEnded
from lagoonlever.peers.messages_line import LineNeed
from lagoonlever.tests.working_time import WAITS_AT_MOST_S, works_at_most

pytestmark = pytest.mark.timeout(WAITS_AT_MOST_S)

SIZES = (9, 60, 88, 300)
SETTLED_S = 4.0
ENGINES = 45
CRASHED = tuple(f"e-{number}" for number in range(0, 33, 3))
"""A quarter of the engines, all in one data centre."""
PREFILL_S, DECODE_S = 1.2, 4.0
URGENT_S, PATIENT_S, CALLER_S = 4.0, 10.0, 25.0
CONNECTION_S = 0.01
ENDS_S = CALLER_S
"""From the last prompt until all have ended: one that hangs would keep simulated time going."""
LOAD_S = 8.0
"""Duration of the load; large fleets get a half or a quarter of it, as their replay is slow."""
WORK_S = 120.0
"""Of the processor's time, for one test."""


@pytest.fixture(autouse=True)
def in_working_time() -> Iterator[None]:
    """Bound each test by what it works."""
    with works_at_most(WORK_S):
        yield


def request_name(number: int) -> str:
    return f"r{number:04}"


@attrs.define(kw_only=True, eq=False)
class Engines:
    """Engines that prefill one prompt at a time; a crash ends their work."""

    slow: float = 1.0
    free_at: Counter[str] = attrs.field(factory=Counter)
    down: dict[str, trio.Event] = attrs.field(factory=dict)

    def crash(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.down.pop(name, trio.Event()).set()
            self.free_at.pop(name, None)

    async def survives_until(self, name: str, until: float) -> bool:
        """Wait until a time; return False if the engine crashes before."""
        with trio.move_on_at(until):
            await self.down.setdefault(name, trio.Event()).wait()
            return False
        return True

    async def prefill(self, name: str) -> bool:
        begins = max(self.free_at[name], trio.current_time())
        self.free_at[name] = begins + PREFILL_S * self.slow
        return await self.survives_until(name, self.free_at[name])


@attrs.define(kw_only=True, eq=False)
class Replay:
    """Streams of two ranks, with counts of their outcomes."""

    fleet: Fleet
    vms: list[PlacingVm]
    engines: Engines
    with_queue: bool = True
    sent: Counter[int] = attrs.field(factory=Counter)
    in_time: Counter[int] = attrs.field(factory=Counter)
    refused: Counter[int] = attrs.field(factory=Counter)
    ended: Counter[str] = attrs.field(factory=Counter)
    is_sent: bool = False
    all_ended: trio.Event = attrs.field(factory=trio.Event)

    def begin(self, rank: int, vm: PlacingVm) -> None:
        self.sent[rank] += 1
        request = request_name(sum(self.sent.values()))
        self.fleet.nursery.start_soon(self._stream, vm, request, rank)

    async def _stream(self, vm: PlacingVm, request: str, rank: int) -> None:
        arrived, avoid = trio.current_time(), set[str]()
        objective_s = URGENT_S if rank == 0 else PATIENT_S
        while True:
            ask = PlacementRequest(
                request=request,
                service=SERVICE,
                prompt_tokens=PROMPT,
                memory_tokens=MEMORY,
                avoid=tuple(avoid),
            )
            waited_s = trio.current_time() - arrived
            need = LineNeed(
                rank=rank,
                waited_s=waited_s,
                first_event_in_s=objective_s - waited_s,
                end_in_s=CALLER_S - waited_s,
            )
            outcome = await (vm.asker.place(ask, need) if self.with_queue else vm.placer.place(ask))
            if isinstance(outcome, RejectedWithRetryAfter):
                assert trio.current_time() - arrived <= objective_s / 8
                self.refused[rank] += 1
                break
            assert isinstance(outcome, Placed), outcome
            vm.peers.begin(vm.booked(request, outcome))
            await trio.sleep(CONNECTION_S)
            if not await self.engines.prefill(outcome.engine):
                avoid.add(outcome.engine)
                continue
            vm.peers.flows(request)
            self.in_time[rank] += trio.current_time() - arrived <= objective_s
            await trio.sleep(DECODE_S)
            vm.peers.end(RunEnded(request=request, whole=True))
            break
        self.ended[request] += 1
        if self.is_sent and len(self.ended) == sum(self.sent.values()):
            self.all_ended.set()

    async def load(self, seconds: float, *, urgent: float, patient: float) -> None:
        """Start streams of each rank at these rates per second, at random VMs."""
        rng = random.Random(1)
        for _ in range(round(seconds * (urgent + patient))):
            is_urgent = rng.random() < urgent / (urgent + patient)
            self.begin(0 if is_urgent else 2, self.vms[rng.randrange(len(self.vms))])
            await trio.sleep(1 / (urgent + patient))
        self.is_sent = True

    async def crash(self, names: tuple[str, ...], *, for_s: float) -> None:
        self.engines.crash(names)
        for name in names:
            self.vms[0].peers.engine_lost(name)
        await trio.sleep(for_s)
        for vm in self.vms:
            for name in names:
                vm.vm.beliefs.book.record_restart(name, 1, trio.current_time())

    @property
    def unended(self) -> set[str]:
        return {request_name(number + 1) for number in range(sum(self.sent.values()))} - set(
            self.ended
        )

    def share(self, rank: int) -> float:
        return self.in_time[rank] / self.sent[rank]


def replay(
    vms: int,
    *,
    urgent: float,
    patient: float,
    slow: float = 1.0,
    crash: bool = True,
    at_once: int = 0,
    with_queue: bool = True,
) -> Replay:
    """Replay eight seconds of load with a crash of a quarter of the engines after two.

    Return when all streams have ended; each must end exactly once.
    """
    made: list[Replay] = []
    seconds = LOAD_S if vms <= 60 else LOAD_S / 2 if vms <= 88 else LOAD_S / 4

    async def story(fleet: Fleet) -> None:
        start_many(fleet, vms)
        await trio.sleep(SETTLED_S)
        placing = list(placing_fleet(fleet, engine_count=ENGINES).values())
        await trio.sleep(0.1)
        engines = Engines(slow=slow)
        played = Replay(fleet=fleet, vms=placing, engines=engines, with_queue=with_queue)
        made.append(played)
        for number in range(at_once):
            played.begin(0 if number % 10 == 0 else 2, placing[number % len(placing)])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: played.load(seconds, urgent=urgent, patient=patient))
            if crash:
                await trio.sleep(seconds / 4)
                nursery.start_soon(lambda: played.crash(CRASHED, for_s=4.5))
        with trio.move_on_after(ENDS_S):
            await played.all_ended.wait()
        assert played.all_ended.is_set(), f"{played.unended} have not ended"

    run_fleet(story)
    (played,) = made
    assert sum(played.ended.values()) == sum(played.sent.values())
    assert set(played.ended.values()) == {1}
    return played


@pytest.mark.parametrize("vms", SIZES)
def test_a_burst_during_a_crash_of_a_quarter_is_served_in_time_without_rejections(vms: int) -> None:
    """Guards against urgent prompts behind patient ones, and rejections of those who can wait."""
    played = replay(vms, urgent=2.0, patient=50.0)
    assert not played.refused
    assert played.share(0) >= 0.95
    assert played.share(2) >= 0.95


@pytest.mark.parametrize("vms", [9, 60])
def test_a_burst_of_returning_callers_is_served_by_urgency(vms: int) -> None:
    """Guards against returning callers that fill the engines at once, urgent ones behind others."""
    played = replay(vms, urgent=2.0, patient=2.0, crash=False, at_once=200)
    assert not played.refused
    assert played.share(0) == 1.0
    assert played.share(2) >= 0.95


def test_under_overload_urgent_prompts_are_served_and_others_rejected() -> None:
    """Guards against delays for all prompts where engines can prefill a third of the load."""
    played = replay(SIZES[0], urgent=2.0, patient=90.0)
    assert played.share(0) >= 0.9
    assert played.refused[0] == 0
    assert played.refused[2] > 0


def test_queued_prompts_are_served_by_engines_five_times_slower() -> None:
    """Guards against prompts that are dropped or rejected though capacity comes, only slowly."""
    played = replay(SIZES[0], urgent=1.0, patient=8.0, crash=False, slow=5.0)
    assert not played.refused
    assert played.share(2) >= 0.9


def test_prompts_of_one_rank_are_served_no_worse_than_without_the_queue() -> None:
    """Guards against an order that serves equal prompts worse than no queue would."""
    with_queue = replay(SIZES[0], urgent=0.0, patient=50.0)
    without = replay(SIZES[0], urgent=0.0, patient=50.0, with_queue=False)
    assert with_queue.in_time[2] >= without.in_time[2]
