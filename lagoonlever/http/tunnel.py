"""Tunnels by the method CONNECT (RFC 9110, 9.3.6): a connection by way of another server."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import attrs
import h11
import trio

from lagoonlever.exceptions import ConnectFailed
from lagoonlever.http.client import open_stream
from lagoonlever.http.messages import Address, Headers

RECEIVE_BYTES = 64 * 1024
HEAD_TIMEOUT_S = 2.0
"""From the acceptance of a connection until its request is whole."""
MAX_CONNECTIONS = 1024
LINGER_S = 2.0
"""How long a tunnel waits for the client's end once the far server has closed."""
RESET_BY_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER without time: closing then resets the connection."""

OK = 200
BAD_METHOD = 405
BAD_GATEWAY = 502
"""The far server takes no connection of a tunnel server that reaches others."""
UNAVAILABLE = 503
"""The tunnel server can't tell whether the far server takes connections."""
FORBIDDEN = 403


class TunnelRefused(ConnectFailed):
    """The tunnel server answered, and there is no tunnel: the far server received nothing."""

    def __init__(self, status: int, *, peer: str) -> None:
        self.status = status
        super().__init__(f"refused with {status}", step="tunnel", peer=peer)


@attrs.frozen(kw_only=True)
class TunnelRequest:
    """A request for a tunnel."""

    to: Address
    headers: Headers


@attrs.frozen(kw_only=True)
class NoTunnel:
    """The refusal of a request, with the status that tells why."""

    status: int


Dial = Callable[[TunnelRequest], Awaitable[trio.SocketStream | NoTunnel]]


async def open_tunnel(
    via: Address, *, to: Address, headers: Headers, timeout_s: float
) -> trio.SocketStream:
    """Open a connection to ``to`` by way of a tunnel server.

    Raise ``TunnelRefused`` if the server answers that there is no tunnel, and ``ConnectFailed``
    if it can't be reached or does not answer within ``timeout_s`` seconds.
    """
    peer = str(via)
    ends_at = trio.current_time() + timeout_s
    stream = await open_stream(via, timeout_s=timeout_s)
    try:
        with trio.fail_at(ends_at):
            status = await _request_tunnel(stream, to, headers)
    except trio.TooSlowError as error:
        await trio.aclose_forcefully(stream)
        raise ConnectFailed("timed out", step="tunnel", peer=peer) from error
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as error:
        await trio.aclose_forcefully(stream)
        raise ConnectFailed(str(error), step="tunnel", peer=peer) from error
    except BaseException:
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(stream)
        raise
    if status != OK:
        await trio.aclose_forcefully(stream)
        raise TunnelRefused(status, peer=peer)
    return stream


async def _request_tunnel(stream: trio.SocketStream, to: Address, headers: Headers) -> int:
    """Send a request for a tunnel and return the status of the answer."""
    connection = h11.Connection(h11.CLIENT)
    fields = headers.with_field("Host", str(to)).raw()
    request = h11.Request(method="CONNECT", target=str(to), headers=fields)
    head = connection.send(request) or b""
    await stream.send_all(head + (connection.send(h11.EndOfMessage()) or b""))
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            return event.status_code
        elif not isinstance(event, h11.InformationalResponse):
            raise h11.RemoteProtocolError("closed before it answered")


@attrs.define(kw_only=True, eq=False)
class TunnelServer:
    """Serves tunnels; owns the sockets of both sides."""

    _dial: Dial
    """Open the connection to the far server of a request."""
    _connections: int = MAX_CONNECTIONS
    """Of clients, with or without a tunnel; one more is closed unread."""
    _near_open: int = 0
    _open: set[Splice] = attrs.field(factory=set)

    @property
    def tunnels(self) -> int:
        """How many tunnels are open."""
        return len(self._open)

    def count_busy(self, now: float, *, idle_s: float) -> int:
        """Return how many tunnels wait for an answer, or carried bytes in the last ``idle_s``."""
        return sum(not splice.is_idle(now, idle_s) for splice in self._open)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            await trio.serve_listeners(self._serve, listeners, handler_nursery=nursery)

    async def _serve(self, near: trio.SocketStream) -> None:
        far: trio.SocketStream | None = None
        self._near_open += 1
        try:
            if self._near_open > self._connections:
                return
            with trio.move_on_after(HEAD_TIMEOUT_S):
                far = await self._accept(near)
            if far is not None:
                await self._splice(near, far)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            # The peer has left or speaks something else; only its own connection ends.
            return
        finally:
            self._near_open -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(near)

    async def _accept(self, near: trio.SocketStream) -> trio.SocketStream | None:
        """Read a request and answer it; return the far connection, or None if it was refused."""
        connection = h11.Connection(h11.SERVER)
        request = await _read_request(connection, near)
        far = await self._dial(request) if request else NoTunnel(status=BAD_METHOD)
        status = far.status if isinstance(far, NoTunnel) else OK
        head = connection.send(h11.Response(status_code=status, headers=_framing(status))) or b""
        if isinstance(far, NoTunnel):
            await near.send_all(head + (connection.send(h11.EndOfMessage()) or b""))
            return None
        try:
            await near.send_all(head)
        except BaseException:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(far)
            raise
        return far

    async def _splice(self, near: trio.SocketStream, far: trio.SocketStream) -> None:
        splice = Splice(near=near, far=far)
        self._open.add(splice)
        try:
            await splice.run()
        finally:
            self._open.discard(splice)


async def _read_request(
    connection: h11.Connection, near: trio.SocketStream
) -> TunnelRequest | None:
    """Read a request for a tunnel; return None for a request of another method."""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await near.receive_some(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            if event.method != b"CONNECT":
                return None
            try:
                to = Address.parse(event.target.decode("latin-1"))
            except ValueError:
                return None
            return TunnelRequest(to=to, headers=Headers.from_raw(event.headers))
        else:
            raise h11.RemoteProtocolError("closed before its request")


def _framing(status: int) -> list[tuple[str, str]]:
    return [] if status == OK else [("Content-Length", "0"), ("Connection", "close")]


@attrs.define(kw_only=True, eq=False)
class Splice:
    """Passes bytes between the two connections of a tunnel."""

    _near: trio.SocketStream
    _far: trio.SocketStream
    _last_at: float = attrs.field(factory=trio.current_time)
    _waits: bool = False
    """The last bytes came from the near side: an answer to them is due."""
    _is_clean: bool = False
    """The far server has closed in order, or the near side has left."""

    def is_idle(self, now: float, idle_s: float) -> bool:
        """Check whether nothing is due on this tunnel, nor has passed for ``idle_s`` seconds."""
        return not self._waits and now - self._last_at > idle_s

    async def run(self) -> None:
        """Pass bytes until either side ends; a side that breaks off has the other one reset."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass_answers)
                await self._pass_requests()
                self._is_clean = True
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            # What was broken off on one side must not look like an end on the other one.
            self._is_clean = False
        finally:
            for stream in (self._near, self._far):
                if not self._is_clean:
                    _reset(stream)
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    async def _pass_requests(self) -> None:
        while data := await self._near.receive_some(RECEIVE_BYTES):
            self._last_at, self._waits = trio.current_time(), True
            await self._far.send_all(data)

    async def _pass_answers(self) -> None:
        while data := await self._far.receive_some(RECEIVE_BYTES):
            self._last_at, self._waits = trio.current_time(), False
            await self._near.send_all(data)
        await self._near.send_eof()
        with trio.move_on_after(LINGER_S):
            await trio.sleep_forever()
        raise trio.BrokenResourceError


def _reset(stream: trio.SocketStream) -> None:
    """Have the close of a connection reset it; one that has ended is left as it is."""
    with contextlib.suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_BY_CLOSE)
