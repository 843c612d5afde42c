"""Sound requests that were at engines which ended by chance, and whose callers come back."""

from __future__ import annotations

import functools
from typing import Any

import trio

from lagoonlever.outcomes import REASON_HEADER, Reason
from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site, until

QUESTION = "sound"
ENDS = 3
READ_S = 0.8
PROMPT_TOKENS = 200
EVENTS = 800
BEGUN_EVENTS = 100
"""Far more than an engine writes that its request ends."""


async def lose_engines(site: GatewaySite) -> None:
    """Crash the engine that reads the prompt, one after the other."""
    lost: set[str] = set()

    def reading() -> list[str]:
        return [name for name, e in site.engines.items() if e.seen and name not in lost]

    while len(lost) < ENDS:
        await until(lambda: bool(reading()))
        name = reading()[0]
        lost.add(name)
        await trio.sleep(READ_S / 4)
        site.crash(name)


async def begin(site: GatewaySite) -> list[Stream]:
    """Have a stream at vm-0 lose three engines before its head, and flow at the fourth."""
    await site.wait_met()
    for engine in site.engines.values():
        engine.prefill_tokens_per_s = PROMPT_TOKENS / READ_S
    flows = trio.Event()
    answers: list[Stream] = []

    def on_event(count: int) -> None:
        if count >= BEGUN_EVENTS:
            flows.set()

    async def ask() -> None:
        answers.append(
            await site.stream(
                QUESTION,
                events=EVENTS,
                shared=("system",),
                prompt_tokens=PROMPT_TOKENS,
                on_event=on_event,
            )
        )

    site.nursery.start_soon(lose_engines, site)
    site.nursery.start_soon(ask)
    await flows.wait()
    return answers


def test_a_caller_is_not_refused_whose_vm_died_under_a_stream_that_flows() -> None:
    async def story(site: GatewaySite) -> None:
        answers = await begin(site)
        site.vms["vm-0"].kill()
        await until(lambda: bool(answers))
        again = await site.take_up(
            answers[0],
            QUESTION,
            vm="vm-1",
            events=EVENTS,
            shared=("system",),
            prompt_tokens=PROMPT_TOKENS,
        )
        assert again.status == 200, (again.status, again.headers, answers[0].last_event)

    run_site(story, engines=8, vms=3)


def test_a_copy_is_not_refused_while_another_one_flows() -> None:
    async def story(site: GatewaySite) -> None:
        await begin(site)
        await trio.sleep(0.5)
        copy = await site.stream(
            QUESTION, shared=("system",), prompt_tokens=PROMPT_TOKENS, events=10
        )
        assert copy.status == 200, (copy.status, copy.headers)

    run_site(story, engines=8, vms=3)


def test_a_copy_waits_where_the_caller_of_another_one_has_left() -> None:
    """The engine that was left may still end; each VM let the next copy go on at once."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = PROMPT_TOKENS / READ_S
        prompt: dict[str, Any] = {"shared": ("system",), "prompt_tokens": PROMPT_TOKENS}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(functools.partial(site.stream, QUESTION, events=10, **prompt))
            await lose_engines(site)
            await until(lambda: sum(bool(e.seen) for e in site.engines.values()) > ENDS)
            nursery.cancel_scope.cancel()
        await trio.sleep(0.1)
        copy = await site.stream(QUESTION, vm="vm-1", events=10, **prompt)
        assert copy.status == 503
        assert copy.headers.get(REASON_HEADER) == Reason.ENDS_TARGETS.value

    run_site(story, engines=8, vms=3)


def test_a_copy_waits_where_the_time_of_another_one_is_over() -> None:
    """The engine that was left may still end; each VM let the next copy go on at once."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = PROMPT_TOKENS / READ_S
        prompt: dict[str, Any] = {"shared": ("system",), "prompt_tokens": PROMPT_TOKENS}
        answers: list[Stream] = []

        async def ask() -> None:
            answers.append(await site.stream(QUESTION, events=10, Deadline_Ms="2000", **prompt))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await lose_engines(site)
            for engine in site.engines.values():
                engine.prefill_tokens_per_s = 1.0
            await until(lambda: answers)
        assert answers[0].status == 504
        copy = await site.stream(QUESTION, vm="vm-1", events=10, Deadline_Ms="2000", **prompt)
        assert copy.headers.get(REASON_HEADER) == Reason.ENDS_TARGETS.value

    run_site(story, engines=8, vms=3)
