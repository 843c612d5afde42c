"""Refusals that are broken, late, misplaced or contradict themselves, and what is made of them."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest
import trio

from lagoonlever.fakes.platform_engine import FakeEngine, event_bytes
from lagoonlever.fakes.raw_answers import Endless, raw_answer, raw_head
from lagoonlever.fakes.scripted_answers import ScriptedAnswer
from lagoonlever.gateway.target_client import DRAIN_S
from lagoonlever.platform.headers import REFUSED, REQUEST_ID, SEAL
from lagoonlever.tests.gateway_calls_tests import UNPROVEN, runs
from lagoonlever.tests.gateway_site import GatewaySite, run_site
from lagoonlever.tests.handed_over_tests import cut
from lagoonlever.tests.late_copies_tests import NOT_RUN, configured, with_attempts
from lagoonlever.tests.refusals_tests import WAYS, bid, play, script

BUSY = "503 Busy"
OWN = (REQUEST_ID, "{id}")
OTHER = (REQUEST_ID, "somebody-else")
SAYS_UNRUN = (REFUSED, "1")
REFUSAL = raw_answer((OWN, SAYS_UNRUN), status=BUSY)
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


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_stream_that_ran_is_not_called_unrun_by_its_engine_s_status_alone(
    status: int, way: str
) -> None:
    """An engine began a stream that may not run twice, and failed with such a status."""

    def judge_it(engine: FakeEngine, told: int) -> None:
        assert told in UNPROVEN
        assert len(engine.arrived_at) == 1

    play_stream(ScriptedAnswer(status=status), judge_it, way=way)


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
def test_a_refusal_whose_body_has_no_end_is_believed_and_its_connection_is_not_used_again(
    way: str,
) -> None:
    """The next bid would have waited behind the body."""

    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        runner.endless = Endless.REFUSAL
        assert await judge(site, "first") == 503
        runner.endless = None
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


def play_stream(
    answer: ScriptedAnswer, story: Callable[[FakeEngine, int], None], *, way: str
) -> None:
    """Ask for a stream that may not run twice, and judge by the engine and the status."""

    async def ask(site: GatewaySite) -> None:
        if way == "peer":
            await cut(site)
        await configured(site, with_attempts("stream", 2, ResumeStreams=False))
        engine = site.engines["engine-0"]
        engine.scripted.next_ones.append(answer)
        stream = await site.stream("first", events=1)
        story(engine, stream.status)

    run_site(ask, engines=1, runners=0, vms=2 if way == "peer" else 1, cuttable=way == "peer")


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", [421, 503])
def test_a_stream_that_ran_is_not_called_unrun_by_the_refusal_of_another_one(
    status: int, way: str
) -> None:
    """The first answer on a new connection names a request that never came on it."""

    def judge_it(engine: FakeEngine, told: int) -> None:
        assert told in UNPROVEN
        assert len(engine.arrived_at) == 1

    fields = (OTHER, SAYS_UNRUN)
    play_stream(ScriptedAnswer(status=status, named=False, fields=fields), judge_it, way=way)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("status", [200, 500, 504])
def test_a_stream_that_ran_is_not_sent_again_after_an_answer_that_says_both(
    status: int, way: str
) -> None:
    """An engine's status says that it ran a stream, and a field beside it that it did not."""

    def judge_it(engine: FakeEngine, told: int) -> None:
        assert told == 200 if status == 200 else told in UNPROVEN
        assert len(engine.arrived_at) == 1

    fields = (SAYS_UNRUN, (SEAL, "seal"))
    body = event_bytes("first", 1)
    play_stream(ScriptedAnswer(status=status, fields=fields, body=body), judge_it, way=way)
