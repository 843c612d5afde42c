"""The stand-in application service: lookups that may repeat, bids and notices that may not.

It counts the executions of each key and repeats a call whenever it is sent
again, so that a doubled bid shows in the counts.
"""

from __future__ import annotations

import zlib
from collections import Counter, OrderedDict

import attrs
import msgspec
import trio

from lagoonlever.exceptions import RequestRefused
from lagoonlever.fakes import wire
from lagoonlever.fakes.faults import FaultKind, FaultOrder, Faults
from lagoonlever.fakes.serving import LateReports, answer_with_faults, serve_until_death
from lagoonlever.http.exchange import CallerGone, Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.http.refusals import JSON_TYPE

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
LOOKUPS = ("lots", "prices")
CHANGES = ("bids", "notices")
KEPT_PEERS = 10_000
HIGHEST_PRICE = 100_000


@attrs.frozen(kw_only=True)
class ApplicationOptions:
    """How a stand-in application service behaves; times in seconds."""

    service_s: float = 0.005
    slots: int = 32
    load_lag_s: float = 0.5


@attrs.frozen(kw_only=True)
class Lookup:
    """The answer to a lookup; ``value`` depends on the item alone."""

    kind: str
    id: str
    value: int


@attrs.frozen(kw_only=True)
class Execution:
    """The answer to a bid or a notice; ``number`` counts all executions."""

    kind: str
    number: int
    idempotency_key: str | None
    request: msgspec.Raw


@attrs.frozen(kw_only=True)
class Executions:
    """Executions by key, and of those without a key."""

    by_key: dict[str, int]
    without_key: int


class FakeApplication:
    """One application service; its executions outlive its death, as in a database."""

    def __init__(self, *, options: ApplicationOptions) -> None:
        self._options = options
        self._executed: Counter[str | None] = Counter()
        self._reset()

    @property
    def executions(self) -> Executions:
        """What was executed in all of its lives."""
        by_key = {key: count for key, count in self._executed.items() if key is not None}
        return Executions(by_key=by_key, without_key=self._executed[None])

    def inject(self, order: FaultOrder) -> None:
        """Have a fault now."""
        self._faults.inject(order)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled or told to die; a second run begins a new life."""
        if self._faults.dead:
            self._reset()
        await serve_until_death(handler=self.handle, listeners=listeners, faults=self._faults)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        await answer_with_faults(exchange, faults=self._faults, route=self._route)

    def _reset(self) -> None:
        self._faults = Faults()
        self._slots = trio.CapacityLimiter(self._options.slots)
        self._reports = LateReports(lag_s=self._options.load_lag_s)
        self._peers: OrderedDict[str, None] = OrderedDict()

    async def _route(self, exchange: Exchange) -> None:
        request = exchange.request
        _, kind, *rest = request.path.split("/")
        if request.method == "GET" and request.path == "/executions":
            await wire.respond(exchange, self.executions)
        elif request.method == "GET" and request.path == "/load":
            self._note_load()
            await wire.respond(exchange, self._reports.visible())
        elif request.method == "GET" and kind in LOOKUPS and len(rest) == 1:
            await self._look_up(exchange, kind, rest[0])
        elif request.method == "POST" and kind in CHANGES and not rest:
            await self._execute(exchange, kind)
        else:
            raise RequestRefused(status=404, field="path", message=f"no {request.path} here")

    async def _look_up(self, exchange: Exchange, kind: str, item: str) -> None:
        self._close_reused(exchange)
        await self._work()
        self._drop_answer()
        value = zlib.crc32(f"{kind}/{item}".encode()) % HIGHEST_PRICE
        await wire.respond(exchange, Lookup(kind=kind, id=item, value=value))

    async def _execute(self, exchange: Exchange, kind: str) -> None:
        self._close_reused(exchange)
        request = exchange.request
        wire.read_body(request, dict)
        await self._work()
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        self._executed[key] += 1
        self._drop_answer()
        await self._faults.moving()
        execution = Execution(
            kind=kind,
            number=self._executed.total(),
            idempotency_key=key,
            request=msgspec.Raw(request.body),
        )
        headers = Headers((("Content-Type", JSON_TYPE),))
        if key is not None:
            headers = headers.with_field(IDEMPOTENCY_KEY_HEADER, key)
        await exchange.respond(status=201, headers=headers, body=msgspec.json.encode(execution))

    async def _work(self) -> None:
        self._note_load()
        async with self._slots:
            await trio.sleep(self._options.service_s * self._faults.factor)
            await self._faults.moving()
        self._note_load()

    def _close_reused(self, exchange: Exchange) -> None:
        """Close a kept-alive connection as its next request arrives, without executing it."""
        peer = exchange.request.peer
        reused = peer in self._peers
        self._peers[peer] = None
        if len(self._peers) > KEPT_PEERS:
            self._peers.popitem(last=False)
        if reused and self._faults.take(FaultKind.CLOSE_IDLE):
            raise CallerGone

    def _drop_answer(self) -> None:
        if self._faults.take(FaultKind.DROP_ANSWER):
            raise CallerGone

    def _note_load(self) -> None:
        statistics = self._slots.statistics()
        report = wire.LoadReport(
            running=statistics.borrowed_tokens,
            waiting=statistics.tasks_waiting,
            slots=self._options.slots,
            cached_tokens=0,
            at=trio.current_time(),
        )
        self._reports.note(report)
