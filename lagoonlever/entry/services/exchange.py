"""One request and its bounded response on one connection."""

from __future__ import annotations

import attrs

from lagoonlever.http.client import ClientConnection, Response
from lagoonlever.http.messages import Headers


async def exchange_on(
    connection: ClientConnection,
    *,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    step: str,
    max_bytes: int,
) -> Response:
    """Write a request and read its whole response.

    Raises ``ConnectionBroken``, and ``BadResponse`` for one larger than
    ``max_bytes``. The first bytes leave before any other task has its turn.
    """
    await connection.start(method=method, path=target, headers=headers, body=body, step=step)
    head = await connection.read_head()
    return attrs.evolve(head, body=await connection.read_body(max_bytes=max_bytes))
