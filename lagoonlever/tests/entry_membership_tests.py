"""Tests of the membership part: real tasks over the in-memory bus, with the clock made up."""

from __future__ import annotations

from random import Random

import attrs
import trio
import trio.testing

from lagoonlever.decisions.membership.listing import list_read_interval_s
from lagoonlever.decisions.membership.membership import Member, MemberState
from lagoonlever.entry.fleet.membership import MembershipPart
from lagoonlever.exceptions import PlatformUnavailable
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.local_bus import LocalBus, LocalNetwork
from lagoonlever.store.port import VmEntry, VmRole, VmState
from lagoonlever.timers import TimerService


@attrs.define
class ListOnly:
    """A platform of which only the list of VMs is used."""

    vms: tuple[VmEntry, ...] = ()
    down: bool = False
    calls: int = 0

    async def list_vms(self) -> tuple[VmEntry, ...]:
        await trio.lowlevel.checkpoint()
        self.calls += 1
        if self.down:
            raise PlatformUnavailable("down", step="list VMs", peer="platform")
        return self.vms


def listed(index: int, *, state: VmState = VmState.LIVE, role: VmRole = VmRole.ENTRY) -> VmEntry:
    return VmEntry(
        name=f"vm-{index}",
        address=Address(host="127.0.0.1", port=8000 + index),
        peer_address=Address(host="127.0.0.1", port=7000 + index),
        data_center=f"dc-{index % 3}",
        role=role,
        state=state,
    )


def part(
    index: int, network: LocalNetwork, platform: ListOnly, timers: TimerService
) -> MembershipPart:
    vm = listed(index)
    assert vm.peer_address is not None
    own = Member(
        incarnation=Incarnation(name=vm.name, started_ms=1, nonce=index),
        data_center=vm.data_center,
        http=vm.address,
        peers=vm.peer_address,
        state=MemberState.ALIVE,
    )
    bus = LocalBus(own=own.incarnation, address=own.peers, network=network)
    return MembershipPart(own=own, bus=bus, platform=platform, timers=timers, random=Random(index))


def states(of: MembershipPart) -> set[MemberState]:
    return {member.state for member in of.members.value.members}


def test_vms_find_each_other_by_the_list_and_hear_of_leaving_while_it_is_down() -> None:
    """A VM that is cut from the platform keeps sending callers to a leaving VM.

    VMs know each other from the platform's list alone. Then the platform goes
    down, and a VM is stopped: the others must hear of it from the VM itself,
    and when it departs they need not wait until they find out.
    """

    async def main() -> None:
        platform = ListOnly(vms=tuple(listed(index) for index in range(4)))
        network = LocalNetwork(random=Random(1))
        timers = TimerService()
        parts = [part(index, network, platform, timers) for index in range(4)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            for each in parts:
                nursery.start_soon(each.run)
            await trio.sleep(10)
            assert all(len(p.members.value.alive) == 4 for p in parts)
            reading = parts[0].target_list.value
            assert reading is not None
            assert reading.read_at > trio.current_time() - 2

            platform.down = True
            parts[3].leave()
            await trio.sleep(1)
            for each in parts:
                told = each.members.value.find_by_name("vm-3")
                assert told is not None
                assert told.state is MemberState.LEAVING

            parts[3].depart()
            await trio.sleep(1)
            for each in parts[:3]:
                gone = each.members.value.find_by_name("vm-3")
                assert gone is not None
                assert gone.state is MemberState.DEAD
                assert len(each.members.value.alive) == 3
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_one_vm_that_reads_the_list_tells_all_that_a_vm_is_leaving() -> None:
    """Callers are still sent to a VM that the platform is about to take away.

    Only one VM reaches the platform when it lists another as leaving.
    """

    async def main() -> None:
        everyone = tuple(listed(index) for index in range(3))
        reader = ListOnly(vms=everyone)
        cut_off = ListOnly(vms=everyone)
        network = LocalNetwork(random=Random(1))
        timers = TimerService()
        parts = [part(i, network, reader if i == 0 else cut_off, timers) for i in range(3)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            for each in parts:
                nursery.start_soon(each.run)
            await trio.sleep(40)
            assert all(states(p) == {MemberState.ALIVE} for p in parts)

            cut_off.down = True
            engine = listed(9, role=VmRole.ENGINE, state=VmState.LEAVING)
            reader.vms = (*everyone[:2], listed(2, state=VmState.LEAVING), engine)
            await trio.sleep(2.5)
            for each in parts:
                told = each.members.value.find_by_name("vm-2")
                assert told is not None
                assert told.state is MemberState.LEAVING
            targets = parts[0].target_list.value
            assert targets is not None
            assert [(t.name, t.leaving) for t in targets.targets] == [("vm-9", True)]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_readings_of_the_list_grow_more_slowly_than_the_fleet() -> None:
    random = Random(1)
    rates = [n / list_read_interval_s(n, random) for n in (9, 27, 100, 400)]
    assert all(rate < 11 for rate in rates)
    assert rates[-1] < 5
    assert list_read_interval_s(1, random) < 1.2
