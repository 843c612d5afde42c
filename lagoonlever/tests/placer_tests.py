"""Who places runs in fleets of nine and of hundreds of VMs, and what it costs the others."""

from __future__ import annotations

from collections import Counter

import attrs
import pytest
import trio

from lagoonlever.bench.local_fleet import PLACES, Fleet, run_fleet, start_many
from lagoonlever.bench.placing_fleet import (
    MEMORY,
    PROMPT,
    SERVICE,
    PlacingVm,
    chosen_at_random,
    placing_fleet,
)
from lagoonlever.decisions.streams.run_placement import (
    Placed,
    PlacementRequest,
    RetryBudgetExhausted,
)
from lagoonlever.decisions.streams.stream_origins import UNKNOWN
from lagoonlever.gateway.placer import ANSWER_S
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_gateway import RunEnded, RunList
from lagoonlever.peers.messages_placement import FormerRun
from lagoonlever.peers.traffic import Count

SMALL, LARGE = 9, 195
ENGINES = 60
SETTLED_S = 6.0
_RETURNING = FormerRun(service=SERVICE, part="part-r1", returning=True, fingerprint="question-r1")
RUN_LIST_TAG = PEER.tag_of(RunList(runs=()))


async def started(fleet: Fleet, vms: int) -> dict[str, PlacingVm]:
    start_many(fleet, vms)
    await trio.sleep(SETTLED_S)
    placing = placing_fleet(fleet, engine_count=ENGINES)
    await trio.sleep(0.1)
    return placing


def plain_vms(placing: dict[str, PlacingVm], place: int = 0) -> list[PlacingVm]:
    """Give the VMs of a data centre that are no hubs."""
    mine = [p for p in placing.values() if p.vm.state.data_center == PLACES[place]]
    return [p for p in mine if not p.is_hub]


@pytest.mark.parametrize("vms", [SMALL, LARGE])
@pytest.mark.parametrize("seed", range(3))
def test_after_a_crash_of_engines_all_vms_choose_at_once_and_none_waits(
    vms: int, seed: int
) -> None:
    """A fifth of the engines crash, and forty streams look for another one within 10 ms.

    Each VM knows a few of them only. Two on one engine wait for each other's prompt for a
    second, while others are idle.
    """

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, vms)
        names = sorted(placing)
        crashed = chosen_at_random(seed, [f"e-{n}" for n in range(ENGINES)], ENGINES // 5)
        for engine in crashed:
            placing[names[0]].peers.engine_lost(engine)
        await trio.sleep(0.05)
        chosen: list[str] = []

        async def place(number: int) -> None:
            await trio.sleep(number * 0.00025)
            vm = placing[names[(number * 7 + seed) % len(names)]]
            chosen.append((await vm.place(f"r-{number}", after_loss=True)).engine)

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(place, number)
        assert set(chosen).isdisjoint(crashed), set(chosen) & set(crashed)
        assert max(Counter(chosen).values()) <= 2, Counter(chosen).most_common(3)

    run_fleet(story)


def test_a_run_costs_the_vms_that_have_no_part_in_it_nothing() -> None:
    """At 195 VMs each heard 16.6 messages a second of others' runs, and did little else.

    A VM that places a run asks one hub; hubs tell each other; nobody else is told.
    """

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        asker, *others = plain_vms(placing)
        before = {vm.name: vm.messages_received() for vm in placing.values()}
        await asker.place("r1")
        asker.peers.flows("r1")
        await trio.sleep(0.1)
        asker.peers.end(RunEnded(request="r1", whole=True))
        await trio.sleep(0.1)
        heard = {vm.name: vm.messages_received() - before[vm.name] for vm in placing.values()}
        assert heard[asker.name] == 1
        assert sum(heard[vm.name] for vm in others) == 0
        assert sum(heard.values()) <= 25, heard

    run_fleet(story)


def test_every_hub_knows_a_run_within_a_few_hundredths_of_a_second() -> None:
    """What a hub has not heard of, it places on top of."""

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        asker = plain_vms(placing)[0]
        await asker.place("r1")
        await trio.sleep(0.03)
        hubs = [vm for vm in placing.values() if vm.is_hub]
        assert len(hubs) == 6
        assert all(vm.vm.beliefs.book.is_dispatched("r1") for vm in hubs)

    run_fleet(story)


def test_a_silent_hub_costs_one_wait_and_no_place() -> None:
    """A hub loses power; its VMs hear that only after a second, and place runs meanwhile."""

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        asker = plain_vms(placing)[0]
        roles = asker.vm.presence.roles.value
        assert roles is not None
        fleet.kill(roles.hubs[0])
        waits = []
        for number in range(2):
            began = trio.current_time()
            await asker.place(f"r-{number}")
            waits.append(trio.current_time() - began)
        assert waits[0] <= ANSWER_S + 0.001
        assert waits[1] < 0.001

    run_fleet(story)


def test_a_vm_that_no_hub_answers_places_by_itself() -> None:
    """It is cut off from all others, and still reaches engines: its callers are served."""

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        asker = plain_vms(placing)[0]
        fleet.cut(asker.name)
        began = trio.current_time()
        await asker.place("r1")
        assert trio.current_time() - began <= 2 * ANSWER_S + 0.001
        assert asker.vm.beliefs.book.is_dispatched("r1")

    run_fleet(story)


def test_a_vm_without_a_hub_keeps_to_its_share_of_the_repeats() -> None:
    """It hears nothing of the others' repeats; all VMs cut off together must not exceed them."""

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        asker = plain_vms(placing)[0]
        fleet.cut(asker.name)
        ask = PlacementRequest(
            request="r", service=SERVICE, prompt_tokens=PROMPT, memory_tokens=MEMORY, repeat=True
        )
        asker.peers.begin(asker.booked("r", await asker.place("r")))
        outcomes = [await asker.placer.place(attrs.evolve(ask, request=f"r{n}")) for n in range(3)]
        assert all(isinstance(outcome, RetryBudgetExhausted) for outcome in outcomes)

    run_fleet(story)


def test_a_caller_whose_vm_died_goes_on_by_any_other_vm() -> None:
    """A VM dies with a stream; its caller comes back to a VM of another data centre.

    Only hubs have heard of the run. The VM asks its own hub, and goes on from the copy.
    """

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        first, other = plain_vms(placing, 0)[0], plain_vms(placing, 1)[0]
        placed = await first.place("r1")
        first.peers.flows("r1")
        await trio.sleep(0.1)
        fleet.kill(first.name)
        former = await other.placer.former_run(_RETURNING)
        assert former.run is not None
        assert former.run.engine == placed.engine
        assert former.run.copy is not None and former.run.copy.holder == placed.copy_to

    run_fleet(story)


def test_a_hub_names_the_run_of_a_question_and_not_the_last_one_of_its_session() -> None:
    """A return that is answered with its session's last run would go on with another answer."""

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        first, other = plain_vms(placing, 0)[0], plain_vms(placing, 1)[0]
        await first.place("r1")
        first.peers.flows("r1")
        later = first.booked("r2", Placed(engine="e-1"))
        first.peers.begin(attrs.evolve(later, part="part-r1"))
        first.peers.flows("r2")
        await trio.sleep(0.1)
        former = await other.placer.former_run(_RETURNING)
        assert former.run is not None and former.run.request == "r1"
        assert former.run.copy_for("question-r1", model="") is not None
        fallback = await other.placer.former_run(attrs.evolve(_RETURNING, fingerprint="unknown"))
        assert fallback.run is not None and fallback.run.request == "r2"
        assert fallback.run.copy_for("unknown", model="") is None

    run_fleet(story)


def test_the_hubs_that_follow_lost_ones_know_the_runs_of_before() -> None:
    """Both hubs of a data centre die. Two narrow VMs take their place, and know no run.

    Callers that return would have their prompts read again, and engines that are full
    would look idle.
    """

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        asker, other = plain_vms(placing)[:2]
        await asker.place("r1")
        asker.peers.flows("r1")
        await trio.sleep(0.1)
        for hub in [vm.name for vm in placing.values() if vm.is_hub]:
            if fleet.vms[hub].state.data_center == PLACES[0]:
                fleet.kill(hub)
        await trio.sleep(5.0)
        former = await other.placer.former_run(_RETURNING)
        assert former.run is not None and former.run.request == "r1"

    run_fleet(story)


def test_a_vm_that_no_longer_hears_of_others_runs_forgets_them() -> None:
    """A VM that has just started is told of the open runs, and never of their ends.

    Engines that were busy then look busy to it for good, and its streams leave good places.
    """

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        newcomer, other = plain_vms(placing)[:2]
        await newcomer.place("r-own")
        run = other.booked("r-other", Placed(engine="e-1"))
        newcomer.vm.bus.take(sender=other.vm.bus.own, data=PEER.encode(RunList(runs=(run,))))
        await trio.sleep(0.5)
        assert [each.request for each in newcomer.vm.beliefs.book.open_runs] == ["r-own"]
        hub = next(vm for vm in placing.values() if vm.is_hub)
        hub.vm.bus.take(sender=other.vm.bus.own, data=PEER.encode(RunList(runs=(run,))))
        await trio.sleep(0.5)
        assert hub.vm.beliefs.book.is_dispatched("r-other")

    run_fleet(story)


def test_a_run_whose_writer_nobody_knows_is_told_as_such_to_a_vm_that_is_met() -> None:
    """Guards against a stream that goes on at another version, after VMs lost sight of each other.

    Its engine was listed by no entry as it wrote; the next process under its id is.
    """

    async def story(fleet: Fleet) -> None:
        one, other = list((await started(fleet, SMALL)).values())[:2]
        one.peers.begin(attrs.evolve(one.booked("r1", Placed(engine="next")), version=None))
        one.peers.flows("r1", UNKNOWN)
        await trio.sleep(0.1)
        one.peers.greet(other.vm.bus.address)
        await trio.sleep(0.1)
        told = other.vm.beliefs.origins.find("r1")
        assert told is not None and (told.version, told.engine) == (None, "")

    run_fleet(story)


@pytest.mark.parametrize(("vms", "told"), [(SMALL, 1), (LARGE, 0)])
def test_only_a_newcomer_that_hears_of_all_runs_is_told_of_them(vms: int, told: int) -> None:
    """After a loss of power hundreds of VMs ask the same few who is there, all at once.

    Each was also told of every open run, some 64 KB, which it has no use for.
    """

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, vms)
        one, other = list(placing.values())[:2]
        await one.place("r1")
        await trio.sleep(0.1)
        before = one.vm.bus.traffic.sent.get(RUN_LIST_TAG, Count()).messages
        one.peers.greet(other.vm.bus.address)
        assert one.vm.bus.traffic.sent.get(RUN_LIST_TAG, Count()).messages - before == told

    run_fleet(story)


def test_a_hub_that_knows_no_engines_yet_is_not_waited_for() -> None:
    """A hub has just started again: it is asked before it has read the list of engines."""

    async def story(fleet: Fleet) -> None:
        placing = await started(fleet, LARGE)
        asker = plain_vms(placing)[0]
        roles = asker.vm.presence.roles.value
        assert roles is not None
        placing[roles.hubs[0]].vm.beliefs.known = trio.Event()
        await asker.place("r1")
        assert asker.vm.beliefs.book.is_dispatched("r1")

    run_fleet(story)
