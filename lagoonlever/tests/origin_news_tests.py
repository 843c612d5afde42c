"""News of streams' first events: which engine wrote them, where other news were lost."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.gateway.peers import PeerExchange
from lagoonlever.peers.messages_gateway import RunChange
from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site, until
from lagoonlever.tests.stream_versions_tests import begin, start_versions, versions_of
from lagoonlever.tests.version_records_tests import list_again

SLOW_TOKENS_PER_S = 1.0
"""At this pace a prompt is not read before its engine ends."""


def lose_runs_at(site: GatewaySite, vm: str, engine: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have a VM miss the news of runs at an engine, as one whose buffers were full."""
    taker = site.vms[vm].daemon.parts.peers
    take = PeerExchange._take

    def take_others(peers: PeerExchange, change: RunChange, source: str) -> None:
        if peers is taker and getattr(change, "engine", None) == engine:
            return
        take(peers, change, source)

    monkeypatch.setattr(PeerExchange, "_take", take_others)


def test_a_first_event_is_not_taken_for_one_of_the_former_engine_of_its_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A VM hears of a run that comes to nothing, not of the next one, and of its first event."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=1)
        first = site.engines["v1-0"]
        first.prefill_tokens_per_s = SLOW_TOKENS_PER_S
        got: list[Stream] = []

        async def read() -> None:
            got.append(await begin(site, "p-1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await until(lambda: first.seen)
            await start_versions(site, v2=1)
            versions = site.vms["vm-1"].daemon.parts.beliefs.versions
            await until(lambda: versions.has_several("engines"))
            lose_runs_at(site, "vm-1", "v2-0", monkeypatch)
            list_again(site, "v1-0", state="draining")
            site.crash("v1-0")
        assert got[0].versions == {"v2"}
        site.crash("v2-0")
        await site.start_engine("v1-1", version="v1")
        await site.start_engine("v2-1", version="v2")
        second = await site.take_up(got[0], "p-1", vm="vm-1")
        assert len(versions_of(got[0], second)) == 1

    run_site(story, engines=0)
