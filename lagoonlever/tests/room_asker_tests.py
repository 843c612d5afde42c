"""Prompts that wait for engines at another VM: who dies, is cut off, paused, or not heard."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable

import attrs
import pytest
import trio
import trio.testing

from lagoonlever.bench.local_fleet import Fleet, run_fleet, start_many
from lagoonlever.bench.placing_fleet import MEMORY, PROMPT, SERVICE, PlacingVm, placing_fleet
from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.admission.prompt_queue import RENEWAL_TIMEOUT_S
from lagoonlever.decisions.fleet.queue_coordinators import queue_coordinators
from lagoonlever.decisions.settings.configuration import (
    Configuration,
    RouteKind,
    ServiceRoute,
    WeightedService,
)
from lagoonlever.decisions.settings.mechanisms import MECHANISMS
from lagoonlever.decisions.streams.run_placement import Placed, PlacementRequest
from lagoonlever.gateway.room_asker import has_line
from lagoonlever.gateway.room_desk import LOOK_S, Reply, RoomDesk
from lagoonlever.peers.messages_gateway import RunEnded
from lagoonlever.peers.messages_line import LineAsk, LineNeed, LineTold

SMALL, LARGE = 9, 150
ENGINES = 6
SETTLED_S = 6.0
TAKEN_OVER_S = 0.5
"""What a waiting prompt may lose by a keeper that dies."""
LONG_S = 1_000.0
PAUSE_S = 0.2
"""Of a whole process: longer than a keeper takes to answer."""

Story = Callable[["Room"], Awaitable[None]]


def ask_of(request: str) -> PlacementRequest:
    return PlacementRequest(
        request=request, service=SERVICE, prompt_tokens=PROMPT, memory_tokens=MEMORY
    )


def need(*, rank: int = 2, in_s: float = LONG_S) -> LineNeed:
    return LineNeed(rank=rank, waited_s=0.0, first_event_in_s=in_s, end_in_s=2 * in_s)


@attrs.define(kw_only=True, eq=False)
class Room:
    """A fleet whose engines all read, and the prompts that wait for them."""

    fleet: Fleet
    vms: dict[str, PlacingVm]
    keeper: str
    placed: dict[str, str] = attrs.field(factory=dict)
    """By request: its engine."""
    outcomes: Counter[str] = attrs.field(factory=Counter)

    def others(self) -> list[PlacingVm]:
        return [vm for name, vm in self.vms.items() if name != self.keeper]

    def fill(self, *, count: int = ENGINES, by: PlacingVm | None = None) -> None:
        """Send two prompts to each engine, so that none is ready."""
        vm = by or self.others()[-1]
        for number in range(count):
            for each in ("a", "b"):
                placed = Placed(engine=f"e-{number}")
                vm.peers.begin(vm.booked(f"full-{number}{each}", placed))

    def free(self, number: int) -> None:
        """End what an engine was filled with."""
        for vm in self.vms.values():
            for each in ("a", "b"):
                ended = RunEnded(request=f"full-{number}{each}", whole=True)
                vm.vm.beliefs.book.record_end(ended.request, trio.current_time(), whole=True)

    async def wait(self, vm: PlacingVm, request: str, asked: LineNeed) -> None:
        """Ask as a stream does, and send the run where it is placed."""
        outcome = await vm.asker.place(ask_of(request), asked)
        self.outcomes[type(outcome).__name__] += 1
        if isinstance(outcome, Placed):
            assert request not in self.placed
            self.placed[request] = outcome.engine
            vm.peers.begin(vm.booked(request, outcome))

    def begin(self, vm: PlacingVm, request: str, asked: LineNeed | None = None) -> None:
        self.fleet.nursery.start_soon(vm.vm.run, lambda: self.wait(vm, request, asked or need()))


def keeper_of(placing: dict[str, PlacingVm]) -> str:
    """Give the VM that keeps the line, in the view of one that is a hub."""
    vm = next(vm for vm in placing.values() if vm.is_hub)
    roles = vm.vm.presence.roles.value
    assert roles is not None
    present = vm.vm.beliefs.fellows.present(trio.current_time())
    return queue_coordinators(SERVICE, roles=roles, own=vm.name, leaving=False, present=present)[0]


def run_room(story: Story, *, vms: int = SMALL) -> None:
    async def main(fleet: Fleet) -> None:
        start_many(fleet, vms)
        await trio.sleep(SETTLED_S)
        placing = placing_fleet(fleet, engine_count=ENGINES)
        await trio.sleep(0.1)
        await story(Room(fleet=fleet, vms=placing, keeper=keeper_of(placing)))

    run_fleet(main)


@pytest.mark.parametrize("vms", [SMALL, LARGE])
def test_a_place_goes_out_as_soon_as_an_engine_is_ready(vms: int) -> None:
    """Guards against prompts that wait for their next question while an engine is idle."""

    async def story(room: Room) -> None:
        room.fill()
        await trio.sleep(0.05)
        room.begin(room.others()[0], "r1")
        await trio.sleep(0.3)
        assert room.placed == {}
        room.free(3)
        await trio.sleep(LOOK_S + 0.01)
        assert room.placed == {"r1": "e-3"}

    run_room(story, vms=vms)


@pytest.mark.parametrize("vms", [SMALL, LARGE])
def test_vms_that_ask_together_get_places_in_order(vms: int) -> None:
    """Guards against one engine that two VMs are sent to, and urgent ones that come last."""

    async def story(room: Room) -> None:
        room.fill()
        await trio.sleep(0.05)
        for number, vm in enumerate(room.others()[:5]):
            room.begin(vm, f"r{number}", need(rank=0 if number == 4 else 2, in_s=50.0 - number))
        await trio.sleep(0.2)
        room.free(1)
        await trio.sleep(0.1)
        assert next(iter(room.placed)) == "r4"
        for engine in (0, 2, 3, 4, 5):
            room.free(engine)
        await trio.sleep(0.1)
        assert sorted(room.placed) == [f"r{n}" for n in range(5)]
        assert max(Counter(room.placed.values()).values()) == 1

    run_room(story, vms=vms)


@pytest.mark.parametrize("vms", [SMALL, LARGE])
@pytest.mark.parametrize("how", ["kill", "cut"])
def test_a_keeper_that_is_gone_costs_a_waiting_prompt_half_a_second(vms: int, how: str) -> None:
    """Guards against callers who wait on for a VM that will never answer."""

    async def story(room: Room) -> None:
        room.fill()
        await trio.sleep(0.05)
        for number, vm in enumerate(room.others()[:3]):
            room.begin(vm, f"r{number}")
        await trio.sleep(0.3)
        getattr(room.fleet, how)(room.keeper)
        for engine in range(ENGINES):
            room.free(engine)
        await trio.sleep(TAKEN_OVER_S)
        waiting = {"r0", "r1", "r2"} - room.placed.keys()
        assert not waiting
        assert max(Counter(room.placed.values()).values()) == 1

    run_room(story, vms=vms)


def test_a_keeper_that_wakes_from_a_pause_places_nobody_who_has_gone() -> None:
    """Guards against a VM that gives the places of before its pause, to prompts that run."""

    async def story(room: Room) -> None:
        room.fill()
        await trio.sleep(0.05)
        keeper = room.vms[room.keeper]
        asked = LineAsk(
            number=7,
            reply_to=room.others()[0].vm.bus.address,
            ask=ask_of("r1"),
            need=need(),
        )
        told: list[LineTold] = []
        keeper.desk.ask(asked, vm="vm-gone", reply=told.append)
        assert [each.waits is not None for each in told] == [True]
        await trio.sleep(RENEWAL_TIMEOUT_S + 0.1)
        room.free(0)
        await trio.sleep(0.1)
        assert len(told) == 1
        assert not keeper.vm.beliefs.book.is_dispatched("r1")

    run_room(story)


def test_a_vm_that_was_paused_itself_does_not_pass_its_keeper_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two keepers, which give the same room to different prompts."""
    answer, pauses_s = RoomDesk._answering, [PAUSE_S]

    def answer_late(desk: RoomDesk, asked: LineAsk) -> Reply:
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(pauses_s.pop() if pauses_s else 0.0)
        return answer(desk, asked)

    async def story(room: Room) -> None:
        vm = room.others()[0]
        monkeypatch.setattr(RoomDesk, "_answering", answer_late)
        await room.wait(vm, "r1", need())
        assert not pauses_s
        assert "r1" in room.placed
        assert not vm.asker._silent_until

    run_room(story)


def test_a_prompt_that_was_sent_meanwhile_gets_no_second_place() -> None:
    """Guards against two keepers that both have a prompt in line, and both place it."""

    async def story(room: Room) -> None:
        room.fill()
        await trio.sleep(0.05)
        vm = room.others()[0]
        told: list[LineTold] = []
        asked = LineAsk(number=7, reply_to=vm.vm.bus.address, ask=ask_of("r1"), need=need())
        room.vms[room.keeper].desk.ask(asked, vm=vm.name, reply=told.append)
        await trio.sleep(0.05)
        vm.peers.begin(vm.booked("r1", Placed(engine="e-5")))
        room.free(0)
        await trio.sleep(0.1)
        assert all(each.decided is None for each in told)

    run_room(story)


def test_a_place_that_is_lost_on_its_way_is_given_again() -> None:
    """Guards against a prompt that waits for good, as its keeper takes it for placed."""

    async def story(room: Room) -> None:
        room.fill()
        await trio.sleep(0.05)
        vm = room.others()[0]
        room.begin(vm, "r1")
        await trio.sleep(0.02)
        keeper = room.vms[room.keeper]
        (place,) = keeper.desk._open
        keeper.desk._open[place].reply = lambda told: None
        room.free(2)
        await trio.sleep(0.4)
        assert room.placed == {"r1": "e-2"}

    run_room(story)


def test_a_vm_that_starts_again_is_not_told_the_answers_of_its_former_life() -> None:
    """Guards against a prompt that goes to the engine of another request."""

    async def story(room: Room) -> None:
        vm = room.others()[0]
        told: list[LineTold] = []
        keeper = room.vms[room.keeper]
        desk = keeper.desk
        asked = LineAsk(number=7, reply_to=vm.vm.bus.address, ask=ask_of("r1"), need=need())
        desk.ask(asked, vm=vm.name, reply=told.append)
        await trio.sleep(RENEWAL_TIMEOUT_S + 0.1)
        desk.ask(attrs.evolve(asked, ask=ask_of("r2")), vm=vm.name, reply=told.append)
        assert len(told) == 2
        assert told[0] is not told[1]
        run = keeper.vm.beliefs.book._records.find("r2")
        assert run is not None

    run_room(story)


def test_a_caller_who_goes_away_leaves_the_line() -> None:
    """Guards against places for prompts that nobody wants any more."""

    async def story(room: Room) -> None:
        room.fill()
        await trio.sleep(0.05)
        vm = room.others()[0]
        with trio.move_on_after(0.1):
            await room.wait(vm, "r1", need())
        await trio.sleep(0.01)
        assert not room.vms[room.keeper].desk._open

    run_room(story)


def test_two_keepers_place_each_by_its_own_book_and_no_prompt_twice() -> None:
    """Guards against a prompt that runs twice where VMs differ on who keeps the line."""

    async def story(room: Room) -> None:
        room.fill()
        await trio.sleep(0.05)
        first, second, *_ = room.others()
        for number in range(2):
            room.begin(first, f"r{number}")
        second.asker._silent_until[room.keeper] = trio.current_time() + LONG_S
        for number in range(2, 4):
            room.begin(second, f"r{number}")
        await trio.sleep(0.2)
        for engine in range(ENGINES):
            room.free(engine)
        await trio.sleep(0.2)
        assert sorted(room.placed) == [f"r{n}" for n in range(4)]
        assert max(Counter(room.placed.values()).values()) <= 2

    run_room(story)


def test_one_that_cannot_be_served_in_time_is_told_within_an_eighth_of_it() -> None:
    """Guards against refusals that come when the caller's time is over."""

    async def story(room: Room) -> None:
        room.fill()
        await trio.sleep(0.05)
        for number in range(100):
            room.begin(room.others()[number % 8], f"r{number}", need(in_s=10.0))
        await trio.sleep(0.05)
        began = trio.current_time()
        outcome = await room.others()[0].asker.place(ask_of("last"), need(in_s=10.0))
        assert isinstance(outcome, RejectedWithRetryAfter)
        assert trio.current_time() - began <= 10.0 / 8

    run_room(story)


def test_a_vm_that_hardly_knows_the_others_places_as_if_there_were_no_line() -> None:
    """Guards against callers of a VM that is cut off, who would wait for a keeper."""

    async def story(room: Room) -> None:
        vm = room.others()[0]
        room.fleet.cut(vm.name)
        began = trio.current_time()
        assert await vm.asker.place(ask_of("r1"), need()) is None
        assert trio.current_time() - began <= TAKEN_OVER_S

    run_room(story)


def route(priority: int) -> ServiceRoute:
    return ServiceRoute(
        name=f"r{priority}",
        host="h",
        prefix=f"/{priority}/",
        kind=RouteKind.STREAM,
        services=(WeightedService(name=SERVICE),),
        timeout_s=25.0,
        objective_s=4.0,
        priority=priority,
    )


def test_a_service_of_one_rank_has_no_line() -> None:
    """Guards against a change of services whose prompts are all alike."""
    assert not has_line(Configuration(version=1, routes=(route(1), route(1))), SERVICE)
    ranked = Configuration(version=1, routes=(route(0), route(2)))
    assert has_line(ranked, SERVICE)
    MECHANISMS.switch_off(["room-line"])
    try:
        assert not has_line(ranked, SERVICE)
    finally:
        MECHANISMS.switch_off(())
