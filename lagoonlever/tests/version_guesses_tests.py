"""Take-ups that nobody can tell the beginning of: the recorded version is no proof of it."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.gateway.version_record import VERSIONS_KEY, VersionRecord
from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site, until
from lagoonlever.tests.losses_of_all_vms_tests import (
    _begin_at_an_unlisted_process,
    _never_write,
    retire,
)
from lagoonlever.tests.origin_news_tests import lose_runs_at
from lagoonlever.tests.stream_versions_tests import (
    EVENTS,
    LOST_AT,
    begin,
    restart,
    serving,
    start_versions,
    versions_of,
)
from lagoonlever.tests.version_records_tests import list_again


def test_a_vm_that_missed_the_news_of_a_stream_does_not_take_it_for_the_only_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An engine is back under its id as another version; the VM that knows of its stream dies."""

    async def story(site: GatewaySite) -> None:
        await _begin_at_an_unlisted_process(site)
        lose_runs_at(site, "vm-1", "v1-0", monkeypatch)
        first = await begin(site, "p-1")
        assert first.versions == {"v2"}
        site.crash("v1-0")
        list_again(site, "v1-1", state="ready")
        await until(lambda: "v1-1" in serving(site, "vm-1", "v1"))
        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS, Deadline_Ms="3000")
        assert versions_of(first, second) == {"v2"}

    run_site(story, engines=0)


async def _read_until_all_die(site: GatewaySite, part: str) -> Stream:
    """Return what a caller got of a stream until all VMs died, some events after it began."""

    def on_event(count: int) -> None:
        if count >= LOST_AT:
            for vm in site.vms.values():
                vm.kill()

    return await site.stream(part, events=EVENTS, on_event=on_event)


def test_a_version_that_could_not_be_recorded_is_not_taken_for_the_recorded_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store takes no write for longer than new streams wait for one; all VMs are lost."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=1)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        await retire(site, "v1-0")
        monkeypatch.setattr(VersionRecord, "_write", _never_write)
        await start_versions(site, v2=1)
        first = await _read_until_all_die(site, "p-1")
        assert b"v2" not in (site.store.value(VERSIONS_KEY) or b"")
        monkeypatch.undo()
        for vm in site.vms.values():
            vm.kill()
        site.crash("v2-0")
        site.unlist_target("v2-0")
        list_again(site, "v1-0", state="ready")
        await restart(site, "vm-0", "vm-1")
        second = await site.take_up(first, "p-1", events=EVENTS, Deadline_Ms="3000")
        assert len(versions_of(first, second)) == 1

    run_site(story, engines=0)


def test_streams_refused_for_a_version_without_a_record_begin_once_the_store_takes_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Their callers are told when to come back, and no engine has got their requests."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=1)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        await retire(site, "v1-0")
        with monkeypatch.context() as patched:
            patched.setattr(VersionRecord, "_write", _never_write)
            await start_versions(site, v2=1)
            refused = await site.stream("p-1", events=4)
            assert refused.status == 503
            assert refused.headers.get("Retry-After")
            assert not site.engines["v2-0"].seen
        for vm in site.vms.values():
            vm.kill()
        await restart(site, "vm-0", "vm-1")
        begun = await site.stream("p-1", events=4)
        assert begun.whole
        assert begun.versions == {"v2"}

    run_site(story, engines=0)


def test_an_outage_ends_no_service_where_the_record_names_several_versions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A third one alone is left and can't be recorded; no stream will be taken for one of it."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=1, v2=1)
        versions = [vm.daemon.parts.beliefs.versions for vm in site.vms.values()]
        await until(lambda: all(v.has_several("engines") for v in versions))
        await retire(site, "v1-0", "v2-0")
        monkeypatch.setattr(VersionRecord, "_write", _never_write)
        await start_versions(site, v3=1)
        first = await _read_until_all_die(site, "p-1")
        assert first.versions == {"v3"}
        assert b"v3" not in (site.store.value(VERSIONS_KEY) or b"")
        monkeypatch.undo()
        site.crash("v3-0")
        site.unlist_target("v3-0")
        site.unlist_target("v2-0")
        list_again(site, "v1-0", state="ready")
        await restart(site, "vm-0", "vm-1")
        second = await site.take_up(first, "p-1", events=EVENTS, Deadline_Ms="3000")
        assert versions_of(first, second) == {"v3"}

    run_site(story, engines=0)


def test_a_process_that_was_never_listed_is_not_taken_for_one_of_the_recorded_version() -> None:
    """It begins a stream, all VMs are lost before its entry comes, and it is gone by then."""

    async def story(site: GatewaySite) -> None:
        await _begin_at_an_unlisted_process(site)
        first = await _read_until_all_die(site, "p-1")
        assert first.versions == {"v2"}
        site.crash("v1-0")
        list_again(site, "v1-1", state="ready")
        await restart(site, "vm-0", "vm-1")
        second = await site.take_up(first, "p-1", events=EVENTS, Deadline_Ms="3000")
        assert versions_of(first, second) == {"v2"}

    run_site(story, engines=0)


def test_a_process_that_was_never_listed_in_an_outage_is_not_taken_for_the_recorded_version() -> (
    None
):
    """The store takes no mark of it, and all VMs are lost before it does."""

    async def story(site: GatewaySite) -> None:
        await _begin_at_an_unlisted_process(site)
        site.store.fault = StoreFault.REFUSING
        first = await _read_until_all_die(site, "p-1")
        for vm in site.vms.values():
            vm.kill()
        site.crash("v1-0")
        list_again(site, "v1-1", state="ready")
        site.store.fault = StoreFault.NONE
        await restart(site, "vm-0", "vm-1")
        second = await site.take_up(first, "p-1", events=EVENTS, Deadline_Ms="3000")
        assert len(versions_of(first, second)) == 1

    run_site(story, engines=0)


async def _start_out_of_step(site: GatewaySite, vm: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Restart a VM, which from then on hears no news of versions and looks at no list for them."""
    site.vms[vm].kill()
    with monkeypatch.context() as patched:
        patched.setattr(VersionRecord, "_receive", _hear_nothing)
        patched.setattr(VersionRecord, "_look", lambda record, tick: None)
        patched.setattr(VersionRecord, "_notice", lambda record, tick: None)
        await site.wait_ready(await site.start_vm(vm))
        await until(lambda: site.vms[vm].daemon.parts.version_record.known.is_set())


async def _hear_nothing(record: VersionRecord) -> None:
    await trio.sleep_forever()


@pytest.mark.parametrize("other_lives", [True, False])
@pytest.mark.parametrize("store_answers", [True, False])
def test_a_vm_that_was_out_of_step_does_not_go_on_at_the_version_that_it_knows(
    other_lives: bool, store_answers: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A version came while the VM was cut off or stood still; it missed the news of its streams."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        await until(lambda: b"v1" in (site.store.value(VERSIONS_KEY) or b""))
        await _start_out_of_step(site, "vm-1", monkeypatch)
        list_again(site, "v1-0", state="draining")
        list_again(site, "v1-1", state="draining")
        await start_versions(site, v2=1)
        await until(lambda: b"v2" in (site.store.value(VERSIONS_KEY) or b""))
        await until(lambda: "v2-0" in serving(site, "vm-0", "v2"))
        lose_runs_at(site, "vm-1", "v2-0", monkeypatch)
        first = await _read_until_ended(site, "p-1", kills=() if other_lives else ("vm-0",))
        assert first.versions == {"v2"}
        site.unlist_target("v2-0")
        list_again(site, "v1-0", state="ready")
        list_again(site, "v1-1", state="ready")
        await until(lambda: "v1-1" in serving(site, "vm-1", "v1"))
        if not store_answers:
            site.store.fault = StoreFault.SILENT
        second = await site.take_up(first, "p-1", vm="vm-1", events=EVENTS, Deadline_Ms="3000")
        assert versions_of(first, second) == {"v2"}

    run_site(story, engines=0)


async def _read_until_ended(site: GatewaySite, part: str, *, kills: tuple[str, ...]) -> Stream:
    """Return what a caller got of a stream until its engine ended, and some VMs."""

    def on_event(count: int) -> None:
        if count == LOST_AT:
            site.crash("v2-0")
            for vm in kills:
                site.vms[vm].kill()

    return await site.stream(part, events=EVENTS, on_event=on_event, Deadline_Ms="2000")
