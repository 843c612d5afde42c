"""Gateways and the platform's store: what is in force, and what outages do to it."""

from __future__ import annotations

import contextlib

import attrs
import pytest
import trio

from lagoonlever.exceptions import PlatformError
from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.gateway.settings import StoreLimits
from lagoonlever.platform.store_wire import WATCH
from lagoonlever.tests.gateway_site import (
    KEY,
    ORGANISATION,
    GatewaySite,
    configuration,
    free_address,
    route,
    run_site,
    until,
    until_within,
)

NEW_KEY = "key-2"


def with_keys(version: int, *keys: str) -> dict:
    tenants = [{"Name": ORGANISATION, "ApiKeys": list(keys), "Priority": 1}]
    return configuration(version, Tenants=tenants)


async def status_of(
    site: GatewaySite, path: str = "/bid/1", key: str = KEY, vm: str = "vm-0"
) -> int:
    headers = site.headers(Authorization=f"Bearer {key}")
    return (await site.call(path, vm=vm, headers=headers)).status


def version_of(site: GatewaySite, vm: str) -> int:
    return site.vms[vm].daemon.parts.beliefs.version


async def start_cut_off(site: GatewaySite, name: str) -> None:
    """Start a gateway that never reaches the store, only the other gateways."""
    vm = await site.start_vm(name)
    vm.kill()
    dark = StoreLimits(address=free_address())
    vm.settings = attrs.evolve(vm.settings, store=dark)
    await site.wait_ready(await site.start_vm(name))


def test_a_new_version_is_in_force_at_every_vm() -> None:
    async def story(site: GatewaySite) -> None:
        more = [*configuration()["Routes"], route("new", "/new/", "non_idempotent", "apps")]
        site.configure(configuration(5, Routes=more))
        await until(lambda: all(version_of(site, vm) == 5 for vm in site.vms))
        for vm in site.vms:
            assert await status_of(site, "/new/1", vm=vm) == 200

    run_site(story, engines=0, vms=3)


def test_an_older_version_never_comes_back() -> None:
    """Two writes cross: the older version arrives after the newer one took its key away."""

    async def story(site: GatewaySite) -> None:
        site.configure(with_keys(7, NEW_KEY))
        await until(lambda: version_of(site, "vm-0") == 7)
        site.configure(with_keys(6, KEY))
        await trio.sleep(0.4)
        assert await status_of(site, key=KEY) == 401
        assert await status_of(site, key=NEW_KEY) == 200

    run_site(story, engines=0, vms=1)


def test_a_version_that_can_t_be_read_leaves_the_former_one_in_force() -> None:
    async def story(site: GatewaySite) -> None:
        site.configure({"Version": 9, "Routes": [{"Name": "half"}]})
        await trio.sleep(0.4)
        assert version_of(site, "vm-0") == 1
        assert await status_of(site) == 200

    run_site(story, engines=0, vms=1)


def test_a_vm_that_can_t_reach_the_store_learns_from_the_others() -> None:
    """The store turns one VM away and serves the others.

    A key is taken away, a route is added, a runner drains: the VM that is turned away
    follows within the time that all VMs have, told by its fellows.
    """

    async def story(site: GatewaySite) -> None:
        await start_cut_off(site, "vm-9")
        assert await status_of(site, vm="vm-9") == 200
        site.configure(with_keys(5, NEW_KEY))
        site.list_target("runner-0", service="apps", state="draining")
        registry = site.vms["vm-9"].daemon.parts.beliefs.targets
        await until_within(
            2.0,
            lambda: version_of(site, "vm-9") == 5 and not registry.takes_work("runner-0"),
        )
        assert await status_of(site, key=KEY, vm="vm-9") == 401

    run_site(story, engines=0, vms=2)


def test_a_start_while_the_store_is_away_serves_by_what_the_others_know() -> None:
    async def story(site: GatewaySite) -> None:
        site.store.fault = StoreFault.REFUSING
        vm = await site.start_vm("vm-5")
        with trio.fail_after(3.0):
            await site.wait_ready(vm)
        assert await status_of(site, vm="vm-5") == 200

    run_site(story, engines=0, vms=2)


def test_a_vm_alone_that_knows_no_configuration_says_so_truthfully() -> None:
    """The store is away and there is no other VM: nothing is known, and nothing runs."""

    async def story(site: GatewaySite) -> None:
        site.store.fault = StoreFault.REFUSING
        site.vms["vm-0"].kill()
        await site.start_vm("vm-0")
        with trio.fail_after(10.0):
            while True:
                try:
                    answer = await site.call("/bid/1")
                    break
                except Exception:
                    await trio.sleep(0.02)
        assert answer.status == 503
        assert float(answer.headers.get("Retry-After") or 0) > 0
        assert not any(runner.runs for runner in site.runners.values())

    run_site(story, engines=0, vms=1)


def test_service_goes_on_through_an_outage_and_catches_up_after_it() -> None:
    async def story(site: GatewaySite) -> None:
        site.store.fault = StoreFault.REFUSING
        await trio.sleep(0.5)
        assert await status_of(site) == 200
        site.configure(with_keys(4, NEW_KEY))
        site.store.fault = StoreFault.NONE
        with trio.fail_after(20.0):
            await until(lambda: version_of(site, "vm-0") == 4)

    run_site(story, engines=0, vms=1)


def test_a_store_that_forgets_its_history_is_read_anew() -> None:
    async def story(site: GatewaySite) -> None:
        site.store.fault = StoreFault.REFUSING
        await until(lambda: site.store.calls[WATCH] >= 2)
        site.configure(with_keys(3, NEW_KEY))
        site.unlist_target("runner-0")
        site.store.forget_history()
        site.store.fault = StoreFault.NONE
        with trio.fail_after(20.0):
            await until(lambda: version_of(site, "vm-0") == 3)

    run_site(story, engines=0, vms=1)


def test_an_entry_whose_answer_was_lost_is_written_again() -> None:
    """The store writes a VM's entry and its answer is lost: the VM must not stay unknown."""

    async def story(site: GatewaySite) -> None:
        site.store.fault = StoreFault.LOSING
        await site.start_vm("vm-4")
        await trio.sleep(0.5)
        site.store.fault = StoreFault.NONE
        with trio.fail_after(10.0):
            await until(lambda: any("vm-4" in key for key in site.store.keys("lagoonlever/")))

    run_site(story, engines=0, vms=1)


def list_extras(site: GatewaySite, count: int) -> None:
    """List targets of another service, which don't run."""
    for number in range(count):
        site.addresses[f"extra-{number}"] = free_address()
        site.list_target(f"extra-{number}", service="others")


def test_many_targets_are_read_page_by_page() -> None:
    """Guards against a VM alone that is ready before it has read every page."""

    async def story(site: GatewaySite) -> None:
        site.store.page = 3
        list_extras(site, 10)
        vm = await site.start_vm("vm-3")
        await site.wait_ready(vm)
        assert len(vm.daemon.parts.beliefs.targets.serving("others")) == 10

    run_site(story, engines=0, vms=0)


def test_a_vm_that_was_told_an_older_list_learns_the_rest_in_time() -> None:
    """Guards against a VM that starts as targets are listed, and misses them for good."""

    async def story(site: GatewaySite) -> None:
        site.store.page = 3
        list_extras(site, 10)
        vm = await site.start_vm("vm-3")
        await site.wait_ready(vm)
        serving = vm.daemon.parts.beliefs.targets.serving
        await until_within(2.0, lambda: len(serving("others")) == 10)

    run_site(story, engines=0, vms=1)


def test_a_change_after_a_silence_of_the_store_is_seen_in_time() -> None:
    """The store is silent for some seconds and loses the watches that wait.

    Their connections live, so nothing breaks. Operators then take a key away. Every VM
    went on with the old configuration until its watch timed out, 11 s after it began.
    Found by the soak.
    """

    async def story(site: GatewaySite) -> None:
        site.store.fault = StoreFault.SILENT
        site.configure(configuration(2))
        await trio.sleep(4.5)
        site.store.fault = StoreFault.NONE
        await until(lambda: not any(v.daemon.parts.store.is_away for v in site.vms.values()))
        site.configure(with_keys(5, NEW_KEY))
        await until_within(2.0, lambda: all(version_of(site, vm) == 5 for vm in site.vms))

    run_site(story, engines=0, runners=0, vms=3)


def test_a_failed_first_read_does_not_end_the_part_that_reads() -> None:
    """A VM starts while the store refuses it.

    Both reads fail. Their errors came out as a group that nothing expected, so the part
    ended with an error at each try, and a stop in that moment ended the daemon with it.
    """

    async def story(site: GatewaySite) -> None:
        site.store.fault = StoreFault.REFUSING
        vm = await site.start_vm("vm-9")
        while vm.daemon._parts is None:  # noqa: ASYNC110 - the daemon tells no event of it
            await trio.sleep(0.01)
        follower = vm.daemon.parts.follower
        with pytest.raises(PlatformError):
            await follower._read()
        for number in range(20):
            with trio.CancelScope() as scope:
                scope.cancel() if number % 2 else None
                with contextlib.suppress(PlatformError):
                    await follower._read()

    run_site(story, engines=0, runners=0, vms=1)
