"""Fetches a JSON document from a peer and reads it as a typed message."""

from __future__ import annotations

from http import HTTPStatus
from typing import TypeVar

import msgspec

from lagoonlever.exceptions import BadResponse
from lagoonlever.http.client import Pool, fetch
from lagoonlever.http.messages import Address

T = TypeVar("T")


async def fetch_json(
    address: Address,
    *,
    path: str,
    answer: type[T],
    step: str,
    timeout_s: float,
    pool: Pool | None = None,
) -> T:
    """Send a GET and read its answer.

    Raises what ``fetch`` does, and ``BadResponse`` for any status but 200 and for a
    body that is no ``answer``.
    """
    response = await fetch(address, path=path, step=step, timeout_s=timeout_s, pool=pool)
    if response.status != HTTPStatus.OK:
        raise BadResponse(f"status {response.status}", step=step, peer=str(address))
    try:
        return msgspec.json.decode(response.body, type=answer)
    except msgspec.MsgspecError as error:
        raise BadResponse(str(error), step=step, peer=str(address)) from error
