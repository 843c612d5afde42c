"""Second copies of answers, which come late, where the answer to the next request is due."""

from __future__ import annotations

from typing import Any

import pytest

from lagoonlever.decisions.streams.engine_runs import RunCopy
from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.fakes.platform_engine import EngineConduct, EngineRun
from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.gateway.run_copier import RunCopier
from lagoonlever.tests.gateway_calls_tests import runs
from lagoonlever.tests.gateway_site import GatewaySite, configuration, run_site, until
from lagoonlever.tests.handed_over_tests import wait_helpers

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run."""
REST_S = "0.2"


def with_attempts(route: str, attempts: int, **more: Any) -> dict[str, Any]:
    """Return the configuration in which a route allows so many attempts."""
    document = configuration(2)
    for each in document["Routes"]:
        if each["Name"] == route:
            each.update(MaxAttempts=attempts, **more)
    return document


async def configured(site: GatewaySite, document: dict[str, Any]) -> None:
    site.configure(document)

    def all_know() -> bool:
        values = [vm.daemon.parts.beliefs.configuration.value for vm in site.vms.values()]
        return all(value is not None and value.version == 2 for value in values)

    await until(all_know)


async def refuse_one(site: GatewaySite) -> None:
    """Have a bid refused; the copy of its refusal comes with the next answer."""
    site.runners["runner-0"].conducts.append(Conduct.REFUSE_TWICE)
    answer = await site.call("/bid/1", headers=site.headers("first"))
    assert answer.status == 503
    assert runs(site)["first"] == 0


@pytest.mark.parametrize("attempts", [1, 2])
def test_a_bid_that_runs_is_not_called_unrun_by_the_copy_of_an_old_refusal(attempts: int) -> None:
    """A dealer is told that a bid has not run, bids again, and has bid twice."""

    async def story(site: GatewaySite) -> None:
        await refuse_one(site)
        await configured(site, with_attempts("bid", attempts))
        answer = await site.call("/bid/2", headers=site.headers("second"))
        assert runs(site)["second"] == 1
        assert answer.status not in NOT_RUN

    run_site(story, engines=0, runners=1, vms=1)


def test_a_bid_by_way_of_another_vm_is_not_called_unrun_by_the_copy_of_an_old_refusal() -> None:
    """The bytes come through a tunnel as they would without it."""

    async def story(site: GatewaySite) -> None:
        await wait_helpers(site)
        assert site.paths is not None
        site.paths.set("vm-0", PathState.REFUSED)
        await refuse_one(site)
        answer = await site.call("/bid/2", headers=site.headers("second"))
        assert runs(site)["second"] == 1
        assert answer.status not in NOT_RUN

    run_site(story, engines=0, runners=1, vms=2, cuttable=True)


def test_a_refusal_that_names_no_request_proves_nothing_on_a_connection_used_before() -> None:
    """Nothing in it tells it from a copy of the refusal of the request before."""

    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        assert (await site.call("/bid/0")).status == 200
        runner.names_refused = False
        runner.conducts.append(Conduct.REFUSE)
        answer = await site.call("/bid/1", headers=site.headers("first"))
        assert answer.status == 502
        assert runs(site)["first"] == 0
        answer = await site.call("/bid/2", headers=site.headers("second"))
        assert (answer.status, answer.body) == (200, b"answer to second")

    run_site(story, engines=0, runners=1, vms=1)


@pytest.mark.parametrize("kind", ["bid", "look"])
@pytest.mark.parametrize("conduct", [Conduct.ANSWER_TWICE, Conduct.REFUSE_TWICE])
def test_a_call_gets_its_own_answer_after_the_copy_of_another_one(
    kind: str, conduct: Conduct
) -> None:
    """A bid has run, its answer follows the copy, and the caller is told that nobody knows."""

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].conducts.append(conduct)
        first = await site.call("/bid/1", headers=site.headers("first"))
        assert first.status == (503 if conduct is Conduct.REFUSE_TWICE else 200)
        second = await site.call(f"/{kind}/2", headers=site.headers("second"))
        assert (second.status, second.body) == (200, b"answer to second")
        assert runs(site)["second"] == 1
        third = await site.call(f"/{kind}/3", headers=site.headers("third"))
        assert (third.status, third.body) == (200, b"answer to third")

    run_site(story, engines=0, runners=1, vms=1)


def test_a_target_that_names_other_requests_all_the_time_is_given_up() -> None:
    """Guards against a caller that waits for its whole time behind answers to others."""

    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        assert (await site.call("/bid/0")).status == 200
        runner.conducts.append(Conduct.MANY_FOREIGN)
        answer = await site.call("/bid/1", headers=site.headers("first"))
        assert answer.status == 502
        assert runs(site)["first"] == 1

    run_site(story, engines=0, runners=1, vms=1)


@pytest.mark.parametrize("resumable", [True, False])
def test_a_stream_that_runs_is_not_called_unrun_by_the_copy_of_an_old_refusal(
    resumable: bool,
) -> None:
    """A stream that may not run twice is refused while its engine writes the answer."""

    async def story(site: GatewaySite) -> None:
        await configured(site, with_attempts("stream", 1, ResumeStreams=resumable))
        engine = site.engines["engine-0"]
        engine.conducts.append(EngineConduct.REFUSE_TWICE)
        engine.says.rest = REST_S
        assert (await site.stream("first", events=5)).status == 503
        engine.says.rest = None
        words = site.vms["vm-0"].daemon.parts.words
        await until(lambda: not words.rests("engine-0"))
        second = await site.stream("second", events=5)
        assert engine.read_tokens["second"] > 0
        assert second.status not in NOT_RUN

    run_site(story, engines=1, runners=0, vms=1)


def test_a_stream_that_is_sent_again_after_a_refusal_is_not_refused_by_its_copy() -> None:
    """The copy bears the id of the very stream, as its first attempt was refused."""

    async def story(site: GatewaySite) -> None:
        await configured(site, with_attempts("stream", 1, ResumeStreams=False))
        engine = site.engines["engine-0"]
        engine.conducts.append(EngineConduct.REFUSE_TWICE)
        stream = await site.stream("first", events=5)
        assert stream.whole
        assert len(engine.arrived_at) == 2

    run_site(story, engines=1, runners=0, vms=1)


def test_the_copy_of_an_old_refusal_asks_for_no_rest() -> None:
    """Guards against a target that is left alone by what it said to a request before."""

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].says.rest = REST_S
        await refuse_one(site)
        words = site.vms["vm-0"].daemon.parts.words
        await until(lambda: not words.rests("runner-0"))
        site.runners["runner-0"].says.rest = None
        await site.call("/bid/2", headers=site.headers("second"))
        assert not words.rests("runner-0")

    run_site(story, engines=0, runners=1, vms=1)


def test_a_run_s_copy_never_bears_the_name_of_another_run_s() -> None:
    """A run that is lost would go on from the memory of another one."""

    async def story(site: GatewaySite) -> None:
        source, to = (site.engines[name] for name in ("engine-0", "engine-1"))
        source.answers_copies_twice = True
        for request in ("first", "second"):
            run = EngineRun(request_id=request, part=request, prompt_tokens=100, flowing=True)
            source.runs[request] = run
        targets = site.vms["vm-0"].daemon.parts.beliefs.targets
        engine, holder = (targets.find(each.target_id) for each in (source, to))
        assert engine is not None and holder is not None
        copier = RunCopier()
        copies = [
            await copier.copy(request, source=engine, to=holder) for request in ("first", "second")
        ]
        assert [copy.name for copy in copies if isinstance(copy, RunCopy)] == [
            "handle-first",
            "handle-second",
        ]

    run_site(story, engines=2, runners=0, vms=1)
