"""The server side of HTTP: h11 over trio, one task a connection."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Awaitable, Callable
from urllib.parse import SplitResult, parse_qsl, urlsplit

import attrs
import h11
import logbook
import trio

from lagoonlever.decisions.admission.held_memory import (
    CONNECTION_BYTES,
    Holding,
    MemoryAccount,
    Stage,
    first_to_leave,
)
from lagoonlever.events import event
from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.messages import Headers, Request, whole_number
from lagoonlever.http.parsing_turns import TURN_PIECES, ParsingTurns
from lagoonlever.http.refusals import JSON_TYPE, OVERLOADED, error_payload, refusal_headers

log = logbook.Logger(__name__)

CONNECTION_FAULT = event(
    111,
    "connection-fault",
    "error",
    "The connection {peer} met a fault within this process and was closed.",
    "A fault of the system itself; other connections go on. Report it with the lines around.",
)

UNREAD_REQUEST = event(
    112,
    "unread-request-refused",
    "info",
    "A request of {peer} that was not read whole is refused with {status}: {detail}",
    "No part of the system has seen it. Many `408` mean slow callers or a VM that gets no turn;"
    " many `503` mean more connections than a VM may have.",
)

KEY_FIELD = b"idempotency-key"
RECEIVE_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
"""What the kernel may hold of a connection that nobody reads; it takes this twice."""
LONG_BODY_BYTES = 64 * 1024
"""Beyond this size the head of a request is judged before the rest of its body is read."""
JOINED_BYTES = 64 * 1024
"""What is written in one go, copied for that; a larger piece is written from where it is."""
PIPELINED_BYTES = 4 * 1024
"""Bytes that came with the end of a body and may be left unpaid, as they are few."""
SPARE_PART = 8
"""To one in so many connections beyond the bound it is told that there is no room."""
LEAST_SPARE = 8
LINGER_S = 2.0
"""How long a refused caller's remaining bytes are read and dropped."""
USUAL_ACCOUNT_BYTES = 1024 * 1024 * 1024


@attrs.frozen(kw_only=True)
class ServerLimits:
    """Bounds that keep one caller from harming another; sizes in bytes, times in seconds."""

    body_bytes: int = 4 * 1024 * 1024
    header_bytes: int = 32 * 1024
    header_timeout_s: float = 30.0
    """From the first byte of a request until its head is whole."""
    request_timeout_s: float = 30.0
    """For the body."""
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 30.0
    connections: int = 4096

    @property
    def spare_connections(self) -> int:
        """The connections beyond the bound that are told so, or read to their ends."""
        return max(LEAST_SPARE, self.connections // SPARE_PART)


@attrs.frozen(kw_only=True, eq=False)
class ServerGuard:
    """What all servers of a process share, so that clients together stay within the machine."""

    memory: MemoryAccount = attrs.field(
        factory=lambda: MemoryAccount(capacity_bytes=USUAL_ACCOUNT_BYTES)
    )
    parsing: ParsingTurns = attrs.field(init=False)

    @parsing.default
    def _make_parsing(self) -> ParsingTurns:
        return ParsingTurns(memory=self.memory)


class CallerGone(Exception):
    """The caller's connection ended while its answer was being written."""


@attrs.define(kw_only=True)
class ServerState:
    """What the server does now; a planned stop sets ``closing``."""

    closing: bool = False
    """Each response tells the caller to close the connection after it."""
    open_connections: int = 0
    open_exchanges: int = 0
    leaving_connections: int = 0
    """Connections that are refused or have given way, and are not closed yet."""
    _holdings: set[Holding] = attrs.field(factory=set)

    def admit(self, holding: Holding) -> None:
        """Count a connection that is served."""
        self._holdings.add(holding)
        self.open_connections += 1

    def dismiss(self, holding: Holding) -> None:
        """Count a connection no more; a repeated call has no effect."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.open_connections -= 1

    def first_to_leave(self, now: float) -> Holding | None:
        """Return whose connection is closed for a new one, or None if all are being served."""
        return first_to_leave(self._holdings, now)


class Exchange:
    """One request and the response to it."""

    def __init__(self, *, request: Request, connection: _Connection) -> None:
        self.request = request
        self._connection = connection
        self._responded = False
        self._is_caller_gone = False

    @property
    def responded(self) -> bool:
        """Whether a response was started."""
        return self._responded

    @property
    def is_caller_gone(self) -> bool:
        """Whether the caller was seen to close its side, by those who wait for that."""
        return self._is_caller_gone

    async def respond(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Answer with a whole body."""
        self._responded = True
        sized = headers.with_field("Content-Length", str(len(body)))
        await self._connection.send(
            self._connection.response(status=status, headers=sized),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def respond_json(
        self, *, status: int, payload: object, headers: Headers | None = None
    ) -> None:
        """Answer with a JSON document."""
        typed = (headers or Headers()).with_field("Content-Type", JSON_TYPE)
        await self.respond(status=status, headers=typed, body=json.dumps(payload).encode())

    async def start_stream(self, *, status: int, headers: Headers) -> None:
        """Start a response whose body is written piece by piece."""
        self._responded = True
        await self._connection.send(self._connection.response(status=status, headers=headers))

    async def write(self, data: bytes) -> None:
        """Write one piece of the body; raises ``CallerGone``."""
        await self._connection.send(h11.Data(data=data))

    async def write_raw(self, data: bytes) -> None:
        """Write bytes that are no HTTP, for stand-ins of broken servers."""
        self._responded = True
        await self._connection.write_raw(data)

    async def finish(self, *, trailers: Headers | None = None) -> None:
        """End the body, with trailers where the caller's version of HTTP knows them."""
        known = trailers if trailers and self._connection.takes_trailers else Headers()
        await self._connection.send(h11.EndOfMessage(headers=known.raw()))

    def caller_present(self) -> bool:
        """Check whether the caller's connection is still open, by a look at the socket itself.

        Guards a VM that wakes after a pause: the caller may have left and be
        served elsewhere, and no task here has had its turn to see that yet.
        """
        return self._connection.caller_present()

    def pay_answer(self, size: int) -> bool:
        """Pay for ``size`` bytes of an answer that is held; False if there is no memory for it.

        What was paid is returned as the exchange ends, or by ``return_answer``.
        """
        return self._connection.pay_answer(size)

    def return_answer(self, size: int) -> None:
        """Return what was paid for bytes of an answer that are held no more."""
        self._connection.return_answer(size)

    async def wait_gone(self) -> None:
        """Return when the caller has closed its side of the connection."""
        await self._connection.wait_gone()
        self._is_caller_gone = True


Handler = Callable[[Exchange], Awaitable[None]]
HeadCheck = Callable[[Exchange], Awaitable[bool]]
"""Refuses an exchange by its request's head alone, or returns False; its body is empty."""
LimitsSource = Callable[[], ServerLimits]
"""Gives the limits in force; a connection keeps those that held as it was opened."""


class _Connection:
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
        self._holding = Holding(give_way=self._give_way, since=trio.current_time())
        self._body = bytearray()
        self._received_bytes = 0
        """What the last read from the socket brought."""
        self._answer_bytes = 0
        """What was paid for the answer that is being read."""
        self._scope = trio.CancelScope()
        """Of whatever this connection waits for that it may have to give up."""
        self._closes = False
        """Whether the connection ends with the response that is written now."""
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._keyed_callers = keyed_callers
        self._may_be_keyed = keyed_callers
        """Whether the request that is due has a key, or may have one as its head was not read."""

    @property
    def holding(self) -> Holding:
        """What is held for this connection."""
        return self._holding

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
            self._begin_idle()

    async def _next_or_refuse(self) -> Exchange | None:
        """Read the next request, or refuse one that can't be read whole; None at the end.

        Nothing else is refused by this server: what a handler raises does not say whether its
        request has run.
        """
        try:
            with trio.CancelScope() as self._scope:
                return await self._next_exchange()
            was_idle = self._h11.their_state is h11.IDLE and not self._h11.trailing_data[0]
            if not was_idle:
                await self.refuse(_no_memory())
        except RequestRefused as refused:
            await self.refuse(refused)
        except h11.RemoteProtocolError as error:
            hint = error.error_status_hint
            await self.refuse(RequestRefused(status=hint, field="request", message=str(error)))
        return None

    async def _next_exchange(self) -> Exchange | None:
        self._may_be_keyed = self._keyed_callers
        head = await self._read_head()
        if head is None:
            return None
        self._may_be_keyed = any(name == KEY_FIELD for name, _ in head.headers)
        request = self._request_of(head)
        with trio.move_on_after(self._limits.request_timeout_s) as scope:
            body = await self._read_body(request)
        if scope.cancelled_caught:
            raise RequestRefused(status=408, field="body", message="did not arrive in time")
        if body is None:
            return None
        return Exchange(request=attrs.evolve(request, body=body), connection=self)

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
            self._move(Stage.READING)
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
        self._h11.receive_data(data)
        return bool(data)

    async def _read_body(self, request: Request) -> bytes | None:
        """Read the body of a request; None if the request was refused by its head."""
        limit = min(self._limits.body_bytes, self._guard.memory.largest_bytes - RECEIVE_BYTES)
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
                await self._guard.parsing.take(self._holding, pieces=pieces, size=size)

    def _whole_body(self) -> bytes:
        """Return the body that was read; from here on the request does not give way."""
        if self._holding.stage is Stage.LEAVING:
            raise _no_memory()
        body = bytes(self._body)
        self._body = bytearray()
        if self._received_bytes > PIPELINED_BYTES:
            self._settle(len(body) + len(self._h11.trailing_data[0]))
        else:
            self._settle(len(body) + self._received_bytes)
        self._move(Stage.SERVING)
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
                self._settle(len(self._body))
            await self._receive_more()

    def _pay(self, size: int) -> bool:
        self._received_bytes = size
        return self._guard.memory.grow(self._holding, size, now=trio.current_time())

    def _settle(self, size: int) -> None:
        """Pay for ``size`` bytes beside the connection itself, and no more."""
        self._guard.memory.shrink_to(self._holding, CONNECTION_BYTES + size)

    def _move(self, stage: Stage) -> None:
        self._guard.memory.move(self._holding, stage, now=trio.current_time())

    def _begin_idle(self) -> None:
        """Drop what was held for the last exchange."""
        self._answer_bytes = 0
        self._settle(len(self._h11.trailing_data[0]))
        self._move(Stage.IDLE)

    def _give_way(self) -> None:
        """Drop what is held, as others need the room; the caller is told in its own task's turn."""
        self._body.clear()
        self._state.dismiss(self._holding)
        self._scope.cancel()

    def pay_answer(self, size: int) -> bool:
        """Pay for bytes of an answer; False if there is no memory for them."""
        if not self._guard.memory.grow(self._holding, size, now=trio.current_time()):
            return False
        self._answer_bytes += size
        return True

    def return_answer(self, size: int) -> None:
        """Return what was paid for bytes of an answer."""
        self._answer_bytes -= size
        self._guard.memory.shrink(self._holding, size)

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
        memory, holding = self._guard.memory, self._holding
        is_leaving = holding.stage is Stage.LEAVING
        owed = max(0, len(rest) - self._answer_bytes)
        if not is_leaving and not memory.grow(holding, owed, now=trio.current_time()):
            raise CallerGone
        former, former_scope = holding.stage, self._scope
        self._move(Stage.ANSWERING)
        try:
            with trio.move_on_after(self._limits.write_timeout_s) as self._scope:
                await self._stream.send_all(rest)
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error
        finally:
            self._scope = former_scope
            if holding.stage is not Stage.LEAVING:
                memory.shrink(holding, owed)
                self._move(former)
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
        self._move(Stage.LEAVING)
        self._body.clear()
        self._settle(0)
        self._state.dismiss(self._holding)

    async def _leave(self) -> None:
        """Close so that the caller can read its refusal, if not too many are leaving already."""
        self._drop()
        self._h11 = h11.Connection(h11.SERVER)
        if self._state.leaving_connections >= self._limits.spare_connections:
            return
        self._state.leaving_connections += 1
        try:
            await self._linger()
        finally:
            self._state.leaving_connections -= 1

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


async def _turn_away(connection: _Connection) -> None:
    """Tell a caller beyond the bound that nothing of its request was run."""
    await connection.refuse(
        RequestRefused(status=OVERLOADED, message="this VM has as many connections as it may")
    )


async def serve_http(
    *,
    handler: Handler,
    listeners: list[trio.SocketListener],
    limits: ServerLimits | LimitsSource,
    state: ServerState,
    guard: ServerGuard | None = None,
    check_head: HeadCheck | None = None,
    keyed_callers: bool = False,
) -> None:
    """Serve until cancelled; one caller's error ends only its own connection.

    Once the listeners are closed, connections are served to their ends. ``check_head`` refuses
    requests with long bodies before these are read. With ``keyed_callers`` a request whose head
    was not read counts as one under a key.
    """
    shared = guard or ServerGuard()

    async def serve_one(stream: trio.SocketStream) -> None:
        in_force = limits if isinstance(limits, ServerLimits) else limits()
        holding: Holding | None = None
        try:
            host, port = stream.socket.getpeername()[:2]
            connection = _Connection(
                stream=stream,
                peer=f"{host}:{port}",
                limits=in_force,
                state=state,
                guard=shared,
                check_head=check_head,
                keyed_callers=keyed_callers,
            )
            holding = connection.holding
            if _has_room(holding, state, shared, in_force):
                state.admit(holding)
                await connection.serve(handler)
            else:
                await _turn_away(connection)
        except (CallerGone, OSError):
            return
        except Exception:
            # A fault of ours in one connection's task would end the server, and with
            # it every other caller's connection.
            CONNECTION_FAULT.log(log, peer=str(stream.socket), exc_info=True)
        finally:
            if holding is not None:
                state.dismiss(holding)
                shared.memory.close(holding)
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await trio.aclose_forcefully(stream)

    async with trio.open_nursery() as connections:
        try:
            await trio.serve_listeners(serve_one, listeners, handler_nursery=connections)
        except* trio.ClosedResourceError:
            pass


def _has_room(
    holding: Holding, state: ServerState, guard: ServerGuard, limits: ServerLimits
) -> bool:
    """Take a new connection into the account, if need be in place of one that can be closed."""
    now = trio.current_time()
    if state.open_connections >= limits.connections:
        leaver = state.first_to_leave(now)
        if leaver is None:
            return False
        guard.memory.yield_room(leaver, now=now)
    return guard.memory.open(holding, now=now)


async def open_listeners(*, host: str, port: int) -> list[trio.SocketListener]:
    """Open a listening socket on an IP number; port 0 takes a free one."""
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=512)
    for listener in listeners:
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return listeners
