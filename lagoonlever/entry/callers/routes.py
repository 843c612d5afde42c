"""The routes of an entry VM: which part answers which path, and how errors are told."""

from __future__ import annotations

import attrs
import logbook

from lagoonlever.events import event
from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.exchange import CallerGone, Exchange, Handler, HeadCheck
from lagoonlever.http.messages import Headers
from lagoonlever.http.refusals import error_payload
from lagoonlever.outcomes import OUTCOME_HEADER, REASON_HEADER, OutcomeTag, Reason

log = logbook.Logger(__name__)

HANDLER_FAILED = event(
    110,
    "handler-failed",
    "error",
    "{method} {path} failed within this VM.",
    "A fault of the system itself. The caller was told unknown. Report it with the lines around.",
)

INTERNAL_ERROR = 500


@attrs.frozen(kw_only=True)
class Route:
    """A method and a path, or with ``prefix`` every path below it."""

    method: str
    path: str
    handler: Handler
    prefix: bool = False
    refuse_by_head: HeadCheck | None = None
    """Refuses a request before its body is read; raises ``RequestRefused`` where that says it."""

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request is for this route."""
        if self.method not in ("*", method):
            return False
        return path.startswith(self.path) if self.prefix else path == self.path


@attrs.define(kw_only=True)
class Routes:
    """Hands each exchange to its part; one request's error harms no other."""

    _routes: list[Route] = attrs.field(factory=list)

    def add(
        self,
        method: str,
        path: str,
        handler: Handler,
        *,
        prefix: bool = False,
        refuse_by_head: HeadCheck | None = None,
    ) -> None:
        """Add a route."""
        route = Route(
            method=method,
            path=path,
            handler=handler,
            prefix=prefix,
            refuse_by_head=refuse_by_head,
        )
        self._routes.append(route)

    async def refuse_by_head(self, exchange: Exchange) -> bool:
        """Refuse an exchange by its request's head alone, or return False."""
        try:
            route = self._route(exchange)
            return route.refuse_by_head is not None and await route.refuse_by_head(exchange)
        except RequestRefused as refused:
            await self._refuse(exchange, refused)
            return True

    async def handle(self, exchange: Exchange) -> None:
        """Answer one exchange."""
        try:
            await self._route(exchange).handler(exchange)
        except RequestRefused as refused:
            await self._refuse(exchange, refused)
        except CallerGone:
            raise
        except Exception:
            # A fault of ours in one handler would close the connection without an answer,
            # and the caller could not tell it from a VM that died.
            request = exchange.request
            HANDLER_FAILED.log(log, method=request.method, path=request.path, exc_info=True)
            await self._fail(exchange)

    def _route(self, exchange: Exchange) -> Route:
        request = exchange.request
        for route in self._routes:
            if route.matches(request.method, request.path):
                return route
        known = [route for route in self._routes if route.matches(route.method, request.path)]
        if known:
            methods = ", ".join(sorted({route.method for route in known}))
            raise RequestRefused(status=405, field="method", message=f"use {methods}")
        raise RequestRefused(status=404, field="path", message=f"there is no {request.path}")

    async def _refuse(self, exchange: Exchange, refused: RequestRefused) -> None:
        if exchange.responded:
            raise CallerGone
        await exchange.respond_json(
            status=refused.status,
            payload=error_payload(refused),
            headers=_headers_of(refused),
        )

    async def _fail(self, exchange: Exchange) -> None:
        if exchange.responded:
            raise CallerGone
        await exchange.respond_json(
            status=INTERNAL_ERROR,
            payload={"error": {"message": "a fault within the system", "type": "unknown"}},
            headers=Headers(((OUTCOME_HEADER, OutcomeTag.UNKNOWN.value),)),
        )


def _headers_of(refused: RequestRefused) -> Headers:
    headers = Headers(((OUTCOME_HEADER, OutcomeTag.NOT_RUN.value),))
    if refused.status >= INTERNAL_ERROR:
        return headers
    return headers.with_field(REASON_HEADER, Reason.BAD_REQUEST.value)
