"""Which process wrote a stream's first event, where its engine's id or address has had several."""

from __future__ import annotations

import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.tests.gateway_site import GatewaySite, run_site, until
from lagoonlever.tests.stream_versions_tests import EVENTS, LOST_AT, serving, start_versions
from lagoonlever.tests.version_records_tests import _Connecting, _use_client, list_again


def test_a_report_from_before_the_connection_does_not_prove_who_writes() -> None:
    """Its engine told its start, ended, and another version answered on the new connection."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        await start_versions(site, v1=2)
        list_again(site, "v1-1", state="draining")
        await until(lambda: serving(site, "vm-0", "v1") == ["v1-0"])
        parts = site.vms["vm-0"].daemon.parts
        connect, prober = parts.client.connect, parts.prober
        asked: list[float] = []

        async def slow_connect(target: ListedTarget, **more: float) -> object:
            if not asked:
                asked.append(trio.current_time())
                report = await prober.ask(target, since=asked[0])
                assert report is not None
                site.crash("v1-0")
                await trio.sleep(0.005)
                await site.start_engine("v1-0", version="v2", listed=False)
            return await connect(target, **more)

        parts.client = _Connecting(client=parts.client, slow=slow_connect)
        _use_client(parts)

        def on_event(count: int) -> None:
            if count == LOST_AT // 2:
                list_again(site, "v1-1", state="ready")
            if count == LOST_AT * 4:
                site.crash("v1-0")

        stream = await site.stream("p-1", events=EVENTS, on_event=on_event, Deadline_Ms="3000")
        assert stream.last_event >= LOST_AT
        assert stream.versions == {"v2"}

    run_site(story, engines=0)
