"""One connection of a client: its requests are read one after the other, and answered."""

from __future__ import annotations

import json
import os
import socket
from urllib.parse import SplitResult, parse_qsl, urlsplit

import attrs
import h11
import logbook
import trio

from lagoonlever.decisions.admission.held_memory import Stage
from lagoonlever.events import event
from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.connection_memory import ConnectionMemory
from lagoonlever.http.exchange import CallerGone, Exchange, Handler, HeadCheck
from lagoonlever.http.head_scan import HeadScan
from lagoonlever.http.messages import Headers, Request, whole_number
from lagoonlever.http.parsing_turns import TURN_PIECES
from lagoonlever.http.refusals import OVERLOADED, error_payload, refusal_headers
from lagoonlever.http.server_limits import ServerGuard, ServerLimits, ServerState

log = logbook.Logger(__name__)

UNREAD_REQUEST = event(
    112,
    "unread-request-refused",
    "info",
    "A request of {peer} that was not read whole is refused with {status}: {detail}",
    "No part of the system has seen it. Many `408` mean slow callers or a VM that gets no turn;"
    " many `503` mean more connections than a VM may have, or more bytes than it has memory for.",
)

KEY_FIELD = b"idempotency-key"
RECEIVE_BYTES = 64 * 1024
LONG_BODY_BYTES = 64 * 1024
"""Beyond this size the head of a request is judged before the rest of its body is read."""
JOINED_BYTES = 64 * 1024
"""What is written in one go, copied for that; a larger piece is written from where it is."""
PIPELINED_BYTES = 4 * 1024
"""Bytes that came with the end of a body and may be left unpaid, as they are few."""
LINGER_S = 2.0
"""How long a refused caller's remaining bytes are read and dropped."""


class ServerConnection:
    """One caller's connection: h11's state machine and the socket under it."""

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        peer: str,
        limits: ServerLimits,
        state: ServerState,
        guard: ServerGuard,
        check_head: HeadCheck | None,
        keyed_callers: bool,
    ) -> None:
        self._stream = stream
        self._peer = peer
        self._limits = limits
        self._state = state
        self._guard = guard
        self._check_head = check_head
        self._memory = ConnectionMemory(account=guard.memory, give_way=self._give_way)
        self._body = bytearray()
        self._head_scan = HeadScan()
        self._received_bytes = 0
        """What the last read from the socket brought."""
        self._scope = trio.CancelScope()
        """Of whatever this connection waits for that it may have to give up."""
        self._closes = False
        """Whether the connection ends with the response that is written now."""
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._keyed_callers = keyed_callers
        self._may_be_keyed = keyed_callers
        """Whether the request that is due has a key, or may have one as its head was not read."""

    @property
    def memory(self) -> ConnectionMemory:
        """What is held for this connection, and paid for."""
        return self._memory

    @property
    def takes_trailers(self) -> bool:
        """Whether the response is in chunks, which alone carry trailers."""
        return bool(self._h11.their_http_version and self._h11.their_http_version >= b"1.1")

    def caller_present(self) -> bool:
        """Check whether the peer's end of the socket is open, without taking bytes from it."""
        trio_socket = self._stream.socket
        with socket.fromfd(trio_socket.fileno(), trio_socket.family, trio_socket.type) as peeked:
            peeked.setblocking(False)
            try:
                return peeked.recv(1, socket.MSG_PEEK) != b""
            except BlockingIOError:
                return True
            except OSError:
                return False

    async def serve(self, handler: Handler) -> None:
        """Serve requests one after the other until either side closes."""
        while True:
            exchange = await self._next_or_refuse()
            if exchange is None:
                return
            self._state.open_exchanges += 1
            try:
                await handler(exchange)
            finally:
                self._state.open_exchanges -= 1
            if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
                return
            self._h11.start_next_cycle()
            self._memory.begin_idle(len(self._h11.trailing_data[0]))

    async def _next_or_refuse(self) -> Exchange | None:
        """Read the next request, or refuse one that can't be read whole; None at the end.

        Nothing else is refused by this server: what a handler raises does not say whether its
        request has run.
        """
        refused = None
        try:
            with trio.CancelScope() as self._scope:
                return await self._next_exchange()
            was_idle = self._h11.their_state is h11.IDLE and not self._h11.trailing_data[0]
            if not was_idle:
                refused = _no_memory()
        except RequestRefused as error:
            # Its traceback would hold the request while the client reads the refusal.
            refused = error.with_traceback(None)
        except h11.RemoteProtocolError as error:
            hint = error.error_status_hint
            refused = RequestRefused(status=hint, field="request", message=str(error))
        if refused is not None:
            await self.refuse(refused)
        return None

    async def _next_exchange(self) -> Exchange | None:
        self._may_be_keyed = self._keyed_callers
        self._head_scan = HeadScan()
        request = await self._read_request()
        if request is None:
            return None
        with trio.move_on_after(self._limits.request_timeout_s) as scope:
            body = await self._read_body(request)
        if scope.cancelled_caught:
            raise RequestRefused(status=408, field="body", message="did not arrive in time")
        if body is None:
            return None
        return Exchange(request=attrs.evolve(request, body=body), connection=self)

    async def _read_request(self) -> Request | None:
        """Read a request up to its body, and pay for what its head has become."""
        head = await self._read_head()
        if head is None:
            return None
        self._may_be_keyed = any(name == KEY_FIELD for name, _ in head.headers)
        request = self._request_of(head)
        if not self._memory.pay_head(fields=len(request.headers.pairs), items=len(request.query)):
            raise _no_memory()
        return request

    def _request_of(self, head: h11.Request) -> Request:
        """Return a request without its body."""
        target = _split_target(head.target)
        return Request(
            method=head.method.decode("ascii"),
            path=target.path,
            query=dict(parse_qsl(target.query)),
            raw_query=target.query,
            target=head.target.decode("latin-1"),
            headers=Headers.from_raw(head.headers),
            body=b"",
            peer=self._peer,
        )

    async def _read_head(self) -> h11.Request | None:
        with trio.move_on_after(self._limits.idle_timeout_s):
            if not await self._wait_begun():
                return None
            self._memory.move(Stage.READING)
            with trio.move_on_after(self._limits.header_timeout_s) as scope:
                event = await self._next_event()
            if scope.cancelled_caught:
                raise RequestRefused(status=408, field="head", message="did not arrive in time")
            if not isinstance(event, h11.Request):
                return None
            _check_framing(event)
            return event
        return None

    async def _wait_begun(self) -> bool:
        """Wait for the first bytes of a request; false at the end of the connection."""
        if self._h11.trailing_data[0]:
            return True
        return await self._receive_more()

    async def _receive(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b""

    async def _receive_more(self) -> bool:
        """Read bytes of a request and pay for them; false at the end of the caller's side."""
        data = await self._receive()
        if not self._pay(len(data)):
            raise _no_memory()
        if self._h11.their_state is h11.IDLE:
            await self._pay_unread_head(data)
        self._h11.receive_data(data)
        return bool(data)

    async def _pay_unread_head(self, data: bytes) -> None:
        """Pay for what bytes of a head are about to become, where that is much.

        Others that give way for it drop what they hold in their own turns, and this one may have
        to give way itself until then, so that all heads together are never more than is paid for.
        """
        lines, items = self._head_scan.count(data)
        if not self._memory.pay_head(fields=lines, items=items):
            raise _no_memory()
        if self._memory.head_bytes:
            await trio.lowlevel.checkpoint()

    async def _read_body(self, request: Request) -> bytes | None:
        """Read the body of a request; None if the request was refused by its head."""
        limit = min(self._limits.body_bytes, self._memory.largest_bytes - RECEIVE_BYTES)
        announced = _announced_bytes(request)
        is_judged = False
        pieces = 0
        while True:
            expected = max(announced, len(self._body))
            if expected > limit:
                raise RequestRefused(
                    status=413, field="body", message=f"is larger than {limit} bytes"
                )
            if expected > LONG_BODY_BYTES and not is_judged:
                is_judged = True
                if await self._is_refused_by_head(request):
                    return None
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return self._whole_body()
            if not isinstance(event, h11.Data):
                raise CallerGone
            self._body += event.data
            pieces += 1
            if pieces % TURN_PIECES == 0:
                size = len(self._body)
                await self._guard.parsing.take(self._memory.holding, pieces=pieces, size=size)

    def _whole_body(self) -> bytes:
        """Return the body that was read; from here on the request does not give way."""
        if self._memory.is_leaving:
            raise _no_memory()
        body = bytes(self._body)
        self._body = bytearray()
        if self._received_bytes > PIPELINED_BYTES:
            self._memory.settle(len(body) + len(self._h11.trailing_data[0]))
        else:
            self._memory.settle(len(body) + self._received_bytes)
        self._memory.move(Stage.SERVING)
        return body

    async def _is_refused_by_head(self, request: Request) -> bool:
        """Have a request judged by its head, and tell its caller at once if it is refused."""
        if self._check_head is None:
            return False
        self._closes = True
        if not await self._check_head(Exchange(request=request, connection=self)):
            self._closes = False
            return False
        await self._leave()
        return True

    async def _next_event(self) -> object:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._h11.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            if self._h11.their_state is h11.SEND_BODY:
                # All that was received is parsed, but for the beginning of a chunk.
                self._memory.settle(len(self._body))
            await self._receive_more()

    def _pay(self, size: int) -> bool:
        self._received_bytes = size
        return self._memory.pay(size)

    def _give_way(self) -> None:
        """Drop what is held, as others need the room; the caller is told in its own task's turn."""
        self._body.clear()
        self._state.dismiss(self._memory.holding)
        self._scope.cancel()

    def response(self, *, status: int, headers: Headers) -> h11.Response:
        """Return the head of a response, closing the connection where the server is stopping."""
        if self._state.closing or self._closes:
            headers = headers.with_field("Connection", "close")
        return h11.Response(status_code=status, headers=headers.raw())

    async def send(self, *events: h11.Event) -> None:
        """Write events in one go; raises ``CallerGone``, also when the caller reads too slowly."""
        pieces: list[bytes] = []
        try:
            for event in events:
                pieces += self._h11.send_with_data_passthrough(event) or ()
        except h11.LocalProtocolError as error:
            raise CallerGone from error
        if sum(map(len, pieces)) <= JOINED_BYTES:
            pieces = [b"".join(pieces)]
        for piece in pieces:
            await self.write_raw(piece)

    async def write_raw(self, data: bytes) -> None:
        """Write bytes as they are; raises ``CallerGone``, also when the caller is too slow."""
        rest = self._write_at_once(data)
        if rest:
            await self._write_slowly(rest)

    async def _write_slowly(self, rest: memoryview) -> None:
        """Write what the socket did not take at once, paid for while it waits."""
        owed = self._memory.unpaid_of_answer(len(rest))
        if owed and not self._memory.pay(owed):
            raise CallerGone
        former, former_scope = self._memory.holding.stage, self._scope
        self._memory.move(Stage.ANSWERING)
        try:
            with trio.move_on_after(self._limits.write_timeout_s) as self._scope:
                await self._stream.send_all(rest)
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error
        finally:
            self._scope = former_scope
            self._memory.pay_back(owed)
            self._memory.move(former)
        raise CallerGone

    def _write_at_once(self, data: bytes) -> memoryview:
        """Write what the socket takes without waiting, and give the rest.

        A token's event nearly always fits: it then costs one system call, without
        a cancel scope and a turn of the scheduler.
        """
        rest = memoryview(data)
        try:
            written = os.write(self._stream.socket.fileno(), rest)
        except BlockingIOError:
            return rest
        except OSError as error:
            raise CallerGone from error
        return rest[written:]

    async def refuse(self, refused: RequestRefused) -> None:
        """Answer a request that could not be read whole, and close."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._drop()
        UNREAD_REQUEST.log(log, peer=self._peer, status=refused.status, detail=str(refused))
        body = json.dumps(error_payload(refused)).encode()
        port = int(self._peer.rpartition(":")[2])
        headers = refusal_headers(
            refused, length=len(body), peer_port=port, keyed=self._may_be_keyed
        )
        head = h11.Response(status_code=refused.status, headers=headers.raw())
        await self.send(head, h11.Data(data=body), h11.EndOfMessage())
        await self._leave()

    def _drop(self) -> None:
        """Drop what is held for a request that is refused."""
        self._memory.drop()
        self._body.clear()
        self._state.dismiss(self._memory.holding)

    async def _leave(self) -> None:
        """Leave the connection open until the caller has read its refusal."""
        self._drop()
        self._h11 = h11.Connection(h11.SERVER)
        with self._state.leaving(most=self._limits.spare_connections):
            await self._linger()

    async def _linger(self) -> None:
        """Read and drop what the caller still sends, for a while.

        Guards against a refusal that the caller never sees: closing a socket with
        unread bytes resets it, and the reset discards the answer on its way.
        """
        with trio.move_on_after(LINGER_S):
            try:
                await self._stream.send_eof()
                while await self._stream.receive_some(RECEIVE_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def wait_gone(self) -> None:
        """Return at the end of the caller's side; what it sends meanwhile waits in h11.

        Guards against a caller that pours bytes into the connection of its stream,
        which would fill this VM's memory: beyond the size of a request's head it
        counts as gone.
        """
        waiting_bytes = 0
        while True:
            data = await self._receive()
            waiting_bytes += len(data)
            if not data or not self._pay(len(data)):
                return
            self._h11.receive_data(data)
            if waiting_bytes > self._limits.header_bytes:
                return


def _check_framing(request: h11.Request) -> None:
    """Refuse a request that tells its length in two ways.

    Guards against smuggling: the next hop may believe the other one, and would then
    read the end of this body as a request of its own.
    """
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestRefused(
            status=400, field="Content-Length", message="stands beside Transfer-Encoding"
        )


def _split_target(raw: bytes) -> SplitResult:
    try:
        return urlsplit(raw.decode("latin-1"))
    except ValueError as error:
        raise RequestRefused(status=400, field="path", message=str(error)) from error


def _announced_bytes(request: Request) -> int:
    """Return the size of a request's body that its head tells, or 0."""
    return whole_number(request.headers.get("Content-Length")) or 0


def _no_memory() -> RequestRefused:
    return RequestRefused(status=OVERLOADED, message="this VM has no memory left for the request")
