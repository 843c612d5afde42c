"""Streams whose end is that of their connection: whole, or their engine has ended."""

from __future__ import annotations

from collections import deque

import pytest
import trio

from lagoonlever.decisions.streams.answer_ends import AnswerEnd, judge_end
from lagoonlever.fakes.platform_engine import EngineConduct
from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site, until
from lagoonlever.tests.handed_over_tests import cut
from lagoonlever.tests.late_copies_tests import configured, with_attempts
from lagoonlever.tests.refusals_tests import WAYS

EVENTS = 10
ENDS = (EngineConduct.NO_LENGTH_END, EngineConduct.NO_LENGTH_HEAD_END)


@pytest.mark.parametrize(
    ("answers", "is_same", "events", "end"),
    [
        (True, True, None, AnswerEnd.WHOLE),
        (True, True, 7, AnswerEnd.WHOLE),
        (True, True, 8, AnswerEnd.CUT),
        (True, False, None, AnswerEnd.ENGINE_GONE),
        (False, True, None, AnswerEnd.ENGINE_GONE),
    ],
)
def test_an_end_is_believed_of_a_process_that_lives_and_made_no_more_events(
    answers: bool, is_same: bool, events: int | None, end: AnswerEnd
) -> None:
    judged = judge_end(answers=answers, is_same=is_same, events_made=events, position=7)
    assert judged is end


def _conduct_all(site: GatewaySite, *conducts: EngineConduct) -> None:
    for engine in site.engines.values():
        engine.conducts.extend(conducts)


def _runs(site: GatewaySite) -> int:
    return sum(len(engine.seen) for engine in site.engines.values())


@pytest.mark.parametrize("way", WAYS)
def test_a_stream_whose_engine_ends_between_two_events_is_not_told_as_whole(way: str) -> None:
    """Its caller got three of ten events, framed as a whole answer."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        if way == "peer":
            await cut(site)
        await configured(site, with_attempts("stream", 1, ResumeStreams=False))
        _conduct_all(site, EngineConduct.NO_LENGTH_END)
        stream = await site.stream("p-1", events=EVENTS)
        assert stream.is_events("p-1", 1, 3)
        assert not stream.whole

    run_site(story, engines=1, runners=0, vms=2, cuttable=way == "peer")


@pytest.mark.parametrize("second", ENDS)
def test_a_stream_goes_on_after_each_engine_that_ends_between_two_events(
    second: EngineConduct,
) -> None:
    """The second engine ends under the same stream, behind its head or after some events."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        turns = deque((EngineConduct.NO_LENGTH_END, second, EngineConduct.NO_LENGTH))
        for engine in site.engines.values():
            engine.conducts = turns
        stream = await site.stream("p-1", events=EVENTS)
        assert stream.whole
        assert stream.is_events("p-1", 1, EVENTS)
        assert not turns

    run_site(story, engines=4, runners=0, vms=1)


async def _leave(site: GatewaySite, name: str, *, listed: bool) -> None:
    """Have an engine leave by its entry, or by having none any more."""
    engine, targets = site.engines[name], site.vms["vm-0"].daemon.parts.beliefs.targets
    if listed:
        site.list_target(name, service="engines", state="draining", started_ms=engine.started_ms)
        await until(lambda: targets.is_leaving(name))
        return
    site.unlist_target(name)
    await until(lambda: targets.find(name) is None)


@pytest.mark.parametrize("listed", [True, False])
@pytest.mark.parametrize("resumes", [True, False])
def test_a_stream_whose_engine_leaves_between_two_events_is_not_told_as_whole(
    resumes: bool, listed: bool
) -> None:
    """An engine that leaves exits some seconds later, also under streams that go on.

    Its caller got three of ten events, framed as a whole answer.
    """

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await configured(site, with_attempts("stream", 5, ResumeStreams=resumes))
        turns = deque((EngineConduct.NO_LENGTH_END,))
        for engine in site.engines.values():
            engine.conducts = turns
            engine.prefill_tokens_per_s = 200.0
        answers: list[Stream] = []

        async def ask() -> None:
            answers.append(await site.stream("p-1", events=EVENTS))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await until(lambda: _runs(site))
            leaving = next(name for name, engine in site.engines.items() if engine.seen)
            await _leave(site, leaving, listed=listed)
        (stream,) = answers
        assert stream.is_events("p-1", 1, EVENTS if resumes else 3)
        assert stream.whole is resumes

    run_site(story, engines=3, runners=0, vms=1)


def test_a_stream_whose_engine_lives_on_is_whole_after_one_run() -> None:
    """Guards against a second reading of a prompt whose answer was whole."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        _conduct_all(site, EngineConduct.NO_LENGTH)
        stream = await site.stream("p-1", events=EVENTS)
        assert stream.whole
        assert stream.is_events("p-1", 1, EVENTS)
        assert _runs(site) == 1

    run_site(story, engines=2, runners=0, vms=2)
