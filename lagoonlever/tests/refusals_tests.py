"""What proves that a request has not run: whose refusal it is, and what else its target sent."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable

import pytest

from lagoonlever.fakes.platform_engine import event_bytes
from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.fakes.raw_answers import raw_answer
from lagoonlever.fakes.scripted_answers import ScriptedAnswer
from lagoonlever.gateway.metrics import CONNECTIONS
from lagoonlever.platform.headers import REFUSED
from lagoonlever.tests.gateway_calls_tests import UNPROVEN, runs
from lagoonlever.tests.gateway_site import GatewaySite, run_site
from lagoonlever.tests.handed_over_tests import cut
from lagoonlever.tests.late_copies_tests import NOT_RUN, configured, with_attempts

WAYS = ("own", "peer")
"""By the VM's own path, and by way of another VM."""
MANY = 20
"""Refusals; a stream that was refused is tried again."""
NAMELESS = ((REFUSED, "1"),)
BUSY = "503 Busy"


def play(
    story: Callable[[GatewaySite], Awaitable[None]], *, way: str = "own", runners: int = 1
) -> None:
    """Play a story at a VM that reaches its runners by a way."""

    async def on_way(site: GatewaySite) -> None:
        if way == "peer":
            await cut(site)
        await story(site)

    cuttable = way == "peer"
    run_site(on_way, engines=0, runners=runners, vms=2 if cuttable else 1, cuttable=cuttable)


def script(site: GatewaySite, *answers: ScriptedAnswer) -> None:
    """Have each runner send these answers, in turn."""
    for runner in site.runners.values():
        runner.scripted.next_ones.extend(answers)


async def bid(site: GatewaySite, request_id: str) -> int:
    """Place a bid and return the status of its answer."""
    answer = await site.call("/bid/1", body=b"bid", headers=site.headers(request_id))
    if answer.status == 200:
        assert answer.body == b"answer to " + request_id.encode()
    return answer.status


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("attempts", [1, 2])
def test_a_bid_that_runs_is_not_called_unrun_by_a_nameless_copy_of_an_old_refusal(
    way: str, attempts: int
) -> None:
    """It was called unrun, or ran at a second runner as well."""

    async def story(site: GatewaySite) -> None:
        await configured(site, with_attempts("bid", attempts))
        for runner in site.runners.values():
            runner.names_refused = False
            runner.conducts.append(Conduct.REFUSE_TWICE)
        numbers = itertools.count()
        while any(runner.conducts for runner in site.runners.values()):
            assert await bid(site, f"first-{next(numbers)}") in (200, 503)
        for number in range(len(site.runners) + 1):
            status = await bid(site, f"later-{number}")
            assert runs(site)[f"later-{number}"] == 1
            assert status not in NOT_RUN

    play(story, way=way, runners=attempts)


@pytest.mark.parametrize("resumable", [True, False])
def test_a_stream_that_runs_is_not_called_unrun_by_a_nameless_refusal_of_another_one(
    resumable: bool,
) -> None:
    """A stream that may not run twice was sent again while its engine wrote the answer."""

    async def story(site: GatewaySite) -> None:
        await configured(site, with_attempts("stream", 1, ResumeStreams=resumable))
        engine = site.engines["engine-0"]
        whole = ScriptedAnswer(body=event_bytes("first", 1), late=raw_answer(NAMELESS, status=BUSY))
        engine.scripted.next_ones.append(whole)
        assert (await site.stream("first", events=1)).whole
        second = await site.stream("second", events=5)
        assert engine.read_tokens["second"] > 0
        assert second.status not in NOT_RUN
        assert len(engine.arrived_at) == 2

    run_site(story, engines=1, runners=0, vms=1)


@pytest.mark.parametrize("way", WAYS)
def test_a_refusal_that_names_no_request_is_believed_on_a_connection_of_its_own(way: str) -> None:
    """Guards against a bid that was turned away and whose caller may not send it again."""

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].names_refused = False
        site.runners["runner-0"].conducts.append(Conduct.REFUSE)
        assert await bid(site, "first") == 503
        assert runs(site)["first"] == 0

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("kind", ["bid", "stream"])
def test_requests_that_a_target_refuses_without_their_names_are_called_unrun(
    kind: str, way: str
) -> None:
    """Each was lost on a kept connection, where only a named refusal proves anything."""

    async def story(site: GatewaySite) -> None:
        target = site.runners["runner-0"] if kind == "bid" else site.engines["engine-0"]
        await configured(site, with_attempts("stream", 1, ResumeStreams=False))

        async def ask(part: str, *, refused: int) -> int:
            named = ScriptedAnswer(runs=False, status=503, named=False, fields=NAMELESS)
            target.scripted.next_ones.extend([named] * refused)
            if kind == "bid":
                return await bid(site, part)
            return (await site.stream(part, events=1)).status

        assert await ask("served", refused=0) == 200
        assert await ask("first", refused=1) in UNPROVEN
        for number in range(3):
            assert await ask(f"later-{number}", refused=MANY) == 503
            target.scripted.next_ones.clear()
            assert await ask(f"between-{number}", refused=0) == 200

    if kind == "bid":
        play(story, way=way)
    else:
        run_site(story, engines=1, runners=0, vms=1)


def test_connections_are_kept_again_once_a_target_names_what_it_refuses() -> None:
    """Guards against a new connection for each request, for good, after one odd refusal."""

    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        tally = site.vms["vm-0"].daemon.parts.reporter.tally
        for names in (False, True):
            runner.names_refused = names
            runner.conducts.append(Conduct.REFUSE)
            assert await bid(site, f"refused-{names}") == 503
            kept = tally.count(CONNECTIONS, "kept")
            for number in range(3):
                assert await bid(site, f"served-{names}-{number}") == 200
            assert tally.count(CONNECTIONS, "kept") - kept == (3 if names else 0)

    play(story)


@pytest.mark.parametrize("way", WAYS)
def test_a_refusal_of_its_own_is_believed_on_a_connection_that_was_used_before(way: str) -> None:
    """Guards against bids that were turned away in a burst and whose callers may not come back."""

    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        assert await bid(site, "first") == 200
        runner.conducts.extend([Conduct.REFUSE_TWICE] * 4)
        for number in range(4):
            assert await bid(site, f"later-{number}") == 503
            assert runs(site)[f"later-{number}"] == 0
        assert await bid(site, "last") == 200
        assert runs(site)["last"] == 1

    play(story, way=way)
