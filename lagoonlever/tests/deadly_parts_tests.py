"""Parts of prompts that end each engine which begins an answer on them, whoever asks."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.outcomes import REASON_HEADER, Reason
from lagoonlever.tests.deadly_requests import told
from lagoonlever.tests.gateway_site import GatewaySite, Stream, run_site, sleep_turns, until

PART = "ends-each"
MOST_ENDED = 5
LATER = 3
"""Requests that may still reach an engine after the fifth has ended."""
STABLE_S = 1.0
LONG = 1_500
"""Events of a stream that a story ends."""
SLOW = 1_000.0
"""Tokens that an engine reads a second."""


async def ready(site: GatewaySite) -> None:
    """Have the part end engines from now on; VMs know each other, and what answers begin on."""
    await site.wait_met()
    for number in range(3):
        sound = await site.stream(f"sound-{number}", vm=f"vm-{number}", shared=("system", "desk"))
        assert sound.whole
    site.deadly.add(PART)


def arrivals(site: GatewaySite, part: str = PART) -> int:
    """Return how often a prompt with a part has reached an engine."""
    prompts = (h.get("Prompt-Prefix") or "" for e in site.engines.values() for h in e.seen)
    return sum(part in prompt for prompt in prompts)


def fewest_known(site: GatewaySite) -> int:
    """Return how many ends under what all prompts share each VM knows at least."""
    known = [vm.daemon.parts.crashes._suspects.crashes for vm in site.vms.values()]
    return min(len(crashes.get("part:engines/m/shared", ())) for crashes in known)


async def ask_all(
    site: GatewaySite, count: int, *, shared: tuple[str, ...], spacing_s: float = 0.1, **more: int
) -> list[Stream]:
    """Send requests with these parts and an own one each, to the VMs in turn.

    They come as far apart in this process's own turns: after a pause of it those that were due
    would come all at once, when no VM can know yet what the first of them has ended.
    """
    answers: list[Stream] = []

    async def ask(number: int) -> None:
        vm = f"vm-{number % len(site.vms)}"
        answers.append(await site.stream(f"own-{number}", vm=vm, shared=shared, **more))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(ask, number)
            await sleep_turns(spacing_s)
    return answers


@pytest.mark.parametrize("shared", [(PART,), (PART, "desk"), ("system", PART, "desk")])
def test_requests_that_share_a_part_which_ends_engines_are_stopped(shared: tuple[str, ...]) -> None:
    """Most engines are starting, as each of these requests is new and ends three of them."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        answers = await ask_all(site, 12, shared=shared)
        assert len(site.deaths) <= MOST_ENDED
        await told(site)
        before = arrivals(site)
        await trio.sleep(STABLE_S)
        answers = await ask_all(site, 6, shared=shared)
        assert arrivals(site) - before <= LATER
        assert {answer.status for answer in answers} == {503}
        reasons = {answer.headers.get(REASON_HEADER) for answer in answers}
        assert reasons == {Reason.ENDS_TARGETS.value}

    run_site(story, engines=40, vms=3)


def test_prompts_of_seconds_that_are_read_at_many_engines_are_taken_back() -> None:
    """A dozen requests with the part are read as the first engines end, each at one of its own."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        for engine in site.engines.values():
            engine.prefill_tokens_per_s = SLOW
        await ask_all(site, 12, shared=("system", PART), spacing_s=0.25, prompt_tokens=1_500)
        assert len(site.deaths) <= MOST_ENDED

    run_site(story, engines=40, vms=3)


def test_a_part_that_ends_engines_stays_stopped_after_a_loss_of_all_vms() -> None:
    """No VM that is left has seen an engine end."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        await ask_all(site, 6, shared=("system", PART))
        ended = len(site.deaths)
        assert ended <= MOST_ENDED
        for vm in site.vms.values():
            vm.kill()
        for name in list(site.vms):
            await site.wait_ready(await site.start_vm(name))
        await trio.sleep(0.3)
        await ask_all(site, 6, shared=("system", PART))
        assert len(site.deaths) <= MOST_ENDED

    run_site(story, engines=40, vms=3)


def test_sound_requests_that_share_all_other_parts_are_served_at_once() -> None:
    """Their caller, their route and their other parts are those of requests that are stopped."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        sound: list[Stream] = []

        async def ask_sound(number: int) -> None:
            await trio.sleep(number * 0.05)
            answer = await site.stream(
                f"sound-own-{number}", vm=f"vm-{number % 3}", shared=("system", "desk")
            )
            sound.append(answer)

        async with trio.open_nursery() as nursery:
            for number in range(40):
                nursery.start_soon(ask_sound, number)
            await ask_all(site, 12, shared=("system", PART, "desk"))
        assert len(site.deaths) <= MOST_ENDED
        assert all(answer.whole and answer.status == 200 for answer in sound)

    run_site(story, engines=40, vms=3)


def test_a_popular_part_is_not_stopped_where_nothing_was_answered_yet() -> None:
    """The first requests of a day share a part with those that end engines."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        site.deadly.add(PART)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: ask_all(site, 8, shared=("system", PART)))
            await until(lambda: len(site.deaths) >= 2)
            answer = await site.stream("sound", shared=("system",), vm="vm-2")
            assert answer.whole and answer.status == 200
        assert len(site.deaths) <= MOST_ENDED
        for number in range(3):
            answer = await site.stream(f"sound-{number}", shared=("system",), vm=f"vm-{number}")
            assert answer.whole and answer.status == 200

    run_site(story, engines=40, vms=3)


def test_two_prompts_that_end_engines_turn_nobody_away_in_a_fleet_s_first_work() -> None:
    """What all share was at five ends, and no answer was known: all were refused for 5 s."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        site.deadly.update(("deadly-0", "deadly-1"))
        answers: list[Stream] = []

        async def ask(number: int) -> None:
            answers.append(await site.stream(f"sound-{number}", vm=f"vm-{number % 3}"))

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(
                    lambda number=number: site.stream(f"deadly-{number % 2}", vm=f"vm-{number % 3}")
                )
            await until(lambda: fewest_known(site) >= MOST_ENDED)
            for number in range(6):
                nursery.start_soon(ask, number)
        assert all(answer.whole and answer.status == 200 for answer in answers)
        for number in range(3):
            for prompt in ("deadly-0", "deadly-1"):
                assert (await site.stream(prompt, vm=f"vm-{number}")).status != 200
        assert len(site.deaths) <= 8, "three each, and what the copies of both ended meanwhile"

    run_site(story, engines=40, vms=3)


def test_what_begins_at_one_vm_is_sound_for_all() -> None:
    """Prompts that end engines come to a VM that has answered nothing itself."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        site.deadly |= {"deadly-1", "deadly-2"}
        begun = trio.Event()

        async def stream_long() -> None:
            await site.stream(
                "long", shared=("system",), events=LONG, on_event=lambda _: begun.set()
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream_long)
            await begun.wait()
            for part in ("deadly-1", "deadly-2"):
                await site.stream(part, shared=("system",), vm="vm-1")
            answer = await site.stream("sound", shared=("system",), vm="vm-1")
            nursery.cancel_scope.cancel()
        assert answer.whole and answer.status == 200

    run_site(story, engines=40, vms=2)


def test_the_last_part_of_a_prompt_is_the_request_s_own() -> None:
    """Guards against counting it twice: by the request, and as a part."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        for number in range(4):
            await site.stream(PART, vm=f"vm-{number % 3}", shared=("system",))
            await told(site)
        assert len(site.deaths) <= 3
        answer = await site.stream("sound-again", shared=("system", "desk"))
        assert answer.whole

    run_site(story, engines=20, vms=3)
