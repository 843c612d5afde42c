"""Cancels of streams, as the entry daemon sends them to engines."""

from __future__ import annotations

import trio

from lagoonlever.entry.generations.attempt import cancel_stream
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.targets.completions import cancel_path
from lagoonlever.tests.gateway_site import free_address

BACK_AFTER_S = 0.4
LIMIT_S = 20.0
"""Far below what pauses sum up to."""
DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def test_a_stream_is_cancelled_once_the_path_to_its_engine_is_back() -> None:
    """Guards against an engine that works on for nobody, as it took no connection for a moment."""
    seen: list[bytes] = []

    async def serve(stream: trio.SocketStream) -> None:
        seen.append(await stream.receive_some(65_536))
        await stream.send_all(DONE)

    async def come_back(address: Address) -> None:
        await trio.sleep(BACK_AFTER_S)
        listeners = await open_listeners(host=address.host, port=address.port)
        await trio.serve_listeners(serve, listeners)

    async def main() -> None:
        address = free_address()
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(come_back, address)
                assert await cancel_stream(address, "stream-1")
                nursery.cancel_scope.cancel()
        assert seen[0].startswith(f"POST {cancel_path('stream-1')} ".encode())

    trio.run(main)
