"""What a VM tells callers by itself: "not run" only of what never reaches a target, also later."""

from __future__ import annotations

import contextlib
import errno
import itertools
import os
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import h11
import pytest
import trio

from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.streams.run_placement import Overloaded
from lagoonlever.exceptions import RequestRefused
from lagoonlever.fakes.metadata_store import StoreFault
from lagoonlever.fakes.platform_engine import EngineConduct
from lagoonlever.fakes.platform_runner import Conduct
from lagoonlever.gateway.attempt_planner import AttemptPlanner
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.parts import GatewayParts
from lagoonlever.gateway.target_client import CONNECT_TIMEOUT_S
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.outcomes import NOT_RUN_STATUSES
from lagoonlever.tests.gateway_site import (
    POLL_S,
    GatewaySite,
    Vm,
    configuration,
    route,
    run_site,
    until,
)

LIMIT_S = 30
LATER_S = 0.5
"""After an answer, in which bytes that are still under way reach a runner."""
HEAD = b"POST /bid/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"


async def read_all(stream: trio.SocketStream) -> bytes:
    """Read until the server closes."""
    answer = b""
    while piece := await stream.receive_some(65_536):
        answer += piece
    return answer


def status_of(answer: bytes) -> int | None:
    """Return the status of the first answer, or None if the connection just ended."""
    return int(answer.split(b" ", 2)[1]) if answer else None


@pytest.mark.parametrize(
    "fault",
    [
        lambda: RequestRefused(status=408, field="body", message="did not arrive in time"),
        lambda: RequestRefused(status=503, message="a target is full"),
        lambda: h11.RemoteProtocolError("a target sent no HTTP", error_status_hint=503),
    ],
    ids=["late", "full", "no-http"],
)
def test_what_a_handler_raises_is_not_told_as_a_refusal(fault: Callable[[], Exception]) -> None:
    """Guards against "not run" for a request that was handed on before its handler failed."""
    handed_on: list[bytes] = []

    async def hand_on(exchange: Exchange) -> None:
        handed_on.append(exchange.request.body)
        raise fault()

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:

                async def serve() -> None:
                    await serve_http(
                        handler=hand_on,
                        listeners=listeners,
                        limits=ServerLimits(),
                        state=ServerState(),
                    )

                nursery.start_soon(serve)
                async with await trio.open_tcp_stream(address.host, address.port) as stream:
                    await stream.send_all(HEAD + b"\r\nbid")
                    answer = await read_all(stream)
                assert handed_on == [b"bid"]
                assert status_of(answer) not in NOT_RUN_STATUSES, answer
                nursery.cancel_scope.cancel()

    trio.run(main)


def bid_head(site: GatewaySite, request: str, *, body_bytes: int = 3) -> bytes:
    """Return the head of a bid with a body."""
    fields = site.headers(request).with_field("Content-Length", str(body_bytes))
    lines = [f"{name}: {value}" for name, value in fields.pairs]
    return "\r\n".join(["POST /bid/1 HTTP/1.1", *lines, "", ""]).encode()


async def connect(site: GatewaySite) -> trio.SocketStream:
    """Connect to the first VM of a site as a caller does."""
    address = site.vms["vm-0"].settings.listen
    return await trio.open_tcp_stream(address.host, address.port)


async def read_statuses(stream: trio.SocketStream, *, count: int) -> list[int]:
    """Read until so many answers have begun, and return their statuses."""
    answer = b""
    while answer.count(b"HTTP/1.1 ") < count:
        piece = await stream.receive_some(65_536)
        assert piece, answer
        answer += piece
    return [int(part[:3]) for part in answer.split(b"HTTP/1.1 ")[1:]]


async def until_listening(vm: Vm) -> None:
    """Wait until a VM takes connections."""
    address = vm.settings.listen
    while True:
        with contextlib.suppress(OSError):
            await (await trio.open_tcp_stream(address.host, address.port)).aclose()
            return
        await trio.sleep(POLL_S)


def runs(site: GatewaySite) -> Counter[str]:
    """Return how often each request was run, by the books of all runners."""
    return sum((runner.runs for runner in site.runners.values()), Counter())


def wait_for_bodies(monkeypatch: pytest.MonkeyPatch, *, seconds: float) -> None:
    """Have VMs wait so long for the body of a request."""
    limits = GatewayParts.server_limits

    def with_timeout(parts: GatewayParts) -> ServerLimits:
        return attrs.evolve(limits(parts), request_timeout_s=seconds)

    monkeypatch.setattr(GatewayParts, "server_limits", with_timeout)


def connect_to_runners(
    monkeypatch: pytest.MonkeyPatch, site: GatewaySite, before: Callable[[], Awaitable[None]]
) -> None:
    """Have something happen before each connection to a runner is made."""
    open_tcp_stream = trio.open_tcp_stream
    ports = {site.addresses[name].port for name in site.runners}

    async def open_after(host: str, port: int, **more: Any) -> trio.SocketStream:
        if port in ports:
            await before()
        return await open_tcp_stream(host, port, **more)

    monkeypatch.setattr(trio, "open_tcp_stream", open_after)


async def connect_slowly() -> None:
    """Open a connection nearly as late as a VM waits for it."""
    await trio.sleep(CONNECT_TIMEOUT_S * 0.8)


def test_a_bid_whose_body_is_late_is_told_unrun_and_never_arrives(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a bid that is handed on with the body that came after its 408."""
    wait_for_bodies(monkeypatch, seconds=0.2)

    async def story(site: GatewaySite) -> None:
        async with await connect(site) as stream:
            await stream.send_all(bid_head(site, "late") + b"b")
            assert await read_statuses(stream, count=1) == [408]
            await stream.send_all(b"id" + bid_head(site, "behind") + b"bid")
            await read_all(stream)
        await trio.sleep(LATER_S)
        assert not runs(site)

    run_site(story, engines=0, vms=1)


def test_a_bid_behind_another_one_gets_its_own_refusal_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the 408 of a pipelined bid that is taken for the answer of the one before."""
    wait_for_bodies(monkeypatch, seconds=0.2)

    async def story(site: GatewaySite) -> None:
        for runner in site.runners.values():
            runner.work_s = 0.5
        async with await connect(site) as stream:
            first, second = bid_head(site, "first"), bid_head(site, "second")
            await stream.send_all(first + b"bid" + second + b"b")
            assert await read_statuses(stream, count=2) == [200, 408]
            await stream.send_all(b"id")
            await read_all(stream)
        await trio.sleep(LATER_S)
        assert runs(site) == {"first": 1}

    run_site(story, engines=0, vms=1)


def test_pipelined_bids_get_the_answers_of_their_own() -> None:
    """Guards against a refused bid's 503 that is told of the bid behind it, which runs."""

    async def story(site: GatewaySite) -> None:
        site.runners["runner-0"].conducts.append(Conduct.REFUSE)
        async with await connect(site) as stream:
            bids = [bid_head(site, name) + b"bid" for name in ("refused", "served")]
            await stream.send_all(b"".join(bids))
            assert await read_statuses(stream, count=2) == [503, 200]
        assert runs(site) == {"served": 1}

    run_site(story, engines=0, vms=1, runners=1)


def test_a_bid_that_a_starting_vm_has_refused_is_not_sent_once_it_knows_more() -> None:
    """Guards against a held bid that goes on after its 503."""

    async def story(site: GatewaySite) -> None:
        site.store.fault = StoreFault.SILENT
        vm = await site.start_vm("vm-0")
        await until_listening(vm)
        answer = await site.call("/bid/1", headers=site.headers("held"))
        assert answer.status == 503
        assert answer.headers.get("Lagoonlever-Reason") == "starting"
        site.store.fault = StoreFault.NONE
        await until(lambda: vm.daemon.parts.beliefs.configuration.value is not None)
        assert (await site.call("/bid/1", headers=site.headers("next"))).status == 200
        await trio.sleep(LATER_S)
        assert runs(site) == {"next": 1}

    run_site(story, engines=0, vms=0)


def test_a_bid_for_which_no_descriptor_was_left_is_not_sent_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a bid that is told as unrun and tried again once descriptors are free."""

    async def no_descriptor() -> None:
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    async def story(site: GatewaySite) -> None:
        with monkeypatch.context() as full:
            connect_to_runners(full, site, no_descriptor)
            answer = await site.call("/bid/1", headers=site.headers("full"))
        assert answer.status == 503
        assert (await site.call("/bid/1", headers=site.headers("next"))).status == 200
        await trio.sleep(LATER_S)
        assert runs(site) == {"next": 1}

    run_site(story, engines=0, vms=1)


def test_a_bid_whose_time_ends_as_it_connects_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a bid that is told as unrun at its deadline, and written after it."""

    async def story(site: GatewaySite) -> None:
        connect_to_runners(monkeypatch, site, connect_slowly)
        for number in range(4):
            deadline = str(round(CONNECT_TIMEOUT_S * 700) + 20 * number)
            headers = site.headers(f"short-{number}", Deadline_Ms=deadline)
            answer = await site.call("/bid/1", headers=headers)
            await trio.sleep(LATER_S)
            assert answer.status not in NOT_RUN_STATUSES or not runs(site)[f"short-{number}"]

    run_site(story, engines=0, vms=1)


def test_a_bid_whose_caller_leaves_as_it_connects_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against work for nobody: the connection is made as the caller has left."""

    async def story(site: GatewaySite) -> None:
        connect_to_runners(monkeypatch, site, connect_slowly)
        async with await connect(site) as stream:
            await stream.send_all(bid_head(site, "left") + b"bid")
            await trio.sleep(CONNECT_TIMEOUT_S * 0.4)
        await trio.sleep(LATER_S)
        assert not runs(site)

    run_site(story, engines=0, vms=1)


def test_a_bid_under_way_is_not_repeated_as_its_route_begins_to_allow_it() -> None:
    """Guards against a bid that is judged by a configuration that came after it was written."""

    async def story(site: GatewaySite) -> None:
        for runner in site.runners.values():
            runner.work_s = 0.4
            runner.conducts.append(Conduct.LOSE_ANSWER)
        statuses: list[int] = []

        async def bid() -> None:
            statuses.append((await site.call("/bid/1", headers=site.headers("bid"))).status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(bid)
            await until(lambda: runs(site))
            document = configuration(2)
            document["Routes"][1] = route("bid", "/bid/", "idempotent", "apps", MaxAttempts=2)
            site.configure(document)
            beliefs = site.vms["vm-0"].daemon.parts.beliefs
            await until(lambda: is_in_force(beliefs, version=2))
        assert statuses[0] not in NOT_RUN_STATUSES
        assert runs(site) == {"bid": 1}

    run_site(story, engines=0, vms=1)


def is_in_force(beliefs: Beliefs, *, version: int) -> bool:
    """Check whether a VM knows a version of the configuration."""
    known = beliefs.configuration.value
    return known is not None and known.version == version


@pytest.mark.parametrize(
    "refusal",
    [
        RejectedWithRetryAfter(detail="no slot is free", retry_after_s=0.5),
        Overloaded(share=2.0, most=1.0),
    ],
    ids=["line", "load"],
)
def test_a_stream_is_not_told_unrun_as_its_second_attempt_is_turned_away(
    refusal: RejectedWithRetryAfter | Overloaded, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against "not run" by the word of whoever gives out room, after an answer was lost."""
    plan, plans = AttemptPlanner.plan, itertools.count()

    async def plan_once(planner: AttemptPlanner, *args: Any) -> object:
        return await plan(planner, *args) if next(plans) == 0 else refusal

    monkeypatch.setattr(AttemptPlanner, "plan", plan_once)

    async def story(site: GatewaySite) -> None:
        for engine in site.engines.values():
            engine.conducts.append(EngineConduct.LOSE_ANSWER)
        # A stream that has to wait for the record of versions is planned a second time.
        versions = site.vms["vm-0"].daemon.parts.beliefs.versions
        await until(lambda: versions.of("engines"))
        stream = await site.stream("lost")
        assert sum(engine.read_tokens["lost"] for engine in site.engines.values())
        assert stream.status not in NOT_RUN_STATUSES

    run_site(story, runners=0, vms=1)
