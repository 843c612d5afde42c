"""Targets that say that they leave, or that they want rest: what is still sent there."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.decisions.targets.backoffs import BackoffTargets
from lagoonlever.fakes.platform_engine import EngineConduct
from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.gateway.prober import EngineProber
from lagoonlever.http.messages import Headers
from lagoonlever.platform.headers import read_answer
from lagoonlever.tests.call_load import call_for
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until_within

REST_GRACE_S = 0.5
"""From a target's asking for rest until it has to be kept to."""
MOST_RESTING = 2
"""Requests of one VM that a target may get in its rest."""
LEAVE_GRACE_S = 2.0
"""From a target's word that it leaves until nothing may come any more."""


def test_a_runner_that_says_that_it_leaves_gets_nothing_though_the_store_is_silent() -> None:
    """Guards against leaves that are heard only as the store tells them, many seconds late."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        site.runners["runner-0"].says.leaving = "1"
        said_at = trio.current_time()
        answers = await call_for(site, LEAVE_GRACE_S + 1.5, per_s=20.0)
        late = [at for at in site.runners["runner-0"].arrived_at if at > said_at + LEAVE_GRACE_S]
        assert late == []
        assert {answer.status for answer in answers} == {200}

    run_site(story, engines=0, runners=2, vms=2)


def test_one_answer_tells_every_vm_that_a_runner_leaves() -> None:
    """Guards against each VM learning it by a request of its own."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        site.runners["runner-0"].says.leaving = "1"
        while not site.vms["vm-0"].daemon.parts.beliefs.targets.leave_announcements:
            await site.call("/bid/1")
        newcomer = await site.start_vm("vm-2")
        await site.wait_ready(newcomer)

        def all_know() -> bool:
            tables = [vm.daemon.parts.beliefs.targets for vm in site.vms.values()]
            return not any(table.takes_work("runner-0") for table in tables)

        await until_within(2.0, all_know)

    run_site(story, engines=0, runners=2, vms=2)


def test_the_store_does_not_undo_that_a_runner_leaves() -> None:
    """Guards against an entry that says ready, read after the runner has said that it leaves."""

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].says.leaving = "1"
        assert (await site.call("/bid/1")).status == 200
        site.unlist_target("runner-0")
        await trio.sleep(0.3)
        site.list_target("runner-0", service="apps")
        await trio.sleep(0.3)
        assert (await site.call("/bid/2")).status == 503
        assert len(site.runners["runner-0"].arrived_at) == 1

    run_site(story, engines=0, runners=1, vms=1)


def test_an_engine_that_starts_again_under_its_id_has_not_said_that_it_leaves() -> None:
    async def story(site: GatewaySite) -> None:
        site.engines["engine-0"].says.leaving = "1"
        assert (await site.stream("p")).whole
        assert (await site.stream("q")).status == 503
        site.crash("engine-0")
        await site.start_engine("engine-0")
        table = site.vms["vm-0"].daemon.parts.beliefs.targets
        await until_within(2.0, lambda: table.takes_work("engine-0"))
        assert (await site.stream("r")).whole

    run_site(story, engines=1, runners=0, vms=1)


def test_an_engine_whose_report_says_that_it_leaves_gets_nothing_new() -> None:
    """Guards against a leave that is told in reports and heard in answers only."""

    async def story(site: GatewaySite) -> None:
        engine = site.engines["engine-0"]
        engine.reported_state = "draining"
        engine.conducts.append(EngineConduct.STAY_SILENT)
        table = site.vms["vm-0"].daemon.parts.beliefs.targets
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.stream, "p")
            await until_within(5.0, lambda: engine.questions["report"])
            await until_within(1.0, lambda: not table.takes_work("engine-0"))
            nursery.cancel_scope.cancel()

    run_site(story, engines=1, runners=0, vms=1)


@pytest.mark.parametrize("state", ["ready", "", 7, None, ["draining"]])
def test_a_report_of_any_other_state_changes_nothing(state: object) -> None:
    async def story(site: GatewaySite) -> None:
        engine = site.engines["engine-0"]
        engine.reported_state = state
        asked = await EngineProber().ask(site.vms["vm-0"].daemon.parts.beliefs.targets.targets[0])
        assert asked is not None
        assert not asked.leaves

    run_site(story, engines=1, runners=0, vms=1)


def test_a_stream_at_an_engine_that_says_that_it_leaves_goes_on_to_its_end() -> None:
    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.says.leaving = "1"
        got = await site.stream("p", events=40)
        assert got.whole
        assert got.is_events("p", 1, 40)

    run_site(story, engines=2, runners=0, vms=1)


@pytest.mark.parametrize("field", ["", "yes", "1, 1", "1.0", "-1"])
def test_a_leave_that_cannot_be_read_changes_nothing(field: str) -> None:
    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].says.leaving = field
        for _ in range(3):
            assert (await site.call("/bid/1")).status == 200

    run_site(story, engines=0, runners=1, vms=1)


def test_a_runner_that_asks_for_rest_gets_next_to_nothing_in_its_rest() -> None:
    """Guards against tries at a runner that has just said how long it wants none."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        runner = site.runners["runner-0"]
        runner.says.rest = "3.0"
        runner.conducts.extend([Conduct.REFUSE, Conduct.SERVE] * 100)
        began = trio.current_time()
        await call_for(site, 2.9, per_s=30.0)
        in_rest = [at for at in runner.arrived_at if at > began + REST_GRACE_S]
        assert len(in_rest) <= MOST_RESTING

    run_site(story, engines=0, runners=2, vms=1)


def refuse_all(site: GatewaySite, rest: str) -> None:
    """Have every target turn everything away and ask for rest."""
    for runner in site.runners.values():
        runner.says.rest = rest
        runner.conducts.extend([Conduct.REFUSE] * 500)
    for engine in site.engines.values():
        engine.says.rest = rest
        engine.conducts.extend([EngineConduct.REFUSE] * 500)


def test_callers_are_refused_at_once_while_all_runners_rest() -> None:
    """Guards against calls that go from one runner to the next though each has said no."""

    async def story(site: GatewaySite) -> None:
        refuse_all(site, "2.5")
        while not site.vms["vm-0"].daemon.parts.words.all_rest("apps"):
            await site.call("/look/1", method="GET")
        before = sum(len(runner.arrived_at) for runner in site.runners.values())
        began = trio.current_time()
        answers = [await site.call("/bid/1") for _ in range(5)]
        answers += [await site.call("/look/1", method="GET") for _ in range(5)]
        assert trio.current_time() - began < 1.5
        assert {answer.status for answer in answers} == {503}
        told = [float(answer.headers.get("Retry-After") or 0) for answer in answers]
        assert min(told) > 0.5
        assert max(told) < 4.0
        assert len(set(told)) > 5
        assert sum(len(runner.arrived_at) for runner in site.runners.values()) == before

    run_site(story, engines=0, runners=3, vms=1)


def test_a_stream_is_refused_at_once_while_all_engines_rest() -> None:
    async def story(site: GatewaySite) -> None:
        refuse_all(site, "2.5")
        began = trio.current_time()
        answer = await site.stream("p")
        assert answer.status == 503
        assert float(answer.headers.get("Retry-After") or 0) > 1.0
        assert trio.current_time() - began < 2.0
        before = [len(engine.arrived_at) for engine in site.engines.values()]
        assert (await site.stream("q")).status == 503
        assert [len(engine.arrived_at) for engine in site.engines.values()] == before

    run_site(story, engines=3, runners=0, vms=1)


def test_a_rest_is_over_in_time_and_the_runner_is_used_again() -> None:
    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].says.rest = "0.5"
        site.runners["runner-0"].conducts.append(Conduct.REFUSE)
        assert (await site.call("/bid/1")).status == 503
        await trio.sleep(0.6)
        assert (await site.call("/bid/2")).status == 200

    run_site(story, engines=0, runners=1, vms=1)


@pytest.mark.parametrize("field", ["", "-3", "soon", "1e9", "Thu, 03 Dec 2026 09:00:00 GMT"])
def test_a_rest_that_cannot_be_read_changes_nothing(field: str) -> None:
    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].says.rest = field
        site.runners["runner-0"].conducts.append(Conduct.REFUSE)
        assert (await site.call("/bid/1")).status == 503
        assert (await site.call("/bid/2")).status == 200

    run_site(story, engines=0, runners=1, vms=1)


def test_a_shorter_rest_does_not_end_a_longer_one() -> None:
    rests = BackoffTargets()
    rests.record("t", 3.0, 10.0)
    rests.record("t", 1.0, 10.5)
    assert rests.remaining_s("t", 12.0) == 1.0
    rests.record("t", 4.0, 12.0)
    assert rests.remaining_s("t", 13.0) == 3.0
    rests.expire(17.0)
    assert rests.remaining_s("t", 12.0) == 0.0


def test_a_process_that_has_the_id_of_a_resting_target_has_asked_for_none() -> None:
    rests = BackoffTargets()
    rests.record("t", 3.0, 10.0)
    rests.forget("t")
    assert rests.remaining_s("t", 10.0) == 0.0


def test_retry_after_counts_only_on_a_503() -> None:
    """Guards against rests taken from answers that were served or failed."""
    said = Headers((("Retry-After", "3"), ("Request-Id", "r")))
    assert read_answer(503, said).rest_s == 3.0
    assert [read_answer(status, said).rest_s for status in (200, 429, 500, 504)] == [None] * 4
