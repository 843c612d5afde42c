"""Bids and lookups whose runners break, refuse, leave or freeze."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio

from lagoonlever.decisions.claims.keys import KEY_HEADER
from lagoonlever.decisions.targets.targets import Target
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.fakes.application import FakeApplication
from lagoonlever.fakes.entry_parts import FixedTargets
from lagoonlever.fakes.faults import FaultKind, FaultOrder
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address, Headers
from lagoonlever.outcomes import RETRY_AFTER_HEADER
from lagoonlever.tests.services_site import (
    HOST,
    Site,
    outcome,
    reason,
    run_site,
    start,
    start_vms,
    targets_at,
)


class RefusingTargets(FixedTargets):
    """Targets that all began to leave after they were chosen."""

    def check_before_dispatch(self, target: Target) -> bool:
        return False


async def close_at_once(listeners: list[trio.SocketListener]) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        await stream.aclose()

    await trio.serve_listeners(serve, listeners)


async def close_after_reading(listeners: list[trio.SocketListener]) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(10)
        await stream.aclose()

    await trio.serve_listeners(serve, listeners)


@pytest.mark.parametrize("runner", [close_at_once, close_after_reading])
@pytest.mark.parametrize("keyed", [True, False])
def test_a_connection_that_breaks_once_open_makes_the_answer_unknown(
    runner: Callable[[list[trio.SocketListener]], Awaitable[None]], keyed: bool
) -> None:
    """The runner's connection breaks while the bid is written, or is read half.

    Nobody can tell whether it ran, so it is not sent to the runner that is well.
    """

    async def scenario(site: Site) -> None:
        async with trio.open_nursery() as nursery:
            address = await start(nursery, runner)
            broken = FixedTargets(targets=targets_at((address,)))
            vms = await start_vms(nursery, broken, address, ServiceSettings(), site.network)
            site.vms[:] = vms
            key = site.mint(0) if keyed else None
            response = await site.bid(0, key=key)
            assert (outcome(response), reason(response)) == ("unknown", "connection-lost")
            if keyed:
                again = await site.bid(1, key=key)
                assert again.body == response.body
            nursery.cancel_scope.cancel()

    run_site(scenario, apps=0)


def test_an_answer_that_is_lost_is_unknown_for_good() -> None:
    """The runner executes the bid and its answer is lost; the dealer's client retries."""

    async def scenario(site: Site) -> None:
        key = site.mint(0)
        site.apps[0].inject(FaultOrder(kind=FaultKind.DROP_ANSWER))
        for vm in (0, 1, 0):
            assert outcome(await site.bid(vm, key=key)) == "unknown"
        assert site.executed == 1
        assert site.violations() == []

    run_site(scenario, apps=1)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("keyed", [True, False])
def test_a_bid_that_ran_is_not_told_as_not_run_by_its_runner_s_status(
    keyed: bool, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A service runs a bid and fails with a status by which others refuse."""

    async def run_and_fail(app: FakeApplication, exchange: Exchange, kind: str) -> None:
        app._executed[exchange.request.headers.get(KEY_HEADER)] += 1
        await exchange.respond(status=status, headers=Headers(), body=b"")

    async def scenario(site: Site) -> None:
        key = site.mint(0) if keyed else None
        for _ in range(2 if keyed else 1):
            answer = await site.bid(0, key=key)
            assert outcome(answer) in ("done", "unknown")
        assert site.executed == 1

    monkeypatch.setattr(FakeApplication, "_execute", run_and_fail)
    run_site(scenario)


def test_a_runner_that_refuses_connections_costs_nothing_but_another_try() -> None:
    """A runner is gone and not yet off the list: its port refuses, another runner takes the bid."""

    async def scenario(site: Site) -> None:
        for _ in range(5):
            assert outcome(await site.bid(0, key=site.mint(0))) == "done"
        assert site.executed == 5
        assert site.violations() == []

    run_site(scenario, apps=1, extra_targets=(Address(host=HOST, port=1),))


def test_with_no_runner_at_all_it_is_not_run() -> None:
    async def scenario(site: Site) -> None:
        key = site.mint(0)
        response = await site.bid(0, key=key)
        assert (outcome(response), reason(response)) == ("not-run", "no-target")
        assert response.headers.get(RETRY_AFTER_HEADER) is not None
        assert outcome(await site.bid(1, key=key)) == "not-run"

    run_site(scenario, apps=0, extra_targets=(Address(host=HOST, port=1),))


def test_lookups_pass_over_runners_that_are_gone() -> None:
    """Guards against a lookup that has no attempt left for the one runner that is there."""
    gone = tuple(Address(host=HOST, port=port) for port in (1, 2, 3))

    async def scenario(site: Site) -> None:
        answers = [outcome(await site.look_up(0, f"/prices/{item}")) for item in range(20)]
        assert answers == ["done"] * 20

    run_site(scenario, apps=1, extra_targets=gone)


def test_a_lookup_that_reached_no_runner_is_told_so() -> None:
    async def scenario(site: Site) -> None:
        response = await site.look_up(0)
        assert (outcome(response), reason(response)) == ("not-run", "no-target")

    run_site(scenario, apps=0, extra_targets=(Address(host=HOST, port=1),))


def test_targets_that_began_to_leave_get_nothing() -> None:
    """The runner is listed as leaving between the choice and the write."""

    async def scenario(site: Site) -> None:
        assert outcome(await site.bid(0, key=site.mint(0))) == "not-run"
        assert outcome(await site.look_up(0)) != "done"
        assert site.executed == 0

    run_site(scenario, fixed=RefusingTargets)


def test_a_frozen_runner_stalls_no_lookups() -> None:
    """One of three runners freezes; clerks' lookups are answered by the others in time."""

    async def scenario(site: Site) -> None:
        site.apps[0].inject(FaultOrder(kind=FaultKind.FREEZE))
        for item in range(60):
            assert outcome(await site.look_up(0, f"/prices/{item}")) == "done"
        counts = site.vms[0].router.lookup_counts
        assert counts.extra_attempts <= 15
        assert counts.unanswered == 0

    run_site(scenario)


def test_lookups_over_kept_connections_that_close_are_sent_again() -> None:
    """A runner closes an idle connection just as a lookup is written to it."""

    async def scenario(site: Site) -> None:
        for _ in range(4):
            assert outcome(await site.look_up(0)) == "done"
        for app in site.apps:
            app.inject(FaultOrder(kind=FaultKind.CLOSE_IDLE))
        assert outcome(await site.look_up(0)) == "done"

    run_site(scenario)
