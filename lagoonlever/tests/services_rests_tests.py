"""Runners of services that refuse a request and ask for rest."""

from __future__ import annotations

import attrs
import pytest
import trio

from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.fakes.entry_parts import FixedTargets
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.http.server import serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.outcomes import RETRY_AFTER_HEADER
from lagoonlever.tests.services_site import Site, outcome, run_site, start, start_vms, targets_at

CALLS = 20
MOST_IN_REST = 2
"""Requests of one VM: the one that is refused, and one that was on its way."""


@attrs.define(kw_only=True, eq=False)
class Refusing:
    """A runner that refuses all and asks for rest."""

    rest: str
    arrived: int = 0

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        await serve_http(
            handler=self.handle, listeners=listeners, limits=ServerLimits(), state=ServerState()
        )

    async def handle(self, exchange: Exchange) -> None:
        """Refuse one request."""
        self.arrived += 1
        headers = Headers(((RETRY_AFTER_HEADER, self.rest),))
        await exchange.respond(status=503, headers=headers, body=b"")


async def with_refusing(site: Site, nursery: trio.Nursery, rest: str) -> Refusing:
    """Have VMs with a runner that refuses beside one that serves."""
    refusing = Refusing(rest=rest)
    addresses = [await start(nursery, run) for run in (refusing.run, site.apps[0].run)]
    targets = FixedTargets(targets=targets_at(tuple(addresses)))
    platform = await start(nursery, site.platform.run)
    site.vms[:] = await start_vms(nursery, targets, platform, ServiceSettings(), site.network)
    return refusing


@pytest.mark.parametrize("kind", ["bid", "look up"])
def test_a_runner_that_asked_for_rest_gets_nothing_until_it_is_over(kind: str) -> None:
    """Guards against further calls at a runner that has said for how long it wants none."""

    async def scenario(site: Site) -> None:
        async with trio.open_nursery() as nursery:
            refusing = await with_refusing(site, nursery, "30")
            for _ in range(CALLS):
                await (site.bid(0, key=None) if kind == "bid" else site.look_up(0))
            assert refusing.arrived <= MOST_IN_REST
            nursery.cancel_scope.cancel()

    run_site(scenario, apps=1)


def test_a_rest_that_is_over_or_cannot_be_read_holds_nothing_back() -> None:
    async def scenario(site: Site) -> None:
        for rest in ("0.05", "-1", "soon", "1e9", ""):
            async with trio.open_nursery() as nursery:
                refusing = await with_refusing(site, nursery, rest)
                for _ in range(CALLS):
                    await site.bid(0, key=None)
                    await trio.sleep(0.03)
                assert refusing.arrived > MOST_IN_REST, rest
                nursery.cancel_scope.cancel()

    run_site(scenario, apps=1)


def test_callers_are_told_not_run_while_all_runners_rest() -> None:
    async def scenario(site: Site) -> None:
        async with trio.open_nursery() as nursery:
            refusing = Refusing(rest="30")
            targets = FixedTargets(targets=targets_at((await start(nursery, refusing.run),)))
            platform = await start(nursery, site.platform.run)
            vms = await start_vms(nursery, targets, platform, ServiceSettings(), site.network)
            site.vms[:] = vms
            await site.bid(0, key=None)
            response = await site.bid(0, key=None)
            assert outcome(response) == "not-run"
            assert response.headers.get(RETRY_AFTER_HEADER) is not None
            assert refusing.arrived == 1
            nursery.cancel_scope.cancel()

    run_site(scenario, apps=0)
