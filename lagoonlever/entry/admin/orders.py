"""``/admin/orders``: shows the orders to engines, and changes what is wanted of them."""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.orders.orders import ORDER_TIMEOUT_S
from lagoonlever.decisions.orders.wanted import find_faults
from lagoonlever.decisions.targets.targets import Target, TargetKind, TargetState, TargetView
from lagoonlever.entry.admin import http
from lagoonlever.entry.admin.operators import Operators
from lagoonlever.entry.admin.orders_messages import (
    ORDERS_CHANGE_PATH,
    ORDERS_PATH,
    EngineShown,
    HolderShown,
    OrdersChangeAsked,
    OrdersChangeTold,
    OrdersShown,
    orders_change_told,
)
from lagoonlever.entry.orders.orders import HOLDER_KEY
from lagoonlever.entry.orders.store import WantedStore
from lagoonlever.events import event
from lagoonlever.exceptions import PeerError, PlatformError, RequestRefused
from lagoonlever.http.exchange import Exchange
from lagoonlever.published import Published
from lagoonlever.store.port import KeyValue, Platform
from lagoonlever.targets.orders import read_order

log = logbook.Logger(__name__)

READERS = 64
"""Engines that are read at once: an answer about hundreds must not open hundreds of sockets."""
MAX_AUTHOR_TEXT = 500

ORDERS_WANTED_STORED = event(
    754,
    "orders-wanted-stored",
    "notice",
    "{author} stored what is wanted of {engines}, as revision {revision}.",
    "An operator changed what engines are to load or do. Nothing to do.",
)


@attrs.define(kw_only=True, eq=False)
class OrdersAdmin:
    """Answers every path below ``/admin/orders``; any VM can, whoever gives the orders."""

    _platform: Platform
    _targets: Published[TargetView]
    _operators: Operators = attrs.field(factory=Operators)
    _store: WantedStore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._store = WantedStore(platform=self._platform)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one exchange; raises ``RequestRefused``."""
        request = exchange.request
        self._operators.check(request)
        routes = {
            ("GET", ORDERS_PATH): self._show,
            ("POST", ORDERS_CHANGE_PATH): self._change,
        }
        handler = routes.get((request.method, request.path))
        if handler is None:
            known = ", ".join(" ".join(route) for route in routes)
            raise RequestRefused(
                status=http.NOT_FOUND, field="path", message=f"give one of: {known}"
            )
        try:
            await handler(exchange)
        except PlatformError as error:
            raise RequestRefused(
                status=http.UNAVAILABLE, field="platform", message=str(error)
            ) from error

    async def _show(self, exchange: Exchange) -> None:
        read = await self._store.read()
        holder = (await self._platform.get(HOLDER_KEY)).entry
        targets = self._engines()
        wanted = read.document.engines
        shown: dict[str, EngineShown] = {}
        limiter = trio.CapacityLimiter(READERS)

        async def look(name: str) -> None:
            async with limiter:
                state = EngineShown(engine=name, wanted=wanted.get(name), report=None)
                shown[name] = await _with_report(state, targets.get(name))

        async with trio.open_nursery() as nursery:
            for name in targets.keys() | wanted.keys():
                nursery.start_soon(look, name)
        payload = OrdersShown(
            revision=read.revision,
            holder=_holder_shown(holder) if holder else None,
            engines=tuple(shown[name] for name in sorted(shown)),
        )
        await http.respond(exchange, payload)

    async def _change(self, exchange: Exchange) -> None:
        asked = http.read_body(exchange.request, OrdersChangeAsked)
        if len(asked.author) > MAX_AUTHOR_TEXT:
            message = f"has {len(asked.author)} characters; at most {MAX_AUTHOR_TEXT} are taken"
            raise RequestRefused(status=http.BAD_REQUEST, field="author", message=message)
        told = await self._changed(asked)
        if told.made:
            names = ", ".join(edit.engine for edit in asked.edits)
            ORDERS_WANTED_STORED.log(
                log, author=asked.author, engines=names, revision=told.revision
            )
        await http.respond(exchange, told, status=http.STATUS_BY_TAG[told.tag])

    async def _changed(self, asked: OrdersChangeAsked) -> OrdersChangeTold:
        seen = {edit.engine for edit in asked.edits if edit.expected is not None}
        faults = find_faults(asked.edits, known=self._engines().keys() | seen)
        if faults:
            return OrdersChangeTold(
                tag="invalid", message="the wanted states have faults", faults=faults
            )
        return orders_change_told(await self._store.change(asked.edits))

    def _engines(self) -> dict[str, Target]:
        return {
            target.name: target
            for target in self._targets.value.targets
            if target.kind is TargetKind.ENGINE and target.state is not TargetState.GONE
        }


def _holder_shown(entry: KeyValue) -> HolderShown:
    return HolderShown(vm=entry.value.decode(), fencing=entry.created_revision)


async def _with_report(state: EngineShown, target: Target | None) -> EngineShown:
    if target is None:
        return attrs.evolve(state, error="not on the list of targets")
    try:
        report = await read_order(target.address, timeout_s=ORDER_TIMEOUT_S)
    except PeerError as error:
        return attrs.evolve(state, error=str(error))
    return attrs.evolve(state, report=report)
