"""The metrics of a gateway, as a scraper sees them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import logbook
import pytest

from lagoonlever.gateway import events
from lagoonlever.gateway.crash_watch import CrashWatch
from lagoonlever.gateway.metrics import REQUESTS, UNSERVED
from lagoonlever.http.client import fetch
from lagoonlever.outcomes import NotRun, Reason
from lagoonlever.tests.free_ports import free_address
from lagoonlever.tests.gateway_site import ORGANISATION, GatewaySite, run_site, until


def test_a_scrape_tells_what_was_counted_before_it() -> None:
    async def story(site: GatewaySite) -> None:
        vm = await site.start_vm("vm-8")
        vm.kill()
        vm.settings = attrs.evolve(vm.settings, metrics=free_address())
        vm = await site.start_vm("vm-8")
        await site.wait_ready(vm)
        await site.call("/bid/1", vm="vm-8")
        await site.stream("p1", vm="vm-8", events=5)
        reporter = vm.daemon.parts.reporter
        await until(lambda: reporter.tally.count(REQUESTS, "stream", "done"))
        metrics = vm.settings.metrics
        assert metrics is not None
        for _ in range(2):
            scraped = await fetch(metrics, path="/metrics", step="scrape", timeout_s=20.0)
            text = scraped.body.decode()
            assert (
                'lagoonlever_gateway_requests_total{kind="non-idempotent",outcome="done"} 1.0'
                in text
            )
            assert "lagoonlever_gateway_first_event_latency_seconds_count 1.0" in text
            assert "lagoonlever_gateway_configuration_version 1.0" in text
            assert 'lagoonlever_gateway_targets_told_load{source="answer"}' in text

    run_site(story, vms=1)


def _play(story: Callable[[GatewaySite], Awaitable[None]], *, engines: int) -> list[str]:
    """Return the routes and organisations that the lines of ended requests name."""
    with logbook.TestHandler().applicationbound() as handler:
        run_site(story, vms=1, engines=engines)
    ended = (events.REQUEST_ENDED, events.STREAM_ENDED)
    records = [r for r in handler.records if r.extra.get("event") in ended]
    return [f"{r.kwargs['route']} of {r.kwargs['organisation']}" for r in records]


def test_who_was_not_served_is_counted_by_kind_organisation_and_reason() -> None:
    """Guards against one kind or organisation that is starved unseen among all requests."""

    async def story(site: GatewaySite) -> None:
        assert (await site.stream("p1", Deadline_Ms="600")).status == 503
        await site.call("/nowhere/1")
        tally = site.vms["vm-0"].daemon.parts.reporter.tally
        for reason in (Reason.NO_TARGET, Reason.DEADLINE):
            if tally.count(UNSERVED, "stream", ORGANISATION, reason.value):
                break
        else:
            raise AssertionError(tally)
        assert tally.count(UNSERVED, "none", "none", Reason.BAD_REQUEST.value) == 1

    _play(story, engines=0)


def test_a_request_that_is_refused_at_once_is_told_with_its_route_and_organisation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The lines of barred requests named neither, so nobody could tell whom a bar starves."""
    barred = NotRun(reason=Reason.ENDS_TARGETS, message="barred")
    monkeypatch.setattr(CrashWatch, "refusal", lambda self, accepted: barred)

    async def story(site: GatewaySite) -> None:
        assert (await site.stream("p1")).status == 503
        tally = site.vms["vm-0"].daemon.parts.reporter.tally
        assert tally.count(UNSERVED, "stream", ORGANISATION, Reason.ENDS_TARGETS.value) == 1
        assert tally.count(REQUESTS, "stream", "not-run") == 1

    assert _play(story, engines=1) == [f"stream of {ORGANISATION}"]
