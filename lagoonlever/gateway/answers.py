"""How a gateway tells its callers the outcomes that are its own."""

from __future__ import annotations

import json
from http import HTTPStatus

from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    Failed,
    NotRun,
    Reason,
    Unknown,
)

NO_ROUTE = NotRun(
    reason=Reason.BAD_REQUEST, message="no route has this path", status=HTTPStatus.NOT_FOUND
)
UNKNOWN_KEY = NotRun(
    reason=Reason.BAD_REQUEST,
    message="the API key belongs to no organisation",
    status=HTTPStatus.UNAUTHORIZED,
)


async def tell(exchange: Exchange, outcome: NotRun | Unknown | Failed) -> None:
    """Send the caller its final answer."""
    pairs = [
        ("Content-Type", JSON_TYPE),
        (OUTCOME_HEADER, outcome.tag.value),
        (REASON_HEADER, outcome.reason.value),
    ]
    if isinstance(outcome, NotRun) and outcome.retry_after_s is not None:
        pairs.append((RETRY_AFTER_HEADER, f"{outcome.retry_after_s:.3f}"))
    error = {"message": outcome.message, "type": outcome.tag.value, "code": outcome.reason.value}
    body = json.dumps({"error": error}).encode()
    if exchange.request.method == "HEAD":
        body = b""
    await exchange.respond(status=int(outcome.status), headers=Headers(tuple(pairs)), body=body)
