"""The stand-ins of the platform's targets under load, as a gateway meets them."""

from __future__ import annotations

import trio

from lagoonlever.fakes.target_room import TargetRoom
from lagoonlever.fakes.target_words import TargetWords
from lagoonlever.http.messages import Headers
from lagoonlever.platform.headers import read_answer
from lagoonlever.tests.gateway_site import GatewaySite, run_site

PROMPT_TOKENS = 100
EVENTS = 20


def test_a_load_of_four_figures_is_read_as_it_was_meant() -> None:
    room = TargetRoom(slots=1)
    assert TargetWords().load_field(room) == ()
    room.enter(priority=5, tokens=0)
    room.enter(priority=5, tokens=0)
    load = read_answer(200, Headers(TargetWords(slowness=2.5).load_field(room))).load
    assert load is not None
    assert (load.running, load.waiting, load.slots, load.slowness) == (1, 1, 1, 2.5)


def test_a_stream_that_is_preempted_goes_on_once_there_is_memory() -> None:
    """Guards against a stand-in that loses or repeats events as its memory runs out."""

    async def story(site: GatewaySite) -> None:
        engine = site.engines["engine-0"]
        engine.room.memory_tokens = 2 * PROMPT_TOKENS + 100
        whole = []

        async def ask(part: str) -> None:
            got = await site.stream(part, events=EVENTS, prompt_tokens=PROMPT_TOKENS)
            whole.append(got.whole and got.is_events(part, 1, EVENTS))

        async with trio.open_nursery() as nursery:
            for part in ("p0", "p1"):
                nursery.start_soon(ask, part)
        assert whole == [True, True]
        assert engine.room.preempted > 0
        assert engine.read_tokens.total() > 2 * PROMPT_TOKENS
        assert (engine.room.running, engine.room.waiting) == (0, 0)

    run_site(story, engines=1, runners=0, vms=1)


def test_a_full_runner_says_that_it_has_not_run_a_call() -> None:
    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        runner.room = TargetRoom(slots=1, most_waiting=0)
        runner.work_s = 0.3
        answers = []

        async def call() -> None:
            answers.append((await site.call("/bid/1")).status)

        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(call)
        assert sorted(answers)[0] == 200
        assert answers.count(200) == sum(runner.runs.values())

    run_site(story, engines=0, runners=1, vms=1)
