"""The stand-in platform: the key-value gateway with watches, the list of VMs, faults, counts."""

from __future__ import annotations

import contextlib
import enum
from collections import Counter, deque

import attrs
import trio

from lagoonlever.exceptions import RequestRefused
from lagoonlever.fakes.kv_gateway import Gateway, GatewayError, wire_of
from lagoonlever.fakes.kv_store import Compacted, KeyValueStore, Stored
from lagoonlever.fakes.wire import Acknowledged, read_body, respond
from lagoonlever.http.exchange import CallerGone, Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.http.refusals import JSON_TYPE, error_payload
from lagoonlever.http.server import serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.published import Published
from lagoonlever.store import etcd_wire as wire

EXPIRY_INTERVAL_S = 0.05
UNAVAILABLE = 14
WRITES = (wire.TXN_PATH, wire.PUT_PATH, wire.GRANT_PATH, wire.REVOKE_PATH)


class PlatformFaultKind(enum.Enum):
    """What is to happen to the platform.

    ``down`` refuses each call and cuts the watches; ``slow`` applies and answers
    each call late, also when its caller has gone; ``lose_answers`` applies a
    change and cuts the connection; ``silence_watches`` makes the open watches
    tell nothing any more; ``cut_watches`` ends them; ``up`` ends all of these.
    """

    DOWN = "down"
    UP = "up"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"
    SILENCE_WATCHES = "silence_watches"
    CUT_WATCHES = "cut_watches"


@attrs.frozen(kw_only=True)
class PlatformFault:
    """A fault to have now; ``count`` limits how many answers are lost, None is all."""

    kind: PlatformFaultKind
    delay_s: float = 0.0
    count: int | None = None


@attrs.frozen(kw_only=True)
class CallCounts:
    """Calls since the start, by their path; a waiting watch counts as one."""

    calls: dict[str, int]


@attrs.define(eq=False)
class _OpenWatch:
    scope: trio.CancelScope
    silent: bool = False


class FakePlatform:
    """The platform's services in one process; its state survives every fault."""

    def __init__(self, *, vms_lag_s: float = 0.0) -> None:
        self._vms_lag_s = vms_lag_s
        self._store = KeyValueStore()
        self._gateway = Gateway(store=self._store)
        self._committed = Published(self._store.revision)
        self._calls: Counter[str] = Counter()
        self._vms: deque[tuple[float, wire.VmList]] = deque()
        self._down = False
        self._delay_s = 0.0
        self._answers_to_lose: float = 0
        self._watches: set[_OpenWatch] = set()

    @property
    def calls(self) -> dict[str, int]:
        """Calls since the start, by their path."""
        return dict(self._calls)

    @property
    def store(self) -> KeyValueStore:
        """The store, for tests to look into."""
        return self._store

    @property
    def open_watches(self) -> int:
        """Watches that wait now."""
        return len(self._watches)

    def inject(self, fault: PlatformFault) -> None:
        """Have a fault now."""
        if fault.kind is PlatformFaultKind.UP:
            self._down = False
            self._delay_s = 0.0
            self._answers_to_lose = 0
        elif fault.kind is PlatformFaultKind.SLOW:
            self._delay_s = fault.delay_s
        elif fault.kind is PlatformFaultKind.LOSE_ANSWERS:
            self._answers_to_lose = float("inf") if fault.count is None else fault.count
        elif fault.kind is PlatformFaultKind.SILENCE_WATCHES:
            for watch in self._watches:
                watch.silent = True
        else:
            self._down = self._down or fault.kind is PlatformFaultKind.DOWN
            for watch in self._watches:
                watch.scope.cancel()

    def set_vms(self, vms: list[wire.WireVm]) -> None:
        """Replace the list of VMs; readers see it after the list's lag."""
        self._vms.append((trio.current_time(), wire.VmList(vms=vms)))

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_leases)
            await serve_http(
                handler=self.handle,
                listeners=listeners,
                limits=ServerLimits(),
                state=ServerState(),
            )

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call; the stand-in's own controls work in every fault."""
        try:
            if not await self._control(exchange):
                await self._serve_call(exchange)
        except RequestRefused as refused:
            await exchange.respond_json(status=refused.status, payload=error_payload(refused))
        except GatewayError as error:
            await respond(exchange, error.body, status=error.status)

    async def _control(self, exchange: Exchange) -> bool:
        request = exchange.request
        route = (request.method, request.path)
        if route == ("POST", "/fault"):
            self.inject(read_body(request, PlatformFault))
            await respond(exchange, Acknowledged())
        elif route == ("POST", wire.VMS_PATH):
            self.set_vms(read_body(request, wire.VmList).vms)
            await respond(exchange, Acknowledged())
        elif route == ("GET", "/calls"):
            await respond(exchange, CallCounts(calls=self.calls))
        else:
            return False
        return True

    async def _serve_call(self, exchange: Exchange) -> None:
        path = exchange.request.path
        self._calls[path] += 1
        await trio.sleep(self._delay_s)
        if self._down:
            message = "etcdserver: no leader"
            raise GatewayError(status=503, code=UNAVAILABLE, message=message)
        if path == wire.WATCH_PATH:
            await self._serve_watch(exchange)
        elif path == wire.VMS_PATH:
            await respond(exchange, self._listed_vms())
        else:
            answer = self._gateway.answer(path, exchange.request.body, now=trio.current_time())
            self._publish()
            self._lose_answer(path)
            await self._send(exchange, answer)

    async def _send(self, exchange: Exchange, answer: object) -> None:
        headers = Headers((("Content-Type", JSON_TYPE),))
        await exchange.respond(status=200, headers=headers, body=wire.encode(answer))

    def _lose_answer(self, path: str) -> None:
        if path not in WRITES or self._answers_to_lose <= 0:
            return
        self._answers_to_lose -= 1
        raise CallerGone

    def _publish(self) -> None:
        if self._store.revision != self._committed.value:
            self._committed.publish(self._store.revision)

    def _listed_vms(self) -> wire.VmList:
        seen_until = trio.current_time() - self._vms_lag_s
        while len(self._vms) > 1 and self._vms[1][0] <= seen_until:
            self._vms.popleft()
        return self._vms[0][1] if self._vms else wire.VmList(vms=[])

    async def _expire_leases(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            self._store.expire(now=trio.current_time())
            self._publish()

    async def _serve_watch(self, exchange: Exchange) -> None:
        create = read_body(exchange.request, wire.WatchRequest).create_request
        async with trio.open_nursery() as nursery:
            watch = _OpenWatch(nursery.cancel_scope)
            self._watches.add(watch)
            nursery.start_soon(_cancel_when_gone, exchange, nursery.cancel_scope)
            try:
                with contextlib.suppress(CallerGone):
                    await self._write_watch(exchange, create, watch)
            finally:
                self._watches.discard(watch)
            nursery.cancel_scope.cancel()

    async def _write_watch(
        self, exchange: Exchange, create: wire.WatchCreateRequest, watch: _OpenWatch
    ) -> None:
        headers = Headers((("Content-Type", JSON_TYPE),))
        await exchange.start_stream(status=200, headers=headers)
        header = self._gateway.header
        await _write_piece(exchange, wire.WatchResponse(header=header, created=True))
        key, end = wire.from_base64(create.key), wire.from_base64(create.range_end)
        start = int(create.start_revision)
        seen = start - 1 if start > 0 else self._store.revision
        while True:
            try:
                changes = self._store.changes_after(seen, key, end)
            except Compacted as error:
                await _write_piece(exchange, self._compacted(error))
                return
            seen = max(seen, self._store.revision)
            if changes and not watch.silent:
                events = [_event(stored) for stored in changes]
                response = wire.WatchResponse(header=self._gateway.header, events=events)
                await _write_piece(exchange, response)
            if seen >= self._store.revision:
                await self._committed.wait_change()

    def _compacted(self, error: Compacted) -> wire.WatchResponse:
        return wire.WatchResponse(
            header=self._gateway.header, canceled=True, compact_revision=str(error.revision)
        )


async def _cancel_when_gone(exchange: Exchange, scope: trio.CancelScope) -> None:
    await exchange.wait_gone()
    scope.cancel()


async def _write_piece(exchange: Exchange, response: wire.WatchResponse) -> None:
    await exchange.write(wire.encode(wire.WatchPiece(result=response)) + b"\n")


def _event(stored: Stored) -> wire.WireEvent:
    kind = "PUT" if stored.version else wire.DELETE
    return wire.WireEvent(kv=wire_of(stored), type=kind)
