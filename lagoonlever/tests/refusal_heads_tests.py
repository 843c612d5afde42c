"""Refusals that are broken, late, misplaced or contradict themselves, and what is made of them."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import attrs
import logbook
import pytest
import trio

from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.fakes.platform_engine import FakeEngine, event_bytes
from lagoonlever.fakes.raw_answers import raw_answer, raw_head
from lagoonlever.fakes.scripted_answers import ScriptedAnswer
from lagoonlever.gateway.target_client import DRAIN_S, MAX_SKIPPED
from lagoonlever.platform.headers import REFUSED, REQUEST_ID, SEAL
from lagoonlever.tests.gateway_calls_tests import UNPROVEN, runs
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until
from lagoonlever.tests.late_copies_tests import NOT_RUN, configured, with_attempts
from lagoonlever.tests.refusals_tests import WAYS, bid, play, script

WORK_S = 0.2
BUSY = "503 Busy"
OWN = (REQUEST_ID, "{id}")
OTHER = (REQUEST_ID, "somebody-else")
SAYS_UNRUN = (REFUSED, "1")
REFUSAL = raw_answer((OWN, SAYS_UNRUN), status=BUSY)
REFUSAL_OF_ANOTHER = raw_answer((OTHER, SAYS_UNRUN), status=BUSY)
SERVED = raw_answer((OWN, (SEAL, "seal-{id}")), status="200 OK", body=b"answer to it")
WRONG_PROCESS = ("Instance-Id", "another-process")
REFUSE = ScriptedAnswer(runs=False, status=503, fields=(SAYS_UNRUN,))


async def judge(site: GatewaySite, request_id: str) -> int:
    """Place a bid that may have run; return the status of its answer if that tells the truth."""
    status = await bid(site, request_id)
    assert runs(site)[request_id] <= 1
    assert status not in NOT_RUN or runs(site)[request_id] == 0
    return status


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", [200, 500, 502, 504])
def test_a_bid_that_ran_is_not_called_unrun_by_an_answer_that_says_both(
    status: int, way: str
) -> None:
    """A runner's status says that it ran a bid, and a field beside it says that it did not."""

    async def story(site: GatewaySite) -> None:
        fields = (SAYS_UNRUN, (SEAL, "seal"))
        script(site, ScriptedAnswer(status=status, fields=fields, body=b"answer to first"))
        assert await judge(site, "first") == status

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
def test_a_refusal_is_believed_with_each_status_that_targets_refuse_with(
    status: int, way: str
) -> None:
    """Guards against a bid that was turned away and whose caller may not send it again."""

    async def story(site: GatewaySite) -> None:
        script(site, attrs.evolve(REFUSE, status=status))
        assert await judge(site, "first") == 503

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_bid_that_ran_is_not_called_unrun_by_its_runner_s_status_alone(
    status: int, way: str
) -> None:
    """A runner ran a bid and failed with a status that promises callers the opposite."""

    async def story(site: GatewaySite) -> None:
        script(site, ScriptedAnswer(status=status))
        assert await judge(site, "first") in UNPROVEN

    play(story, way=way)


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_stream_that_ran_is_not_called_unrun_by_its_engine_s_status_alone(status: int) -> None:
    """An engine began a stream that may not run twice, and failed with such a status."""

    async def story(site: GatewaySite) -> None:
        await configured(site, with_attempts("stream", 2, ResumeStreams=False))
        engine = site.engines["engine-0"]
        engine.scripted.next_ones.append(ScriptedAnswer(status=status))
        assert (await site.stream("first", events=5)).status in UNPROVEN
        assert len(engine.arrived_at) == 1

    run_site(story, engines=1, runners=0, vms=1)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", [421, 503])
def test_a_bid_that_ran_is_not_called_unrun_by_the_refusal_of_another_one(
    status: int, way: str
) -> None:
    """The first answer on a new connection names a request that never came on it."""

    async def story(site: GatewaySite) -> None:
        fields = (OTHER, SAYS_UNRUN)
        script(site, ScriptedAnswer(status=status, named=False, fields=fields))
        assert await judge(site, "first") in UNPROVEN

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
def test_a_bid_at_an_address_that_another_process_has_is_called_unrun(way: str) -> None:
    """Guards against a bid that is lost although the process there has not run it."""

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].target_id = "another-process"
        assert await judge(site, "first") == 503
        assert runs(site)["first"] == 0

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
def test_a_bid_that_runs_is_not_called_unrun_by_a_nameless_word_of_another_process(
    way: str,
) -> None:
    """An old answer of a process that had the address before comes where the bid's is due."""

    async def story(site: GatewaySite) -> None:
        late = raw_answer((WRONG_PROCESS,), status="421 Misdirected")
        script(site, ScriptedAnswer(body=b"answer to first", late=late))
        assert await judge(site, "first") == 200
        assert await judge(site, "second") in UNPROVEN
        assert runs(site)["second"] == 1
        assert await judge(site, "third") == 200

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize(
    "broken",
    [
        raw_head((OWN, SAYS_UNRUN, ("Content-Length", "10")), status=BUSY) + b"half",
        raw_head((OWN, SAYS_UNRUN, ("Transfer-Encoding", "chunked")), status=BUSY) + b"zz\r\n",
        raw_head((OWN, SAYS_UNRUN), status=BUSY) + b"ends with its connection",
    ],
    ids=["cut", "no-chunk", "no-length"],
)
def test_a_refusal_whose_body_breaks_is_believed_and_its_connection_is_not_used_again(
    broken: bytes, way: str
) -> None:
    """The next bid would have been told what was left of the body."""

    async def story(site: GatewaySite) -> None:
        script(site, ScriptedAnswer(runs=False, status=None, before=broken))
        assert await judge(site, "first") == 503
        assert await judge(site, "second") == 200

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
def test_a_refusal_whose_body_comes_late_is_believed_and_its_connection_is_not_used_again(
    way: str,
) -> None:
    """The next bid would have read the body and a copy where its own answer is due."""

    async def story(site: GatewaySite) -> None:
        late_body = attrs.evolve(
            REFUSE, body=REFUSAL, body_after_s=4 * DRAIN_S, late=REFUSAL, fields=(SAYS_UNRUN,)
        )
        script(site, late_body)
        assert await judge(site, "first") == 503
        for number in range(4):
            assert await judge(site, f"later-{number}") == 200
            await trio.sleep(2 * DRAIN_S)

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
def test_a_refusal_whose_head_is_cut_proves_nothing(way: str) -> None:
    """A runner ran a bid, and its process ended in the middle of an answer."""

    async def story(site: GatewaySite) -> None:
        half = raw_head((OWN, SAYS_UNRUN), status=BUSY)[:-2]
        script(site, ScriptedAnswer(status=None, before=half))
        assert await judge(site, "first") in UNPROVEN

    play(story, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("interim", ["100 Continue", "102 Processing", "103 Early Hints"])
def test_an_interim_answer_changes_nothing_of_what_the_final_one_proves(
    interim: str, way: str
) -> None:
    """A bid is told by its final answer, also where the interim one bears another's id."""

    async def story(site: GatewaySite) -> None:
        before = raw_head((OTHER, SAYS_UNRUN), status=interim)
        script(
            site,
            attrs.evolve(REFUSE, before=before),
            ScriptedAnswer(body=b"answer to second", before=before),
            ScriptedAnswer(status=None, before=before),
        )
        assert await judge(site, "first") == 503
        assert await judge(site, "second") == 200
        assert await judge(site, "third") in UNPROVEN

    play(story, way=way)


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


def play_stream(answer: ScriptedAnswer, story: Callable[[FakeEngine, int], None]) -> None:
    """Ask for a stream that may not run twice, and judge by the engine and the status."""

    async def ask(site: GatewaySite) -> None:
        await configured(site, with_attempts("stream", 2, ResumeStreams=False))
        engine = site.engines["engine-0"]
        engine.scripted.next_ones.append(answer)
        stream = await site.stream("first", events=1)
        story(engine, stream.status)

    run_site(ask, engines=1, runners=0, vms=1)


@pytest.mark.parametrize("status", [421, 503])
def test_a_stream_that_ran_is_not_called_unrun_by_the_refusal_of_another_one(status: int) -> None:
    """The first answer on a new connection names a request that never came on it."""

    def judge_it(engine: FakeEngine, told: int) -> None:
        assert told in UNPROVEN
        assert len(engine.arrived_at) == 1

    fields = (OTHER, SAYS_UNRUN)
    play_stream(ScriptedAnswer(status=status, named=False, fields=fields), judge_it)


@pytest.mark.parametrize("status", [200, 500, 504])
def test_a_stream_that_ran_is_not_sent_again_after_an_answer_that_says_both(status: int) -> None:
    """An engine's status says that it ran a stream, and a field beside it that it did not."""

    def judge_it(engine: FakeEngine, told: int) -> None:
        assert told == 200 if status == 200 else told in UNPROVEN
        assert len(engine.arrived_at) == 1

    fields = (SAYS_UNRUN, (SEAL, "seal"))
    body = event_bytes("first", 1)
    play_stream(ScriptedAnswer(status=status, fields=fields, body=body), judge_it)
