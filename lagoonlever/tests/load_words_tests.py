"""Loads that targets tell in their answers, as the gateway keeps and passes them on."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.decisions.targets.load_estimate import LoadEstimate, LoadSource
from lagoonlever.decisions.targets.load_view import SLOWDOWN_DURATION_S
from lagoonlever.decisions.targets.reported_load import LoadReport, ReportedLoad
from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_gateway import EngineWord, RunFlows
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until_within


def beliefs_of(site: GatewaySite, vm: str = "vm-0") -> Beliefs:
    return site.vms[vm].daemon.parts.beliefs


def estimate(site: GatewaySite, target: str, vm: str = "vm-0") -> LoadEstimate:
    return beliefs_of(site, vm).loads.estimate(target, trio.current_time())


def test_a_runner_s_answer_tells_its_load() -> None:
    async def story(site: GatewaySite) -> None:
        says = site.runners["runner-0"].says
        says.load = "3,2,6,250"
        assert (await site.call("/bid/1")).status == 200
        known = estimate(site, "runner-0")
        assert (known.slots, known.source) == (6, LoadSource.ANSWER)
        assert known.running + known.waiting == 4, "the request that was answered is over"
        assert known.slowness > 1.0
        assert beliefs_of(site).loads.reports_slowness("runner-0")

    run_site(story, engines=0, runners=1, vms=1)


def test_a_refusal_tells_the_load_too() -> None:
    async def story(site: GatewaySite) -> None:
        runner = site.runners["runner-0"]
        runner.says.load = "6,9,6,250"
        runner.conducts += [Conduct.REFUSE] * 100
        assert (await site.call("/bid/1")).status == 503
        known = estimate(site, "runner-0")
        assert known.waiting > 0 and known.slowness > 1.0
        assert beliefs_of(site).loads.open_requests("runner-0") == 0

    run_site(story, engines=0, runners=1, vms=1)


def test_an_engine_s_load_is_heard_and_its_run_is_counted_until_its_end() -> None:
    async def story(site: GatewaySite) -> None:
        site.engines["engine-0"].says.load = "1,0,16,100"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.stream, "p")
            loads = beliefs_of(site).loads
            await until_within(5.0, lambda: loads.open_requests("engine-0") == 1)
        assert loads.open_requests("engine-0") == 0
        assert estimate(site, "engine-0").running == 0
        assert loads.reports_slowness("engine-0")

    run_site(story, engines=1, runners=0, vms=1)


def test_targets_that_tell_no_slowness_are_known_as_such() -> None:
    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].says.load = "3,2,6"
        assert (await site.call("/bid/1")).status == 200
        assert not beliefs_of(site).loads.reports_slowness("runner-0")
        assert estimate(site, "runner-0").slowness == 1.0

    run_site(story, engines=0, runners=1, vms=1)


def test_an_engine_that_starts_again_under_its_id_has_told_nothing() -> None:
    async def story(site: GatewaySite) -> None:
        site.engines["engine-0"].says.load = "9,9,16,250"
        assert (await site.stream("p")).whole
        loads = beliefs_of(site).loads
        assert loads.latest_report("engine-0") is not None
        site.crash("engine-0")
        await site.start_engine("engine-0")
        await until_within(3.0, lambda: loads.latest_report("engine-0") is None)

    run_site(story, engines=1, runners=0, vms=1)


def test_the_first_event_of_a_stream_tells_every_vm_its_engine_s_load() -> None:
    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        site.engines["engine-0"].says.load = "4,1,16,250"
        assert (await site.stream("p")).whole
        views = [beliefs_of(site, vm).loads for vm in site.vms]
        await until_within(2.0, lambda: all(view.latest_report("engine-0") for view in views))
        sources = {estimate(site, "engine-0", vm).source for vm in site.vms}
        assert sources == {LoadSource.ANSWER, LoadSource.RELAYED}
        assert all(view.reports_slowness("engine-0") for view in views)

    run_site(story, engines=1, runners=0, vms=2)


def test_news_of_a_load_costs_no_message_and_few_bytes() -> None:
    """Guards against news that eat up what VMs may tell each other: 3 kB a second."""
    load = ReportedLoad(running=4.0, waiting=1.0, slots=16.0, slowness=2.5)
    word = LoadReport(target="e", load=load, at=1.0)
    plain = RunFlows(request="r")
    full = RunFlows(request="r", load=EngineWord.of(word, 1.2))
    assert len(PEER.encode(full)) - len(PEER.encode(plain)) <= 16
    assert PEER.decode(PEER.encode(full)) == full


def test_only_fresh_words_that_tell_slowness_are_passed_on() -> None:
    silent = ReportedLoad(running=4.0, waiting=1.0, slots=16.0)
    told = attrs.evolve(silent, slowness=2.5)
    assert EngineWord.of(LoadReport(target="e", load=silent, at=1.0), 1.0) is None
    assert (
        EngineWord.of(LoadReport(target="e", load=told, at=1.0), 1.0 + 2 * SLOWDOWN_DURATION_S)
        is None
    )
    assert EngineWord.of(None, 1.0) is None
