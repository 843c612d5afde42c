"""Streams go on only at engines of the software version that began them."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site, running_engine, until

EVENTS = 60
LOST_AT = 8
"""The event at which a story ends something."""
ROUNDS = 4
"""Each is placed by chance among engines that are alike."""


async def start_versions(site: GatewaySite, **counts: int) -> None:
    """Start so many engines of each version, over three data centres in turn."""
    for version, count in counts.items():
        for number in range(count):
            name = f"{version}-{number}"
            await site.start_engine(name, data_center=f"dc-{number % 3}", version=version)
    alive = [name for name, vm in site.vms.items() if not vm.scope.cancel_called]
    await until(lambda: all(_knows_all(site, vm) for vm in alive))


def _knows_all(site: GatewaySite, vm: str) -> bool:
    targets = site.vms[vm].daemon.parts.beliefs.targets
    return all(targets.find(name) is not None for name in site.engines)


def is_bound(site: GatewaySite, vm: str) -> bool:
    """Check whether a VM knows the version of the stream that began last.

    It does not while each question for the stream's writer is lost.
    """
    newest = site.vms[vm].daemon.parts.beliefs.origins.newest(1)
    return any(origin.version is not None for origin in newest)


async def begin(site: GatewaySite, part: str, *, vm: str = "vm-0") -> Stream:
    """Return a stream whose VM is killed after some of its events."""

    def on_event(count: int) -> None:
        if count == LOST_AT:
            site.vms[vm].kill()

    stream = await site.stream(part, vm=vm, events=EVENTS, on_event=on_event)
    assert not stream.whole
    return stream


async def _stream_over_an_end(
    site: GatewaySite, part: str, *, with_copy: bool
) -> tuple[Stream, str]:
    """Return a stream whose first engine ended after some events, and that engine's name."""
    ended: list[str] = []

    def on_event(count: int) -> None:
        if count != LOST_AT:
            return
        ended.append(running_engine(site))
        if not with_copy:
            for engine in site.engines.values():
                engine.copies.clear()
        site.crash(ended[0])

    return await site.stream(part, events=EVENTS, on_event=on_event), ended[0]


async def restart(site: GatewaySite, *vms: str) -> None:
    for vm in vms:
        await site.wait_ready(await site.start_vm(vm))


def versions_of(*streams: Stream) -> frozenset[str]:
    return frozenset[str]().union(*(stream.versions for stream in streams))


@pytest.mark.parametrize("with_copy", [True, False])
def test_a_stream_goes_on_at_its_version_when_its_engine_ends(with_copy: bool) -> None:
    """An engine ends, and the answer goes on at one of another version that has more room."""

    async def story(site: GatewaySite) -> None:
        await start_versions(site, v1=2, v2=6)
        for number in range(ROUNDS):
            stream, ended = await _stream_over_an_end(site, f"p-{number}", with_copy=with_copy)
            assert stream.whole
            assert len(stream.versions) == 1, number
            version = site.engines[ended].version
            await site.start_engine(f"{ended}-{number}", version=version)

    run_site(story, engines=0)


def test_a_caller_that_comes_back_goes_on_at_the_version_that_began_its_stream() -> None:
    """A VM dies, and the next one places its callers by room alone."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2, v2=6)
        for number in range(ROUNDS):
            part = f"p-{number}"
            first = await begin(site, part)
            for engine in site.engines.values():
                engine.copies.clear()
            second = await site.take_up(first, part, vm="vm-1", events=EVENTS)
            assert second.whole
            assert len(versions_of(first, second)) == 1, number
            await restart(site, "vm-0")
            await site.wait_met()

    run_site(story, engines=0)


def test_a_third_attempt_goes_on_at_the_version_of_the_first() -> None:
    """Its caller names the attempt that brought the first event, which is not the second."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=3, v2=6)
        first = await begin(site, "p-1")

        def on_event(count: int) -> None:
            if count == LOST_AT:
                site.vms["vm-1"].kill()

        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS, on_event=on_event)
        assert second.last_event >= 2 * LOST_AT
        third = await site.take_up(second, "p-1", began=first.request_id, vm="vm-2", events=EVENTS)
        assert third.whole
        assert len(versions_of(first, second, third)) == 1

    run_site(story, engines=0, vms=3)


def test_another_request_of_the_session_does_not_say_where_a_stream_goes_on() -> None:
    """Both have the prompt's own part, and the later one began at another version."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        first = await begin(site, "p-1")
        await start_versions(site, v2=6)
        for name in ("v1-0", "v1-1"):
            started_ms = site.engines[name].started_ms
            site.list_target(name, service="engines", state="draining", started_ms=started_ms)
        await until(lambda: not serving(site, "vm-1", "v1"))
        other = await site.stream("p-1", vm="vm-1", events=4)
        assert other.versions == {"v2"}
        for name in ("v1-0", "v1-1"):
            started_ms = site.engines[name].started_ms
            site.list_target(name, service="engines", started_ms=started_ms)
        await until(lambda: len(serving(site, "vm-1", "v1")) == 2)
        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS)
        assert second.whole
        assert versions_of(first, second) == {"v1"}

    run_site(story, engines=0)


def serving(site: GatewaySite, vm: str, version: str) -> list[str]:
    targets = site.vms[vm].daemon.parts.beliefs.targets
    return [t.id for t in targets.serving("engines") if t.version == version]


def test_the_version_is_known_after_the_death_of_all_vms() -> None:
    """All lose power, and nobody that is left has seen the stream begin."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2, v2=6)
        streams = [await site.stream("warm-up", events=2)]

        async def read(number: int) -> None:
            stream = await site.stream(f"p-{number}", vm=f"vm-{number % 2}", events=400)
            streams.append(stream)

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(read, number)
            await trio.sleep(1.2)
            for vm in site.vms.values():
                vm.kill()
        await restart(site, "vm-0", "vm-1")
        mixed = []
        for stream in streams[1:]:
            assert 0 < stream.last_event < 400
            part = stream.body.split(b"data: ")[1].split(b" ")[0].decode()
            second = await site.take_up(stream, part, events=400)
            assert second.whole, part
            mixed.append(len(versions_of(stream, second)))
        assert mixed == [1] * 8

    run_site(story, engines=0)


def test_a_stream_whose_version_is_gone_is_refused_at_once() -> None:
    """Its events can't be gone on with by any engine, however long its caller waits."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=1)
        first = await begin(site, "p-1")
        await start_versions(site, v2=3)
        site.unlist_target("v1-0")
        await until(lambda: not serving(site, "vm-1", "v1"))
        began = trio.current_time()
        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS)
        assert trio.current_time() - began < 2.0
        assert second.status == 503
        assert second.headers.get("Retry-After") is None
        assert not second.versions

    run_site(story, engines=0)


def test_a_stream_of_unknown_beginning_goes_on_nowhere_beside_several_versions() -> None:
    """To go on anywhere would be a guess."""

    async def story(site: GatewaySite) -> None:
        await start_versions(site, v1=2, v2=2)
        await trio.sleep(0.5)
        stranger = await site.stream("p-1", events=EVENTS, Last_Event_Id="5", Resumes="r-unknown")
        assert stranger.status == 503
        nameless = await site.stream("p-1", events=EVENTS, Last_Event_Id="5")
        assert nameless.status == 503

    run_site(story, engines=0)


def test_a_stream_of_unknown_beginning_goes_on_where_one_version_alone_has_served() -> None:
    """Guards against refusing callers for want of what need not be known."""

    async def story(site: GatewaySite) -> None:
        await start_versions(site, v2=3)
        await site.wait_met()
        await trio.sleep(0.5)
        for vm in site.vms.values():
            vm.kill()
        await restart(site, "vm-0", "vm-1")
        for resumes in ("r-unknown", ""):
            stream = await site.stream("p-1", events=20, Last_Event_Id="5", Resumes=resumes)
            assert stream.whole, resumes
            assert stream.is_events("p-1", 6, 20, version="v2")

    run_site(story, engines=0)
