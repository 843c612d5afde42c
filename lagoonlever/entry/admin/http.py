"""Bodies, queries and answers of the administration API, in typed JSON."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers, Request
from lagoonlever.http.refusals import JSON_TYPE

T = TypeVar("T")

OK, BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED, UNAVAILABLE = 200, 400, 404, 405, 503
STATUS_BY_TAG = {
    "stored": 200,
    "conflict": 409,
    "invalid": 422,
    "not-stored": 503,
    "undetermined": 504,
}
"""By the tag of a change's outcome."""


def read_body(request: Request, cls: type[T]) -> T:
    """Read a request's body; raises ``RequestRefused``."""
    try:
        return msgspec.json.decode(request.body, type=cls)
    except msgspec.MsgspecError as error:
        raise RequestRefused(status=BAD_REQUEST, field="body", message=str(error)) from error


def read_number(request: Request, name: str, *, default: float) -> float:
    """Read a number of the query; raises ``RequestRefused``."""
    text = request.query.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError:
        raise RequestRefused(status=BAD_REQUEST, field=name, message="is no number") from None


async def respond(exchange: Exchange, payload: object, *, status: int = OK) -> None:
    """Answer with a typed payload."""
    headers = Headers((("Content-Type", JSON_TYPE),))
    await exchange.respond(status=status, headers=headers, body=msgspec.json.encode(payload))
