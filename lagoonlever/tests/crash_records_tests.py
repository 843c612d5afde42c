"""What is kept of ends of targets in the platform's store, for VMs that heard nothing of them."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import pytest
import trio
import trio.testing

from lagoonlever.decisions.engines.crash_suspects import LEAVING_NEWS_S, CrashSuspects
from lagoonlever.decisions.engines.target_crashes import MAX_REPORT_DELAY_S, Crash
from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.gateway.crash_records import RECORD_KEY, CrashRecords
from lagoonlever.http.messages import Address
from lagoonlever.peers.bus import PeerBus
from lagoonlever.platform.store_wire import READ_KEY, TRANSACTION
from lagoonlever.revisions import Revision
from lagoonlever.store.port import NO_LEASE, KeyRead, KeyValue, Replaced
from lagoonlever.tests.deadly_requests import DEADLY, MOST_ENDED, TOLD_S, call, deadly, told
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until, until_within

WATCH_S = 8.0
"""Within this a VM meets a store that has come back, also where nothing changes there."""
MOST_WRITES = 20
"""Of one VM in a story without others; a record that is written more often is never done."""


@pytest.fixture
def lost(monkeypatch: pytest.MonkeyPatch) -> set[Address]:
    """Give the set of the VMs' addresses between which and all others messages are lost."""
    addresses: set[Address] = set()
    send = PeerBus.send

    def send_some(bus: PeerBus, to: Address, message: object, **more: Any) -> None:
        if (to in addresses) == (bus.address in addresses):
            send(bus, to, message, **more)

    def send_to_some(bus: PeerBus, to: Iterable[Address], message: object) -> None:
        for address in to:
            send_some(bus, address, message)

    monkeypatch.setattr(PeerBus, "send", send_some)
    monkeypatch.setattr(PeerBus, "send_to_all", send_to_some)
    return addresses


def test_a_request_that_is_served_while_its_ends_are_written_is_out_of_the_record() -> None:
    """Guards against an answer that is told between the write of ends and the store's answer."""

    async def story(site: GatewaySite) -> None:
        await deadly(site)
        await call(site, "bid")
        await told(site)
        site.store.slow_s = 0.5
        reads = site.store.calls[READ_KEY]
        await call(site, "bid")
        await until(lambda: site.store.calls[READ_KEY] > reads)
        writes = site.store.calls[TRANSACTION]
        await until(lambda: site.store.calls[TRANSACTION] > writes)
        site.deadly.clear()
        assert (await call(site, "bid", vm="vm-1")).status == 200
        await trio.sleep(1.0)
        site.store.slow_s = 0.0
        await until_within(TOLD_S, lambda: site.store.value(RECORD_KEY) in (None, b"{}"))
        assert not any(vm.daemon.parts.crashes._suspects.crashes for vm in site.vms.values())

    run_site(story, engines=0, runners=8)


def test_a_request_that_was_served_elsewhere_is_out_of_the_record() -> None:
    """Two runners crash under a lookup, it is served by another VM, and a third one crashes.

    That VM had never seen the record, so the two ends stayed there. The VM of the third end read
    them again, and everybody who looked that lot up was refused for ten minutes.
    """

    async def story(site: GatewaySite) -> None:
        await deadly(site)
        for _ in range(2):
            await call(site, "bid")
            await told(site)
        await until(lambda: site.store.keys(RECORD_KEY))
        site.deadly.clear()
        assert (await call(site, "bid", vm="vm-1")).status == 200
        await until(lambda: not site.vms["vm-0"].daemon.parts.crashes._suspects.crashes)
        await until_within(TOLD_S, lambda: site.store.value(RECORD_KEY) == b"{}")
        site.deadly.add(DEADLY)
        await call(site, "bid")
        site.deadly.clear()
        assert (await call(site, "bid", vm="vm-1")).status == 200

    run_site(story, engines=0, runners=8)


def test_a_record_of_an_older_copy_does_not_bring_back_what_an_answer_cleared() -> None:
    """Guards against a lookup barred by a third crash, as two are told again that it survived."""

    async def story(site: GatewaySite) -> None:
        await deadly(site)
        for _ in range(2):
            await call(site, "bid")
            await told(site)
        await until(lambda: site.store.keys(RECORD_KEY))
        before = site.store.copy()
        site.deadly.clear()
        assert (await call(site, "bid", vm="vm-1")).status == 200
        await until_within(TOLD_S, lambda: site.store.value(RECORD_KEY) == b"{}")
        await trio.sleep(2 * MAX_REPORT_DELAY_S)
        site.store.restore(before)
        await until_within(WATCH_S, lambda: site.store.value(RECORD_KEY) == b"{}")
        assert not any(vm.daemon.parts.crashes._suspects.crashes for vm in site.vms.values())
        site.deadly.add(DEADLY)
        await call(site, "bid")
        site.deadly.clear()
        assert (await call(site, "bid", vm="vm-1")).status == 200

    run_site(story, engines=0, runners=8)


def test_a_vm_that_hears_no_other_one_learns_from_the_record(lost: set[Address]) -> None:
    """A VM is cut off from the others, and both reach the store.

    Three engines end at the others. A caller comes to the VM that was told nothing.
    """

    async def story(site: GatewaySite) -> None:
        await deadly(site)
        await cut_off(site, "vm-2", lost)
        await site.stream(DEADLY)
        assert len(site.deaths) == MOST_ENDED
        reads = site.store.calls[READ_KEY]
        await until(lambda: site.store.calls[READ_KEY] > reads + 1)
        got = await site.stream(DEADLY, vm="vm-2")
        assert (got.status, len(site.deaths)) == (503, MOST_ENDED)

    run_site(story, engines=9, vms=3)


def test_a_vm_that_hears_only_a_few_others_learns_by_its_first_end(lost: set[Address]) -> None:
    """Two of four VMs are cut off from the two others; all reach the store.

    Three engines end at the two. The others hear each other, so they don't look for news: the
    question ends one engine more there, and not three.
    """

    async def story(site: GatewaySite) -> None:
        await deadly(site)
        lost.update(site.vms[name].settings.bus for name in ("vm-2", "vm-3"))
        tables = [vm.daemon.parts.beliefs.fellows for vm in site.vms.values()]
        await until(lambda: all(len(t.present(trio.current_time())) == 1 for t in tables))
        await site.stream(DEADLY)
        assert len(site.deaths) == MOST_ENDED
        await site.stream(DEADLY, vm="vm-2")
        assert len(site.deaths) == MOST_ENDED + 1
        got = await site.stream(DEADLY, vm="vm-3")
        assert (got.status, len(site.deaths)) == (503, MOST_ENDED + 1)

    run_site(story, engines=12, vms=4)


def test_a_vm_that_was_cut_off_is_told_once_it_is_heard_again(lost: set[Address]) -> None:
    """A VM's messages were lost while three engines ended, and the store was away, too."""

    async def story(site: GatewaySite) -> None:
        await deadly(site)
        await cut_off(site, "vm-2", lost)
        site.store.fault = StoreFault.REFUSING
        await site.stream(DEADLY)
        assert len(site.deaths) == MOST_ENDED
        lost.clear()
        await until(lambda: site.vms["vm-2"].daemon.parts.crashes._suspects.crashes)
        got = await site.stream(DEADLY, vm="vm-2")
        assert (got.status, len(site.deaths)) == (503, MOST_ENDED)

    run_site(story, engines=9, vms=3)


async def cut_off(site: GatewaySite, name: str, lost: set[Address]) -> None:
    """Cut a VM off from the others, and wait until it hears none of them."""
    vm = site.vms[name]
    lost.add(vm.settings.bus)
    await until(lambda: not vm.daemon.parts.beliefs.fellows.present(trio.current_time()))


def test_a_vm_that_starts_while_the_store_is_away_is_told_by_those_that_it_meets() -> None:
    """Three engines have ended, and the store is away when another VM starts."""

    async def story(site: GatewaySite) -> None:
        await deadly(site)
        await site.stream(DEADLY)
        site.store.fault = StoreFault.REFUSING
        newcomer = await site.start_vm("vm-2")
        await site.wait_ready(newcomer)
        await until(lambda: newcomer.daemon.parts.crashes._suspects.crashes)
        got = await site.stream(DEADLY, vm="vm-2")
        assert (got.status, len(site.deaths)) == (503, MOST_ENDED)

    run_site(story, engines=9)


@pytest.mark.parametrize("fault", [StoreFault.REFUSING, StoreFault.LOSING])
def test_what_the_store_did_not_take_is_written_once_it_is_back(fault: StoreFault) -> None:
    """Three engines end while the store is away, or loses its answers; then all VMs are lost."""

    async def story(site: GatewaySite) -> None:
        await deadly(site)
        site.store.fault = fault
        await site.stream(DEADLY)
        assert len(site.deaths) == MOST_ENDED
        site.store.fault = StoreFault.NONE
        await until(lambda: len(recorded(site)) == MOST_ENDED)
        for vm in site.vms.values():
            vm.kill()
        for name in tuple(site.vms):
            await site.wait_ready(await site.start_vm(name))
        got = await site.stream(DEADLY, vm="vm-1")
        assert (got.status, len(site.deaths)) == (503, MOST_ENDED)

    run_site(story, engines=9)


def recorded(site: GatewaySite) -> dict[str, object]:
    """Give the processes that the store has of the one request that is there."""
    for item in site.store._range(RECORD_KEY):
        for processes in json.loads(item.value).values():
            return dict(processes)
    return {}


def test_what_others_wrote_there_harms_nothing_and_is_written_over() -> None:
    async def story(site: GatewaySite) -> None:
        odd = [b'{"f": {"e": {"at": 1e308, "weight": -7}}}', b'{"f": {}}', b'{"f": {"e": {}}}']
        for value in (b"\xff", b"[1]", b'{"f": {"e": {"at": "x"}}}', b"{" * 3_000, *odd):
            site.store.put(RECORD_KEY, value)
            vm = await site.start_vm("vm-2")
            await site.wait_ready(vm)
            vm.kill()
            await trio.sleep(0.05)
        del site.vms["vm-2"]
        await deadly(site)
        await site.stream(DEADLY)
        assert len(site.deaths) == MOST_ENDED
        await until(lambda: len(recorded(site)) == MOST_ENDED)

    run_site(story, engines=9)


def test_a_crash_that_took_many_requests_costs_the_store_nothing() -> None:
    """A runner crashes with a dozen calls on it; all are served elsewhere or told at once."""

    async def story(site: GatewaySite) -> None:
        for runner in site.runners.values():
            runner.work_s = 0.2
        # Each VM registers by one write, half a second after its start.
        await until(lambda: site.store.calls[TRANSACTION] >= len(site.vms))
        before = site.store.calls[TRANSACTION]
        async with trio.open_nursery() as nursery:
            for number in range(12):
                path, vm = f"/look/{number}", f"vm-{number % 2}"
                nursery.start_soon(lambda path=path, vm=vm: site.call(path, vm=vm))
            await trio.sleep(0.1)
            site.crash("runner-0")
        assert site.store.calls[TRANSACTION] == before

    run_site(story, engines=0, runners=3)


@attrs.define(kw_only=True, eq=False)
class OneKeyStore:
    """A store without sockets that holds the record, and takes each write."""

    entry: KeyValue | None = None
    writes: int = 0

    @property
    def value(self) -> bytes:
        """Return what the record holds."""
        return self.entry.value if self.entry is not None else b""

    @property
    def _revision(self) -> Revision:
        return Revision(era=1, number=self.writes)

    async def get(self, key: str, *, stale_ok: bool = False) -> KeyRead:
        """Read the record."""
        await trio.lowlevel.checkpoint()
        return KeyRead(entry=self.entry, revision=self._revision)

    async def replace(
        self, key: str, *, former: KeyValue | None, value: bytes, lease: int = NO_LEASE
    ) -> Replaced:
        """Write the record, whatever it holds."""
        await trio.lowlevel.checkpoint()
        self.writes += 1
        assert self.writes < MOST_WRITES, "the record is written over and over"
        self.entry = KeyValue(key=key, value=value, revision=self._revision, created_revision=1)
        return Replaced(entry=self.entry)


Retell = Callable[[CrashSuspects], object]


def leave_withdrawn(suspects: CrashSuspects) -> None:
    """Call the leaving off, as the list of an older copy does."""
    suspects.set_leaving({})


def told_after_forgotten(suspects: CrashSuspects) -> None:
    """Report the end again once the leaving is forgotten."""
    suspects.set_leaving({})
    suspects.record_reported_crashes({"f1": {"a@1": Crash(at=100.0)}})


def told_from_earlier(suspects: CrashSuspects) -> None:
    """Report the end as a VM does that saw it earlier."""
    suspects.record_reported_crashes({"f1": {"a@1": Crash(at=99.9 - LEAVING_NEWS_S)}})


def write_after(retell: Retell) -> OneKeyStore:
    """Return the store after a retelling, the record of an older copy and its completion.

    The copy holds the ends of three engines, and the first of them left.
    """
    store, suspects = OneKeyStore(), CrashSuspects()

    async def play() -> None:
        records = CrashRecords(
            store=store,  # type: ignore[arg-type]  # nothing else of it is used
            suspects=suspects,
            now=lambda: 101.0,
            unix_now=lambda: 101.0,
            rng=random.Random(1),
            learnt=lambda: None,
        )
        for process in ("a@1", "b@1", "c@1"):
            suspects.record_crash("f1", process, Crash(at=100.0))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(records.run)
            records.read_again()
            await trio.testing.wait_all_tasks_blocked()
            copy = store.entry
            assert b"a@1" in store.value
            suspects.set_leaving({"a@1": 100.0})
            records.take_out_excused()
            await trio.testing.wait_all_tasks_blocked()
            retell(suspects)
            store.entry = copy
            records.read_again()
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()

    trio.run(play)
    return store


@pytest.mark.parametrize("retell", [leave_withdrawn, told_after_forgotten, told_from_earlier])
def test_the_record_is_done_though_an_end_that_counts_for_nothing_is_told_again(
    retell: Retell,
) -> None:
    """Guards against a VM that writes the record without a pause until it is started anew."""
    store = write_after(retell)
    assert b"a@1" not in store.value
    assert b"b@1" in store.value


def test_a_record_that_holds_what_would_be_written_is_not_written_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against writes without a pause where an end is to be left out and written at once."""
    monkeypatch.setattr(CrashSuspects, "is_excused", lambda *_: True)
    write_after(lambda suspects: None)
