"""Streams of a service whose routes differ in rank: they get their engines by the line."""

from __future__ import annotations

import pytest

from lagoonlever.gateway import metrics
from lagoonlever.gateway.stream_attempt import StreamAttempt
from lagoonlever.tests.gateway_site import (
    GatewaySite,
    configuration,
    route,
    run_site,
    until,
)


async def rank_routes(site: GatewaySite) -> None:
    """Add a route for urgent streams to the same engines."""
    ranked = configuration(2)
    urgent = route("urgent", "/urgent/", "streaming", "engines", Priority=0)
    ranked["Routes"].append(urgent)
    site.configure(ranked)
    await until(lambda: all(vm.daemon.parts.beliefs.version == 2 for vm in site.vms.values()))


def placed_by_line(site: GatewaySite) -> float:
    return sum(
        vm.daemon.parts.reporter.tally.count(metrics.LINE_OUTCOMES, "engines", "1", outcome)
        for vm in site.vms.values()
        for outcome in ("at-once", "begun")
    )


def test_a_stream_gets_its_engine_by_the_line_and_goes_on_from_its_copy_past_it() -> None:
    """Guards against a resume that waits behind fresh prompts, though nothing is to be read."""

    async def story(site: GatewaySite) -> None:
        def crash(count: int) -> None:
            if count == 5:
                site.crash(next(name for name, each in site.engines.items() if each.runs))

        await rank_routes(site)
        got = await site.stream("p1", events=30, prompt_tokens=1000, on_event=crash)
        assert got.whole and got.is_events("p1", 1, 30)
        assert placed_by_line(site) == 1

    run_site(story)


def test_streams_of_one_rank_know_no_line() -> None:
    """Guards against a line where nothing tells urgent from patient."""

    async def story(site: GatewaySite) -> None:
        got = await site.stream("p1", events=10)
        assert got.whole
        assert placed_by_line(site) == 0

    run_site(story)


@pytest.mark.parametrize("ranks", [True, False])
def test_a_place_given_by_the_line_is_not_left_for_a_better_one(
    ranks: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against prompts that leave an engine which the line kept free for them."""
    looks: list[str] = []

    async def note(attempt: StreamAttempt) -> None:
        looks.append(attempt._plan.engine.id)

    monkeypatch.setattr(StreamAttempt, "_look_again", note)

    async def story(site: GatewaySite) -> None:
        if ranks:
            await rank_routes(site)
        assert (await site.stream("p1", events=10)).whole
        assert len(looks) == (0 if ranks else 1)

    run_site(story)
