"""What is known of where streams began after losses, and what it costs the platform's store."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.gateway.origin_records import ORIGINS_PREFIX
from lagoonlever.gateway.settings import Bounds
from lagoonlever.gateway.version_record import VERSIONS_KEY
from lagoonlever.tests.gateway_site import (
    GatewaySite,
    Stream,
    configuration,
    route,
    run_site,
    running_engine,
    until,
)
from lagoonlever.tests.stream_versions_tests import (
    EVENTS,
    LOST_AT,
    begin,
    is_bound,
    restart,
    serving,
    start_versions,
    versions_of,
)

LONG = 1_500
"""Events of a stream that a story ends."""


async def begin_many(site: GatewaySite, count: int) -> list[Stream]:
    """Return streams that were broken off as all VMs died."""
    streams: list[Stream] = []

    async def read(number: int) -> None:
        vm = f"vm-{number % len(site.vms)}"
        streams.append(await site.stream(f"p-{number}", vm=vm, events=LONG))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(read, number)
        await trio.sleep(1.2)
        for vm in site.vms.values():
            vm.kill()
    assert all(0 < stream.last_event < LONG for stream in streams)
    return streams


def part_of(stream: Stream) -> str:
    return stream.body.split(b"data: ")[1].split(b" ")[0].decode()


def test_nothing_is_written_for_each_stream_while_one_version_serves() -> None:
    async def story(site: GatewaySite) -> None:
        await start_versions(site, v1=3)
        for number in range(12):
            assert (await site.stream(f"p-{number}", events=4)).whole
        await trio.sleep(0.5)
        assert not site.store.keys(ORIGINS_PREFIX)

    run_site(story, engines=0)


def test_streams_that_began_before_a_second_version_came_are_written_as_it_comes() -> None:
    """Their VMs die right after, and the record has no other version than theirs until then."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        streams: list[Stream] = []

        async def read() -> None:
            streams.append(await site.stream("p-1", events=LONG))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.sleep(0.3)
            await start_versions(site, v2=6)
            await until(lambda: site.store.keys(ORIGINS_PREFIX))
            for vm in site.vms.values():
                vm.kill()
        await restart(site, "vm-0", "vm-1")
        second = await site.take_up(streams[0], "p-1", events=LONG)
        assert second.whole
        assert versions_of(streams[0], second) == {"v1"}

    run_site(story, engines=0)


def test_a_record_from_an_older_copy_of_the_store_is_no_proof() -> None:
    """All VMs are lost, and the store is back from a copy that lacks the second version.

    The one that began the stream is the one that the copy lacks; a guess would be wrong.
    """

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        copy = site.store.copy()
        await start_versions(site, v2=1)
        for name in ("v1-0", "v1-1"):
            started_ms = site.engines[name].started_ms
            site.list_target(name, service="engines", state="draining", started_ms=started_ms)
        await until(lambda: b"v2" in (site.store.value(VERSIONS_KEY) or b""))
        await until(lambda: not any(serving(site, vm, "v1") for vm in site.vms))
        streams = await begin_many(site, 2)
        assert versions_of(*streams) == {"v2"}
        site.store.restore(copy)
        await restart(site, "vm-0", "vm-1")
        for stream in streams:
            second = await site.take_up(stream, part_of(stream), events=LONG)
            assert second.status == 503

    run_site(story, engines=0)


def test_vms_that_live_write_again_what_an_older_copy_of_the_store_lacks() -> None:
    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        copy = site.store.copy()
        await start_versions(site, v2=2)
        await until(lambda: b"v2" in (site.store.value(VERSIONS_KEY) or b""))
        site.store.restore(copy)
        await until(lambda: b"v2" in (site.store.value(VERSIONS_KEY) or b""))

    run_site(story, engines=0)


def test_a_stream_goes_on_at_its_version_when_its_engine_has_left_the_list() -> None:
    """The engine that began it is gone, and its VM too: nothing names it any more."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=3, v2=6)

        def on_event(count: int) -> None:
            if count >= LOST_AT and not at and is_bound(site, "vm-1"):
                at.append(running_engine(site))
                site.vms["vm-0"].kill()

        at: list[str] = []
        first = await site.stream("p-1", events=EVENTS, on_event=on_event)
        site.crash(at[0])
        site.unlist_target(at[0])
        targets = site.vms["vm-1"].daemon.parts.beliefs.targets
        await until(lambda: targets.find(at[0]) is None)
        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS)
        assert second.whole
        assert len(versions_of(first, second)) == 1

    run_site(story, engines=0)


def test_a_newcomer_is_told_of_streams_that_broke_off_before_it_came() -> None:
    """Callers come back to a VM that has just started, while the store is away."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2, v2=6)
        first = await begin(site, "p-1", vm="vm-1")
        await restart(site, "vm-1")
        origins = site.vms["vm-1"].daemon.parts.beliefs.origins
        await until(lambda: origins.find(first.request_id) is not None)
        site.store.fault = StoreFault.SILENT
        site.vms["vm-0"].kill()
        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS)
        assert second.whole
        assert len(versions_of(first, second)) == 1

    run_site(story, engines=0)


def test_an_unlisted_process_does_not_go_on_with_streams_beside_several_versions() -> None:
    """The store is away, and another version answers at the address of an engine that ended."""

    async def story(site: GatewaySite) -> None:
        await start_versions(site, v1=1, v2=1)
        began_at: list[str] = []

        async def come_back(name: str) -> None:
            await trio.sleep(1.0)
            other = "v2" if name.startswith("v1") else "v1"
            await site.start_in_place_of(name, "reborn", version=other)

        def on_event(count: int) -> None:
            if count == LOST_AT:
                began_at.append(running_engine(site))
                site.store.fault = StoreFault.SILENT
                site.crash(began_at[0])
                site.nursery.start_soon(come_back, began_at[0])

        for engine in site.engines.values():
            engine.event_s = 0.03
        stream = await site.stream("p-1", events=EVENTS, on_event=on_event, Deadline_Ms="5000")
        assert len(stream.versions) == 1
        assert not stream.whole

    run_site(story, engines=0, bounds=Bounds(grace_s=3.0, address_reuse_s=30.0))


def test_an_engine_that_is_back_under_its_id_as_another_version_gets_no_stream_of_before() -> None:
    async def story(site: GatewaySite) -> None:
        await start_versions(site, v1=1, v2=1)

        def on_event(count: int) -> None:
            if count == LOST_AT:
                name = running_engine(site)
                site.crash(name)
                site.nursery.start_soon(come_back, name)

        async def come_back(name: str) -> None:
            await trio.sleep(0.05)
            other = "v2" if name.startswith("v1") else "v1"
            await site.start_engine(name, version=other)

        stream = await site.stream("p-1", events=EVENTS, on_event=on_event, Deadline_Ms="4000")
        assert len(stream.versions) == 1

    run_site(story, engines=0)


def test_a_stream_that_began_at_an_unlisted_process_goes_on_nowhere_else() -> None:
    """Soak seed 23: an engine was back under its id as another version, and the list not yet."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2, v2=1)
        versions = site.vms["vm-0"].daemon.parts.beliefs.versions
        await until(lambda: versions.has_several("engines"))
        for name in ("v1-1", "v2-0"):
            list_again(site, name, state="draining")
        await until(lambda: serving(site, "vm-0", "v2") == [])
        site.crash("v1-0")
        await trio.sleep(0.05)
        await site.start_engine("v1-0", version="v2", listed=False)

        def on_event(count: int) -> None:
            if count == LOST_AT // 2:
                list_again(site, "v1-1", state="ready")
            if count == LOST_AT * 4:
                site.crash("v1-0")

        stream = await site.stream("p-1", events=EVENTS, on_event=on_event, Deadline_Ms="3000")
        assert stream.last_event >= LOST_AT
        assert stream.versions == {"v2"}

    run_site(story, engines=0)


def test_a_stream_at_the_first_process_of_a_new_version_goes_on_nowhere_else() -> None:
    """Only one version is listed as an engine is back under its id as another one."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        list_again(site, "v1-1", state="draining")
        await until(lambda: len(serving(site, "vm-0", "v1")) == 1)
        site.crash("v1-0")
        await trio.sleep(0.05)
        await site.start_engine("v1-0", version="v2", listed=False)

        def on_event(count: int) -> None:
            if count == LOST_AT // 2:
                list_again(site, "v1-1", state="ready")
            if count == LOST_AT * 4:
                site.crash("v1-0")

        stream = await site.stream("p-1", events=EVENTS, on_event=on_event, Deadline_Ms="3000")
        assert stream.last_event >= LOST_AT
        assert stream.versions == {"v2"}

    run_site(story, engines=0)


def test_a_stream_goes_on_at_its_version_once_the_list_names_the_process_that_began_it() -> None:
    """Its engine was back under its id, and the list named the new process only then."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        list_again(site, "v1-1", state="draining")
        await until(lambda: len(serving(site, "vm-0", "v1")) == 1)
        site.crash("v1-0")
        await trio.sleep(0.05)
        await site.start_engine("v1-0", version="v2", listed=False)

        def on_event(count: int) -> None:
            if count == LOST_AT // 2:
                list_again(site, "v1-0", state="ready")
            if count == LOST_AT * 4:
                site.crash("v1-0")

        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: start_versions(site, v2=1))
            stream = await site.stream("p-1", events=EVENTS, on_event=on_event)
        assert stream.whole
        assert stream.versions == {"v2"}

    run_site(story, engines=0)


def list_again(site: GatewaySite, name: str, *, state: str) -> None:
    """Write an engine's entry again, of the process that was listed first."""
    engine = site.engines[name]
    site.list_target(
        name,
        service="engines",
        state=state,
        started_ms=engine.started_ms,
        version=engine.version,
    )


def test_the_version_is_looked_at_once_more_right_before_the_send() -> None:
    """Between choice and write another version takes over the engine's id."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=1)
        first = await begin(site, "p-1")
        await start_versions(site, v2=1)
        parts = site.vms["vm-1"].daemon.parts
        connect = parts.client.connect

        async def slow_connect(target: ListedTarget, **more: float) -> object:
            connection = await connect(target, **more)
            if target.id == "v1-0":
                site.list_target("v1-0", service="engines", version="v2", started_ms=9)
                await until(lambda: _version_of(site, "vm-1", "v1-0") == "v2")
            return connection

        parts.client = _Connecting(client=parts.client, slow=slow_connect)
        _use_client(parts)
        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS, Deadline_Ms="3000")
        assert not second.versions
        assert not site.engines["v1-0"].seen[1:]

    run_site(story, engines=0)


@attrs.define
class _Connecting:
    """A client of targets whose connections take a while."""

    client: object
    slow: object

    def __getattr__(self, name: str) -> object:
        if name == "connect":
            return self.slow
        return getattr(self.client, name)


def _use_client(parts: object) -> None:
    serve = parts.front._serve
    for handler in serve.values():
        streams = handler.__self__
        if hasattr(streams, "_tools"):
            streams._tools.client = parts.client


def _is_at(site: GatewaySite, vm: str, *, version: int, targets: int) -> bool:
    """Check whether a VM has a version of the configuration, and lists so many targets."""
    beliefs = site.vms[vm].daemon.parts.beliefs
    listed = beliefs.targets.targets
    moved = not any(t.service == "engines" for t in listed if t.id.startswith("other"))
    return beliefs.version == version and len(listed) == targets and moved


def _version_of(site: GatewaySite, vm: str, name: str) -> str | None:
    target = site.vms[vm].daemon.parts.beliefs.targets.find(name)
    return target.version if target is not None else None


def test_a_stream_goes_on_at_the_service_that_began_it() -> None:
    """Its route leads to two services, whose engines have versions of the same name."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        document = configuration(2)
        document["Routes"][0]["TrafficSplit"] = [
            {"Service": "engines", "Weight": 50},
            {"Service": "others", "Weight": 50},
        ]
        del document["Routes"][0]["Service"]
        document["Services"].append({**document["Services"][0], "Name": "others"})
        site.configure(document)
        for number in range(2):
            await site.start_engine(f"one-{number}", version="v1")
            engine = await site.start_engine(f"other-{number}", version="v1")
            engine.version = "other-v1"
            site.list_target(
                f"other-{number}",
                service="others",
                started_ms=engine.started_ms,
            )
        await until(lambda: all(_is_at(site, vm, version=2, targets=6) for vm in site.vms))
        for number in range(6):
            part = f"p-{number}"
            first = await begin(site, part)
            second = await site.take_up(first, part, vm="vm-1", events=EVENTS)
            assert second.whole
            assert len(versions_of(first, second)) == 1, number
            await restart(site, "vm-0")
            await site.wait_met()

    run_site(story, engines=0)


def test_the_versions_of_a_route_s_new_service_do_not_go_on_with_its_streams() -> None:
    """The operators move the route; engines of the new service have written none of its events."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=1)
        first = await begin(site, "p-1")
        document = configuration(2)
        document["Routes"][0] = {**route("stream", "/stream/", "streaming", "others")}
        document["Routes"][0].update(MaxAttempts=5, ResumeStreams=True, TimeoutMs=25_000)
        document["Services"].append({**document["Services"][0], "Name": "others"})
        site.configure(document)
        engine = await site.start_engine("other-0")
        site.list_target("other-0", service="others", started_ms=engine.started_ms)
        await until(lambda: _is_at(site, "vm-1", version=2, targets=4))
        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS)
        assert second.status == 503

    run_site(story, engines=0)


def test_no_event_is_lost_where_another_process_answers_than_one_of_the_version() -> None:
    """Soak seed 21: the event at which that was found had counted as passed on already."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=3, v2=1)
        versions = site.vms["vm-0"].daemon.parts.beliefs.versions
        await until(lambda: versions.has_several("engines"))
        for name in ("v1-1", "v1-2", "v2-0"):
            list_again(site, name, state="draining")
        await until(lambda: serving(site, "vm-0", "v1") == ["v1-0"])

        async def be_back() -> None:
            await trio.sleep(0.5)
            list_again(site, "v1-2", state="ready")

        def on_event(count: int) -> None:
            if count == LOST_AT:
                list_again(site, "v1-1", state="ready")
            if count == LOST_AT * 4:
                # Its reports tell another start than the list.
                site.engines["v1-1"].started_ms = 2_000_000_000_000
                site.engines["v1-1"].copies.clear()
                site.crash("v1-0")
                site.nursery.start_soon(be_back)

        stream = await site.stream("p-1", events=EVENTS, on_event=on_event)
        assert site.engines["v1-1"].seen
        assert stream.whole
        assert stream.is_events("p-1", 1, EVENTS)

    run_site(story, engines=0)
