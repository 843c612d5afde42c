"""A placement at engines of uneven pace, as the VM of its request logs it and a hub tells it."""

from __future__ import annotations

import logbook
import trio

from lagoonlever.bench.local_fleet import Fleet, run_fleet, start_many
from lagoonlever.bench.placing_fleet import PROMPT, SERVICE, placing_fleet
from lagoonlever.decisions.engines.uneven_engines import EngineSnapshot, UnevenChoice
from lagoonlever.decisions.streams.run_placement import Placed
from lagoonlever.decisions.targets.load_estimate import LoadSource
from lagoonlever.decisions.targets.reported_load import LoadReport, ReportedLoad
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_placement import PlacementTold

SETTLED_S = 3.0


def learn(beliefs: Beliefs, engine: str, pace: float, now: float) -> None:
    load = ReportedLoad(running=0.0, waiting=0.0, slots=16.0, slowness=1.0)
    beliefs.loads.record_report(LoadReport(target=engine, load=load, at=now))
    for _ in range(5):
        beliefs.book.timings.observe_prefill(SERVICE, engine, tokens=PROMPT, seconds=pace, now=now)


def test_the_log_tells_why_a_busier_engine_was_taken() -> None:
    async def story(fleet: Fleet) -> None:
        start_many(fleet, 9)
        await trio.sleep(SETTLED_S)
        vm = placing_fleet(fleet, engine_count=2)["vm-0"]
        learn(vm.vm.beliefs, "e-0", 0.7, trio.current_time())
        learn(vm.vm.beliefs, "e-1", 2.5, trio.current_time())
        with logbook.TestHandler() as lines:
            first = await vm.place("r-0")
            vm.peers.flows("r-0")
            second = await vm.place("r-1")
        assert [first.engine, second.engine] == ["e-0", "e-0"]
        told = [line.message for line in lines.records if "goes to e-0" in line.message]
        assert len(told) == 1 and "and not to e-1" in told[0] and "by answer" in told[0]

    run_fleet(story)


def test_a_hub_s_answer_carries_the_reasons_of_its_choice() -> None:
    seen = EngineSnapshot(engine="e", pace=0.7, slowness=1.0, age_s=0.1, source=LoadSource.RELAYED)
    choice = UnevenChoice(taken=seen, passed_over=seen)
    told = PlacementTold.of(1, Placed(engine="e", choice=choice), None)
    assert PEER.decode(PEER.encode(told)) == told
