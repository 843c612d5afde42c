"""Take-ups after a loss of all VMs: text of two versions is never joined."""

from __future__ import annotations

import trio

from lagoonlever.exceptions import PeerError
from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.gateway.version_record import VERSIONS_KEY
from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site, until
from lagoonlever.tests.stream_versions_tests import (
    EVENTS,
    LOST_AT,
    begin,
    restart,
    serving,
    start_versions,
    versions_of,
)
from lagoonlever.tests.version_records_tests import LONG, list_again

BEFORE_POWER_GOES_S = 0.2
"""Less than the time in which a version that has come is recorded."""


async def begin_before_power_goes(site: GatewaySite, part: str) -> Stream | None:
    """Return what a caller got of a stream until all VMs died; None for no answer at all."""
    got: list[Stream] = []

    async def read() -> None:
        try:
            got.append(await site.stream(part, events=LONG))
        except PeerError:
            return

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read)
        await trio.sleep(BEFORE_POWER_GOES_S)
        for vm in site.vms.values():
            vm.kill()
    return got[0] if got else None


async def retire(site: GatewaySite, *names: str) -> None:
    """Have engines say that they leave, and wait until every VM has read it."""
    for name in names:
        list_again(site, name, state="draining")
    versions = {site.engines[name].version for name in names}
    await until(lambda: not any(serving(site, vm, v) for vm in site.vms for v in versions))


def test_a_version_that_came_right_before_a_loss_of_all_vms_is_not_taken_for_the_recorded_one() -> (
    None
):
    """Its engine took streams as the only one that serves, and was in no record as power went."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        await retire(site, "v1-0", "v1-1")
        await start_versions(site, v2=1)
        site.store.fault = StoreFault.REFUSING
        first = await begin_before_power_goes(site, "p-1")
        site.store.fault = StoreFault.NONE
        site.crash("v2-0")
        site.unlist_target("v2-0")
        for name in ("v1-0", "v1-1"):
            list_again(site, name, state="ready")
        await restart(site, "vm-0", "vm-1")
        if first is None or not first.last_event:
            return
        second = await site.take_up(first, "p-1", events=EVENTS)
        assert len(versions_of(first, second)) == 1

    run_site(story, engines=0)


def test_new_streams_begin_soon_at_a_version_that_has_come_alone() -> None:
    """Guards against holding callers back for longer than the record of the version takes."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        await retire(site, "v1-0", "v1-1")
        await start_versions(site, v2=1)
        began = trio.current_time()
        stream = await site.stream("p-1", events=4)
        assert stream.whole
        assert stream.versions == {"v2"}
        assert trio.current_time() - began < 2.0

    run_site(story, engines=0)


def test_a_take_up_that_names_a_take_up_goes_on_at_no_other_version() -> None:
    """The pages have it name the first attempt; after a loss of all VMs nobody can tell."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2, v2=2)
        versions = site.vms["vm-0"].daemon.parts.beliefs.versions
        await until(lambda: versions.has_several("engines"))
        first = await begin(site, "p-1")
        await restart(site, "vm-0")
        await site.wait_met()

        def on_event(count: int) -> None:
            if count == LOST_AT:
                for vm in site.vms.values():
                    vm.kill()

        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS, on_event=on_event)
        assert second.last_event > first.last_event
        await restart(site, "vm-0", "vm-1")
        third = await site.take_up(second, "p-1", events=EVENTS)
        assert len(versions_of(first, second, third)) == 1

    run_site(story, engines=0)


def test_power_that_goes_twice_within_two_seconds_joins_no_two_versions() -> None:
    """Callers come back in between, the old version leaves, and the next one has just come."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        first = await begin_before_power_goes(site, "p-1")
        assert first is not None and first.last_event
        await restart(site, "vm-0", "vm-1")
        await retire(site, "v1-0", "v1-1")
        await start_versions(site, v2=2)
        between = await begin_before_power_goes(site, "p-2")
        for name in ("v2-0", "v2-1"):
            site.crash(name)
            site.unlist_target(name)
        list_again(site, "v1-0", state="ready")
        await restart(site, "vm-0", "vm-1")
        second = await site.take_up(first, "p-1", events=EVENTS)
        assert versions_of(first, second) == {"v1"}
        if between is not None and between.last_event:
            last = await site.take_up(between, "p-2", events=EVENTS)
            assert len(versions_of(between, last)) == 1

    run_site(story, engines=0)


def test_a_store_that_is_back_from_an_older_copy_through_a_loss_of_all_vms_proves_nothing() -> None:
    """The copy was made before the second version came; the first one serves again."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        copy = site.store.copy()
        await retire(site, "v1-0", "v1-1")
        await start_versions(site, v2=1)
        await until(lambda: b"v2" in (site.store.value(VERSIONS_KEY) or b""))
        first = await begin_before_power_goes(site, "p-1")
        assert first is not None and first.versions == {"v2"}
        site.store.restore(copy)
        site.crash("v2-0")
        site.unlist_target("v2-0")
        await restart(site, "vm-0", "vm-1")
        for _ in range(3):
            second = await site.take_up(first, "p-1", events=EVENTS)
            assert versions_of(first, second) == {"v2"}
            await trio.sleep(0.5)

    run_site(story, engines=0)


def test_a_record_proves_nothing_before_the_list_is_known() -> None:
    """A VM that has just started may read the record first, and the list names another version."""

    async def story(site: GatewaySite) -> None:
        await start_versions(site, v1=1)
        beliefs = site.vms["vm-0"].daemon.parts.beliefs
        await until(lambda: beliefs.only_version("engines") == "v1")
        beliefs.known = trio.Event()
        assert beliefs.only_version("engines") is None

    run_site(story, engines=0)
