"""The baseline of ``relay``: h11 on both sides over trio, and nothing else.

Reads a request, writes it to one engine, and passes each piece of the answer
on as it comes: what any relay of the same stream must at least do.
"""

from __future__ import annotations

import attrs
import h11
import trio

from lagoonlever.http.messages import Address

RECEIVE_BYTES = 64 * 1024


@attrs.define(kw_only=True)
class _Side:
    """One connection and its protocol state."""

    stream: trio.SocketStream
    protocol: h11.Connection

    async def next_event(self) -> object:
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.protocol.receive_data(await self.stream.receive_some(RECEIVE_BYTES))

    async def send(self, event: h11.Event) -> None:
        data = self.protocol.send(event)
        if data:
            await self.stream.send_all(data)


async def serve_bare_relay(*, engine: Address, listeners: list[trio.SocketListener]) -> None:
    """Relay every request to one engine until cancelled."""

    async def serve(stream: trio.SocketStream) -> None:
        caller = _Side(stream=stream, protocol=h11.Connection(h11.SERVER))
        upstream = await trio.open_tcp_stream(engine.host, engine.port)
        async with upstream, stream:
            relayed = _Side(stream=upstream, protocol=h11.Connection(h11.CLIENT))
            try:
                await _relay(caller, relayed)
            except (trio.BrokenResourceError, h11.ProtocolError):
                return

    await trio.serve_listeners(serve, listeners)


async def _relay(caller: _Side, engine: _Side) -> None:
    for source, sink in ((caller, engine), (engine, caller)):
        while True:
            event = await source.next_event()
            assert isinstance(event, h11.Event)
            if isinstance(event, h11.ConnectionClosed):
                return
            await sink.send(event)
            if isinstance(event, h11.EndOfMessage):
                break
