"""The platform's store comes back from a copy some seconds old: what must hold then."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import pytest
import trio

from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.target_crashes import Crash
from lagoonlever.fakes.metadata_store import FakeMetadataStore, StoreCopy
from lagoonlever.gateway.crash_records import RECORD_KEY, CrashRecords
from lagoonlever.gateway.pace_keeper import PACES_KEY
from lagoonlever.gateway.register import REGISTER_PREFIX
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.platform.store import MetadataStore
from lagoonlever.platform.targets import TARGETS_PREFIX
from lagoonlever.store.port import Lapsed
from lagoonlever.tests.gateway_site import (
    KEY,
    ORGANISATION,
    GatewaySite,
    configuration,
    free_address,
    run_site,
    until,
    until_within,
)

IN_FORCE_S = 2.0
"""In which a change must be in force at every VM, also after the store is back."""
REGISTERED_S = 5.0
"""In which a VM that is looked for is in the register again: a renewal, and a new entry."""
LOST_WRITES = 40
"""More revisions than a test makes after the store is back."""
NEW_KEY = "key-2"
DEADLY = "deadly"


def takes_work(site: GatewaySite, target: str) -> list[bool]:
    """Give whether a target may be given work now, by each VM."""
    return [vm.daemon.parts.beliefs.targets.takes_work(target) for vm in site.vms.values()]


def listed(site: GatewaySite) -> list[str]:
    return [key.removeprefix(TARGETS_PREFIX) for key in site.store.keys(TARGETS_PREFIX)]


def versions(site: GatewaySite) -> list[int]:
    return [vm.daemon.parts.beliefs.version for vm in site.vms.values()]


def churn(site: GatewaySite, writes: int = LOST_WRITES) -> None:
    """Have the store's revision rise, by entries of a service that nobody asks for."""
    for number in range(writes):
        name = f"elsewhere-{number}"
        site.addresses.setdefault(name, free_address())
        site.list_target(name, service="elsewhere")


async def settled(site: GatewaySite) -> None:
    """Wait until every VM knows each target that the store lists, and its fellows."""
    await site.wait_met()
    await until(lambda: all(all(takes_work(site, name)) for name in listed(site)))


async def older_copy(site: GatewaySite, writes: int = LOST_WRITES) -> StoreCopy:
    """Copy the store, and let changes follow that the copy doesn't have."""
    await settled(site)
    copy = site.store.copy()
    churn(site, writes)
    await until(lambda: all(all(takes_work(site, name)) for name in listed(site)))
    return copy


def test_a_target_that_registers_after_a_restore_is_used() -> None:
    """Its entry has a revision that was given out before, and was taken for old news."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        site.store.restore(copy)
        await site.start_runner("runner-9")
        await until_within(IN_FORCE_S, lambda: all(takes_work(site, "runner-9")))

    run_site(story, engines=0, vms=3)


def test_the_list_is_read_again_once_by_those_who_read_for_others() -> None:
    """The list seemed older than what was known, and was asked for without a pause."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        before = site.store.list_reads[TARGETS_PREFIX]
        site.store.restore(copy)
        await trio.sleep(1.5)
        assert site.store.list_reads[TARGETS_PREFIX] - before <= 3

    run_site(story, engines=0, vms=5)


@pytest.mark.parametrize("leaves", ["drains", "is removed"])
def test_a_target_that_leaves_after_a_restore_gets_no_work(leaves: str) -> None:
    """Its change has a revision that was given out before, and was taken for old news."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        site.store.restore(copy)
        await trio.sleep(0.3)
        if leaves == "drains":
            site.list_target("runner-0", service="apps", state="draining")
        else:
            site.unlist_target("runner-0")
        await until_within(IN_FORCE_S + 0.5, lambda: not any(takes_work(site, "runner-0")))

    run_site(story, engines=0, vms=3)


def test_changes_between_the_restore_and_the_next_watch_are_seen() -> None:
    """The numbers have caught up before a watch asks again, so that it isn't told of any gap."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site, writes=5)
        site.store.restore(copy)
        site.list_target("runner-0", service="apps", state="draining")
        churn(site)
        await until_within(IN_FORCE_S, lambda: not any(takes_work(site, "runner-0")))

    run_site(story, engines=0, vms=3)


def test_a_target_known_only_to_the_lost_seconds_is_used_on_while_it_writes_again() -> None:
    """A runner registers, and the store forgets it: it lives, and writes its entry again."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        await site.start_runner("runner-9")
        await until(lambda: all(takes_work(site, "runner-9")))
        lost = site.store.restore(copy)
        for _ in range(15):
            await trio.sleep(0.1)
            assert all(takes_work(site, "runner-9"))
        site.store.write_again(lost)
        for _ in range(20):
            await trio.sleep(0.1)
            assert all(takes_work(site, "runner-9"))

    run_site(story, engines=0, vms=3)


def test_a_target_known_only_to_the_lost_seconds_is_gone_if_it_is_not_back() -> None:
    """A runner registers, crashes, and the store comes back without it: nobody lists it again."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        await site.start_runner("runner-9")
        await until(lambda: all(takes_work(site, "runner-9")))
        site.store.restore(copy)
        await until_within(IN_FORCE_S + 2.0, lambda: not any(takes_work(site, "runner-9")))

    run_site(story, engines=0, vms=3)


def test_a_target_known_to_drain_gets_no_work_by_its_older_entry() -> None:
    """The store is back with the entry of before, which says that the runner is ready."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        site.list_target("runner-0", service="apps", state="draining")
        await until(lambda: not any(takes_work(site, "runner-0")))
        site.store.restore(copy)
        for _ in range(25):
            await trio.sleep(0.1)
            assert not any(takes_work(site, "runner-0"))

    run_site(story, engines=0, vms=3)


def test_a_target_known_to_be_gone_gets_no_work_by_its_older_entry() -> None:
    """The store is back with the entry of a runner that had left, until it lapses."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        site.unlist_target("runner-0")
        await until(lambda: not any(takes_work(site, "runner-0")))
        site.store.restore(copy)
        for _ in range(25):
            await trio.sleep(0.1)
            assert not any(takes_work(site, "runner-0"))

    run_site(story, engines=0, vms=3)


def with_key(version: int, key: str) -> dict[str, object]:
    return configuration(version, Tenants=[{"Name": ORGANISATION, "ApiKeys": [key], "Priority": 1}])


def test_the_configuration_in_force_never_goes_back() -> None:
    """A key was taken away in the lost seconds; an older version is back until it is written."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        site.configure(with_key(7, NEW_KEY))
        await until(lambda: versions(site) == [7] * 3)
        lost = site.store.restore(copy)
        for _ in range(10):
            await trio.sleep(0.1)
            assert versions(site) == [7] * 3
        await site.start_vm("vm-9")
        await site.wait_ready(site.vms["vm-9"])
        await until_within(IN_FORCE_S, lambda: versions(site) == [7] * 4)
        site.store.write_again(lost)
        site.configure(with_key(9, NEW_KEY))
        await until_within(IN_FORCE_S, lambda: versions(site) == [9] * 4)

    run_site(story, engines=0, vms=3)


def test_all_vms_that_start_after_a_restore_follow_what_is_written_again() -> None:
    """All VMs lose power with the store: they read an older configuration, and then the newer."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        site.configure(with_key(7, NEW_KEY))
        await site.start_runner("runner-9")
        await until(lambda: versions(site) == [7] * 3)
        for vm in site.vms.values():
            vm.kill()
        lost = site.store.restore(copy)
        for name in tuple(site.vms):
            await site.start_vm(name)
        for vm in site.vms.values():
            await site.wait_ready(vm)
        answer = await site.call("/bid/1", headers=site.headers(Authorization=f"Bearer {KEY}"))
        assert answer.status == 200
        site.store.write_again(lost)
        await until_within(IN_FORCE_S, lambda: versions(site) == [7] * 3)
        await until_within(IN_FORCE_S, lambda: all(takes_work(site, "runner-9")))

    run_site(story, engines=0, vms=3)


def test_two_restores_within_seconds_leave_nothing_behind() -> None:
    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        site.store.restore(copy)
        await trio.sleep(1.0)
        churn(site, 7)
        site.store.restore(copy)
        await site.start_runner("runner-9")
        site.unlist_target("runner-0")
        await until_within(IN_FORCE_S, lambda: all(takes_work(site, "runner-9")))
        await until_within(IN_FORCE_S + 0.5, lambda: not any(takes_work(site, "runner-0")))

    run_site(story, engines=0, vms=3)


def test_a_vm_that_is_looked_for_is_in_the_register_again() -> None:
    """Its entry was made in the lost seconds: a VM that starts would find nobody."""

    async def story(site: GatewaySite) -> None:
        before = site.store.copy()
        await until(lambda: len(site.store.keys(REGISTER_PREFIX)) == 3)
        churn(site)
        site.store.restore(before)
        await until_within(REGISTERED_S, lambda: len(site.store.keys(REGISTER_PREFIX)) == 3)
        await trio.sleep(0.5)
        assert len(site.store.keys(REGISTER_PREFIX)) == 3

    run_site(story, engines=0, vms=3)


def test_a_barred_request_stays_barred_and_is_recorded_again() -> None:
    """The record of what ended three engines is lost; a VM that starts later must know of it."""

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        site.deadly.add(DEADLY)
        await site.stream(DEADLY)
        await until(lambda: site.store.keys(RECORD_KEY))
        site.store.restore(copy)
        await trio.sleep(0.3)
        ended = len(site.deaths)
        await site.stream(DEADLY, vm="vm-1")
        assert len(site.deaths) == ended
        await until_within(IN_FORCE_S, lambda: site.store.keys(RECORD_KEY))

    run_site(story, engines=9, vms=3)


def test_what_was_learnt_of_engines_is_written_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """The lost seconds had the figures that a VM that starts would begin with."""
    monkeypatch.setattr("lagoonlever.gateway.pace_keeper.LOOK_EVERY_S", 0.3)

    async def story(site: GatewaySite) -> None:
        copy = await older_copy(site)
        got = await site.stream("p1", events=40, prompt_tokens=5000)
        assert got.status == 200
        await until(lambda: site.store.keys(PACES_KEY))
        site.store.restore(copy)
        await until_within(IN_FORCE_S, lambda: site.store.keys(PACES_KEY))

    run_site(story, vms=3)


def with_clients(
    story: Callable[[FakeMetadataStore, MetadataStore, MetadataStore], Awaitable[None]],
) -> None:
    """Run a story of two clients of one store."""

    async def main() -> None:
        address = free_address()
        store = FakeMetadataStore()
        with trio.fail_after(30.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.run, await _listen(address))
                await story(store, MetadataStore(address=address), MetadataStore(address=address))
                nursery.cancel_scope.cancel()

    trio.run(main)


async def _listen(address: Address) -> list[trio.SocketListener]:
    return await open_listeners(host=address.host, port=address.port)


def records(store: MetadataStore, suspects: CrashSuspects) -> CrashRecords:
    return CrashRecords(
        store=store,
        suspects=suspects,
        now=trio.current_time,
        unix_now=time.time,
        rng=random.Random(1),
        learnt=lambda: None,
    )


async def record(kept: CrashRecords, suspects: CrashSuspects, fingerprint: str) -> None:
    """Have two ends under a request noted, and written to the record."""
    for process in ("p1", "p2"):
        suspects.record_crash(fingerprint, process, Crash(at=trio.current_time(), weight=1.0))
    await kept._until_done(kept._write)


def test_a_revision_that_is_given_out_again_overwrites_nothing_unread() -> None:
    """Two VMs write the record; both their writes get the same revision, in two eras.

    The first one's condition then holds by its number alone, and its next write took the
    other's word away.
    """

    async def story(store: FakeMetadataStore, one: MetadataStore, two: MetadataStore) -> None:
        store.put("elsewhere/0", b"")
        copy = store.copy()
        first, second = CrashSuspects(), CrashSuspects()
        of_first, of_second = records(one, first), records(two, second)
        await record(of_first, first, "request-a")
        store.restore(copy)
        await record(of_second, second, "request-b")
        await record(of_first, first, "request-c")
        read = await one.get(RECORD_KEY)
        stored = read.entry.value if read.entry is not None else b""
        assert all(f"request-{name}".encode() in stored for name in "abc")

    with_clients(story)


def test_a_lease_that_is_given_out_again_is_not_kept_by_its_former_owner() -> None:
    """A VM renews a lease of the lost seconds, whose id another VM has by now.

    It took itself for registered, and its entry was gone.
    """

    async def story(store: FakeMetadataStore, one: MetadataStore, two: MetadataStore) -> None:
        copy = store.copy()
        lost = await one.grant_lease(10.0)
        store.restore(copy)
        other = await two.grant_lease(10.0)
        assert other.id == lost.id
        assert isinstance(await one.keep_alive(lost), Lapsed)
        assert not isinstance(await two.keep_alive(other), Lapsed)

    with_clients(story)


def test_a_lease_that_is_given_out_again_is_not_ended_by_its_former_owner() -> None:
    """A VM leaves and ends the lease that it had, whose id another VM has by now."""

    async def story(store: FakeMetadataStore, one: MetadataStore, two: MetadataStore) -> None:
        copy = store.copy()
        lost = await one.grant_lease(10.0)
        store.restore(copy)
        other = await two.grant_lease(10.0)
        await one.get("anything")
        await one.revoke(lost)
        assert not isinstance(await two.keep_alive(other), Lapsed)

    with_clients(story)


def test_a_list_read_in_pages_across_a_restore_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One page is of before, the next of after: together they are a list that never was."""

    async def story(store: FakeMetadataStore, one: MetadataStore, _: MetadataStore) -> None:
        store.page = 2
        for name in ("a", "b", "d"):
            store.put(f"servers/{name}", b"")
        copy = store.copy()
        store.delete("servers/a")
        store.put("servers/c", b"")
        respond, pages = store._read_range, iter(range(10))

        async def restore_after_first(exchange: object) -> None:
            await respond(exchange)  # type: ignore[arg-type]
            if next(pages) == 0:
                store.restore(copy)

        monkeypatch.setattr(store, "_read_range", restore_after_first)
        read = await one.get_prefix("servers/")
        assert [entry.key for entry in read.entries] == ["servers/a", "servers/b", "servers/d"]

    with_clients(story)
