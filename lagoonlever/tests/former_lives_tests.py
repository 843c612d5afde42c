"""Answers to questions of a former life of a VM, which came back at the same address."""

from __future__ import annotations

import random

import trio
import trio.testing

from lagoonlever.bench.local_fleet import Fleet, run_fleet
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.call_places import CallPlace, PlaceOutcome
from lagoonlever.gateway.questions import Questions
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.local_bus import LocalBus, LocalNetwork
from lagoonlever.peers.messages import Received
from lagoonlever.peers.messages_calls import PlaceAsk, PlaceTold
from lagoonlever.peers.messages_limits import PermitAsk, PermitTold, WordTold
from lagoonlever.revisions import Revision
from lagoonlever.tests.call_places_tests import (
    RUNNERS,
    SERVICE,
    SETTLED_S,
    CallingVm,
    calling,
    order,
    others,
    started,
    take_all,
)

ASKING = Address(host="10.0.0.1", port=1)
ASKED = Address(host="10.0.0.2", port=1)
ANSWER_S = 0.05
BACK = "vm-9"
"""A VM that ends and comes back."""
ANOTHER = ListedTarget(
    id="another-runner",
    service="another",
    address=Address(host="10.1.0.2", port=1),
    data_center="dc-0",
)


def bus_of(network: LocalNetwork, address: Address, *, started_ms: int) -> LocalBus:
    life = Incarnation(name=f"vm-{address.host[-1]}", started_ms=started_ms, nonce=started_ms)
    return LocalBus(own=life, address=address, network=network)


def list_another(vm: CallingVm) -> None:
    """Have a VM know a runner of another service as well."""
    targets = vm.vm.beliefs.targets
    listed = [*targets.serving(SERVICE), ANOTHER]
    targets.apply_list(listed, revision=Revision(number=2), now=0.0, store_back_at=None)


async def next_from(asks: trio.MemoryReceiveChannel[Received[PlaceAsk]], name: str) -> PlaceAsk:
    """Return the next question of a VM."""
    while (asked := await asks.receive()).sender.name != name:
        continue
    return asked.message


def permit_ask(number: int) -> PermitAsk:
    word = WordTold(target="r-0", per_s=1.0, age_s=0.0)
    return PermitAsk(number=number, reply_to=ASKING, word=word, need=1.0)


def test_a_permit_for_a_vm_s_former_life_lets_no_request_of_now_through() -> None:
    """A request went to a target in need by the permit of another target's."""

    async def main() -> None:
        network = LocalNetwork(random=random.Random(1))
        asked = bus_of(network, ASKED, started_ms=500)
        asks = asked.subscribe(PermitAsk)
        former = Questions(bus=bus_of(network, ASKING, started_ms=1_000))
        assert await former.ask(ASKED, permit_ask, PermitTold, timeout_s=ANSWER_S) is None
        late = PermitTold(number=(await asks.receive()).message.number)
        now = Questions(bus=bus_of(network, ASKING, started_ms=3_000))
        taken: list[PermitTold | None] = []

        async def ask() -> None:
            taken.append(await now.ask(ASKED, permit_ask, PermitTold, timeout_s=ANSWER_S))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(now.receive, PermitTold)
            nursery.start_soon(ask)
            await asks.receive()
            asked.send(ASKING, late)
            await trio.sleep(2 * ANSWER_S)
            nursery.cancel_scope.cancel()
        assert taken == [None]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_place_for_a_vm_s_former_life_sends_no_call_to_another_service() -> None:
    """A desk tells the former life of its place while the VM that came back waits for one."""

    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        desk = vms[order(vms)[0]]
        asks = desk.vm.bus.subscribe(PlaceAsk)
        former = calling(fleet, fleet.start(BACK))
        await trio.sleep(SETTLED_S)
        assert isinstance(await former.take(), CallPlace)
        number = (await next_from(asks, BACK)).number
        fleet.kill(BACK)
        back = calling(fleet, fleet.start(BACK))
        await trio.sleep(SETTLED_S)
        list_another(back)
        held = await take_all(vms, others(vms))
        places: list[PlaceOutcome] = []

        async def take() -> None:
            places.append(await back.take())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(take)
            await next_from(asks, BACK)
            late = PlaceTold(number=number, service="another", work_s=0.1, target=ANOTHER.id)
            desk.vm.bus.send(back.vm.state.bus, late)
            await trio.sleep(0.01)
            vms[others(vms)[0]].answered(held[0])
        assert isinstance(places[0], CallPlace)
        assert places[0].target in RUNNERS

    run_fleet(story)
