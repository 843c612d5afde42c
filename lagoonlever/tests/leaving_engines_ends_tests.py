"""Engines that say that they leave, and end: their ends are held against no request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable, Mapping

import logbook
import pytest
import trio

from lagoonlever.decisions.engines import crash_suspects
from lagoonlever.decisions.engines.target_crashes import Crash
from lagoonlever.fakes.platform_engine import DeathStage, FakeEngine
from lagoonlever.gateway.crash_records import RECORD_KEY
from lagoonlever.tests.deadly_ends import Ends
from lagoonlever.tests.deadly_parts_tests import LATER, MOST_ENDED, PART, ask_all, ready
from lagoonlever.tests.gateway_site import (
    LIMIT_S,
    POLL_S,
    GatewaySite,
    run_site,
    sleep_turns,
    until,
)

FORMER = 4
"""Engines that leave."""
RARE = 4
"""Requests with a part that no answer is known of, at least."""
MOST_RARE = 12
BUSY = 3
"""Engines that have such a request as they end, at least: fewer ends would be held against none."""
NEWS_S = 0.5
"""Within so long the other VMs have heard of an end that one has judged."""
READ_TOKENS_PER_S = 400.0
"""An engine reads a prompt of these tests for a quarter of a second, and then ends."""
SLOW = 6.0
"""Tokens that an engine reads a second: no request is answered while a story goes on."""


def list_draining(site: GatewaySite, name: str) -> None:
    """List an engine as one that finishes what it has."""
    started_ms = site.engines[name].started_ms
    site.list_target(name, service="engines", state="draining", started_ms=started_ms)


async def until_known(site: GatewaySite, names: list[str]) -> None:
    """Wait until every VM knows of each of these engines that it takes no more work."""
    lists = [vm.daemon.parts.beliefs.targets for vm in site.vms.values()]
    await until(lambda: not any(each.takes_work(name) for each in lists for name in names))


async def unlist(site: GatewaySite, names: list[str]) -> None:
    """Remove the entries of targets, and wait until every VM knows it."""
    for name in names:
        site.unlist_target(name)
    lists = [vm.daemon.parts.beliefs.targets for vm in site.vms.values()]
    await until(lambda: not any(each.find(name) for each in lists for name in names))


async def listed(site: GatewaySite, names: list[str]) -> None:
    for name in names:
        list_draining(site, name)
    await until_known(site, names)


async def unlisted(site: GatewaySite, names: list[str]) -> None:
    await listed(site, names)
    await unlist(site, names)


async def said(site: GatewaySite, names: list[str]) -> None:
    """Each engine says so in the answer to a request that it need not read."""
    for name in names:
        site.engines[name].says.leaving = "1"
    lists = [vm.daemon.parts.beliefs.targets for vm in site.vms.values()]
    number = 0
    while any(each.takes_work(name) for each in lists for name in names):
        number += 1
        for engine in site.engines.values():
            engine.kept[f"quick-{number}"] = 100
        await site.stream(f"quick-{number}", vm=f"vm-{number % 3}", shared=("system",), events=1)


async def said_and_unlisted(site: GatewaySite, names: list[str]) -> None:
    await said(site, names)
    await unlist(site, names)


async def unannounced(site: GatewaySite, names: list[str]) -> None:
    """No VM knows anything of it when they end."""


def counted(site: GatewaySite) -> Mapping[str, Mapping[str, Mapping[str, Crash]]]:
    """Return the ends that are held against anything, by VM."""
    suspects = {name: vm.daemon.parts.crashes._suspects for name, vm in site.vms.items()}
    return {name: dict(each.crashes) for name, each in suspects.items() if each.crashes}


async def judged(site: GatewaySite) -> None:
    """Wait until every VM has judged all its losses, and told the others."""
    crashes = [vm.daemon.parts.crashes for vm in site.vms.values()]
    await until(lambda: not any(each._lost_engines._pending for each in crashes))
    await sleep_turns(NEWS_S)


def rare_at(engines: Iterable[FakeEngine]) -> set[str]:
    """Return the own parts of the requests with the rare part that have reached some engines."""
    prompts = (h.get("Prompt-Prefix") or "" for engine in engines for h in engine.seen)
    return {prompt.split(",")[-1] for prompt in prompts if "rare" in prompt}


def busy(engines: Iterable[FakeEngine]) -> int:
    """Return how many engines have a request."""
    return sum(bool(engine.runs) for engine in engines)


async def start_new(site: GatewaySite) -> None:
    """Start as many engines again, and wait until every VM may use them."""
    for number in range(FORMER):
        engine = await site.start_engine(f"new-{number}", data_center=f"dc-{number % 3}")
        engine.prefill_tokens_per_s = SLOW
    lists = [vm.daemon.parts.beliefs.targets for vm in site.vms.values()]
    names = [f"new-{number}" for number in range(FORMER)]
    await until(lambda: all(each.takes_work(name) for each in lists for name in names))


async def play(
    site: GatewaySite,
    leave: Callable[[GatewaySite, list[str]], Awaitable[None]],
    judge: Callable[[], Awaitable[None]],
    *,
    is_back: bool = False,
) -> None:
    """Have engines leave and end under requests, and judge before any of these is answered.

    With ``is_back`` other processes have their ids at once.
    """
    await ready(site)
    site.deadly.clear()
    for engine in site.engines.values():
        engine.prefill_tokens_per_s = SLOW
    answered: list[str] = []

    async def ask(number: int) -> None:
        got = await site.stream(
            f"own-{number}", vm=f"vm-{number % 3}", shared=("system", "rare"), events=2
        )
        answered.append(f"own-{number}: {got.status}")

    async with trio.open_nursery() as nursery:
        names, former = list(site.engines), list(site.engines.values())
        asked: list[int] = []
        while len(asked) < RARE or busy(former) < BUSY:
            assert len(asked) < MOST_RARE, "the requests go to the same engines"
            for _ in range(max(1, RARE - len(asked))):
                nursery.start_soon(ask, len(asked))
                asked.append(len(asked))
            await until(lambda: len(rare_at(former)) == len(asked))
        await leave(site, names)
        await start_new(site)
        assert busy(former) >= BUSY
        for name in names:
            site.crash(name)
        if is_back:
            for name in names:
                (await site.start_engine(name)).prefill_tokens_per_s = SLOW
        await until(lambda: len(rare_at(set(site.engines.values()) - set(former))) == len(asked))
        await judged(site)
        await judge()
        assert not answered
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("leave", [listed, unlisted, said, said_and_unlisted])
def test_engines_that_every_vm_knows_to_leave_are_held_against_nothing(
    leave: Callable[[GatewaySite, list[str]], Awaitable[None]],
) -> None:
    """Requests with a rare part were refused, as engines ended that had left the list by then."""

    async def story(site: GatewaySite) -> None:
        async def judge() -> None:
            assert not counted(site)

        await play(site, leave, judge)

    with logbook.TestHandler().applicationbound() as lines:
        run_site(story, engines=FORMER, vms=3)
    assert not any("ended under" in line for line in lines.formatted_records)


def test_engines_that_are_back_under_their_ids_are_held_against_nothing() -> None:
    """The new process does not leave, which said nothing of the one that had ended."""

    async def story(site: GatewaySite) -> None:
        async def judge() -> None:
            assert not counted(site)

        await play(site, listed, judge, is_back=True)

    run_site(story, engines=FORMER, vms=3)


def test_ends_of_engines_of_which_it_is_learnt_later_that_they_left_are_taken_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """VMs read an entry a third of a second after it was written, and may judge ends before."""
    monkeypatch.setattr(crash_suspects, "LEAVING_NEWS_S", LIMIT_S)

    async def story(site: GatewaySite) -> None:
        async def judge() -> None:
            await until(lambda: len(counted(site)) == len(site.vms))
            await until(lambda: b"engine-" in (site.store.value(RECORD_KEY) or b""))
            for number in range(FORMER):
                list_draining(site, f"engine-{number}")
            await until(lambda: not counted(site))
            await until(lambda: b"engine-" not in (site.store.value(RECORD_KEY) or b""))

        await play(site, unannounced, judge)

    run_site(story, engines=FORMER, vms=3)


@pytest.mark.parametrize("is_unlisted", [False, True])
def test_a_runner_that_leaves_and_ends_is_held_against_no_call(is_unlisted: bool) -> None:
    """A bid was refused after three runners had ended with it that were to end in any case."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        runner = site.runners["runner-0"]
        runner.work_s = LIMIT_S
        answers: list[int] = []

        async def ask() -> None:
            answers.append((await site.call("/bid/1", body=b"bid")).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await until(lambda: runner.runs)
            site.list_target("runner-0", service="apps", state="draining")
            await until_known(site, ["runner-0"])
            if is_unlisted:
                await unlist(site, ["runner-0"])
            site.crash("runner-0")
        assert answers == [502]
        await judged(site)
        assert not counted(site)

    run_site(story, engines=0, runners=1, vms=3)


@pytest.mark.parametrize("stage", [DeathStage.BEFORE_HEAD, DeathStage.HEAD])
def test_a_part_that_ends_engines_which_say_that_they_leave_is_stopped(stage: DeathStage) -> None:
    """Each engine was listed as leaving as the part reached it, and forty of forty ended."""

    async def story(site: GatewaySite) -> None:
        await ready(site)
        ends = site.deaths = Ends(site)
        for engine in site.engines.values():
            engine.dies_at = stage
            engine.prefill_tokens_per_s = READ_TOKENS_PER_S
        named: set[str] = set()

        async def leave() -> None:
            while True:
                for name, engine in site.engines.items():
                    if name not in named and any(
                        PART in run.shared for run in engine.runs.values()
                    ):
                        named.add(name)
                        list_draining(site, name)
                await trio.sleep(POLL_S)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(leave)
            await ask_all(site, 24, shared=("system", PART), spacing_s=0.25)
            nursery.cancel_scope.cancel()
        assert named.issuperset(ends)
        assert len(ends) <= 2 * MOST_ENDED
        assert ends.late() <= LATER

    run_site(story, engines=40, vms=3)
