"""What connections of a server hold is paid for, and paid back on each way out."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable

import attrs
import pytest
import trio

from lagoonlever.decisions.admission.held_memory import CONNECTION_BYTES, MB, MemoryAccount
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerGuard, ServerLimits, ServerState
from lagoonlever.tests.base import until

LIMITS = ServerLimits(
    body_bytes=2 * MB,
    header_bytes=8_000,
    header_timeout_s=0.3,
    request_timeout_s=0.5,
    idle_timeout_s=0.5,
    write_timeout_s=0.5,
    connections=50,
)
ACCOUNT_BYTES = 8 * MB
LIMIT_S = 60
RESET = struct.pack("ii", 1, 0)
HALF = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 300_000
CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


@attrs.define(kw_only=True)
class Served:
    """A server under test."""

    address: Address
    guard: ServerGuard
    state: ServerState

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream(self.address.host, self.address.port)


Story = Callable[[Served], Awaitable[None]]


async def handle(exchange: Exchange) -> None:
    path = exchange.request.path
    if path == "/fault":
        raise ValueError("a fault of the handler")
    if path == "/large":
        assert exchange.pay_answer(3 * MB)
        await exchange.respond(status=200, headers=Headers(), body=b"x" * 3 * MB)
        return
    if path == "/until-gone":
        await exchange.wait_gone()
        return
    await exchange.respond(status=200, headers=Headers(), body=exchange.request.body)


async def refuse_all(exchange: Exchange) -> bool:
    if exchange.request.headers.get("X-Refuse") is None:
        return False
    await exchange.respond(status=404, headers=Headers(), body=b"")
    return True


def serving(story: Story) -> None:
    """Run a story, and check that nothing is held after it."""

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        port = listeners[0].socket.getsockname()[1]
        guard = ServerGuard(memory=MemoryAccount(capacity_bytes=ACCOUNT_BYTES))
        served = Served(
            address=Address(host="127.0.0.1", port=port), guard=guard, state=ServerState()
        )
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:

                async def serve() -> None:
                    await serve_http(
                        handler=handle,
                        listeners=listeners,
                        limits=LIMITS,
                        state=served.state,
                        guard=guard,
                        check_head=refuse_all,
                    )

                nursery.start_soon(serve)
                await story(served)
                await until(lambda: guard.memory.held_bytes == 0)
                assert served.state.open_connections == 0
                assert served.state.leaving_connections == 0
                nursery.cancel_scope.cancel()

    trio.run(main)


async def read_all(stream: trio.SocketStream) -> bytes:
    answer = b""
    try:
        while data := await stream.receive_some(65_536):
            answer += data
    except trio.BrokenResourceError:
        pass
    return answer


SHORT_FIELDS = 1_900
SHORT_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n" + SHORT_FIELDS * b"a:\r\n"
HELD_OF_A_FIELD = 150
"""Bytes that a field holds at the least once it is parsed."""
ITEMS = 1_500
HEADS = {
    "fields": (SHORT_HEAD + b"Content-Length: 9\r\n\r\nab", SHORT_FIELDS),
    "chunks": (SHORT_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n", SHORT_FIELDS),
    "query": (
        b"POST /?" + b"&".join(b"%x=1" % n for n in range(ITEMS)) + b" HTTP/1.1\r\nHost: h\r\n"
        b"Content-Length: 9\r\n\r\nab",
        ITEMS,
    ),
}
WAYS_OUT = {
    "nothing-sent": (b"", b""),
    "half-a-head": (b"GET / HTTP/1.1\r\nHost", b" 408 "),
    "half-a-body": (HALF, b" 408 "),
    "half-a-chunk": (CHUNKED + b"ffff\r\n" + b"x" * 60_000, b" 408 "),
    "too-large": (HALF.replace(b"1000000", b"9000000"), b" 413 "),
    "too-large-in-chunks": (CHUNKED + 40 * (b"10000\r\n" + b"x" * 65_536 + b"\r\n"), b" 413 "),
    "too-large-a-head": (b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000, b" 431 "),
    "no-http": (b"\x00\x01\r\n\r\n", b" 400 "),
    "refused-by-its-head": (HALF.replace(b"Host: h", b"Host: h\r\nX-Refuse: 1"), b" 404 "),
    "handler-fails": (b"GET /fault HTTP/1.1\r\nHost: h\r\n\r\n", b""),
    "many-fields": (HEADS["fields"][0], b" 408 "),
    "many-fields-served": (SHORT_HEAD + b"Content-Length: 2\r\n\r\nab", b" 200 "),
    "many-items": (HEADS["query"][0], b" 408 "),
    "served-twice": (2 * b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", b" 200 "),
    "pipelined-rest": (
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab" + HALF,
        b" 200 ",
    ),
}


@pytest.mark.parametrize("way", WAYS_OUT)
def test_what_was_held_is_paid_back(way: str) -> None:
    """Guards against a leak in the account, which ends the service as surely as memory would."""
    sent, expected = WAYS_OUT[way]

    async def story(served: Served) -> None:
        async with await served.connect() as stream:
            if sent:
                await stream.send_all(sent)
            answer = await read_all(stream)
        assert expected in answer

    serving(story)


@pytest.mark.parametrize(
    "sent", [b"GET / HT", HALF, b"GET /until-gone HTTP/1.1\r\nHost: h\r\n\r\n"]
)
def test_what_a_caller_that_resets_held_is_paid_back(sent: bytes) -> None:
    """Guards against a leak where a caller vanishes, also while its request is served."""

    async def story(served: Served) -> None:
        stream = await served.connect()
        await stream.send_all(sent)
        await until(lambda: served.guard.memory.held_bytes > CONNECTION_BYTES)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        await stream.aclose()

    serving(story)


def test_what_an_answer_held_that_nobody_reads_is_paid_back() -> None:
    """Guards against answers that are cut for their slow readers and stay in the account."""

    async def story(served: Served) -> None:
        stream = await served.connect()
        await stream.send_all(b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
        await until(lambda: served.guard.memory.held_bytes >= 3 * MB)
        await until(lambda: served.guard.memory.held_bytes == 0)
        await stream.aclose()

    serving(story)


def test_those_that_give_way_are_told_and_hold_nothing() -> None:
    """Guards against a full account that stays full, and callers that are cut without a word."""

    async def story(served: Served) -> None:
        answers: list[bytes] = []

        async def send_half() -> None:
            async with await served.connect() as stream:
                try:
                    await stream.send_all(HALF + b"x" * 600_000)
                except trio.BrokenResourceError:
                    return
                answers.append(await read_all(stream))

        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(send_half)
        told = [answer for answer in answers if b" 503 " in answer]
        assert told
        assert all(b"Retry-After" in answer for answer in told)

    serving(story)


@pytest.mark.parametrize("head", HEADS)
def test_what_a_head_has_become_is_paid_for_as_its_body_comes(head: str) -> None:
    """Guards against heads of many short parts, which hold far more than their own bytes."""
    sent, parts = HEADS[head]

    async def story(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send_all(sent)
            paid = CONNECTION_BYTES + parts * HELD_OF_A_FIELD
            await until(lambda: served.guard.memory.held_bytes >= paid)
            await read_all(stream)

    serving(story)


def test_a_usual_head_is_paid_for_with_its_connection() -> None:
    """Guards against ordinary callers that are turned away for heads of many fields."""

    async def story(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send_all(b"GET /until-gone HTTP/1.1\r\nHost: h\r\n" + 20 * b"a: b\r\n")
            await stream.send_all(b"\r\n")
            await until(lambda: served.state.open_exchanges == 1)
            assert served.guard.memory.held_bytes < CONNECTION_BYTES + 1_000

    serving(story)
