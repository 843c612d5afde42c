"""Places for calls in a fleet in memory: VMs that die, answers that are lost, views that differ."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import attrs
import pytest
import trio
import trio.testing

from lagoonlever.bench.local_fleet import Fleet, FleetVm, run_fleet, start_many
from lagoonlever.decisions.admission.call_queue import MAX_QUEUED_PER_RUNNER
from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.settings.configuration import RouteKind, ServiceRoute
from lagoonlever.decisions.settings.mechanisms import MECHANISMS
from lagoonlever.decisions.targets.call_coordinators import (
    RUNNERS_PER_COORDINATOR,
    ranked_coordinators,
    runner_groups,
)
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.reported_load import LoadReport, ReportedLoad
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.brittle_watch import BrittleWatch
from lagoonlever.gateway.call_desk import CallDesk, Reply
from lagoonlever.gateway.call_places import ANSWER_S, CallPlace, CallPlaces, PlaceOutcome
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.messages import AnswerHead
from lagoonlever.gateway.tally import Tally
from lagoonlever.gateway.target_client import Answered
from lagoonlever.http.client import Response
from lagoonlever.http.messages import Address, Headers
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_calls import PlaceAsk, PlaceTold
from lagoonlever.revisions import Revision

SERVICE = "apps"
RUNNERS = ("r-0", "r-1")
SLOTS = 2.0
FULL = 2 * (2 + MAX_QUEUED_PER_RUNNER)
"""Places at two runners of two slots."""
VMS = 9
SETTLED_S = 6.0
WORK_S = 0.07
PAUSE_S = 0.2
"""Of a whole process: longer than a desk takes to answer."""
TOLD = PEER.tag_of(PlaceTold(number=0, service="", work_s=0.0))


@attrs.define(kw_only=True, eq=False)
class CallingVm:
    """One VM's parts that ask for places and give them out."""

    vm: FleetVm
    places: CallPlaces
    desk: CallDesk

    def accepted(self, *, objective_s: float = 0.34, timeout_s: float = 1.5) -> Accepted:
        now = trio.current_time()
        route = ServiceRoute(
            name="post",
            host="h",
            prefix="/",
            kind=RouteKind.NON_IDEMPOTENT,
            services=(),
            timeout_s=timeout_s,
            objective_s=objective_s,
        )
        return Accepted(
            exchange=cast(Any, None),
            caller=cast(Any, None),
            route=route,
            service=SERVICE,
            organisation=None,
            priority=0,
            arrived=now,
            deadline=now + timeout_s,
        )

    async def take(self) -> PlaceOutcome:
        return await self.places.take(self.accepted())

    def answered(self, place: CallPlace, *, running: float = 0.0) -> None:
        load = ReportedLoad(running=running, waiting=0, slots=SLOTS, slowness=1.0)
        self.places.ended(place, answer(load), seconds=WORK_S)


def answer(load: ReportedLoad) -> Answered:
    head = AnswerHead(
        status=200,
        request_id="r",
        sealed=True,
        refused=False,
        target_id=None,
        load=load,
        idle_s=None,
        closes=False,
    )
    return Answered(head=head, response=Response(status=200, headers=Headers(()), body=b""))


def calling(fleet: Fleet, vm: FleetVm) -> CallingVm:
    listed = [
        ListedTarget(
            id=name,
            service=SERVICE,
            address=Address(host="10.1.0.1", port=number),
            data_center="dc-0",
        )
        for number, name in enumerate(RUNNERS)
    ]
    vm.beliefs.targets.apply_list(listed, revision=Revision(number=1), now=0.0, store_back_at=None)
    tally = Tally()
    spread = HubSpread(
        bus=vm.bus, beliefs=vm.beliefs, roles=vm.presence.roles, own=vm.state.life.name
    )
    brittle = BrittleWatch(bus=vm.bus, beliefs=vm.beliefs, timers=vm.timers, spread=spread)
    desk = CallDesk(
        bus=vm.bus,
        beliefs=vm.beliefs,
        timers=vm.timers,
        tally=tally,
        brittle=brittle,
        rests=lambda _name: False,
    )
    places = CallPlaces(
        bus=vm.bus,
        beliefs=vm.beliefs,
        timers=vm.timers,
        tally=tally,
        desk=desk,
        brittle=brittle,
        data_center=vm.state.data_center,
        leaving=lambda: False,
    )
    for part in (desk.run, places.run):
        fleet.nursery.start_soon(vm.run, part)
    return CallingVm(vm=vm, places=places, desk=desk)


async def started(fleet: Fleet) -> dict[str, CallingVm]:
    """Start VMs whose desk has heard of each runner once."""
    start_many(fleet, VMS)
    await trio.sleep(SETTLED_S)
    vms = {name: calling(fleet, vm) for name, vm in fleet.vms.items()}
    await trio.sleep(0.1)
    asker = vms[others(vms)[0]]
    given = [await asker.take() for _ in range(4)]
    for place in given:
        assert isinstance(place, CallPlace)
        asker.answered(place)
    await trio.sleep(0.01)
    return vms


def order(vms: dict[str, CallingVm]) -> list[str]:
    return ranked_coordinators(SERVICE, 0, vms)


def others(vms: dict[str, CallingVm]) -> list[str]:
    """Give the VMs that are not asked first."""
    return order(vms)[2:]


def mute(desk: CallDesk) -> Callable[[CallDesk, PlaceAsk], Reply]:
    """Give what takes the place of a desk's answers, so that this one's are lost."""
    real = CallDesk._reply_to

    def reply_to(self: CallDesk, asked: PlaceAsk) -> Reply:
        return (lambda _told: None) if self is desk else real(self, asked)

    return reply_to


async def take_all(vms: dict[str, CallingVm], names: list[str]) -> list[CallPlace]:
    places = [await vms[names[number % len(names)]].take() for number in range(FULL)]
    return [place for place in places if isinstance(place, CallPlace)]


def test_all_vms_together_get_no_more_places_than_there_are_slots() -> None:
    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        places = await take_all(vms, others(vms))
        assert sorted(place.target for place in places) == ["r-0"] * 3 + ["r-1"] * 3
        assert {place.desk for place in places} == {order(vms)[0]}
        with trio.move_on_after(0.2) as scope:
            await vms[others(vms)[1]].take()
        assert scope.cancelled_caught

    run_fleet(story)


def test_a_call_that_waits_is_told_at_once_when_a_slot_is_free() -> None:
    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        places = await take_all(vms, others(vms))
        waited: list[float] = []

        async def wait() -> None:
            began = trio.current_time()
            assert isinstance(await vms[others(vms)[1]].take(), CallPlace)
            waited.append(trio.current_time() - began)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await trio.sleep(0.07)
            vms[others(vms)[0]].answered(places[0], running=1)
        assert 0.069 < waited[0] < 0.075

    run_fleet(story)


def test_a_desk_that_dies_costs_those_that_wait_a_fraction_of_a_second() -> None:
    """It dies while calls wait in its line: they ask the next one, and run once."""

    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        await take_all(vms, others(vms))
        waited: list[float] = []

        async def wait(name: str) -> None:
            began = trio.current_time()
            assert isinstance(await vms[name].take(), CallPlace)
            waited.append(trio.current_time() - began)

        async with trio.open_nursery() as nursery:
            for name in others(vms)[1:4]:
                nursery.start_soon(wait, name)
            await trio.sleep(0.05)
            fleet.kill(order(vms)[0])
        assert len(waited) == 3
        assert max(waited) <= 0.3

    run_fleet(story)


def test_a_desk_that_is_silent_is_passed_over_for_a_second() -> None:
    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        asker = vms[others(vms)[0]]
        fleet.kill(order(vms)[0])
        waits = []
        for _ in range(2):
            began = trio.current_time()
            place = await asker.take()
            assert isinstance(place, CallPlace)
            assert place.desk == order(vms)[1]
            waits.append(trio.current_time() - began)
        assert waits[0] <= ANSWER_S + 0.001
        assert waits[1] < 0.001

    run_fleet(story)


def test_a_vm_that_was_paused_itself_does_not_pass_its_desk_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two desks, which give the same room to different calls."""
    reply_to, pauses_s = CallDesk._reply_to, [PAUSE_S]

    def reply_late(desk: CallDesk, asked: PlaceAsk) -> Reply:
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(pauses_s.pop() if pauses_s else 0.0)
        return reply_to(desk, asked)

    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        monkeypatch.setattr(CallDesk, "_reply_to", reply_late)
        place = await vms[others(vms)[0]].take()
        assert not pauses_s
        assert isinstance(place, CallPlace)
        assert place.desk == order(vms)[0]

    run_fleet(story)


def test_a_vm_that_is_cut_off_gives_out_places_by_itself() -> None:
    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        asker = vms[others(vms)[0]]
        fleet.cut(others(vms)[0])
        began = trio.current_time()
        place = await asker.take()
        assert trio.current_time() - began <= 0.2
        assert place is None or isinstance(place, CallPlace)

    run_fleet(story)


def test_a_lost_answer_costs_a_wait_and_no_slot(monkeypatch: pytest.MonkeyPatch) -> None:
    """The desk gives a place and its word is lost: the next one is asked, the place goes back."""

    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        asker, desk = vms[others(vms)[0]], vms[order(vms)[0]]
        with monkeypatch.context() as patched:
            patched.setattr(CallDesk, "_reply_to", mute(desk.desk))
            place = await asker.take()
        assert isinstance(place, CallPlace)
        assert place.desk == order(vms)[1]
        await trio.sleep(0.01)
        got = await take_all(vms, [others(vms)[1]])
        assert len([each for each in got if each.desk == order(vms)[0]]) == FULL

    run_fleet(story)


def test_two_desks_see_each_other_s_calls_in_the_runners_words() -> None:
    """Views differ and two VMs give out places: the runners' words tell each of the other's."""

    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        one = vms[others(vms)[0]]
        place = await one.take()
        assert isinstance(place, CallPlace)
        one.answered(place, running=SLOTS + 1)
        await trio.sleep(0.01)
        targets = [each.target for each in await take_all_at_once(vms, 2)]
        assert place.target not in targets

    run_fleet(story)


async def take_all_at_once(vms: dict[str, CallingVm], count: int) -> list[CallPlace]:
    places = [await vms[name].take() for name in others(vms)[:count]]
    return [place for place in places if isinstance(place, CallPlace)]


def test_places_of_a_vm_that_dies_lapse() -> None:
    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        dead = others(vms)[0]
        assert len(await take_all(vms, [dead])) == FULL
        fleet.kill(dead)
        await trio.sleep(1.6)
        assert len(await take_all(vms, others(vms)[1:])) == FULL

    run_fleet(story)


def test_a_caller_that_leaves_the_line_takes_no_place() -> None:
    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        places = await take_all(vms, others(vms))
        with trio.move_on_after(0.05):
            await vms[others(vms)[1]].take()
        vms[others(vms)[0]].answered(places[0], running=1)
        await trio.sleep(0.01)
        assert isinstance(await vms[others(vms)[2]].take(), CallPlace)

    run_fleet(story)


def test_what_cannot_begin_in_time_is_refused_at_once_with_a_return() -> None:
    async def story(fleet: Fleet) -> None:
        vms = await started(fleet)
        outcomes: list[PlaceOutcome] = []

        async def ask(name: str) -> None:
            outcomes.append(await vms[name].take())

        async with trio.open_nursery() as nursery:
            for number in range(100):
                nursery.start_soon(ask, others(vms)[number % 6])
            await trio.sleep(0.01)
            refused = [each for each in outcomes if isinstance(each, RejectedWithRetryAfter)]
            nursery.cancel_scope.cancel()
        assert len(refused) > 20
        assert all(0 < each.retry_after_s <= 5 for each in refused)

    run_fleet(story)


def test_places_are_given_out_only_where_runners_tell_their_slowness() -> None:
    async def story(fleet: Fleet) -> None:
        start_many(fleet, 1)
        await trio.sleep(1)
        (vm,) = fleet.vms.values()
        made = calling(fleet, vm)
        for slowness, expected in ((None, False), (1.0, True)):
            load = ReportedLoad(running=0, waiting=0, slots=2, slowness=slowness)
            await trio.sleep(0.1)
            vm.beliefs.loads.record_report(
                LoadReport(target="r-0", load=load, at=trio.current_time())
            )
            assert made.places.serves(SERVICE) is expected

    run_fleet(story)


def test_places_are_not_given_out_with_the_mechanism_switched_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(MECHANISMS, "_off", frozenset(("call-places",)))

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 1)
        (vm,) = fleet.vms.values()
        made = calling(fleet, vm)
        load = ReportedLoad(running=0, waiting=0, slots=2, slowness=1.0)
        vm.beliefs.loads.record_report(LoadReport(target="r-0", load=load, at=trio.current_time()))
        assert not made.places.serves(SERVICE)

    run_fleet(story)


def test_a_large_service_is_split_among_desks_evenly() -> None:
    runners = [f"r-{number}" for number in range(40)]
    groups = runner_groups(SERVICE, runners)
    assert sorted(name for group in groups for name in group) == sorted(runners)
    assert all(len(group) <= RUNNERS_PER_COORDINATOR for group in groups)
    firsts = {
        ranked_coordinators(SERVICE, number, map(str, range(300)))[0]
        for number in range(len(groups))
    }
    assert len(firsts) > len(groups) / 2
