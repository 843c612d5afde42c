"""The stand-in engine: batches, caches prefixes, resumes and cancels streams, and fails.

Usable in one process with its user (``run`` with listeners), or alone by its
command. A resumed stream gives the chunks after the first N output tokens. Text
that is held, for an incomplete character or a possible stop string, shows as an
empty text with its token id: a continuation elsewhere completes a character but
cannot know of a stop string that began before it.
"""

from __future__ import annotations

import contextlib
import random
import time
from collections import OrderedDict, defaultdict
from collections.abc import Awaitable, Callable

import attrs
import trio

from lagoonlever.exceptions import RequestRefused
from lagoonlever.fakes import wire
from lagoonlever.fakes.batch import Batch, ServedModel, Work
from lagoonlever.fakes.engine_orders import EngineOrders
from lagoonlever.fakes.engine_requests import new_generation
from lagoonlever.fakes.engine_stream import EngineStream, StreamWriter
from lagoonlever.fakes.faults import FaultOrder, Faults
from lagoonlever.fakes.prefix_cache import CacheEvent, PrefixCache
from lagoonlever.fakes.serving import LateReports, answer_with_faults, serve_until_death
from lagoonlever.http.exchange import CallerGone, Exchange

KEPT_STREAMS = 4096
RESPONSES = "/v1/responses/"


@attrs.frozen(kw_only=True)
class EngineOptions:
    """How a stand-in engine behaves; times in seconds, ``cache_event_gap`` as a fraction."""

    models: tuple[ServedModel, ...]
    token_interval_s: float = 0.01
    prefill_s_per_token: float = 0.00002
    slots: int = 16
    cache_blocks: int = 4096
    load_lag_s: float = 0.5
    cache_event_lag_s: float = 1.0
    cache_event_gap: float = 0.05
    checks_fencing: bool = False
    model_load_s: float = 1.0
    random_seed: int = 0


class FakeEngine:
    """One engine; dead after ``run`` returned, and empty again when it is run anew."""

    def __init__(self, *, options: EngineOptions) -> None:
        self._options = options
        self._work: defaultdict[str, Work] = defaultdict(Work)
        self._reset()

    @property
    def work(self) -> dict[str, Work]:
        """Tokens computed in all of its lives, by request id."""
        return dict(self._work)

    @property
    def total_work(self) -> Work:
        """Tokens computed in all of its lives."""
        work = self._work.values()
        return Work(
            prefill_tokens=sum(each.prefill_tokens for each in work),
            cached_tokens=sum(each.cached_tokens for each in work),
            decode_tokens=sum(each.decode_tokens for each in work),
        )

    @property
    def live_streams(self) -> tuple[str, ...]:
        """Request ids of the streams that are not finished."""
        return tuple(self._live)

    def inject(self, order: FaultOrder) -> None:
        """Have a fault now, or after some tokens of a stream."""
        self._faults.inject(order)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled or told to die; a second run begins a new, empty life."""
        if self._faults.dead:
            self._reset()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._decode)
            await serve_until_death(handler=self.handle, listeners=listeners, faults=self._faults)
            nursery.cancel_scope.cancel()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        await answer_with_faults(exchange, faults=self._faults, route=self._route)

    def _reset(self) -> None:
        self._faults = Faults()
        self._cache = PrefixCache(
            capacity_blocks=self._options.cache_blocks,
            event_lag_s=self._options.cache_event_lag_s,
            event_gap=self._options.cache_event_gap,
            rng=random.Random(self._options.random_seed),
        )
        self._batch = Batch(slots=self._options.slots, cache=self._cache, work=self._work)
        self._streams: OrderedDict[str, EngineStream] = OrderedDict()
        self._live: dict[str, EngineStream] = {}
        self._arrived = trio.Event()
        self._reports = LateReports(lag_s=self._options.load_lag_s)
        self._orders = EngineOrders(
            models=self._options.models,
            checks_fencing=self._options.checks_fencing,
            model_load_s=self._options.model_load_s,
        )

    async def _decode(self) -> None:
        due = trio.current_time()
        while True:
            if not self._batch.running and not self._batch.waiting:
                self._arrived = trio.Event()
                await self._arrived.wait()
                due = trio.current_time()
            await self._faults.moving()
            prefill_tokens = self._batch.step(now=trio.current_time())
            step_s = self._options.token_interval_s
            step_s += prefill_tokens * self._options.prefill_s_per_token
            due = max(trio.current_time(), due + step_s * self._faults.factor)
            await trio.sleep_until(due)
            await self._faults.moving()
            self._publish()

    def _publish(self) -> None:
        self._note_load()
        for stream in list(self._live.values()):
            self._publish_stream(stream)

    def _publish_stream(self, stream: EngineStream) -> None:
        stream.publish()
        if stream.finish_reason is not None:
            self._live.pop(stream.generation.request_id, None)

    def _note_load(self) -> None:
        report = wire.LoadReport(
            running=self._batch.running,
            waiting=self._batch.waiting,
            slots=self._options.slots,
            cached_tokens=self._cache.cached_tokens,
            at=trio.current_time(),
        )
        self._reports.note(report)

    async def _route(self, exchange: Exchange) -> None:
        request = exchange.request
        routes: dict[tuple[str, str], Callable[[Exchange], Awaitable[None]]] = {
            ("POST", "/v1/completions"): self._complete,
            ("GET", "/v1/models"): self._list_models,
            ("GET", "/load"): self._report_load,
            ("GET", "/cache_events"): self._report_cache_events,
            ("GET", "/orders"): self._report_order,
            ("POST", "/orders"): self._take_order,
            ("GET", "/work"): self._report_work,
        }
        route = routes.get((request.method, request.path))
        if route is not None:
            await route(exchange)
        elif request.path.startswith(RESPONSES):
            await self._route_stream(exchange)
        else:
            raise RequestRefused(status=404, field="path", message=f"no {request.path} here")

    async def _complete(self, exchange: Exchange) -> None:
        request = wire.read_body(exchange.request, wire.CompletionRequest)
        loaded = self._orders.models(now=trio.current_time())
        generation = new_generation(request, models=loaded)
        if generation.request_id in self._live:
            message = f"{generation.request_id!r} is running"
            raise RequestRefused(status=409, field="request_id", message=message)
        stream = EngineStream(generation=generation, created=int(time.time()))
        self._streams.pop(generation.request_id, None)
        self._streams[generation.request_id] = stream
        self._live[generation.request_id] = stream
        self._forget_finished()
        self._batch.submit(generation)
        self._note_load()
        self._arrived.set()
        await self._attend(exchange, stream, start=0, whole=not request.stream)

    def _forget_finished(self) -> None:
        if len(self._streams) <= KEPT_STREAMS:
            return
        oldest = next((name for name in self._streams if name not in self._live), None)
        if oldest is not None:
            del self._streams[oldest]

    async def _route_stream(self, exchange: Exchange) -> None:
        request = exchange.request
        name, _, action = request.path.removeprefix(RESPONSES).partition("/")
        stream = self._streams.get(name)
        if stream is None:
            raise RequestRefused(status=404, field="request_id", message=f"{name!r} is not known")
        if request.method == "POST" and action == "cancel":
            self._cancel(stream)
            await wire.respond(exchange, wire.Acknowledged())
            return
        if request.method != "GET" or action:
            raise RequestRefused(status=404, field="path", message=f"no {request.path} here")
        start = wire.read_number(request, "starting_after")
        whole = request.query.get("stream") != "true"
        await self._attend(exchange, stream, start=start, whole=whole)

    async def _attend(
        self, exchange: Exchange, stream: EngineStream, *, start: int, whole: bool
    ) -> None:
        writer = StreamWriter(exchange=exchange, stream=stream, faults=self._faults)
        stream.readers += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_when_gone, exchange, nursery.cancel_scope)
                with contextlib.suppress(CallerGone):
                    await (writer.write_whole() if whole else writer.write_stream(start))
                nursery.cancel_scope.cancel()
        finally:
            stream.readers -= 1
            if not stream.readers and not stream.generation.background:
                self._cancel(stream)

    async def _cancel_when_gone(self, exchange: Exchange, scope: trio.CancelScope) -> None:
        await exchange.wait_gone()
        await self._faults.moving()
        scope.cancel()

    def _cancel(self, stream: EngineStream) -> None:
        if stream.finish_reason is not None:
            return
        self._batch.cancel(stream.generation)
        self._publish_stream(stream)
        self._note_load()

    async def _list_models(self, exchange: Exchange) -> None:
        entries = [
            wire.ModelEntry(id=model.name, version=model.version, adapters=list(model.adapters))
            for model in self._orders.models(now=trio.current_time())
        ]
        await wire.respond(exchange, wire.ModelList(data=entries))

    async def _report_load(self, exchange: Exchange) -> None:
        self._note_load()
        await wire.respond(exchange, self._reports.visible())

    async def _report_cache_events(self, exchange: Exchange) -> None:
        after = wire.read_number(exchange.request, "after")
        events = self._cache.events_after(after, now=trio.current_time())
        await wire.respond(exchange, _CacheEvents(events=events))

    async def _report_work(self, exchange: Exchange) -> None:
        await wire.respond(exchange, _WorkReport(total=self.total_work, requests=self.work))

    async def _take_order(self, exchange: Exchange) -> None:
        order = wire.read_body(exchange.request, wire.Order)
        self._orders.take(order, now=trio.current_time())
        await self._report_order(exchange)

    async def _report_order(self, exchange: Exchange) -> None:
        await wire.respond(exchange, self._orders.report(now=trio.current_time()))


@attrs.frozen(kw_only=True)
class _CacheEvents:
    events: list[CacheEvent]


@attrs.frozen(kw_only=True)
class _WorkReport:
    total: Work
    requests: dict[str, Work]
