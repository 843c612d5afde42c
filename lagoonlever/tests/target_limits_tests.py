"""Targets that name a limit: what all VMs together send there."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import pytest
import trio

from lagoonlever.fakes.platform_engine import FakeEngine
from lagoonlever.fakes.platform_runner import FakeRunner
from lagoonlever.tests.call_load import call_for
from lagoonlever.tests.gateway_site import LIMIT_S, GatewaySite, Stream, run_site, until_within

WINDOW_S = 4.0
KNOWN_S = 3.0
"""From the first answer that names a limit until it has to be kept to."""
SHARE = 1.5
SLACK = 5


def most_allowed(limit_per_s: float) -> int:
    """Give the requests that a target may get in a window."""
    return int(SHARE * limit_per_s * WINDOW_S) + SLACK


def most_arrived(times: Sequence[float], *, since: float) -> int:
    """Give the most requests that arrived in any window that begins after a moment."""
    counted = sorted(at for at in times if at >= since)
    return max(
        (sum(1 for at in counted if start <= at < start + WINDOW_S) for start in counted),
        default=0,
    )


def arrived(target: FakeRunner | FakeEngine, *, since: float) -> int:
    """Give how many requests a target has got since a moment."""
    return sum(1 for at in target.arrived_at if at >= since)


async def until_answered(site: GatewaySite) -> None:
    """Call until a runner has answered, as it takes few calls."""
    with trio.fail_after(LIMIT_S):
        for _ in itertools.count():
            if (await site.call("/bid/1")).status == 200:
                return
            await trio.sleep(0.1)


async def until_known(site: GatewaySite, target: str, per_s: float | None) -> None:
    """Wait until every VM knows what a target takes."""

    def known() -> bool:
        words = [vm.daemon.parts.limits.limit_of(target) for vm in site.vms.values()]
        return words == [per_s] * len(words)

    await until_within(2.0, known)


def test_runners_get_no_more_than_the_limit_that_they_name() -> None:
    """Guards against VMs that go on sending to runners in need, each as before."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for runner in site.runners.values():
            runner.says.limit = "5.0"
        named_at = trio.current_time()
        await call_for(site, KNOWN_S + WINDOW_S + 1.0, per_s=40.0)
        for runner in site.runners.values():
            most = most_arrived(runner.arrived_at, since=named_at + KNOWN_S)
            assert most <= most_allowed(5.0)

    run_site(story, engines=0, runners=2, vms=3)


def test_a_limit_is_used_where_there_is_work_for_it() -> None:
    """Guards against targets in need that get much less than they take."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        for runner in site.runners.values():
            runner.says.limit = "10"
        await call_for(site, 1.0, per_s=40.0)
        since = trio.current_time()
        await call_for(site, 5.0, per_s=40.0)
        seconds = trio.current_time() - since
        for runner in site.runners.values():
            assert arrived(runner, since=since) >= 0.8 * 10.0 * seconds

    run_site(story, engines=0, runners=2, vms=3)


def test_callers_are_refused_at_once_and_told_when_to_come_back() -> None:
    """Guards against calls that wait until their deadline while no target takes any."""

    async def story(site: GatewaySite) -> None:
        for runner in site.runners.values():
            runner.says.limit = "0"
        await call_for(site, 0.5, per_s=10.0)
        began = trio.current_time()
        answers = await call_for(site, 1.0, per_s=20.0)
        assert trio.current_time() - began < 3.0
        refused = [answer for answer in answers if answer.status == 503]
        assert len(refused) >= len(answers) - 2
        told = {answer.headers.get("Retry-After") for answer in refused}
        assert None not in told
        assert len(told) > len(refused) / 2

    run_site(story, engines=0, runners=2, vms=2)


def test_one_answer_tells_every_vm_of_a_limit_and_of_its_end() -> None:
    """Guards against each VM learning of a limit by a request of its own."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        runner = site.runners["runner-0"]
        runner.says.limit = "4"
        await site.call("/bid/1")
        await until_known(site, "runner-0", 4.0)
        runner.says.limit = None
        await trio.sleep(0.5)
        await until_answered(site)
        await until_known(site, "runner-0", None)

    run_site(story, engines=0, runners=1, vms=3)


def test_a_vm_that_has_just_come_is_told_of_limits() -> None:
    """Guards against a burst of requests from each VM that is started."""

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].says.limit = "4"
        await site.call("/bid/1")
        await site.wait_ready(await site.start_vm("vm-1"))
        await until_known(site, "runner-0", 4.0)

    run_site(story, engines=0, runners=1, vms=1)


def test_a_limit_is_of_a_process_and_not_of_the_next_one_with_its_id() -> None:
    async def story(site: GatewaySite) -> None:
        site.engines["engine-0"].says.limit = "1"
        await site.stream("p")
        await until_known(site, "engine-0", 1.0)
        site.crash("engine-0")
        await site.start_engine("engine-0")
        await until_known(site, "engine-0", None)

    run_site(story, engines=1, runners=0, vms=2)


def test_streams_keep_to_the_limits_of_engines_and_take_the_others() -> None:
    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        limited, free = site.engines["engine-0"], site.engines["engine-1"]
        limited.says.limit = "2"
        while not limited.arrived_at:
            await site.stream(f"first-{len(free.arrived_at)}")
        await until_known(site, "engine-0", 2.0)
        ended: list[Stream] = []
        since = trio.current_time()

        async def one(number: int) -> None:
            ended.append(await site.stream(f"p{number}", vm=f"vm-{number % 2}"))

        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(one, number)
                await trio.sleep(0.05)
        assert all(stream.whole for stream in ended)
        assert most_arrived(limited.arrived_at, since=since) <= most_allowed(2.0)
        assert arrived(limited, since=since) >= 4

    run_site(story, engines=2, runners=0, vms=2)


@pytest.mark.parametrize("field", ["", "-1", "nan", "inf", "many", "Thu, 03 Dec 2026 09:00:00 GMT"])
def test_a_limit_that_cannot_be_read_changes_nothing(field: str) -> None:
    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        runner.says.limit = "3.5"
        await site.call("/bid/1")
        runner.says.limit = field
        await until_answered(site)
        assert site.vms["vm-0"].daemon.parts.limits.limit_of("runner-0") == 3.5

    run_site(story, engines=0, runners=1, vms=1)
