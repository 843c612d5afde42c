"""Tunnels: what either side sees when the other one, or the server between, ends."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
import trio

from lagoonlever.exceptions import ConnectFailed, ConnectionBroken
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.tunnel import (
    BAD_GATEWAY,
    NoTunnel,
    TunnelRefused,
    TunnelRequest,
    TunnelServer,
    open_tunnel,
)
from lagoonlever.tests.free_ports import free_address
from lagoonlever.tests.gateway_site import until

LIMIT_S = 30.0
TIMEOUT_S = 10.0
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nall of it"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of it"
CUT_SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall"
RESET_BY_CLOSE = struct.pack("ii", 1, 0)

Serve = Callable[[trio.SocketStream], Awaitable[None]]


class Site:
    """A far server, a tunnel server before it, and a connection by way of it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.far = free_address()
        self.via = free_address()
        self.scope = trio.CancelScope()
        self.server = TunnelServer(dial=self._dial)

    async def start(self, serve: Serve) -> ClientConnection:
        """Start both servers; return a connection to the far one."""
        far = await trio.open_tcp_listeners(self.far.port, host=self.far.host)
        self.nursery.start_soon(trio.serve_listeners, serve, far)
        via = await trio.open_tcp_listeners(self.via.port, host=self.via.host)
        self.nursery.start_soon(self._serve_tunnels, via)
        stream = await self.open()
        return ClientConnection(stream=stream, address=self.far, via="vm-1")

    async def open(self, to: Address | None = None) -> trio.SocketStream:
        return await open_tunnel(
            self.via, to=to or self.far, headers=Headers(), timeout_s=TIMEOUT_S
        )

    async def _serve_tunnels(self, listeners: list[trio.SocketListener]) -> None:
        with self.scope:
            await self.server.run(listeners)

    async def _dial(self, request: TunnelRequest) -> trio.SocketStream | NoTunnel:
        if request.to != self.far:
            return NoTunnel(status=BAD_GATEWAY)
        return await trio.open_tcp_stream(self.far.host, self.far.port)


def run(serve: Serve, story: Callable[[Site, ClientConnection], Awaitable[None]]) -> None:
    """Run a story with a far server that serves each connection by ``serve``."""

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                site = Site(nursery)
                connection = await site.start(serve)
                await story(site, connection)
                nursery.cancel_scope.cancel()

    trio.run(main)


def answering(data: bytes, *, reset: bool = False) -> Serve:
    """Return a server that reads a request, sends bytes, and closes or resets the connection."""

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1_000)
        await stream.send_all(data)
        if reset:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_BY_CLOSE)
        await trio.aclose_forcefully(stream)

    return serve


async def ask(connection: ClientConnection) -> bytes:
    """Send a request and return the body of its answer."""
    await connection.start(method="GET", path="/", step="test")
    await connection.read_head()
    return b"".join([piece async for piece in connection.iter_body()])


def test_a_request_and_its_answer_pass_unchanged() -> None:
    async def story(site: Site, connection: ClientConnection) -> None:
        assert await ask(connection) == b"all of it"
        assert connection.address == site.far

    run(answering(WHOLE), story)


@pytest.mark.parametrize("reset", [False, True])
def test_an_answer_that_is_cut_short_does_not_look_whole(reset: bool) -> None:
    async def story(site: Site, connection: ClientConnection) -> None:
        with pytest.raises(ConnectionBroken):
            await ask(connection)

    run(answering(CUT_SHORT, reset=reset), story)


def test_an_answer_that_ends_with_its_connection_is_not_believed() -> None:
    """A VM between ends in the middle of an answer without a length; its end would look whole."""

    async def story(site: Site, connection: ClientConnection) -> None:
        with pytest.raises(ConnectionBroken):
            await ask(connection)

    run(answering(NO_LENGTH), story)


def test_the_end_of_the_server_between_breaks_the_connection() -> None:
    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1_000)
        await stream.send_all(CUT_SHORT)
        await trio.sleep_forever()

    async def story(site: Site, connection: ClientConnection) -> None:
        await connection.start(method="GET", path="/", step="test")
        await connection.read_head()
        site.scope.cancel()
        with pytest.raises(ConnectionBroken):
            while await connection.next_piece() is not None:
                pass

    run(serve, story)


def test_a_client_that_leaves_ends_the_far_connection() -> None:
    """A caller leaves; the target would go on working for it."""
    ended = trio.Event()

    async def serve(stream: trio.SocketStream) -> None:
        while await stream.receive_some(1_000):
            pass
        ended.set()

    async def story(site: Site, connection: ClientConnection) -> None:
        await connection.start(method="GET", path="/", step="test")
        await connection.aclose()
        await ended.wait()
        await until(lambda: site.server.tunnels == 0)

    run(serve, story)


def test_a_tunnel_is_busy_while_an_answer_is_due() -> None:
    answer = trio.Event()

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1_000)
        await answer.wait()
        await stream.send_all(WHOLE)
        await trio.sleep_forever()

    async def story(site: Site, connection: ClientConnection) -> None:
        await connection.start(method="GET", path="/", step="test")
        await until(lambda: site.server.count_busy(trio.current_time() + 100.0, idle_s=1.0))
        answer.set()
        await connection.read_head()
        while await connection.next_piece() is not None:
            pass
        assert site.server.count_busy(trio.current_time(), idle_s=1.0) == 1
        assert site.server.count_busy(trio.current_time() + 2.0, idle_s=1.0) == 0

    run(serve, story)


def test_a_refusal_tells_its_status_and_leaves_no_connection() -> None:
    async def story(site: Site, connection: ClientConnection) -> None:
        with pytest.raises(TunnelRefused) as refused:
            await site.open(free_address())
        assert refused.value.status == BAD_GATEWAY

    run(answering(WHOLE), story)


def test_a_server_that_is_not_there_proves_that_nothing_was_received() -> None:
    async def story(site: Site, connection: ClientConnection) -> None:
        with pytest.raises(ConnectFailed):
            await open_tunnel(free_address(), to=site.far, headers=Headers(), timeout_s=TIMEOUT_S)

    run(answering(WHOLE), story)


@pytest.mark.parametrize(
    "sent",
    [b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"CONNECT nowhere HTTP/1.1\r\nHost: x\r\n\r\n", b"\0"],
)
def test_whatever_is_no_request_for_a_tunnel_gets_none(sent: bytes) -> None:
    async def story(site: Site, connection: ClientConnection) -> None:
        stream = await trio.open_tcp_stream(site.via.host, site.via.port)
        await stream.send_all(sent)
        answer = await stream.receive_some(1_000)
        assert not answer.startswith(b"HTTP/1.1 200")
        assert site.server.tunnels == 1

    run(answering(WHOLE), story)
