"""How many engines a part of prompts ends in fleets of 9, 75 and 195 VMs, buses in memory."""

from __future__ import annotations

import attrs
import pytest
import trio

from lagoonlever.bench.local_fleet import Fleet, run_fleet, start_many
from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.part_causes import SoundParts
from lagoonlever.decisions.engines.suspects import Suspects
from lagoonlever.decisions.engines.target_crashes import WEIGHT_STARTED, Crash
from lagoonlever.gateway.crash_news import CrashNews
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.peers.messages_crashes import EndTold, TargetsEnded

SETTLED_S = 6.0
READING_S = 1.2
"""From the begin of an attempt until its engine begins the answer, and ends."""
NOTICED_S = 0.12
"""From the end of an engine until its VM has asked it in vain."""
STEP_S = 0.02
ATTEMPTS = 5
REQUESTS = 20
POPULAR, BAD = "part:e/m/popular", "part:e/m/bad"
MOST_ENDED = 5
ALLOWED_AFTER = 3
STABLE_S = 3.0


@attrs.define(kw_only=True, eq=False)
class WatchingVm:
    """What one VM knows of crashes, and its news."""

    suspects: CrashSuspects
    sound: SoundParts
    news: CrashNews

    def sees_end(self, asked: Suspects, process: str) -> None:
        """Record and tell the end of an engine under a request."""
        now = trio.current_time()
        ends = [(asked.request, ())]
        ends += [(part, (asked.request,)) for part in self.sound.unproven(asked.parts, now)]
        told = []
        for suspect, requests in ends:
            crash = Crash(at=now, weight=WEIGHT_STARTED, requests=requests)
            self.suspects.record_crash(suspect, process, crash)
            told.append(
                EndTold(
                    fingerprint=suspect,
                    process=process,
                    age_s=0.0,
                    weight=WEIGHT_STARTED,
                    requests=requests,
                )
            )
        self.news.tell(TargetsEnded(ends=tuple(told)))


@attrs.define(kw_only=True, eq=False)
class Model:
    """Engines without number; one that begins an answer on the part ends."""

    ended: dict[str, float] = attrs.field(factory=dict)
    arrived_at: list[float] = attrs.field(factory=list)
    refused_sound: int = 0

    async def ask(self, vm: WatchingVm, number: int) -> None:
        """Send a request with the part, at several engines one after the other."""
        asked = Suspects(request=f"r-{number}", parts=(POPULAR, BAD, f"part:e/m/x-{number}"))
        for attempt in range(ATTEMPTS):
            engine = self._place(vm, asked, f"e-{number}-{attempt}")
            if engine is None:
                return
            self.arrived_at.append(trio.current_time())
            if not await self._read(vm, asked, engine):
                continue
            if engine not in self.ended:
                self.ended[engine] = trio.current_time()
            await trio.sleep(NOTICED_S)
            vm.sees_end(asked, engine)

    def _place(self, vm: WatchingVm, asked: Suspects, free: str) -> str | None:
        """Return an engine of its own, or the one for all; None for a refusal."""
        now = trio.current_time()
        if vm.suspects.find_any_block(asked, now) is not None:
            return None
        gathering = vm.suspects.find_gathering(asked, now)
        return free if gathering is None else f"together-{len(gathering.crashed)}-{gathering.key}"

    async def _read(self, vm: WatchingVm, asked: Suspects, engine: str) -> bool:
        """Wait until the engine begins; return False if the attempt is called back before."""
        until = trio.current_time() + READING_S
        while trio.current_time() < until and engine not in self.ended:
            await trio.sleep(STEP_S)
            if self._place(vm, asked, engine) != engine:
                return False
        return True


async def _start(fleet: Fleet, count: int) -> list[WatchingVm]:
    start_many(fleet, count)
    await trio.sleep(SETTLED_S)
    watching = []
    for vm in fleet.vms.values():
        suspects, sound = CrashSuspects(), SoundParts()
        roles = vm.presence.roles
        own = vm.state.life.name
        spread = HubSpread(bus=vm.bus, beliefs=vm.beliefs, roles=roles, own=own)
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
        if roles.value is None or roles.value.mesh or roles.value.is_hub or count <= 75:
            sound.record_begin([POPULAR], trio.current_time())
        watching.append(WatchingVm(suspects=suspects, sound=sound, news=news))
    await trio.sleep(0.2)
    return watching


def _play(vms: int, *, spacing_s: float) -> Model:
    model = Model()

    async def story(fleet: Fleet) -> None:
        watching = await _start(fleet, vms)

        async def ask(number: int) -> None:
            await trio.sleep(number * spacing_s)
            await model.ask(watching[(number * 7) % vms], number)

        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                nursery.start_soon(ask, number)
        now = trio.current_time()
        sound = Suspects(request="sound", parts=(POPULAR,))
        model.refused_sound = sum(
            vm.suspects.find_any_block(sound, now) is not None
            or vm.suspects.find_gathering(sound, now) is not None
            for vm in watching
        )

    run_fleet(story)
    return model


@pytest.mark.parametrize("vms", [9, 75, 195])
@pytest.mark.parametrize("spacing_s", [1.0, 0.3])
def test_a_part_ends_five_engines_at_most_in_fleets_of_any_size(vms: int, spacing_s: float) -> None:
    """Twenty requests, no two alike, come to all VMs; the parts beside the cause are sound."""
    model = _play(vms, spacing_s=spacing_s)
    ends = sorted(model.ended.values())
    assert len(ends) <= MOST_ENDED
    later = [at for at in model.arrived_at if at > ends[-1] + STABLE_S]
    assert len(later) <= ALLOWED_AFTER
    assert model.refused_sound == 0
