"""Tunnels that are refused, late or broken off, and what the callers of bids are told then."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio

from lagoonlever.exceptions import ConnectFailed
from lagoonlever.fakes.path_proxy import PathState
from lagoonlever.fakes.raw_answers import raw_answer
from lagoonlever.gateway.dialer import TUNNEL_TIMEOUT_S
from lagoonlever.gateway.tunnel_desk import TunnelDesk
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Address
from lagoonlever.http.tunnel import (
    BAD_GATEWAY,
    FORBIDDEN,
    RECEIVE_BYTES,
    UNAVAILABLE,
    NoTunnel,
    Splice,
    TunnelRequest,
)
from lagoonlever.tests.gateway_calls_tests import UNPROVEN, runs
from lagoonlever.tests.gateway_site import GatewaySite, run_site
from lagoonlever.tests.handed_over_tests import cut
from lagoonlever.tests.refusal_heads_tests import judge

SETTLED_S = 0.3
"""From the answer to a caller until whatever is still under way has arrived."""
FEW = 10


def play(story: Callable[[GatewaySite], Awaitable[None]]) -> None:
    """Play a story at a VM whose paths are cut, beside another one that has them."""

    async def cut_off(site: GatewaySite) -> None:
        await cut(site)
        await story(site)

    run_site(cut_off, engines=0, runners=1, vms=2, cuttable=True)


@pytest.mark.parametrize("status", [UNAVAILABLE, BAD_GATEWAY, FORBIDDEN])
def test_a_bid_whose_tunnel_is_refused_reaches_no_runner(
    status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is called unrun by the VM that could not send it, and not by a runner."""

    async def refuse(desk: TunnelDesk, request: TunnelRequest) -> NoTunnel:
        return NoTunnel(status=status)

    async def story(site: GatewaySite) -> None:
        assert await judge(site, "first") == 503
        await trio.sleep(SETTLED_S)
        assert not site.runners["runner-0"].arrivals

    monkeypatch.setattr(TunnelDesk, "_dial", refuse)
    play(story)


def test_a_bid_whose_tunnels_are_all_late_reaches_no_runner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is called unrun, and tunnels that open after that carry nothing."""
    dial = TunnelDesk._dial

    async def dial_late(desk: TunnelDesk, request: TunnelRequest) -> trio.SocketStream | NoTunnel:
        await trio.sleep(2 * TUNNEL_TIMEOUT_S)
        return await dial(desk, request)

    async def story(site: GatewaySite) -> None:
        assert await judge(site, "first") == 503
        await trio.sleep(2 * TUNNEL_TIMEOUT_S + SETTLED_S)
        assert not site.runners["runner-0"].arrivals

    monkeypatch.setattr(TunnelDesk, "_dial", dial_late)
    play(story)


@pytest.mark.parametrize("passes_on", [True, False])
def test_a_bid_whose_tunnel_breaks_once_its_bytes_are_in_it_is_not_called_unrun(
    passes_on: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The VM between took the bid and died; from outside nobody sees whether it passed it on."""

    async def break_off(splice: Splice) -> None:
        data = await splice._near.receive_some(RECEIVE_BYTES)
        if passes_on:
            await splice._far.send_all(data)
            await trio.sleep(SETTLED_S)
        raise trio.BrokenResourceError

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].work_s = 2 * SETTLED_S
        monkeypatch.setattr(Splice, "_pass_requests", break_off)
        assert await judge(site, "first") in UNPROVEN
        assert runs(site)["first"] == (1 if passes_on else 0)

    play(story)


@pytest.mark.parametrize("status", ["503 Service Unavailable", "502 Bad Gateway"])
def test_a_bid_that_ran_is_not_called_unrun_by_an_answer_of_the_vm_between(
    status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The VM between passes a bid on, and then answers in place of the runner."""

    async def answer_itself(splice: Splice) -> None:
        await splice._far.receive_some(RECEIVE_BYTES)
        await splice._near.send_all(raw_answer((("Connection", "close"),), status=status))

    async def story(site: GatewaySite) -> None:
        monkeypatch.setattr(Splice, "_pass_answers", answer_itself)
        assert await judge(site, "first") in UNPROVEN
        assert runs(site)["first"] == 1

    play(story)


@pytest.mark.parametrize("state", list(PathState))
def test_a_bid_that_several_ways_were_tried_for_runs_once(state: PathState) -> None:
    """Connections by way of another VM are made beside the VM's own, and one of them is used."""

    async def story(site: GatewaySite) -> None:
        await cut(site, state=state)
        for number in range(FEW):
            assert await judge(site, f"bid-{number}") == 200
        await trio.sleep(SETTLED_S)
        assert set(runs(site).values()) == {1}

    run_site(story, engines=0, runners=2, vms=3, cuttable=True)


def test_a_target_is_not_called_down_by_a_vm_whose_paths_are_just_back() -> None:
    """Its path to the target is tried before it is back, and that to another one after."""

    async def story(site: GatewaySite) -> None:
        await site.wait_met()
        parts = site.vms["vm-0"].daemon.parts
        address, dialer = site.addresses["engine-0"], parts.dialer
        open_direct, failures = dialer._open_direct, []

        async def open_later(target: Address, *, timeout_s: float) -> ClientConnection:
            if target == address and not failures:
                failures.append(target)
                raise ConnectFailed("refused", step="connect", peer=str(target))
            return await open_direct(target, timeout_s=timeout_s)

        dialer._open_direct = open_later
        outcome = await parts.tunnel_desk._open(address)
        assert failures
        assert isinstance(outcome, trio.SocketStream)
        await outcome.aclose()

    run_site(story, engines=3, runners=1, vms=1)
