"""The client side of HTTP: one connection, its requests, and a pool of idle connections.

The errors tell what the peer can have seen: ``ConnectFailed`` proves that it
received nothing; ``ConnectionBroken`` and ``PeerTimeout`` prove nothing.
"""

from __future__ import annotations

import contextlib
import math
import os
import re
import select
import socket
import struct
from collections import deque
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Protocol

import attrs
import h11
import trio

from lagoonlever.exceptions import BadResponse, ConnectFailed, ConnectionBroken, PeerTimeout
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.parsing_turns import (
    MOST_TINY_TURNS,
    TURN_PIECES,
    is_tiny,
    take_answer_turn,
)

RECEIVE_BYTES = 64 * 1024
JOINED_BYTES = 64 * 1024
"""What is written in one go, copied for that; a larger body is written from where it is."""
CONNECT_TIMEOUT_S = 1.0
BODILESS = (204, 304)
"""Statuses of answers without a body."""
BEFORE_ANSWER = "closed before it answered"
MAX_FETCHED_BYTES = 16 * 1024 * 1024
"""Size of a body that is read whole, unless the caller of ``fetch`` names a smaller one."""
MAX_SKIPPED_BYTES = 1024 * 1024
"""Size of the body of an answer to an earlier request that is passed over."""
MAX_INTERIM = 16
"""Interim responses before a final one."""
POOL_IDLE_S = 4.0
"""Far below the idle timeout of usual servers, so that reuse seldom meets a closing socket."""
HIGHEST_STATUS = 599
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
RESET_BY_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER without time: closing then resets the connection."""
KEEPALIVE_PROBES = 2
"""Unanswered TCP keep-alive probes after which a connection counts as broken."""


@attrs.frozen(kw_only=True)
class Response:
    """A whole response."""

    status: int
    headers: Headers
    body: bytes


class Opener(Protocol):
    """Opens a connection to an address; raises ``ConnectFailed``."""

    async def __call__(self, address: Address, *, timeout_s: float) -> ClientConnection:
        """Connect to an address within ``timeout_s`` seconds."""


class ClientConnection:
    """One connection to a peer; carries one request at a time, and closes with its block."""

    def __init__(
        self, *, stream: trio.SocketStream, address: Address, via: str | None = None
    ) -> None:
        self._stream = stream
        self._address = address
        self.via = via
        """The VM by way of which the peer is reached; None for a connection of this VM's own."""
        self.retired = False
        """Not to be used for another request."""
        self.resets = False
        """Whether a close under a request is a reset, so that nothing of the request arrives later.

        The kernel sends on what it holds until a connection is reset, also seconds later, as a path
        that was lost is back.
        """
        self._h11 = h11.Connection(h11.CLIENT)
        self._step = "connect"
        self._ended = False
        self._follows: object | None = None
        """What follows the pieces of a body that were read together: an event, or an exception."""
        self._is_turn_over = False
        self._tiny_turns = 0
        """The turns that the present answer has taken with tiny pieces."""
        self._head_read = False
        self._tells_length = True
        self._requests = 0
        self._method = "GET"
        self.idle_since = 0.0
        self.idle_s = POOL_IDLE_S

    @property
    def address(self) -> Address:
        """The peer's address."""
        return self._address

    @property
    def reusable(self) -> bool:
        """Whether the last response was read whole and the peer keeps the connection.

        Guards against crossed answers: after a timeout or a cut the next caller
        would read the former caller's answer. Only a connection whose response
        ended by its own framing, with nothing behind it, is ever used again.
        """
        done = self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE
        return done and not self._h11.trailing_data[0]

    @property
    def served_before(self) -> bool:
        """Whether a request was written before the last one, so that an answer to it may be late.

        A server may send an answer a second time, where the next one is due.
        """
        return self._requests > 1

    @property
    def has_bytes(self) -> bool:
        """Whether anything of the awaited answer has come, if it is only a part of its head."""
        return self._head_read or bool(self._h11.trailing_data[0])

    @property
    def tells_length(self) -> bool:
        """Whether the last answer's end is told by its head or in its body.

        The end of any other one is that of its connection, and shows nothing more.
        """
        return self._tells_length

    @property
    def unused(self) -> bool:
        """Whether nothing was ever written on this connection."""
        return self._h11.our_state is h11.IDLE and self._h11.their_state is h11.IDLE

    @property
    def quiet(self) -> bool:
        """Whether the peer has sent nothing, nor closed, since the last response.

        Guards a reused connection against a close that already arrived, and against
        a second response that came late: either would be met only after the next
        request was written, which may then have run.
        """
        if self._stream.socket.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    @classmethod
    async def open(
        cls,
        address: Address,
        *,
        timeout_s: float = CONNECT_TIMEOUT_S,
        keepalive_s: int | None = None,
    ) -> ClientConnection:
        """Connect; raises ``ConnectFailed``, which proves that the peer received nothing.

        With ``keepalive_s`` a connection that carries nothing is probed by TCP at that
        pace, so that a peer that vanished without a word breaks it.
        """
        stream = await open_stream(address, timeout_s=timeout_s)
        if keepalive_s is not None:
            _probe_idle(stream, keepalive_s)
        return cls(stream=stream, address=address)

    async def __aenter__(self) -> ClientConnection:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        with trio.CancelScope(shield=True):
            await self.aclose()

    async def start(
        self,
        *,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b"",
        step: str,
    ) -> None:
        """Write a whole request; raises ``ConnectionBroken``."""
        self._step = step
        self._head_read = False
        self._follows = None
        self._tiny_turns = 0
        self._requests += 1
        self._method = method
        if self.reusable:
            self._h11.start_next_cycle()
        all_headers = headers or Headers()
        if all_headers.get("Host") is None:
            all_headers = all_headers.with_field("Host", str(self._address))
        if body or method != "GET":
            all_headers = all_headers.with_field("Content-Length", str(len(body)))
        request = h11.Request(method=method, target=path, headers=all_headers.raw())
        pieces = [self._h11.send(request) or b""]
        if body:
            pieces += self._h11.send_with_data_passthrough(h11.Data(data=body)) or ()
        pieces.append(self._h11.send(h11.EndOfMessage()) or b"")
        if len(body) <= JOINED_BYTES:
            pieces = [b"".join(pieces)]
        for piece in filter(None, pieces):
            await self._send(piece)

    async def read_head(self) -> Response:
        """Read the head of the response; its body is empty and read by ``iter_body``.

        Raise ``BadResponse`` where another head begins within it, as one that breaks off and the
        next one read together would be an answer that nobody gave, and for a status that is none.
        """
        for _ in range(MAX_INTERIM + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                if _holds_status_line(event):
                    raise self._bad("broke off within a head, and another one followed")
                if event.status_code > HIGHEST_STATUS:
                    raise self._bad(f"answered with {event.status_code}, which is no status")
                self._head_read = True
                headers = Headers.from_raw(event.headers)
                self._tells_length = _tells_length(event.status_code, headers)
                return Response(status=event.status_code, headers=headers, body=b"")
            raise self._broken(BEFORE_ANSWER)
        raise self._bad(f"sent more than {MAX_INTERIM} interim answers")

    async def read_body(self, *, max_bytes: int) -> bytes:
        """Read the whole body; raise ``BadResponse`` if it is larger than ``max_bytes``.

        A peer in trouble may send without end.
        """
        pieces: list[bytes] = []
        size = 0
        while (piece := await self.next_piece()) is not None:
            size += len(piece)
            if size > max_bytes:
                raise self._bad(f"answered more than {max_bytes} bytes")
            pieces.append(piece)
        return b"".join(pieces)

    async def iter_body(self) -> AsyncIterator[bytes]:
        """Return the pieces of the body as they arrive; raises ``ConnectionBroken`` if cut."""
        while True:
            piece = await self.next_piece()
            if piece is None:
                return
            yield piece

    async def next_piece(self) -> bytes | None:
        """Return the next piece of the body, or None at its end; raise ``ConnectionBroken``.

        Pieces that have come together are joined, of a few at most. Raise ``BadResponse`` for an
        answer that goes on and on in tiny ones.

        An answer that ends with its connection is not believed by way of another VM: the end of
        that VM's process looks the same.
        """
        if self._is_turn_over:
            await take_answer_turn()
            self._is_turn_over = False
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return self._join_received(event.data)
        if isinstance(event, h11.EndOfMessage) and (self._tells_length or self.via is None):
            return None
        raise self._broken("closed within its answer")

    async def skip_response(self) -> None:
        """Read the rest of a response that belongs to an earlier request, and drop it.

        The response to the last request is still to come then. Raises ``ConnectionBroken`` if
        nothing can come after this one.
        """
        skipped = 0
        while (piece := await self.next_piece()) is not None:
            skipped += len(piece)
            if skipped > MAX_SKIPPED_BYTES:
                raise self._bad(f"sent more than {MAX_SKIPPED_BYTES} bytes to an earlier request")
        if self._h11.their_state is not h11.DONE:
            raise self._broken("closed after an answer to an earlier request")
        received, _ = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT)
        # What was written stays as it was: the library only has to know that a response is due.
        fields = [("Host", str(self._address))]
        self._h11.send(h11.Request(method=self._method, target="/", headers=fields))
        self._h11.send(h11.EndOfMessage())
        if received:
            self._h11.receive_data(received)

    def detach(self) -> trio.SocketStream:
        """Return the socket of a connection on which nothing was sent; this object is done."""
        return self._stream

    def abort(self) -> None:
        """Close at once, also under a request: whoever waits for its answer is told so."""
        self._prepare_close()
        self._stream.socket.close()

    async def aclose(self) -> None:
        """Close at once, without a word to the peer; by a reset where ``resets`` asks for it."""
        self._prepare_close()
        await trio.aclose_forcefully(self._stream)

    def _prepare_close(self) -> None:
        """Have the close reset a connection under a request, unless that has ended by itself."""
        if not self.resets or self.reusable or self.unused:
            return
        with contextlib.suppress(OSError):
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_BY_CLOSE)

    async def _send(self, data: bytes) -> None:
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise self._broken(str(error)) from error

    def _join_received(self, first: bytes) -> bytes:
        """Join a piece with those that have come together with it, to the end of this turn."""
        pieces = [first]
        while self._follows is None and len(pieces) < TURN_PIECES:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._follows = error
                break
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Data):
                pieces.append(event.data)
            else:
                self._follows = event
        joined = bytes(first) if len(pieces) == 1 else b"".join(pieces)
        self._is_turn_over = len(pieces) == TURN_PIECES
        if self._is_turn_over and is_tiny(pieces=len(pieces), size=len(joined)):
            self._tiny_turns += 1
            if self._tiny_turns > MOST_TINY_TURNS:
                raise self._bad("answers in tiny pieces without end")
        return joined

    def _take_following(self) -> object | None:
        """Return the event that was read together with pieces of a body; raise an error."""
        follows, self._follows = self._follows, None
        if isinstance(follows, Exception):
            raise follows
        return follows

    async def _next_event(self) -> object:
        try:
            following = self._take_following()
            if following is not None:
                return following
            while True:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._receive()
                self._ended = not data
                self._h11.receive_data(data)
        except (trio.ClosedResourceError, OSError) as error:
            raise self._broken(str(error)) from error
        except h11.RemoteProtocolError as error:
            if self._ended:
                raise self._broken(self._early_end(error)) from error
            raise self._bad(str(error)) from error

    async def _receive(self) -> bytes:
        """Wait for bytes and read them; empty at the end of the peer's side.

        Waits first: between two tokens nothing is there, and an attempt to read
        before the wait would nearly always be in vain.
        """
        while True:
            if self._stream.socket.fileno() < 0:
                # Aborted as this task had no turn: the event loop knows no such socket any more.
                raise trio.ClosedResourceError("closed here")
            await trio.lowlevel.wait_readable(self._stream.socket)
            try:
                return os.read(self._stream.socket.fileno(), RECEIVE_BYTES)
            except BlockingIOError:
                continue

    def _early_end(self, error: h11.RemoteProtocolError) -> str:
        """Return where the peer closed; h11 tells it only of an end within a body."""
        return str(error) if self._head_read else BEFORE_ANSWER

    def _bad(self, message: str) -> BadResponse:
        return BadResponse(message, step=self._step, peer=str(self._address))

    def _broken(self, message: str) -> ConnectionBroken:
        return ConnectionBroken(
            message or "connection broke", step=self._step, peer=str(self._address)
        )


async def open_stream(address: Address, *, timeout_s: float) -> trio.SocketStream:
    """Open a TCP connection; raise ``ConnectFailed``, which proves that nothing was received."""
    try:
        with trio.fail_after(timeout_s):
            return await trio.open_tcp_stream(address.host, address.port)
    except (OSError, trio.TooSlowError) as error:
        raise ConnectFailed(str(error) or "timed out", step="connect", peer=str(address)) from error


def _holds_status_line(response: h11.Response) -> bool:
    """Check whether a head holds the first line of another one, in its reason or in a field."""
    values = (value for _, value in response.headers)
    return STATUS_LINE.search(b"\n".join((response.reason, *values))) is not None


def _tells_length(status: int, headers: Headers) -> bool:
    """Check whether an answer has a body whose end is told by its head or in the body itself."""
    if status in BODILESS or headers.get("Content-Length") is not None:
        return True
    return "chunked" in (headers.get("Transfer-Encoding") or "").lower()


def _probe_idle(stream: trio.SocketStream, keepalive_s: int) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, keepalive_s)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, keepalive_s)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class Pool:
    """Idle connections by address, for requests that may safely be sent twice."""

    def __init__(
        self,
        *,
        idle_s: float = POOL_IDLE_S,
        per_address: int = 8,
        opener: Opener = ClientConnection.open,
    ) -> None:
        self._idle: dict[Address, deque[ClientConnection]] = {}
        self._idle_s = idle_s
        self._per_address = per_address
        self._opener = opener

    async def take(
        self,
        address: Address,
        *,
        timeout_s: float = CONNECT_TIMEOUT_S,
        rested_at_most_s: float = math.inf,
    ) -> ClientConnection:
        """Return an idle connection, or a new one; raises ``ConnectFailed``."""
        kept = await self.take_kept(address, rested_at_most_s=rested_at_most_s)
        return kept or await self._opener(address, timeout_s=timeout_s)

    async def take_kept(
        self,
        address: Address,
        *,
        rested_at_most_s: float = math.inf,
        apart_from: str | None = None,
    ) -> ClientConnection | None:
        """Return the connection that was used last, if it may still be used, or None.

        None that leads by the VM ``apart_from``.
        """
        kept = self._idle.get(address, deque())
        while (connection := _newest_apart_from(apart_from, kept)) is not None:
            kept.remove(connection)
            rested_s = trio.current_time() - connection.idle_since
            is_fresh = rested_s < min(connection.idle_s, rested_at_most_s)
            if is_fresh and not connection.retired and connection.quiet:
                return connection
            await connection.aclose()
        return None

    async def put_back(self, connection: ClientConnection, *, idle_s: float | None = None) -> None:
        """Keep a connection that is unused, or whose response was read whole, for ``idle_s``.

        Any other is closed.
        """
        idle = self._idle.setdefault(connection.address, deque())
        may_keep = (connection.reusable or connection.unused) and not connection.retired
        if not may_keep or len(idle) >= self._per_address:
            await connection.aclose()
            return
        connection.idle_since = trio.current_time()
        connection.idle_s = self._idle_s if idle_s is None else min(idle_s, self._idle_s)
        idle.append(connection)

    async def drop(self, address: Address) -> None:
        """Close every idle connection to one address."""
        dropped = self._idle.pop(address, deque())
        while dropped:
            await dropped.pop().aclose()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            await self.drop(address)


def _newest_apart_from(via: str | None, kept: deque[ClientConnection]) -> ClientConnection | None:
    for connection in reversed(kept):
        if via is None or connection.via != via:
            return connection
    return None


async def fetch(
    address: Address,
    *,
    method: str = "GET",
    path: str,
    headers: Headers | None = None,
    body: bytes = b"",
    step: str,
    timeout_s: float,
    pool: Pool | None = None,
    keepalive_s: int | None = None,
    max_bytes: int = MAX_FETCHED_BYTES,
) -> Response:
    """Send one request and read its whole response, of ``max_bytes`` at most.

    Raises ``ConnectFailed``, ``ConnectionBroken``, ``PeerTimeout`` or
    ``BadResponse``. Without a pool the connection is fresh and closed after.
    """
    connection = await (
        pool.take(address)
        if pool
        else ClientConnection.open(address, timeout_s=timeout_s, keepalive_s=keepalive_s)
    )
    try:
        with trio.fail_after(timeout_s):
            await connection.start(method=method, path=path, headers=headers, body=body, step=step)
            head = await connection.read_head()
            whole = await connection.read_body(max_bytes=max_bytes)
    except trio.TooSlowError as error:
        raise PeerTimeout(
            f"no whole answer within {timeout_s:g} s", step=step, peer=str(address)
        ) from error
    finally:
        with trio.CancelScope(shield=True):
            if pool is None:
                await connection.aclose()
            else:
                await pool.put_back(connection)
    return attrs.evolve(head, body=whole)
