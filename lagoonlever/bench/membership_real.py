"""Nine VMs' membership over real ZeroMQ sockets on the loopback interface, in one process."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

import attrs
import trio

from lagoonlever.bench.report import column
from lagoonlever.decisions.membership.membership import Member, MemberState
from lagoonlever.entry.fleet.membership import MembershipPart
from lagoonlever.exceptions import PlatformUnavailable
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.bus import PeerBus
from lagoonlever.store.port import Platform, VmEntry
from lagoonlever.timers import TimerService

JOIN_LIMIT_S = 20.0
POLL_S = 0.05


@attrs.frozen(kw_only=True)
class RealCost:
    """What one of the VMs spends, and how soon a death is known; without TCP and IP headers."""

    nodes: int = column("nodes", digits=0)
    joined_s: float = column("found each other s", digits=2)
    sent_bytes_s: float = column("sent B/s a node", digits=0)
    messages_s: float = column("messages/s a node", digits=2)
    cpu_percent: float = column("% of a core a node", digits=2)
    connections: float = column("open connections a node", digits=1)
    dead_s: float = column("death known at all s", digits=1)
    leaving_s: float = column("leaving known at all s", digits=2)


class _NoList:
    """Stands for a platform that is down, so that only the peers are measured."""

    async def list_vms(self) -> tuple[VmEntry, ...]:
        await trio.lowlevel.checkpoint()
        raise PlatformUnavailable("not part of this run", step="list VMs", peer="platform")


@attrs.define(kw_only=True, eq=False)
class _Vm:
    part: MembershipPart
    bus: PeerBus
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.bus.run)
                nursery.start_soon(self.part.run)


def measure(*, nodes: int, duration_s: float, seed: int) -> RealCost:
    """Run the VMs, let one leave and kill another."""
    return trio.run(_measure, nodes, duration_s, seed)


async def _measure(nodes: int, duration_s: float, seed: int) -> RealCost:
    timers = TimerService()
    vms = _vms(nodes, seed, timers)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timers.run)
        begun = timers.now
        for vm in vms:
            nursery.start_soon(vm.run)
        await _until(lambda: all(len(vm.part.members.value.alive) == nodes for vm in vms))
        joined_s = timers.now - begun
        await trio.sleep(duration_s / 4)

        messages, sent = _sent(vms)
        busy = time.process_time()
        await trio.sleep(duration_s)
        busy = time.process_time() - busy
        later_messages, later_sent = _sent(vms)
        connections = sum(vm.bus.traffic.open_connections for vm in vms)

        leaving_s = await _leave(vms[0], vms, timers)
        dead_s = await _kill(vms.pop(), vms, timers)
        nursery.cancel_scope.cancel()
    node_seconds = nodes * duration_s
    return RealCost(
        nodes=nodes,
        joined_s=joined_s,
        sent_bytes_s=(later_sent - sent) / node_seconds,
        messages_s=(later_messages - messages) / node_seconds,
        cpu_percent=100 * busy / node_seconds,
        connections=connections / nodes,
        dead_s=dead_s,
        leaving_s=leaving_s,
    )


def _vms(nodes: int, seed: int, timers: TimerService) -> list[_Vm]:
    vms: list[_Vm] = []
    seeds: list[Address] = []
    for index in range(nodes):
        incarnation = Incarnation(name=f"entry-{index}", started_ms=1, nonce=index)
        bus = PeerBus(own=incarnation, listen=Address(host="127.0.0.1", port=0))
        seeds.append(bus.bind())
        own = Member(
            incarnation=incarnation,
            data_center=f"dc-{index % 3}",
            http=Address(host="127.0.0.1", port=1),
            peers=bus.address,
            state=MemberState.ALIVE,
        )
        platform: Platform = _NoList()  # type: ignore[assignment]
        part = MembershipPart(
            own=own,
            bus=bus,
            platform=platform,
            timers=timers,
            random=Random(seed + index),
            seeds=tuple(seeds[:3]),
        )
        vms.append(_Vm(part=part, bus=bus))
    return vms


def _sent(vms: list[_Vm]) -> tuple[int, int]:
    counts = [count for vm in vms for count in vm.bus.traffic.sent.values()]
    return sum(count.messages for count in counts), sum(count.bytes for count in counts)


async def _leave(leaver: _Vm, vms: list[_Vm], timers: TimerService) -> float:
    begun = timers.now
    leaver.part.leave()
    incarnation = leaver.bus.own
    await _until(lambda: _all_see(vms, incarnation, MemberState.LEAVING))
    return timers.now - begun


async def _kill(victim: _Vm, others: list[_Vm], timers: TimerService) -> float:
    begun = timers.now
    victim.scope.cancel()
    incarnation = victim.bus.own
    await _until(lambda: _all_see(others, incarnation, MemberState.DEAD))
    return timers.now - begun


def _all_see(vms: list[_Vm], incarnation: Incarnation, state: MemberState) -> bool:
    members = [vm.part.members.value.find(incarnation) for vm in vms]
    return all(member is not None and member.state is state for member in members)


async def _until(reached: Callable[[], bool]) -> None:
    with trio.fail_after(JOIN_LIMIT_S):
        while not reached():  # noqa: ASYNC110 - many views, no one event
            await trio.sleep(POLL_S)
