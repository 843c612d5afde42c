"""One request and its bounded response on one connection."""

from __future__ import annotations

import attrs

from lagoonlever.exceptions import BadResponse
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
    pieces: list[bytes] = []
    size = 0
    while (piece := await connection.next_piece()) is not None:
        size += len(piece)
        if size > max_bytes:
            raise BadResponse(
                f"answered more than {max_bytes} bytes", step=step, peer=str(connection.address)
            )
        pieces.append(piece)
    return attrs.evolve(head, body=b"".join(pieces))
