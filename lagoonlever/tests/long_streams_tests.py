"""Long streams over several faults in a row, judged by what their callers hold over all tries."""

from __future__ import annotations

import random
import re
from collections import Counter, deque

import attrs
import pytest
import trio

from lagoonlever.exceptions import PeerError
from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.fakes.platform_engine import EngineConduct
from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site
from lagoonlever.tests.handed_over_tests import cut
from lagoonlever.tests.refusals_tests import WAYS
from lagoonlever.tests.stream_versions_tests import start_versions, versions_of

PIECES = 140
EVENT_S = 0.01
CALLERS = 10
STREAMS_EACH = 4
MOST_TRIES = 60
COME_BACK_S = 0.05
ALL_VMS = 0.15
"""Share of the ends of VMs at which all are lost."""
NUMBER = re.compile(rb"^id: (\d+)$", re.MULTILINE)
FAULTY = (
    EngineConduct.HALF_EVENT,
    EngineConduct.SKIP_EVENT,
    EngineConduct.LOSE_ANSWER,
    EngineConduct.REFUSE_TWICE,
    EngineConduct.NO_LENGTH_HALF,
    EngineConduct.NO_LENGTH_END,
    EngineConduct.NO_LENGTH_HEAD_END,
)


@attrs.define(kw_only=True, eq=False)
class Held:
    """What a caller holds of one stream: the tries that brought events of it."""

    part: str
    tries: list[Stream] = attrs.field(factory=list)

    @property
    def last_event(self) -> int:
        return self.tries[-1].last_event if self.tries else 0

    def add(self, got: Stream) -> None:
        """Record what a try has brought, and check it against what was there."""
        whole_events = got.body[: got.body.rfind(b"\n\n") + 2] if b"\n\n" in got.body else b""
        numbers = [int(number) for number in NUMBER.findall(whole_events)]
        after = self.last_event
        assert numbers == list(range(after + 1, after + 1 + len(numbers))), (self.part, after)
        if numbers:
            self.tries.append(got)
        assert len(versions_of(*self.tries)) <= 1, self.part
        if got.whole:
            assert self.last_event == PIECES, f"{self.part} was told as whole"


@attrs.define(kw_only=True, eq=False)
class Play:
    """Callers that follow their streams to the end, and faults beside them."""

    site: GatewaySite
    rng: random.Random
    without_length: bool
    """Whether engines answer with neither a length nor chunks."""
    counts: Counter[str] = attrs.field(factory=Counter)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._have_faults)
            async with trio.open_nursery() as callers:
                for number in range(CALLERS):
                    callers.start_soon(self._call, number)
            nursery.cancel_scope.cancel()

    async def _call(self, number: int) -> None:
        for turn in range(STREAMS_EACH):
            await self._follow(f"p-{number}-{turn}")

    async def _follow(self, part: str) -> None:
        held = Held(part=part)
        for _ in range(MOST_TRIES):
            got = await self._try(held)
            if got is None or got.status != 200:
                if got is not None and b"anew" in got.body:
                    self.counts["anew"] += 1
                    held = Held(part=part)
                await trio.sleep(COME_BACK_S)
                continue
            if held.tries:
                self.counts["taken up"] += 1
            held.add(got)
            if got.whole:
                self.counts["whole"] += 1
                self.counts["tries"] += len(held.tries)
                return
        self.counts["given up"] += 1

    async def _try(self, held: Held) -> Stream | None:
        alive = [name for name, vm in self.site.vms.items() if not vm.scope.cancel_called]
        if not alive:
            return None
        more = {"Deadline_Ms": "8000"}
        if held.tries:
            more["Last_Event_Id"] = str(held.last_event)
            more["Resumes"] = held.tries[0].request_id
        try:
            return await self.site.stream(
                held.part, vm=self.rng.choice(alive), events=PIECES, **more
            )
        except PeerError:
            return None

    async def _have_faults(self) -> None:
        faults = (
            self._end_engine,
            self._end_engine,
            self._end_engine_and_its_holder,
            self._order_conduct,
            self._order_conduct,
            self._end_vms,
            self._take_store_away,
        )
        while True:
            await trio.sleep(self.rng.uniform(0.05, 0.2))
            await self.rng.choice(faults)()

    async def _end_engine(self) -> None:
        """End an engine; the process that is back under its id may be of another version."""
        busy = [name for name, engine in self.site.engines.items() if engine.runs]
        name = self.rng.choice(busy or sorted(self.site.engines))
        self.counts["engine"] += 1
        self.site.crash(name)
        await trio.sleep(self.rng.uniform(0.02, 0.2))
        version = self._next_version()
        is_listed = self.rng.random() < 0.7
        engine = await self.site.start_engine(name, version=version, listed=is_listed)
        self.set_up(name)
        if not is_listed:
            await trio.sleep(self.rng.uniform(0.1, 0.4))
            self.site.list_target(
                name, service="engines", started_ms=engine.started_ms, version=version
            )

    def _next_version(self) -> str:
        """Return the version of an engine's next process."""
        return self.rng.choice(("v1", "v2"))

    async def _end_engine_and_its_holder(self) -> None:
        for _ in range(2):
            await self._end_engine()

    async def _order_conduct(self) -> None:
        engine = self.site.engines[self.rng.choice(sorted(self.site.engines))]
        engine.conducts.appendleft(self.rng.choice(FAULTY))

    async def _end_vms(self) -> None:
        names = sorted(self.site.vms)
        if self.rng.random() > ALL_VMS:
            names = [self.rng.choice(names)]
        self.counts["all vms" if len(names) > 1 else "vm"] += 1
        for name in names:
            self.site.vms[name].kill()
        await trio.sleep(self.rng.uniform(0.1, 0.5))
        for name in names:
            vm = await self.site.start_vm(name)
            with trio.move_on_after(2.0):
                await self.site.wait_ready(vm)

    async def _take_store_away(self) -> None:
        self.site.store.fault = self.rng.choice((StoreFault.REFUSING, StoreFault.SILENT))
        await trio.sleep(self.rng.uniform(0.2, 0.8))
        self.site.store.fault = StoreFault.NONE

    def set_up(self, name: str) -> None:
        engine = self.site.engines[name]
        engine.event_s = EVENT_S
        if self.without_length:
            engine.conducts = deque([EngineConduct.NO_LENGTH] * 1_000)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("without_length", [False, True])
@pytest.mark.parametrize("seed", range(2))
def test_callers_hold_each_piece_once_and_of_one_version_over_all_faults(
    seed: int, without_length: bool, way: str
) -> None:
    """Guards against pieces lost, repeated or joined, and against ends that were none."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=3, v2=3)
        play = Play(site=site, rng=random.Random(seed), without_length=without_length)
        for name in site.engines:
            play.set_up(name)
        if way == "peer":
            await cut(site)
        await play.run()
        assert play.counts["whole"]

    run_site(story, engines=0, vms=3, cuttable=way == "peer")
