"""What a caller is told for a path, a method or a request that is not served."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.entry.callers.routes import Routes
from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.outcomes import OUTCOME_HEADER, REASON_HEADER


async def _refuse(exchange: Exchange) -> None:
    raise RequestRefused(status=422, field="max_tokens", message="give at least 1")


async def _break(exchange: Exchange) -> None:
    raise RuntimeError("a fault")


async def _ask(method: str, path: str) -> Response:
    routes = Routes()
    routes.add("POST", "/refused", _refuse)
    routes.add("GET", "/broken", _break)
    listeners = await open_listeners(host="127.0.0.1", port=0)
    address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])

    async def serve() -> None:
        await serve_http(
            handler=routes.handle, listeners=listeners, limits=ServerLimits(), state=ServerState()
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        response = await fetch(address, method=method, path=path, step="ask", timeout_s=30)
        nursery.cancel_scope.cancel()
    return response


@pytest.mark.parametrize(
    ("method", "path", "status", "outcome", "reason"),
    [
        ("GET", "/nothing", 404, "not-run", "bad-request"),
        ("GET", "/refused", 405, "not-run", "bad-request"),
        ("POST", "/refused", 422, "not-run", "bad-request"),
        ("GET", "/broken", 500, "unknown", None),
    ],
)
def test_each_refusal_tells_its_outcome_and_reason(
    method: str, path: str, status: int, outcome: str, reason: str | None
) -> None:
    response = trio.run(_ask, method, path)
    assert response.status == status
    assert response.headers.get(OUTCOME_HEADER) == outcome
    assert response.headers.get(REASON_HEADER) == reason
