"""Which process wrote a stream's first event, where its engine's id or address has had several."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import attrs
import pytest
import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.gateway.settings import Bounds
from lagoonlever.outcomes import REASON_HEADER, Reason
from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site, until
from lagoonlever.tests.losses_of_all_vms_tests import lose_questions
from lagoonlever.tests.stream_versions_tests import (
    EVENTS,
    LOST_AT,
    begin,
    serving,
    start_versions,
    versions_of,
)
from lagoonlever.tests.version_records_tests import _Connecting, _use_client, list_again

NEXT_START_MS = 1_800_000_000_000
"""Later than the start of any engine that a site has begun."""


@attrs.define
class WatchedProber:
    """Asks engines as the gateway's own does; loses the first questions, then calls a function."""

    prober: object
    lost: int
    before_answer: Callable[[], Awaitable[None]]
    called: bool = False

    def __getattr__(self, name: str) -> object:
        return getattr(self.prober, name)

    async def ask(self, *args: object, **more: object) -> object:
        if self.lost:
            self.lost -= 1
            return None
        if not self.called:
            self.called = True
            await self.before_answer()
        return await self.prober.ask(*args, **more)


def watch_questions(
    site: GatewaySite, vm: str, *, lost: int, before_answer: Callable[[], Awaitable[None]]
) -> None:
    for handler in site.vms[vm].daemon.parts.front._serve.values():
        tools = getattr(handler.__self__, "_tools", None)
        if tools is not None and hasattr(tools, "prober"):
            tools.prober = WatchedProber(tools.prober, lost, before_answer)


@attrs.define
class OneEventOnly(float):
    """The time before an engine's next event: it gives one, and then none."""

    given: bool = False

    def __mul__(self, pace: float) -> float:
        if self.given:
            return 30.0
        self.given = True
        return 0.01


def test_a_report_from_before_the_connection_does_not_prove_who_writes() -> None:
    """Its engine told its start, ended, and another version answered on the new connection."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        list_again(site, "v1-1", state="draining")
        await until(lambda: serving(site, "vm-0", "v1") == ["v1-0"])
        parts = site.vms["vm-0"].daemon.parts
        connect, prober = parts.client.connect, parts.prober
        asked: list[float] = []

        async def slow_connect(target: ListedTarget, **more: float) -> object:
            if not asked:
                asked.append(trio.current_time())
                report = await prober.ask(target, since=asked[0])
                assert report is not None
                site.crash("v1-0")
                await trio.sleep(0.005)
                await site.start_engine("v1-0", version="v2", listed=False)
            return await connect(target, **more)

        parts.client = _Connecting(client=parts.client, slow=slow_connect)
        _use_client(parts)

        def on_event(count: int) -> None:
            if count == LOST_AT // 2:
                list_again(site, "v1-1", state="ready")
            if count == LOST_AT * 4:
                site.crash("v1-0")

        stream = await site.stream("p-1", events=EVENTS, on_event=on_event, Deadline_Ms="3000")
        assert stream.last_event >= LOST_AT
        assert stream.versions == {"v2"}

    run_site(story, engines=0)


@pytest.mark.parametrize("lost", [0, 3])
def test_a_process_that_came_after_the_first_event_is_not_taken_for_its_writer(lost: int) -> None:
    """The VM was suspended, or the open connection silent, as the writer ended and one came."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=1)
        engine = site.engines["v1-0"]
        engine.event_s = OneEventOnly()

        async def come_back() -> None:
            engine.started_ms = NEXT_START_MS
            engine.version = "v2"
            list_again(site, "v1-0", state="draining")

        watch_questions(site, "vm-0", lost=lost, before_answer=come_back)
        got: list[Stream] = []

        async def read() -> None:
            got.append(await site.stream("p-1", events=EVENTS, Deadline_Ms="4000"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await until(lambda: engine.runs)
            await trio.sleep(0.6)
            await start_versions(site, v2=1)
            site.crash("v1-0")
        assert got[0].last_event == 1
        assert got[0].versions == {"v1"}

    run_site(story, engines=0)


def test_an_event_that_was_read_before_its_writer_ended_is_not_taken_for_the_next_process_s() -> (
    None
):
    """The writer ends with its connection, and one of another version answers the question."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v2=1)
        await start_versions(site, v1=1)
        versions = site.vms["vm-0"].daemon.parts.beliefs.versions
        await until(lambda: versions.has_several("engines"))
        list_again(site, "v1-0", state="draining")
        await until(lambda: serving(site, "vm-0", "v1") == [])

        async def replace_writer() -> None:
            site.crash("v2-0")
            await site.start_engine("v2-0", version="v1")

        watch_questions(site, "vm-0", lost=0, before_answer=replace_writer)
        first = await site.stream("p-1", events=EVENTS, Deadline_Ms="3000")
        assert first.versions == {"v2"}
        await until(lambda: serving(site, "vm-0", "v1") == ["v2-0"])
        second = await site.take_up(first, "p-1", events=EVENTS, Deadline_Ms="3000")
        assert versions_of(first, second) == {"v2"}

    run_site(story, engines=0)


def test_an_unlisted_process_is_not_named_by_the_entry_of_the_next_one_under_its_id() -> None:
    """It was found at a lost engine's address, and its id was listed first for its successor."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=1)

        async def come_back() -> None:
            await trio.sleep(0.5)
            engine = await site.start_in_place_of("v1-0", "next", version="v2")
            engine.started_ms = NEXT_START_MS

        def crash(count: int) -> None:
            if count == LOST_AT:
                site.store.fault = StoreFault.REFUSING
                site.crash("v1-0")
                site.nursery.start_soon(come_back)

        async def come_back_as_the_former_version() -> None:
            site.crash("next")
            site.store.fault = StoreFault.NONE
            await trio.sleep(0.05)
            engine = await site.start_in_place_of("v1-0", "next", version="v1")
            engine.started_ms = NEXT_START_MS + 1
            site.addresses["next"] = site.addresses["v1-0"]
            list_again(site, "next", state="ready")

        def crash_next(count: int) -> None:
            if count == LOST_AT:
                site.nursery.start_soon(come_back_as_the_former_version)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(site.stream, "p-1", events=EVENTS, on_event=crash))
            await until(lambda: "next" in site.engines)
            got = await site.stream("p-2", events=EVENTS, on_event=crash_next, Deadline_Ms="6000")
            nursery.cancel_scope.cancel()
        assert got.last_event >= LOST_AT
        await until(lambda: serving(site, "vm-0", "v1") == ["next"])
        second = await site.take_up(got, "p-2", events=EVENTS, Deadline_Ms="3000")
        assert versions_of(got, second) == {"v2"}

    run_site(story, engines=0, bounds=Bounds(grace_s=3.0, address_reuse_s=30.0))


def test_a_stream_whose_writers_could_not_be_asked_is_not_taken_for_one_that_ends_engines() -> None:
    """Three engines gave an event, and did not answer which process had written it."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=5)
        first = await begin(site, "p-1")
        await start_versions(site, v2=1)
        versions = site.vms["vm-1"].daemon.parts.beliefs.versions
        await until(lambda: versions.has_several("engines"))
        lose_questions(site, "vm-1", lost=1_000)
        for _ in range(2):
            again = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS, Deadline_Ms="5000")
            assert again.headers.get(REASON_HEADER) != Reason.ENDS_TARGETS.value
        assert sum(len(engine.seen) for engine in site.engines.values()) > 3

    run_site(story, engines=0)
