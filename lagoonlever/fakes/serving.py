"""What the stand-in targets share: serving until death, faults first, late load reports."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable

import trio

from lagoonlever.exceptions import RequestRefused
from lagoonlever.fakes import wire
from lagoonlever.fakes.faults import FaultOrder, Faults
from lagoonlever.http.exchange import Exchange, Handler
from lagoonlever.http.refusals import error_payload
from lagoonlever.http.server import serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState


class LateReports:
    """Load reports that readers see only after a lag."""

    def __init__(self, *, lag_s: float) -> None:
        self._lag_s = lag_s
        self._reports: deque[wire.LoadReport] = deque()

    def note(self, report: wire.LoadReport) -> None:
        """Add the newest report."""
        self._reports.append(report)
        while len(self._reports) > 1 and self._reports[1].at <= report.at - self._lag_s:
            self._reports.popleft()

    def visible(self) -> wire.LoadReport:
        """Give the newest report that is old enough, or the oldest there is."""
        return self._reports[0]


async def serve_until_death(
    *, handler: Handler, listeners: list[trio.SocketListener], faults: Faults
) -> None:
    """Serve until cancelled or told to die; then nothing listens and every socket is shut."""

    async def serve() -> None:
        await serve_http(
            handler=handler,
            listeners=listeners,
            limits=ServerLimits(),
            state=ServerState(),
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        await faults.wait_death()
        nursery.cancel_scope.cancel()


async def answer_with_faults(
    exchange: Exchange, *, faults: Faults, route: Callable[[Exchange], Awaitable[None]]
) -> None:
    """Answer one request; only new faults are taken while frozen."""
    request = exchange.request
    try:
        if request.path == "/fault":
            order = wire.read_body(request, FaultOrder)
            await wire.respond(exchange, wire.Acknowledged())
            faults.inject(order)
            return
        await faults.moving()
        await route(exchange)
    except RequestRefused as refused:
        await exchange.respond_json(status=refused.status, payload=error_payload(refused))
