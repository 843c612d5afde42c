"""Targets in trouble that send bytes without end, until the gateway closes."""

from __future__ import annotations

import pytest
import trio
import trio.lowlevel

from lagoonlever.fakes.raw_answers import Endless
from lagoonlever.gateway.cache_locator import MAX_LIST_BYTES, CacheLocator
from lagoonlever.gateway.prober import EngineProber
from lagoonlever.gateway.run_copier import RunCopier
from lagoonlever.gateway.target_client import (
    HELD_MEMORY_PART,
    MAX_BODY_BYTES,
    SMALL_BODY_BYTES,
)
from lagoonlever.tests.gateway_calls_tests import UNPROVEN
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until

BUFFERS = 16 * 1024 * 1024
"""What the kernel may hold of one connection on both sides."""
MOST_TAKEN = MAX_BODY_BYTES + BUFFERS
"""Bytes of an answer to a call that leave a target before the gateway closes."""
MOST_OF_OWN_CALLS = MAX_LIST_BYTES + BUFFERS
AT_ONCE = 30
LITTLE = 300 * 1024 * 1024 // HELD_MEMORY_PART
"""What answers may hold at a VM of the usual memory."""
SOON_S = 2.0
"""Far below the five seconds that callers here wait."""


@pytest.mark.parametrize("kind", ["bid", "look"])
@pytest.mark.parametrize("endless", list(Endless))
def test_a_call_is_told_soon_that_its_answer_has_no_end(kind: str, endless: Endless) -> None:
    """Guards against a process that fills its memory and a caller that waits in vain."""

    async def story(site: GatewaySite) -> None:
        for runner in site.runners.values():
            runner.endless = endless
        began = trio.current_time()
        answer = await site.call(f"/{kind}/1")
        assert trio.current_time() - began < SOON_S
        if endless is Endless.REFUSAL:
            assert answer.status == 503
        else:
            assert answer.status in UNPROVEN
        taken = [n for runner in site.runners.values() for n in runner.endless_bytes]
        assert max(taken, default=0) <= MOST_TAKEN

    run_site(story, engines=0, vms=1)


@pytest.mark.parametrize("endless", [Endless.BODY, Endless.CHUNKS])
def test_many_answers_without_end_are_held_in_little_memory(endless: Endless) -> None:
    """A runner in trouble has many callers, each of whose answers alone would be bearable."""

    async def story(site: GatewaySite) -> None:
        for runner in site.runners.values():
            runner.endless = endless
        client = site.vms["vm-0"].daemon.parts.client
        statuses: list[int] = []
        most = 0

        async def watch() -> None:
            nonlocal most
            while len(statuses) < AT_ONCE:
                most = max(most, client.held_bytes)
                await trio.lowlevel.checkpoint()

        async def call(number: int) -> None:
            statuses.append((await site.call(f"/bid/{number}")).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            for number in range(AT_ONCE):
                nursery.start_soon(call, number)
        assert set(statuses) <= set(UNPROVEN)
        assert SMALL_BODY_BYTES < most <= LITTLE + AT_ONCE * SMALL_BODY_BYTES
        assert client.held_bytes == 0

    run_site(story, engines=0, vms=1)


@pytest.mark.parametrize("endless", list(Endless))
def test_a_stream_goes_on_at_another_engine_after_one_that_sends_without_end(
    endless: Endless,
) -> None:
    async def story(site: GatewaySite) -> None:
        bad = site.engines["engine-0"]
        bad.endless = endless
        for number in range(4):
            stream = await site.stream(f"p-{number}", events=5)
            assert stream.whole and stream.is_events(f"p-{number}", 1, 5)
        assert max(bad.endless_bytes, default=0) <= MOST_OF_OWN_CALLS

    run_site(story, engines=2, runners=0, vms=1)


@pytest.mark.parametrize("endless", list(Endless))
def test_an_engine_s_own_calls_end_though_its_answers_do_not(endless: Endless) -> None:
    """Reports, orders for copies and lists of kept prompts are read without a caller behind."""

    async def story(site: GatewaySite) -> None:
        bad = site.engines["engine-0"]
        bad.endless = endless
        target = site.vms["vm-0"].daemon.parts.beliefs.targets.find("engine-0")
        assert target is not None
        assert await EngineProber().ask(target) is None
        assert isinstance(await RunCopier().copy("r-1", source=target, to=target), str)
        assert await CacheLocator().find("part", [target]) is None
        await until(lambda: len(bad.endless_bytes) >= 3)
        assert max(bad.endless_bytes) <= MOST_OF_OWN_CALLS

    run_site(story, engines=1, runners=0, vms=1)
