"""Clients that don't behave: a process outlives them within its machine, and serves others.

Each test starts a gateway of its own as a process on a small machine. What is checked doesn't
depend on the machine's speed: life, memory, open descriptors, and ordinary requests.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest
import trio

from lagoonlever.gateway.settings import GatewaySettings
from lagoonlever.http.messages import Address
from lagoonlever.soak import crowd_clients as kinds
from lagoonlever.soak.crowd_clients import Client, Crowd, Kind
from lagoonlever.tests.base import until
from lagoonlever.tests.crowd_site import (
    BODY_BYTES,
    HEADER_BYTES,
    MACHINE_DESCRIPTORS,
    CrowdSite,
    run_crowd,
)
from lagoonlever.tests.gateway_site import KEY

pytestmark = pytest.mark.timeout(300)

BODIES = 80
"""Clients with large bodies: together they send more than the machine has."""
TINY = 20
"""Clients with tiny chunks, which cost a process the most for each byte."""
CONNECTIONS = 400
"""More than the process may have descriptors."""
ABSURD_BYTES = 10**12
SLOW_READERS = 40
NEW_CALLERS = 5
"""Beside the slow readers: fewer than the connections that are left."""
CALLER_GAP_S = 0.6
"""Between two of them, so that answers are read from their runner beside each."""
NAMING, NAMED_EACH = 20, 100
NAMED_PARTS = 500
NAMED_WAIT_S = 5.0
ANSWER_GAP_S = 0.1
"""Answers that are read from their runner at the same time have a bound of their own."""

LISTENERS: dict[str, Callable[[GatewaySettings], Address | None]] = {
    "front": lambda settings: settings.listen,
    "readiness": lambda settings: settings.readiness,
    "directory": lambda settings: settings.directory,
    "metrics": lambda settings: settings.metrics,
}


def address_of(site: CrowdSite, listener: str) -> Address:
    address = LISTENERS[listener](site.settings)
    assert address is not None
    return address


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize(
    "kind",
    [
        kinds.unfinished_chunks(BODY_BYTES),
        kinds.unfinished_length(BODY_BYTES),
        kinds.far_over(BODY_BYTES),
        kinds.whole_bodies(BODY_BYTES),
    ],
    ids=["unfinished-chunks", "unfinished-length", "far-over", "whole"],
)
def test_large_bodies_of_a_crowd_stay_within_the_machine(
    tmp_path: Path, listener: str, kind: Kind
) -> None:
    """Guards against a process that ends as it holds the bodies of many clients at once."""

    async def story(site: CrowdSite) -> None:
        await site.bear(Crowd(address=address_of(site, listener), key=KEY, kind=kind, count=BODIES))

    run_crowd(story, tmp_path)


@pytest.mark.parametrize("listener", LISTENERS)
def test_tiny_chunks_of_a_crowd_stay_within_the_machine(tmp_path: Path, listener: str) -> None:
    """Guards against bodies of many small objects, and a process that never has another turn."""

    async def story(site: CrowdSite) -> None:
        kind = kinds.tiny_chunks(BODY_BYTES)
        await site.bear(Crowd(address=address_of(site, listener), key=KEY, kind=kind, count=TINY))

    run_crowd(story, tmp_path)


def test_a_gateway_under_a_crowd_is_not_taken_for_dead_by_another(tmp_path: Path) -> None:
    """Guards against a process that neither speaks nor hears as it parses what a crowd sends."""

    async def story(site: CrowdSite) -> None:
        kind = kinds.tiny_chunks(BODY_BYTES)
        await site.bear(Crowd(address=site.settings.listen, key=KEY, kind=kind, count=BODIES))
        assert not site.judged_silent()

    run_crowd(story, tmp_path, with_neighbor=True)


@pytest.mark.parametrize("listener", [*LISTENERS, "tunnel"])
@pytest.mark.parametrize(
    "kind",
    [kinds.silence, kinds.unfinished_heads(HEADER_BYTES)],
    ids=["silent", "unfinished-heads"],
)
def test_connections_of_a_crowd_leave_descriptors_for_others(
    tmp_path: Path, listener: str, kind: Kind
) -> None:
    """Guards against a process that has no descriptor left for callers, runners and the store."""

    async def story(site: CrowdSite) -> None:
        tunnel = site.settings.tunnel
        assert tunnel is not None
        address = tunnel if listener == "tunnel" else address_of(site, listener)
        await site.bear(Crowd(address=address, key=KEY, kind=kind, count=CONNECTIONS))

    run_crowd(story, tmp_path)


def test_answers_that_nobody_reads_stay_within_the_machine(tmp_path: Path) -> None:
    """Guards against answers that fill the memory as they wait for clients that don't read."""

    async def story(site: CrowdSite) -> None:
        crowd = Crowd(
            address=site.settings.listen,
            key=KEY,
            kind=kinds.ask_for_a_large_answer,
            count=SLOW_READERS,
            reads=False,
            gap_s=ANSWER_GAP_S,
        )
        await site.bear(crowd)

    run_crowd(story, tmp_path)


def test_callers_that_have_just_connected_are_answered_beside_large_answers(tmp_path: Path) -> None:
    """Guards against new connections that are closed for others' answers, before they ask."""

    async def connect_and_ask(client: Client) -> None:
        await trio.sleep(2 * ANSWER_GAP_S)
        await client.send(client.head("Content-Length: 0", path="/look/ordinary"))

    async def story(site: CrowdSite) -> None:
        front = site.settings.listen
        slow = Crowd(
            address=front,
            key=KEY,
            kind=kinds.ask_for_a_large_answer,
            count=SLOW_READERS,
            reads=False,
            gap_s=ANSWER_GAP_S,
        )
        callers = Crowd(
            address=front, key=KEY, kind=connect_and_ask, count=NEW_CALLERS, gap_s=CALLER_GAP_S
        )
        await site.bear(slow, callers)
        assert [each.status for each in callers.clients] == [200] * NEW_CALLERS

    run_crowd(story, tmp_path)


def test_all_kinds_of_clients_at_once_stay_within_the_machine(tmp_path: Path) -> None:
    """Guards against bounds that hold for one kind of client alone."""

    async def story(site: CrowdSite) -> None:
        front = site.settings.listen
        mixed = (
            kinds.unfinished_chunks(BODY_BYTES),
            kinds.unfinished_length(BODY_BYTES),
            kinds.far_over(BODY_BYTES),
            kinds.whole_bodies(BODY_BYTES),
            kinds.tiny_chunks(BODY_BYTES),
            kinds.silence,
            kinds.unfinished_heads(HEADER_BYTES),
        )
        await site.bear(*(Crowd(address=front, key=KEY, kind=kind, count=TINY) for kind in mixed))

    run_crowd(story, tmp_path)


@pytest.mark.parametrize(
    "kind",
    [
        kinds.unfinished_chunks(3 * BODY_BYTES),
        kinds.far_over(BODY_BYTES),
        kinds.unfinished_heads(64 * HEADER_BYTES),
    ],
    ids=["unfinished-chunks", "far-over", "unfinished-heads"],
)
def test_absurd_limits_leave_a_process_within_its_machine(tmp_path: Path, kind: Kind) -> None:
    """Guards against an order of the operators that takes away what bounds a process."""

    async def story(site: CrowdSite) -> None:
        before = Crowd(
            address=site.settings.listen,
            key=KEY,
            kind=kinds.unfinished_length(BODY_BYTES),
            count=TINY,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(before.run)
            await site.change_limits(version=2, body_bytes=ABSURD_BYTES, header_bytes=ABSURD_BYTES)
            await site.bear(Crowd(address=site.settings.listen, key=KEY, kind=kind, count=BODIES))
            await site.change_limits(version=3, body_bytes=1000, header_bytes=HEADER_BYTES)
            assert (await site.ordinary()).status == 200
            nursery.cancel_scope.cancel()

    run_crowd(story, tmp_path)


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"length": kinds.FAR_OVER_BYTES}, 413),
        ({"length": BODY_BYTES, "path": "/nowhere/1"}, 404),
        ({"length": BODY_BYTES, "key": "nobody's"}, 401),
    ],
    ids=["too-large", "no-route", "no-key"],
)
def test_a_body_that_will_be_refused_is_not_waited_for(
    tmp_path: Path, fields: dict[str, object], status: int
) -> None:
    """Guards against memory and time for bodies whose heads tell already that they are refused."""
    more = {name: str(value) for name, value in fields.items() if name != "length"}

    async def only_head(client: Client) -> None:
        await client.send(client.head(f"Content-Length: {fields['length']}", **more))

    async def story(site: CrowdSite) -> None:
        crowd = Crowd(address=site.settings.listen, key=KEY, kind=only_head, count=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.run)
            await until(lambda: crowd.clients and crowd.clients[0].status is not None)
            nursery.cancel_scope.cancel()
        assert crowd.clients[0].status == status
        assert (await site.ordinary()).status == 200
        site.check()

    run_crowd(story, tmp_path)


@pytest.mark.parametrize(
    "framing",
    ["length", "chunks", "tiny-chunks"],
)
def test_one_body_of_the_largest_size_is_served_in_calm(tmp_path: Path, framing: str) -> None:
    """Guards against bounds that shut out what the limits allow."""

    async def send(client: Client) -> None:
        if framing == "length":
            await client.send(client.head(f"Content-Length: {BODY_BYTES}"))
            for piece in kinds.pieces(BODY_BYTES):
                await client.send(piece)
            return
        await client.send(client.head("Transfer-Encoding: chunked"))
        if framing == "chunks":
            for piece in kinds.pieces(BODY_BYTES):
                await client.send(kinds.chunk(piece))
        else:
            for _ in range(64):
                await client.send(kinds.TINY_CHUNK * (BODY_BYTES // 128))
        await client.send(b"0\r\n\r\n")

    async def story(site: CrowdSite) -> None:
        crowd = Crowd(address=site.settings.listen, key=KEY, kind=send, count=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.run)
            await until(lambda: crowd.clients and _is_answered(crowd.clients[0]))
            nursery.cancel_scope.cancel()
        assert b"answer to %d bytes" % BODY_BYTES in crowd.clients[0].answer
        assert (await site.ordinary()).status == 200
        site.check()

    run_crowd(story, tmp_path)


def test_one_head_of_the_largest_size_is_served_in_calm(tmp_path: Path) -> None:
    """Guards against bounds that shut out what the limits allow."""

    async def send(client: Client) -> None:
        fields = ("Content-Length: 0", "X-Filler: ")
        filler = "x" * (HEADER_BYTES - len(client.head(*fields)))
        await client.send(client.head("Content-Length: 0", f"X-Filler: {filler}"))

    async def story(site: CrowdSite) -> None:
        crowd = Crowd(address=site.settings.listen, key=KEY, kind=send, count=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.run)
            await until(lambda: crowd.clients and _is_answered(crowd.clients[0]))
            nursery.cancel_scope.cancel()
        assert b"answer to 0 bytes" in crowd.clients[0].answer
        assert (await site.ordinary()).status == 200
        site.check()

    run_crowd(story, tmp_path)


def test_names_that_clients_choose_do_not_fill_a_process(tmp_path: Path) -> None:
    """Guards against tables that grow with each path, id and part of a prompt ever named."""

    async def name_much(client: Client) -> None:
        for number in range(NAMED_EACH):
            first = f"{id(client):x}{number:04x}"
            parts = ",".join(f"{first}{part:03x}:10" for part in range(NAMED_PARTS))
            fields = ("Content-Length: 0", f"Prompt-Prefix: {parts}", f"X-Own: {first}")
            await client.send(client.head(*fields, path=f"/look/{first}?{first}"))
            client.answer = b""
            with trio.move_on_after(NAMED_WAIT_S):
                await until(lambda: client.answer)

    async def story(site: CrowdSite) -> None:
        crowd = Crowd(address=site.settings.listen, key=KEY, kind=name_much, count=NAMING)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crowd.run)
            await until(lambda: crowd.is_settled)
            nursery.cancel_scope.cancel()
        assert (await site.ordinary()).status == 200
        site.check()
        assert site.runs >= NAMING * NAMED_EACH // 2, "too few requests were served to tell"

    run_crowd(story, tmp_path)


def _is_answered(client: Client) -> bool:
    return client.status not in (None, 200) or b"answer to" in client.answer


def test_descriptors_of_the_machine_are_fewer_than_the_crowd() -> None:
    """Guards against a crowd that would not show the fault."""
    assert CONNECTIONS > MACHINE_DESCRIPTORS
