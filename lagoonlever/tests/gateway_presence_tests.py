"""Who lives and who gathers, in fleets too large for every VM to speak to every other."""

from __future__ import annotations

import random

import attrs
import pytest
import trio

from lagoonlever.bench.local_fleet import (
    PLACES,
    WIDE_MBPS,
    Fleet,
    FleetVm,
    run_fleet,
    start_many,
)
from lagoonlever.decisions.fleet.peer_table import ANNOUNCE_INTERVAL_S
from lagoonlever.decisions.fleet.update_routing import MAX_DIRECT_VMS
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.run_relay import RunRelay
from lagoonlever.http.messages import Address
from lagoonlever.peers.local_bus import LocalBus
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_gateway import (
    EngineLost,
    FellowDigest,
    FellowDigests,
    FellowList,
    PackedNews,
    RunChange,
    RunEnded,
)
from lagoonlever.peers.traffic import Count
from lagoonlever.tests.base import at
from lagoonlever.timers import TimerService

DIGEST_TAG = PEER.tag_of(FellowDigests(digests=()))
LOOK_EVERY_S = 0.1
MEETING_S = 5 * ANNOUNCE_INTERVAL_S + LOOK_EVERY_S
"""Parts of a data center meet by way of hubs elsewhere, with a round at most for each step.

The part speaks to these, they tell it of its own hubs, it speaks to them, and each of the two tells
those who speak to it, which are its other VMs by turns.
"""


async def settled(fleet: Fleet, *, within_s: float) -> None:
    """Wait until every VM sees every other, which must be so in time."""
    begun = trio.current_time()
    while not fleet.all_see_all():
        assert trio.current_time() - begun < within_s, fleet.unseen()
        await trio.sleep(LOOK_EVERY_S)


def test_a_large_fleet_that_starts_at_once_finds_itself_and_stays_found() -> None:
    """69 VMs start together, as after a loss of all of them; only three are seeds.

    Every caller is sent where its VM believes somebody lives. Later no VM may take
    another for silent, as its runs would be forgotten and pushes not sent to it.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 69)
        await settled(fleet, within_s=3.0)
        for _ in range(100):
            await trio.sleep(0.1)
            assert fleet.all_see_all(), fleet.unseen()

    run_fleet(story)


def test_a_vm_that_takes_the_fleet_for_a_small_one_is_told_of_the_hubs() -> None:
    """All VMs start together, and one hears of a few others of which none is its own hub.

    It speaks to these, as in a small fleet, and asks no seed. Its data centre's hubs hear
    nothing of it: no caller is sent there, and nobody keeps its runs.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 69)
        await settled(fleet, within_s=3.0)
        late = fleet.start("vm-71")
        elsewhere = [vm for vm in fleet.vms.values() if vm.state.data_center != PLACES[71 % 3]]
        known = FellowList(fellows=tuple(vm.state for vm in elsewhere[:7]))
        late.presence.reseed(())
        await trio.sleep(0.01)
        late.bus.take(sender=elsewhere[0].bus.own, data=PEER.encode(known))
        await settled(fleet, within_s=1.3)

    run_fleet(story)


@pytest.mark.parametrize("seed", range(8))
def test_vms_of_a_small_fleet_that_start_together_all_find_each_other(seed: int) -> None:
    """Nine VMs start at once, as after a loss of power, and ask the same seeds.

    A seed may answer two of them before it has taken in what they say of themselves. Neither
    is told of the other, and nobody passes on who lives in a small fleet: for as long as they
    lived no caller was sent from one to the other, and no run or loss told.
    """

    async def story(fleet: Fleet) -> None:
        for number in random.Random(seed).sample(range(9), 9):
            fleet.start(f"vm-{number}")
        await settled(fleet, within_s=1.5)

    run_fleet(story)


def test_the_vms_with_wide_links_gather_and_read() -> None:
    """A hub on a link of 10 Mbit/s was so busy telling that its own callers waited."""

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 30)
        await trio.sleep(6.0)
        wide = {name for name, vm in fleet.vms.items() if vm.state.link_mbps == WIDE_MBPS}
        hubs = {n for n, vm in fleet.vms.items() if (r := vm.presence.roles.value) and r.is_hub}
        assert hubs == wide
        assert fleet.readers() <= wide and len(fleet.readers()) == 3

    run_fleet(story)


def test_hubs_that_die_together_are_replaced_before_others_seem_silent() -> None:
    """Both hubs of a data centre are killed at the same moment.

    The others there hear nobody any more. They must not take the whole fleet for dead:
    callers would be sent to one VM each, and runs at engines would be forgotten.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 30)
        await trio.sleep(6.0)
        fleet.kill("vm-0")
        fleet.kill("vm-3")
        for _ in range(60):
            await trio.sleep(0.1)
            for name, vm in fleet.vms.items():
                assert len(vm.sees(trio.current_time())) >= 27, name
        await settled(fleet, within_s=0.1)

    run_fleet(story)


def test_a_vm_that_is_cut_from_all_others_reads_for_itself() -> None:
    """A VM hears of no reader; a configuration that takes a key away comes meanwhile."""

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 30)
        await trio.sleep(6.0)
        assert not fleet.vms["vm-20"].reads
        fleet.cut("vm-20")
        await trio.sleep(1.7)
        assert fleet.vms["vm-20"].reads
        fleet.network.heal()
        await trio.sleep(3.0)
        assert fleet.all_see_all(), fleet.unseen()
        assert not fleet.vms["vm-20"].reads

    run_fleet(story)


def test_a_vm_that_takes_itself_for_a_hub_hides_nobody() -> None:
    """A VM was cut off, and is back; for a while it still takes itself for a hub.

    Its digest names itself only. Hubs elsewhere passed it on in the place of the real
    hubs' digests: for their VMs a whole data centre fell silent, for up to a second.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 30)
        await trio.sleep(6.0)
        lost = fleet.vms["vm-20"]
        place = lost.state.data_center
        alone = FellowDigest(
            hub="vm-20", data_center=place, heard=(lost.state.life.nonce,), news=(lost.state,)
        )
        elsewhere = [vm for vm in fleet.vms.values() if vm.state.data_center != place]
        for _ in range(80):
            await trio.sleep(0.05)
            for vm in elsewhere:
                lost.bus.send(vm.state.bus, FellowDigests(digests=(alone,)))
            assert fleet.all_see_all(), fleet.unseen()

    run_fleet(story)


def test_a_vm_that_is_cut_for_long_finds_back() -> None:
    """Cut for ten seconds, a VM takes all others for dead and itself for a small fleet."""

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 30)
        await trio.sleep(6.0)
        fleet.cut("vm-0")
        await trio.sleep(10.0)
        fleet.network.heal()
        await settled(fleet, within_s=4.0)

    run_fleet(story)


PART = ("vm-20", "vm-23", "vm-26")
"""Some VMs of a data centre; its hubs are others."""


def cut_within_data_center(fleet: Fleet) -> None:
    """Cut the part from all other VMs of its data centre; it reaches the other ones."""
    place = fleet.vms[PART[0]].state.data_center
    for name, vm in fleet.vms.items():
        if vm.state.data_center == place and name not in PART:
            for part in PART:
                fleet.network.cut(fleet.vms[part].state.bus, vm.state.bus)


def test_a_part_of_a_data_center_that_was_cut_from_the_rest_finds_back() -> None:
    """Guards against VMs that are each other's hubs for good, and unseen in their data centre.

    Hubs elsewhere tell them of all other data centres, so they don't take themselves for cut
    off; of the hubs of their own one nobody tells them.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 30)
        await trio.sleep(6.0)
        cut_within_data_center(fleet)
        await trio.sleep(10.0)
        fleet.network.heal()
        await settled(fleet, within_s=4.0)

    run_fleet(story)


def test_vms_that_first_hear_of_no_hub_of_their_data_center_find_it() -> None:
    """Guards against a start of a large fleet that leaves some VMs apart for good.

    A seed names the VMs that it knows by then. Some hear of each other and of other data
    centres, and take each other for the hubs of their own one.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 66)
        await settled(fleet, within_s=3.0)
        elsewhere = [vm for vm in fleet.vms.values() if vm.state.data_center != PLACES[2]]
        late = [fleet.start(name) for name in ("vm-68", "vm-71", "vm-74")]
        known = FellowList(fellows=tuple(vm.state for vm in (*late, *elsewhere)))
        for vm in late:
            vm.presence.reseed(())
        await trio.sleep(0.01)
        for vm in late:
            vm.bus.take(sender=elsewhere[0].bus.own, data=PEER.encode(known))
        await settled(fleet, within_s=MEETING_S)

    run_fleet(story)


def test_a_vm_that_restarts_is_seen_by_all_within_a_second() -> None:
    async def story(fleet: Fleet) -> None:
        start_many(fleet, 30)
        await trio.sleep(6.0)
        fleet.kill("vm-11")
        await trio.sleep(5.0)
        fleet.start("vm-11")
        await settled(fleet, within_s=1.2)

    run_fleet(story)


def test_words_that_are_lost_now_and_then_take_nobody_out() -> None:
    async def story(fleet: Fleet) -> None:
        start_many(fleet, 30)
        await trio.sleep(6.0)
        fleet.network.loss = 0.05
        for _ in range(100):
            await trio.sleep(0.1)
            for name, vm in fleet.vms.items():
                assert len(vm.sees(trio.current_time())) >= 28, name

    run_fleet(story)


def test_a_seed_of_a_large_fleet_is_not_asked_for_the_whole_list() -> None:
    """After a loss of all VMs the whole fleet asks three seeds, on links of 10 Mbit/s.

    Whole lists to everyone were some 1 MB from each seed, a second of its link, just when
    callers come back.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 69, wide=0)
        await settled(fleet, within_s=4.0)
        sent = max(sum(c.bytes for c in vm.bus.traffic.sent.values()) for vm in fleet.vms.values())
        assert sent < 1_500_000, sent

    run_fleet(story)


@attrs.define(kw_only=True, eq=False)
class Teller:
    """A VM's relay of changes, and what it was told."""

    relay: RunRelay
    told: list[RunChange]


def tellers(fleet: Fleet) -> dict[str, Teller]:
    """Start a relay on each VM of a fleet."""
    made = {}
    for name, vm in fleet.vms.items():
        told: list[RunChange] = []
        relay = RunRelay(
            bus=vm.bus,
            beliefs=vm.beliefs,
            timers=TimerService(),
            roles=vm.presence.roles,
            own=name,
            take=lambda change, source, told=told: told.append(change),
        )
        fleet.nursery.start_soon(relay.run)
        made[name] = Teller(relay=relay, told=told)
    return made


def hubs_of(fleet: Fleet) -> set[str]:
    return {n for n, vm in fleet.vms.items() if (r := vm.presence.roles.value) and r.is_hub}


def test_a_change_reaches_every_hub_once_and_nobody_else() -> None:
    """Each VM of a very large fleet was told of every run; it did little else.

    The hubs are told once, within a few hundredths of a second, and the VM that tells sends
    one message.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, MAX_DIRECT_VMS + 10)
        await trio.sleep(6.0)
        relays = tellers(fleet)
        await trio.sleep(0.1)
        before = sum(c.messages for c in fleet.vms["vm-50"].bus.traffic.sent.values())
        change = RunEnded(request="r1", whole=True)
        relays["vm-50"].relay.tell(change)
        await trio.sleep(0.03)
        heard = {name: teller.told for name, teller in relays.items() if teller.told}
        assert heard == {hub: [change] for hub in hubs_of(fleet)}
        sent = sum(c.messages for c in fleet.vms["vm-50"].bus.traffic.sent.values())
        assert sent - before <= 1

    run_fleet(story)


def listed_engines(fleet: Fleet) -> None:
    """Have every VM know two engines of each data centre."""
    listed = [
        ListedTarget(
            id=f"e{number}",
            service="engines",
            address=Address(host=f"10.9.0.{number}", port=80),
            data_center=PLACES[number % len(PLACES)],
        )
        for number in range(2 * len(PLACES))
    ]
    for vm in fleet.vms.values():
        vm.beliefs.targets.apply_list(listed, revision=at(1), now=0.0, store_back_at=None)


def test_a_lost_engine_is_told_at_once_to_those_with_streams_beside_it() -> None:
    """Streams on a lost engine pause until their VMs hear of it, and so do those beside it.

    A data centre's engines fail together. VMs that have nothing there are not told: of a
    crash of 24 engines each of them would hear dozens of times.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, MAX_DIRECT_VMS + 10)
        await trio.sleep(6.0)
        listed_engines(fleet)
        relays = tellers(fleet)
        await trio.sleep(0.1)
        at = {"vm-30": "e1", "vm-31": "e4", "vm-32": "e2"}
        for vm in fleet.vms.values():
            for name, engine in at.items():
                run = attrs.evolve(booked(int(name[3:])), vm=name, engine=engine, copy=None)
                vm.beliefs.book.record_dispatch(run, trio.current_time())
        change = EngineLost(engine="e1")
        relays["vm-20"].relay.tell(change)
        await trio.sleep(0.001)
        told = {name for name, teller in relays.items() if change in teller.told}
        assert told == hubs_of(fleet) | {"vm-30", "vm-31"}

    run_fleet(story)


def test_a_crash_that_many_vms_tell_of_is_told_on_once() -> None:
    """Sixty VMs have streams on an engine that crashes, and each tells its hub."""

    async def story(fleet: Fleet) -> None:
        start_many(fleet, MAX_DIRECT_VMS + 10)
        await trio.sleep(6.0)
        listed_engines(fleet)
        relays = tellers(fleet)
        for name, vm in fleet.vms.items():
            take = relays[name].told.append

            def failed(change: RunChange, source: str, vm: FleetVm = vm, take=take) -> None:
                take(change)
                assert isinstance(change, EngineLost)
                vm.beliefs.book.avoidance.record_failure(change.engine, trio.current_time())

            relays[name].relay._take = failed
        await trio.sleep(0.1)
        hub = sorted(hubs_of(fleet))[0]
        for number in range(60):
            relays[f"vm-{60 + number}"].relay.tell(EngineLost(engine="e1"))
            await trio.sleep(0.001)
        from_elsewhere = len(relays[hub].told)
        assert from_elsewhere <= 60 // len(PLACES) + 2 * len(PLACES), from_elsewhere

    run_fleet(story)


def test_a_fleet_that_is_not_very_large_tells_directly() -> None:
    """By hubs news comes later, and VMs that place a run meanwhile choose worse."""

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 69)
        await trio.sleep(6.0)
        relays = tellers(fleet)
        await trio.sleep(0.1)
        change = RunEnded(request="r1", whole=True)
        relays["vm-5"].relay.tell(change)
        sent = fleet.vms["vm-5"].bus.traffic.sent
        assert sent[PEER.tag_of(change)].messages == 68

    run_fleet(story)


def digest_bytes(fleet: Fleet) -> int:
    """Count the bytes of all digests that were sent."""
    return sum(
        count.bytes
        for vm in fleet.vms.values()
        for tag, count in vm.bus.traffic.sent.items()
        if tag == DIGEST_TAG
    )


async def digest_bytes_in(fleet: Fleet, seconds: float) -> int:
    before = digest_bytes(fleet)
    await trio.sleep(seconds)
    return digest_bytes(fleet) - before


def test_a_change_of_the_list_makes_no_digest_longer() -> None:
    """Each change of the list of targets changed what every VM says of itself.

    Hubs then told every VM every other one's state, 200 bytes each, while callers wait
    for the engines that have come back.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 69)
        await trio.sleep(9.0)
        quiet = await digest_bytes_in(fleet, 3.0)
        for _ in range(5):
            for vm in fleet.vms.values():
                vm.beliefs.targets.advance_to(at(vm.beliefs.targets.as_of.number + 1))
            await trio.sleep(0.1)
        busy = await digest_bytes_in(fleet, 3.0)
        assert busy < 1.25 * quiet, (quiet, busy)

    run_fleet(story)


def test_a_vm_at_rest_gets_few_messages() -> None:
    """Each message costs its receiver some ten calls of the kernel, in two threads.

    At 69 VMs each got 18 digests a second at rest: those of two hubs, each with the
    digests of the other data centres in messages of their own.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, 69)
        await trio.sleep(9.0)
        received = fleet.vms["vm-50"].bus.traffic.received
        before = sum(count.messages for count in received.values())
        await trio.sleep(3.0)
        assert sum(count.messages for count in received.values()) - before <= 3 * 8

    run_fleet(story)


def test_a_hub_s_news_of_runs_are_packed() -> None:
    """Hubs tell each other all runs, between data centres where bytes are dear.

    A run's record is some 300 bytes, mostly names, which repeat.
    """

    async def story(fleet: Fleet) -> None:
        start_many(fleet, MAX_DIRECT_VMS + 10)
        await trio.sleep(6.0)
        relays = tellers(fleet)
        await trio.sleep(0.1)
        runs = [booked(number) for number in range(8)]
        for run in runs:
            relays["vm-50"].relay.tell(run)
        await trio.sleep(0.03)
        assert all(relays[hub].told == runs for hub in hubs_of(fleet))
        hub = max(fleet.vms.values(), key=lambda vm: packed_news(vm.bus).messages)
        sent = packed_news(hub.bus)
        plain = sum(len(PEER.encode(run)) for run in runs)
        assert sent.bytes / sent.messages < 0.5 * plain

    run_fleet(story)


def booked(number: int) -> EngineRun:
    address = Address(host="10.2.64.8", port=8147)
    name = f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"
    return EngineRun(
        request=name,
        vm="vm-50",
        engine=f"i-{name[:10]}",
        prompt_tokens=5_000 + number,
        memory_tokens=6_500 + number,
        part=name[4:16],
        copy=RunCopy(holder=f"i-{name[3:13]}", address=address, name=name),
    )


def packed_news(bus: LocalBus) -> Count:
    """Give what a VM has sent of packed news."""
    return bus.traffic.sent.get(PEER.tag_of(PackedNews(value=b"")), Count())
