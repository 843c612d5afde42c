"""Streams whose end is that of their connection: whole, or their engine has ended."""

from __future__ import annotations

from collections import deque

import pytest
import trio

from lagoonlever.decisions.streams.answer_ends import AnswerEnd, judge_end
from lagoonlever.fakes.platform_engine import EngineConduct
from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site
from lagoonlever.tests.handed_over_tests import cut
from lagoonlever.tests.late_copies_tests import configured, with_attempts
from lagoonlever.tests.leaving_engines_ends_tests import list_draining, unlist, until_known
from lagoonlever.tests.refusals_tests import WAYS

EVENTS = 10
SLOW_EVENT_S = 2.0
"""Between two events of a stream whose engine is listed as leaving meanwhile."""
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
    assert judge_end(answers=answers, is_same=is_same, events_made=events, position=7) is end


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


@pytest.mark.parametrize("is_unlisted", [False, True])
@pytest.mark.parametrize("resumes", [False, True])
def test_a_stream_whose_leaving_engine_ends_between_two_events_is_not_told_as_whole(
    resumes: bool, is_unlisted: bool
) -> None:
    """Its caller got three of ten events, framed as a whole answer, as the engine was to end."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await configured(site, with_attempts("stream", 5, ResumeStreams=resumes))
        engine = site.engines["engine-0"]
        engine.conducts.append(EngineConduct.NO_LENGTH_END)
        engine.event_s = SLOW_EVENT_S
        begun = trio.Event()
        got: list[Stream] = []

        async def ask() -> None:
            stream = await site.stream("p-1", events=EVENTS, on_event=lambda _: begun.set())
            got.append(stream)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await begun.wait()
            await site.start_engine("engine-1")
            list_draining(site, "engine-0")
            await until_known(site, ["engine-0"])
            if is_unlisted:
                await unlist(site, ["engine-0"])
            assert engine.runs
        assert got[0].whole == resumes
        assert got[0].is_events("p-1", 1, EVENTS if resumes else 3)

    run_site(story, engines=1, runners=0, vms=1)


def test_a_stream_whose_leaving_engine_ends_after_its_last_event_is_whole() -> None:
    """Guards against a break after the last event, where the stream may go on elsewhere."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        engine = site.engines["engine-0"]
        engine.conducts.append(EngineConduct.NO_LENGTH_END)
        engine.event_s = SLOW_EVENT_S
        begun = trio.Event()
        got: list[Stream] = []

        async def ask() -> None:
            got.append(await site.stream("p-1", events=3, on_event=lambda _: begun.set()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await begun.wait()
            await site.start_engine("engine-1")
            list_draining(site, "engine-0")
            await until_known(site, ["engine-0"])
            assert engine.runs
        assert got[0].whole
        assert got[0].is_events("p-1", 1, 3)

    run_site(story, engines=1, runners=0, vms=1)
