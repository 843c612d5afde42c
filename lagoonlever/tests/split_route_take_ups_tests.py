"""Streams of a route that leads to several services, taken up by callers that name no beginning."""

from __future__ import annotations

import itertools
import random

import pytest

from lagoonlever.decisions.settings.configuration import ServiceRoute
from lagoonlever.tests.gateway_site import GatewaySite, Stream, configuration, run_site, until
from lagoonlever.tests.stream_versions_tests import EVENTS, begin, restart, versions_of

STREAMS = 4


def _draw_in_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have a route draw its services in turn: a VM that starts anew draws as it did before."""
    turns = itertools.count()

    def choose(route: ServiceRoute, rng: random.Random) -> str:
        return route.services[next(turns) % len(route.services)].name

    monkeypatch.setattr(ServiceRoute, "choose_service", choose)


async def _split(site: GatewaySite) -> None:
    """Lead the route of streams to two services, whose engines have versions of the same name."""
    document = configuration(2)
    document["Routes"][0]["TrafficSplit"] = [
        {"Service": "engines", "Weight": 50},
        {"Service": "others", "Weight": 50},
    ]
    del document["Routes"][0]["Service"]
    document["Services"].append({**document["Services"][0], "Name": "others"})
    site.configure(document)
    for number in range(2):
        await site.start_engine(f"one-{number}", version="v1")
        engine = await site.start_engine(f"other-{number}", version="v1")
        # The name of its version as its events tell it: a caller can see which service wrote.
        engine.version = "other-v1"
        site.list_target(f"other-{number}", service="others", started_ms=engine.started_ms)
    await until(lambda: all(_knows_split(site, vm) for vm in site.vms))


def _knows_split(site: GatewaySite, vm: str) -> bool:
    beliefs = site.vms[vm].daemon.parts.beliefs
    others = [t for t in beliefs.targets.targets if t.service == "others"]
    is_recorded = all(beliefs.versions.of(name) == {"v1"} for name in ("engines", "others"))
    return beliefs.version == 2 and len(others) == 2 and is_recorded


async def _come_back(site: GatewaySite, former: Stream, part: str, *, vm: str) -> Stream:
    """Come back with the events of a stream, without a word on which request brought them."""
    return await site.stream(part, vm=vm, events=EVENTS, Last_Event_Id=str(former.last_event))


def test_a_caller_that_names_no_beginning_goes_on_at_no_other_service_after_a_loss_of_all_vms(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nobody knows where its stream began; a service drawn by the route's weights is a guess."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await _split(site)
        _draw_in_turn(monkeypatch)
        for number in range(STREAMS):
            part = f"p-{number}"
            first = await begin(site, part)
            for vm in site.vms.values():
                vm.kill()
            await restart(site, "vm-0", "vm-1")
            await until(lambda: all(_knows_split(site, vm) for vm in site.vms))
            second = await _come_back(site, first, part, vm="vm-1")
            assert len(versions_of(first, second)) == 1, number

    run_site(story, engines=0)


def test_a_caller_that_names_no_beginning_goes_on_where_its_question_ran_last(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusing each such caller: a VM that lives has heard of its run."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await _split(site)
        _draw_in_turn(monkeypatch)
        for number in range(STREAMS):
            part = f"p-{number}"
            first = await begin(site, part)
            second = await _come_back(site, first, part, vm="vm-1")
            assert second.whole
            assert len(versions_of(first, second)) == 1, number
            await restart(site, "vm-0")
            await site.wait_met()

    run_site(story, engines=0)
