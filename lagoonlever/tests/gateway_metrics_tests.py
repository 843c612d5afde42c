"""The metrics of a gateway, as a scraper sees them."""

from __future__ import annotations

import attrs

from lagoonlever.gateway.metrics import REQUESTS
from lagoonlever.http.client import fetch
from lagoonlever.tests.free_ports import free_address
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until


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
