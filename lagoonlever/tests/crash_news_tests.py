"""Who hears of targets that end under requests, in fleets of nine and of hundreds of VMs."""

from __future__ import annotations

import attrs
import pytest
import trio

from lagoonlever.bench.local_fleet import Fleet, FleetVm, run_fleet, start_many
from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.part_causes import SoundParts
from lagoonlever.decisions.engines.target_crashes import WEIGHT_STARTED, Crash
from lagoonlever.gateway.crash_news import CrashNews
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_crashes import EndTold, RequestServed, TargetsEnded

SMALL, LARGE = 9, 195
SETTLED_S = 6.0
TOLD_S = 0.2
ENDED = PEER.tag_of(TargetsEnded(ends=()))


@attrs.define(kw_only=True, eq=False)
class NewsVm:
    """One VM's share in the news."""

    vm: FleetVm
    news: CrashNews
    suspects: CrashSuspects
    sound: SoundParts

    def sees_end(self, process: str) -> None:
        """Note and tell an end under the one request of these tests."""
        self.suspects.record_crash("f1", process, Crash(at=trio.current_time()))
        told = EndTold(fingerprint="f1", process=process, age_s=0.0, weight=WEIGHT_STARTED)
        self.news.tell(TargetsEnded(ends=(told,)))


async def started(fleet: Fleet, count: int) -> list[NewsVm]:
    start_many(fleet, count)
    await trio.sleep(SETTLED_S)
    made = []
    for vm in fleet.vms.values():
        suspects, sound = CrashSuspects(), SoundParts()
        spread = HubSpread(
            bus=vm.bus,
            beliefs=vm.beliefs,
            roles=vm.presence.roles,
            own=vm.state.life.name,
        )
        news = CrashNews(
            bus=vm.bus,
            timers=vm.timers,
            spread=spread,
            suspects=suspects,
            sound=sound,
            learnt=lambda: None,
            crashed=lambda _: None,
            served=lambda _: None,
        )
        for part in (news.receive_ends, news.receive_served):
            fleet.nursery.start_soon(vm.run, part)
        made.append(NewsVm(vm=vm, news=news, suspects=suspects, sound=sound))
    await trio.sleep(TOLD_S)
    return made


def messages(vms: list[NewsVm]) -> int:
    return sum(
        vm.vm.bus.traffic.sent[ENDED].messages for vm in vms if ENDED in vm.vm.bus.traffic.sent
    )


@pytest.mark.parametrize("count", [SMALL, LARGE])
def test_ends_that_three_vms_see_bar_a_request_at_every_vm(count: int) -> None:
    """A bid ends a runner at each of three VMs of three data centres; none sees a second end."""

    async def story(fleet: Fleet) -> None:
        vms = await started(fleet, count)
        for number, process in ((4, "a"), (5, "b"), (6, "c")):
            vms[number].sees_end(process)
            await trio.sleep(TOLD_S)
        unaware = [vm.vm.state.life.name for vm in vms if "f1" not in vm.suspects.blocked]
        assert not unaware

    run_fleet(story)


@pytest.mark.parametrize("count", [SMALL, LARGE])
def test_an_answer_clears_a_request_at_every_vm(count: int) -> None:
    async def story(fleet: Fleet) -> None:
        vms = await started(fleet, count)
        vms[4].sees_end("a")
        vms[5].sees_end("b")
        await trio.sleep(TOLD_S)
        assert all(vm.suspects.crashes for vm in vms)
        vms[-1].suspects.record_answer("f1", trio.current_time(), is_own=True)
        vms[-1].news.tell(RequestServed(fingerprint="f1"))
        await trio.sleep(TOLD_S)
        assert not any(vm.suspects.crashes for vm in vms)

    run_fleet(story)


@pytest.mark.parametrize("count", [SMALL, LARGE])
def test_a_vm_that_tells_ends_under_a_part_which_others_know_to_be_sound_is_told(
    count: int,
) -> None:
    """Soak seed 6005: it has just started, and refuses sound requests for the part they share."""

    async def story(fleet: Fleet) -> None:
        vms = await started(fleet, count)
        now = trio.current_time()
        for vm in vms[1:]:
            vm.sound.record_begin(["part:e/m/popular"], now)
        for process in ("a", "b", "c"):
            crash = Crash(at=now, requests=(process,))
            vms[0].suspects.record_crash("part:e/m/popular", process, crash)
            told = EndTold(
                fingerprint="part:e/m/popular",
                process=process,
                age_s=0.0,
                weight=WEIGHT_STARTED,
                requests=(process,),
            )
            vms[0].news.tell(TargetsEnded(ends=(told,)))
        await trio.sleep(TOLD_S)
        assert not vms[0].suspects.crashes

    run_fleet(story)


def test_one_end_is_told_to_few_in_a_large_fleet() -> None:
    """A data centre's engines crash with requests of fifty VMs, one each.

    Told to every VM that would be 9,700 messages, on connections that are open to nobody else.
    """

    async def story(fleet: Fleet) -> None:
        vms = await started(fleet, LARGE)
        for vm in vms[10:60]:
            name = vm.vm.state.life.name
            vm.suspects.record_crash(name, "a", Crash(at=trio.current_time()))
            told = EndTold(fingerprint=name, process="a", age_s=0.0, weight=WEIGHT_STARTED)
            vm.news.tell(TargetsEnded(ends=(told,)))
        await trio.sleep(TOLD_S)
        hubs = 6
        assert messages(vms) <= 50 * 2 * hubs
        plain = [vm for vm in vms[60:] if not vm.suspects.crashes]
        assert len(plain) >= len(vms[60:]) - hubs

    run_fleet(story)
