"""Engines that start again or are replaced, and entries of the list that others wrote."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import trio

from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.gateway.settings import Bounds
from lagoonlever.tests.gateway_site import (
    GatewaySite,
    Stream,
    run_site,
    running_engine,
    until,
)
from lagoonlever.tests.version_records_tests import list_again


def test_an_engine_that_was_replaced_at_its_address_is_passed_over() -> None:
    """An engine has crashed and another process answers at its address with another id."""

    async def story(site: GatewaySite) -> None:
        site.engines["engine-0"].target_id = "engine-0-next"
        site.engines["engine-1"].target_id = "engine-1-next"
        got = await site.stream("p1", events=5)
        assert got.whole and got.is_events("p1", 1, 5)
        assert site.engines["engine-2"].read_tokens["p1"]

    run_site(story)


# Two seconds, as on the platform, leave 0.1 s between the question and the end of the
# proof, which a busy machine may take; the bound itself has tests without a clock.
LONG_REUSE = Bounds(grace_s=3.0, address_reuse_s=30.0)
REBORN = "engine-reborn"
AWAY_IS_KNOWN_S = 6.0
"""After so long each VM has found that the store is away."""


async def break_off(
    site: GatewaySite, then: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
) -> Stream:
    """Return a stream whose engine crashes in an outage of the store, and is back unlisted.

    ``then`` is called once the engine is back.
    """

    async def come_back() -> None:
        await trio.sleep(1.0)
        await site.start_in_place_of("engine-0", REBORN)
        await then()

    def crash(count: int) -> None:
        if count == 5:
            site.store.fault = StoreFault.SILENT
            site.crash("engine-0")
            site.nursery.start_soon(come_back)

    site.engines["engine-0"].event_s = 0.03
    return await site.stream("p1", events=30, on_event=crash)


def test_an_engine_that_comes_back_while_the_store_is_away_is_used() -> None:
    """Guards against an outage of the store that leaves new streams no engine.

    The only engine crashes in the middle of a stream, and its next process can't register. The
    process at the address tells its id, and as the former one gave a sign of life less than two
    seconds ago it can only be of the same service.
    """

    async def story(site: GatewaySite) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(break_off, site)
            await until(lambda: REBORN in site.engines)
            got = await site.stream("p2", events=30)
            assert got.whole and got.is_events("p2", 1, 30)
            assert sent_to(site, REBORN) == 1
            assert site.store.fault is StoreFault.SILENT
            nursery.cancel_scope.cancel()

    run_site(story, engines=1, vms=2, bounds=LONG_REUSE)


def test_a_stream_waits_out_an_outage_of_the_store_for_the_entry_of_the_next_process() -> None:
    """Guards against an answer that breaks off though an engine of its version is there."""

    async def story(site: GatewaySite) -> None:
        async def be_listed() -> None:
            await until(lambda: knows(site, REBORN))
            await trio.sleep(AWAY_IS_KNOWN_S)
            assert not sent_to(site, REBORN)
            site.store.fault = StoreFault.NONE
            list_again(site, REBORN, state="ready")

        got = await break_off(site, be_listed)
        assert site.store.fault is StoreFault.NONE, "it went on before any entry named the process"
        assert got.whole and got.is_events("p1", 1, 30)
        assert sent_to(site, REBORN) == 1

    run_site(story, engines=1, vms=2, bounds=LONG_REUSE)


def sent_to(site: GatewaySite, engine: str) -> int:
    """Return the number of requests that an engine got under its own id."""
    return sum(seen.get("Expect-Instance") == engine for seen in site.engines[engine].seen)


def knows(site: GatewaySite, engine: str) -> bool:
    """Check whether any VM has found an engine."""
    found = (vm.daemon.parts.beliefs.targets.find(engine) for vm in site.vms.values())
    return any(target is not None for target in found)


async def start_again(site: GatewaySite, name: str) -> None:
    """Crash an engine, and start another process under its id at its address."""
    site.crash(name)
    await trio.sleep(0.05)
    place = int(name.rpartition("-")[2])
    await site.start_engine(name, data_center=f"dc-{place % 3}")


def test_a_copy_at_an_engine_that_started_again_is_not_asked_for() -> None:
    """The engine with the copy of a run crashes and is back under its id at once.

    Later the run's own engine crashes. The copy is gone, so the stream goes on from one
    that was made since, and no engine refuses it for a copy that it doesn't have.
    """

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.event_s = 0.03

        async def harm() -> None:
            await until(lambda: any(engine.copies for engine in site.engines.values()))
            at = running_engine(site)
            holder = next(n for n, engine in site.engines.items() if engine.copies)
            former = site.engines[holder]
            await start_again(site, holder)
            site.engines[holder].event_s = 0.03
            await until(lambda: any(e.copies for e in site.engines.values() if e is not former))
            await trio.sleep(0.1)
            site.crash(at)

        site.nursery.start_soon(harm)
        got = await site.stream("p1", events=60, prompt_tokens=1000)
        assert got.whole and got.is_events("p1", 1, 60)
        refused = [e.refused for e in site.engines.values()]
        assert sum(refused) == 0

    run_site(story, engines=4)


def test_a_silent_engine_that_has_started_again_is_left_at_once() -> None:
    """An engine goes dark in the middle of a stream; its connections stay open and silent.

    Another process has its id and answers questions, with requests of its own that wait. The
    run could be one of those, by the report alone; the start tells that it is not.
    """

    async def story(site: GatewaySite) -> None:
        def go_dark(count: int) -> None:
            if count != 5:
                return
            name = running_engine(site)
            dark = site.engines[name]
            dark.frozen_runs.set()
            dark.waiting = 3
            dark.runs.clear()
            dark.started_ms = 1_800_000_000_000

        started = trio.current_time()
        got = await site.stream("p1", events=30, on_event=go_dark)
        assert got.whole and got.is_events("p1", 1, 30)
        assert trio.current_time() - started < 5.0

    run_site(story)


def test_entries_that_others_wrote_harm_no_target() -> None:
    """Somebody writes odd entries into the list, one of them over a good engine's.

    They name no target; the streams go to the engines that are left.
    """

    async def story(site: GatewaySite) -> None:
        address = str(site.addresses["engine-0"])
        for number, value in enumerate(
            (
                b"\xff\x00",
                b"{}",
                b'{"Service": 7}',
                json.dumps({"Service": "nobody's", "Address": address}).encode(),
            )
        ):
            site.store.put(f"servers/odd-{number}", value)
        site.store.put("servers/engine-2", b'{"Service": "engines", "State": "resting"}')
        targets = site.vms["vm-0"].daemon.parts.beliefs.targets
        await until(lambda: targets.find("engine-2") is None)
        assert sorted(t.id for t in targets.serving("engines")) == ["engine-0", "engine-1"]
        got = await site.stream("p1", events=5)
        assert got.whole and not site.engines["engine-2"].seen

    run_site(story)
