"""Connections on which more comes than is due, or later: no request is told another's answer."""

from __future__ import annotations

import itertools

import attrs
import logbook
import pytest
import trio

from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.fakes.platform_engine import event_bytes
from lagoonlever.fakes.raw_answers import raw_answer
from lagoonlever.fakes.scripted_answers import ScriptedAnswer
from lagoonlever.gateway.target_client import MAX_SKIPPED
from lagoonlever.platform.headers import SEAL
from lagoonlever.tests.gateway_calls_tests import UNPROVEN, runs
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until
from lagoonlever.tests.late_copies_tests import NOT_RUN, configured, with_attempts
from lagoonlever.tests.refusal_heads_tests import (
    BUSY,
    OTHER,
    OWN,
    REFUSAL,
    REFUSE,
    SAYS_UNRUN,
    judge,
)
from lagoonlever.tests.refusals_tests import WAYS, bid, play, script

WORK_S = 0.2
REFUSAL_OF_ANOTHER = raw_answer((OTHER, SAYS_UNRUN), status=BUSY)
SERVED = raw_answer((OWN, (SEAL, "seal-{id}")), status="200 OK", body=b"answer to it")
CUT_HEADS = {
    "in-the-word": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1",
    "behind-the-word": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n",
    "in-a-field": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nServer-Load: 6,2",
    "in-the-name-of-a-field": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nServer",
    "in-the-id": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: some",
    "behind-the-id": b"HTTP/1.1 503 Busy\r\nRequest-Id: somebody-else\r\nNot-Executed: 1",
    "before-a-folded-line": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n ",
    "in-the-status": b"HTTP/1.1 421 Misdirected",
}
"""Refusals of another request that break off, so that the next answer begins within them."""


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("place", ["at-once", "between", "late"])
def test_a_bid_that_was_served_is_not_called_unrun_by_a_refusal_of_it_that_follows(
    place: str, way: str
) -> None:
    """A runner serves a bid and refuses it as well; the next bid is told what became of itself."""

    async def story(site: GatewaySite) -> None:
        served = ScriptedAnswer(body=b"answer to first")
        if place == "at-once":
            served = ScriptedAnswer(before=SERVED, status=503, fields=(SAYS_UNRUN,))
        elif place == "between":
            served = attrs.evolve(served, after=REFUSAL)
        else:
            served = attrs.evolve(served, late=REFUSAL)
        script(site, served)
        answer = await site.call("/bid/1", body=b"bid", headers=site.headers("first"))
        assert answer.status == 200
        assert await judge(site, "second") == 200
        assert runs(site) == {"first": 1, "second": 1}

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("left", [b"x", b"\r\n", REFUSAL_OF_ANOTHER, REFUSAL_OF_ANOTHER[:20]])
@pytest.mark.parametrize("answer", ["served", "refused"])
def test_a_connection_with_bytes_left_on_it_is_not_used_again(
    answer: str, left: bytes, way: str
) -> None:
    """The next bid would have read them where its own answer is due."""

    async def story(site: GatewaySite) -> None:
        if answer == "served":
            script(site, ScriptedAnswer(body=b"answer to first", after=left))
        else:
            script(site, attrs.evolve(REFUSE, after=left))
        assert await judge(site, "first") == (200 if answer == "served" else 503)
        for number in range(3):
            assert await judge(site, f"later-{number}") == 200

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("cut_head", CUT_HEADS.values(), ids=CUT_HEADS)
def test_a_bid_that_runs_is_not_called_unrun_by_a_cut_refusal_that_its_answer_follows(
    cut_head: bytes, way: str
) -> None:
    """Two heads were read as one: the refusal's status with the id of the bid's own answer."""

    async def story(site: GatewaySite) -> None:
        script(site, ScriptedAnswer(body=b"answer to first", late=cut_head))
        assert await judge(site, "first") == 200
        await judge(site, "second")
        assert runs(site)["second"] == 1
        await judge(site, "third")

    play(story, way=way)


@pytest.mark.parametrize("cut_head", CUT_HEADS.values(), ids=CUT_HEADS)
def test_a_stream_that_runs_is_not_called_unrun_by_a_cut_refusal_that_its_answer_follows(
    cut_head: bytes,
) -> None:
    """A stream that may not run twice was sent again while its engine wrote the answer."""

    async def story(site: GatewaySite) -> None:
        await configured(site, with_attempts("stream", 1, ResumeStreams=False))
        engine = site.engines["engine-0"]
        engine.scripted.next_ones.append(
            ScriptedAnswer(body=event_bytes("first", 1), late=cut_head)
        )
        assert (await site.stream("first", events=1)).whole
        second = await site.stream("second", events=5)
        assert engine.read_tokens["second"] > 0
        assert second.status not in NOT_RUN
        assert len(engine.arrived_at) == 2

    run_site(story, engines=1, runners=0, vms=1)


@pytest.mark.parametrize("way", WAYS)
def test_a_bid_that_failed_is_not_called_served_by_a_cut_answer_that_its_own_follows(
    way: str,
) -> None:
    """Two heads were read as one: another answer's status with the seal of the bid's own one."""

    async def story(site: GatewaySite) -> None:
        cut_answer = b"HTTP/1.1 200 OK\r\nServer-Load: 6,2"
        script(
            site,
            ScriptedAnswer(body=b"answer to first", late=cut_answer),
            ScriptedAnswer(status=500, body=b"answer to second"),
        )
        assert await judge(site, "first") == 200
        assert await judge(site, "second") in (500, *UNPROVEN)
        assert runs(site)["second"] == 1

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("copies", range(1, MAX_SKIPPED + 3))
def test_a_bid_behind_copies_of_refusals_in_series_is_told_its_own_answer_or_that_none_is_known(
    copies: int, way: str
) -> None:
    """Each copy shifted the answers of all bids behind it on its connection."""

    async def story(site: GatewaySite) -> None:
        script(site, attrs.evolve(REFUSE, late=REFUSAL * copies))
        assert await judge(site, "first") == 503
        status = await judge(site, "second")
        assert runs(site)["second"] == 1
        assert status == 200 if copies <= MAX_SKIPPED else status in UNPROVEN
        assert await judge(site, "third") == 200

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
def test_refusals_each_of_which_is_copied_shift_no_answer(way: str) -> None:
    """One copy left each later bid with the answer to the bid before it, until one was served."""

    async def story(site: GatewaySite) -> None:
        script(site, *[attrs.evolve(REFUSE, late=REFUSAL)] * 6)
        for number in range(6):
            assert await judge(site, f"refused-{number}") == 503
        for number in range(3):
            assert await judge(site, f"served-{number}") == 200

    play(story, way=way)


def test_a_runner_that_refuses_a_bid_and_serves_it_all_the_same_stands_in_the_log() -> None:
    """By its own word it had not run the bid; nothing else shows that it lied."""

    async def story(site: GatewaySite) -> None:
        script(site, attrs.evolve(REFUSE, runs=True, late=SERVED))
        assert await bid(site, "first") == 503
        assert await bid(site, "second") == 200

    lines = logbook.TestHandler()
    with lines.applicationbound():
        play(story)
    told = [line.message for line in lines.records if "answer for first" in line.message]
    assert len(told) == 1
    assert "status 200, a refusal False" in told[0]


def test_a_bid_under_way_as_its_vm_s_own_path_comes_back_is_told_its_own_answer() -> None:
    """Its answer comes by way of another VM, while bids after it go by the VM's own path."""

    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        script(site, attrs.evolve(REFUSE, late=REFUSAL))
        assert await judge(site, "refused") == 503
        runner.work_s = 1.5
        statuses: list[int] = []

        async def under_way() -> None:
            statuses.append(await judge(site, "under-way"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(under_way)
            await until(lambda: runs(site)["under-way"])
            runner.work_s = 0.0
            assert site.paths is not None
            site.paths.set("vm-0", PathState.OPEN)
            paths = site.vms["vm-0"].daemon.parts.dialer.paths
            await until(lambda: not paths.cut_targets)
            assert not statuses
            for number in range(4):
                assert await judge(site, f"later-{number}") == 200
        assert statuses == [200]
        assert await judge(site, "last") == 200

    play(story, way="peer")


@pytest.mark.parametrize("way", WAYS)
def test_a_connection_on_which_an_answer_is_due_is_not_used_again(way: str) -> None:
    """A copy passed for the answer to a bid that its runner worked on, and shifted all others."""

    async def story(site: GatewaySite) -> None:
        script(site, attrs.evolve(REFUSE, late=REFUSAL))
        assert await judge(site, "first") == 503
        site.runners["runner-0"].work_s = WORK_S
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(judge_served, site, f"beside-{number}")
                await trio.sleep(WORK_S / 4)
        for number in range(2):
            await judge_served(site, f"behind-{number}")

    play(story, way=way)


async def judge_served(site: GatewaySite, request_id: str) -> None:
    """Place a bid that is served, and see that it runs once."""
    assert await judge(site, request_id) == 200
    assert runs(site)[request_id] == 1


@pytest.mark.parametrize("way", WAYS)
def test_a_bid_that_goes_on_after_a_refusal_runs_once(way: str) -> None:
    """A copy of its first runner's refusal came to a later bid, which then ran at both runners."""

    async def story(site: GatewaySite) -> None:
        await configured(site, with_attempts("bid", 2))
        script(site, *[attrs.evolve(REFUSE, late=REFUSAL)] * 2)
        numbers = itertools.count()
        while any(runner.scripted.next_ones for runner in site.runners.values()):
            assert await judge(site, f"some-{next(numbers)}") in (200, 503)
        for number in range(4):
            await judge_served(site, f"later-{number}")

    play(story, way=way, runners=2)
