"""Streams of several ranks: engines are told them, and queues and copies are used by them."""

from __future__ import annotations

import trio

from lagoonlever.platform.headers import (
    PRIORITY,
)
from lagoonlever.tests.gateway_site import (
    GatewaySite,
    configuration,
    run_site,
    running_engine,
    until,
)


async def configure_ranks(site: GatewaySite) -> None:
    """Add a second route to the engines, of another rank."""
    document = configuration(version=2)
    stream = document["Routes"][0]
    document["Routes"].append({**stream, "Name": "other", "Prefix": "/other/", "Priority": 3})
    site.configure(document)
    await until(lambda: all(vm.daemon.parts.beliefs.version == 2 for vm in site.vms.values()))


def test_engines_are_told_ranks_where_routes_of_their_service_differ() -> None:
    """Guards against an urgent stream that its engine takes for one like all others."""

    async def story(site: GatewaySite) -> None:
        await configure_ranks(site)
        got = await site.stream("p1", events=10)
        assert got.whole
        sent = next(e for e in site.engines.values() if e.seen).seen[0]
        assert sent.get(PRIORITY) == "5"

    run_site(story)


async def wait_at_a_full_engine(site: GatewaySite) -> None:
    """Ask for a stream whose engine reports, once it has it, that its queue waits for memory."""
    for engine in site.engines.values():
        engine.prefill_tokens_per_s = 250.0

    async def fill() -> None:
        await until(lambda: any(engine.runs for engine in site.engines.values()))
        engine = site.engines[running_engine(site)]
        engine.waiting, engine.first_waiting, engine.memory_used = 1, 5_200, 54_000

    site.nursery.start_soon(fill)
    got = await site.stream("p1", events=5, prompt_tokens=500)
    assert got.whole and got.is_events("p1", 1, 5)


def test_a_prompt_leaves_an_engine_without_memory_for_its_queue() -> None:
    """Guards against a prompt that waits for the end of a run while other engines have room."""

    async def story(site: GatewaySite) -> None:
        await configure_ranks(site)
        await wait_at_a_full_engine(site)
        assert sum(len(engine.seen) for engine in site.engines.values()) == 2

    run_site(story)


def test_a_prompt_stays_in_the_queue_where_routes_have_one_rank() -> None:
    """Guards against a change for services whose work is all alike."""

    async def story(site: GatewaySite) -> None:
        await wait_at_a_full_engine(site)
        assert sum(len(engine.seen) for engine in site.engines.values()) == 1

    run_site(story)


async def preempt_in_the_middle(site: GatewaySite) -> float:
    """Ask for a stream whose engine puts it back into its queue after five events."""

    def preempt(count: int) -> None:
        if count == 5:
            engine = site.engines[running_engine(site)]
            engine.frozen_runs.set()
            engine.waiting = 1
            for run in engine.runs.values():
                run.flowing = False

    started = trio.current_time()
    got = await site.stream("p1", events=30, on_event=preempt, Deadline_Ms="2500")
    assert got.is_events("p1", 1, 30) == got.whole
    return trio.current_time() - started if got.whole else float("inf")


def test_a_preempted_stream_goes_on_from_its_copy() -> None:
    """Guards against a stream that pauses for seconds in a queue while its copy is elsewhere."""

    async def story(site: GatewaySite) -> None:
        await configure_ranks(site)
        assert await preempt_in_the_middle(site) < 1.5

    run_site(story)


def test_a_preempted_stream_waits_where_routes_have_one_rank() -> None:
    """Guards against a change for services whose work is all alike."""

    async def story(site: GatewaySite) -> None:
        assert await preempt_in_the_middle(site) == float("inf")

    run_site(story)
