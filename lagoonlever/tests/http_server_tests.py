"""Writes of the server to callers that read late, or no more."""

from __future__ import annotations

import trio
import trio.testing

from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import (
    CallerGone,
    Exchange,
    ServerLimits,
    ServerState,
    open_listeners,
    serve_http,
)

PIECE = bytes(range(256)) * 256
PIECES = 400
"""Together far more than the buffers of two sockets."""


async def serve(nursery: trio.Nursery, handler: object, limits: ServerLimits) -> Address:
    listeners = await open_listeners(host="127.0.0.1", port=0)
    host, port = listeners[0].socket.getsockname()[:2]

    async def run() -> None:
        await serve_http(handler=handler, listeners=listeners, limits=limits, state=ServerState())

    nursery.start_soon(run)
    return Address(host=host, port=port)


def test_a_caller_that_reads_late_gets_every_byte_in_order() -> None:
    """A caller's line stalls while its answer streams: writes no longer fit and are split."""
    wrote = trio.Event()

    async def handler(exchange: Exchange) -> None:
        await exchange.start_stream(status=200, headers=Headers())
        async with trio.open_nursery() as nursery:

            @nursery.start_soon
            async def tell_when_stuck() -> None:
                await trio.testing.wait_all_tasks_blocked(0.05)
                wrote.set()

            for _ in range(PIECES):
                await exchange.write(PIECE)
        await exchange.finish()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            address = await serve(nursery, handler, ServerLimits())
            connection = await ClientConnection.open(address)
            await connection.start(method="GET", path="/", step="read late")
            await wrote.wait()
            await connection.read_head()
            body = b"".join([piece async for piece in connection.iter_body()])
            assert body == PIECE * PIECES
            await connection.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_caller_that_reads_no_more_is_given_up_after_the_write_timeout() -> None:
    """A caller's VM is frozen with its connection open; its stream must not be held for ever."""
    gone = trio.Event()

    async def handler(exchange: Exchange) -> None:
        await exchange.start_stream(status=200, headers=Headers())
        try:
            while True:
                await exchange.write(PIECE)
        except CallerGone:
            gone.set()
            raise

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            address = await serve(nursery, handler, ServerLimits(write_timeout_s=0.1))
            connection = await ClientConnection.open(address)
            await connection.start(method="GET", path="/", step="read no more")
            with trio.fail_after(30):
                await gone.wait()
            await connection.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
