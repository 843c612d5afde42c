"""One request of a client and the response to it, as a server hands them to its handler."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import h11

from lagoonlever.http.messages import Headers, Request
from lagoonlever.http.refusals import JSON_TYPE

if TYPE_CHECKING:
    from lagoonlever.http.server_connection import ServerConnection


class CallerGone(Exception):
    """The caller's connection ended while its answer was being written."""


class Exchange:
    """One request and the response to it."""

    def __init__(self, *, request: Request, connection: ServerConnection) -> None:
        self.request = request
        self._connection = connection
        self._responded = False
        self._is_caller_gone = False

    @property
    def responded(self) -> bool:
        """Whether a response was started."""
        return self._responded

    @property
    def is_caller_gone(self) -> bool:
        """Whether the caller was seen to close its side, by those who wait for that."""
        return self._is_caller_gone

    @property
    def largest_bytes(self) -> int:
        """What may be held for one connection at most."""
        return self._connection.memory.largest_bytes

    def pay(self, size: int) -> bool:
        """Pay for ``size`` bytes beside the request itself; False if there is no memory for them.

        What is not paid back is returned as the exchange ends.
        """
        return self._connection.memory.pay(size)

    def pay_back(self, size: int) -> None:
        """Pay back ``size`` bytes that are held no more."""
        self._connection.memory.pay_back(size)

    async def respond(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Answer with a whole body."""
        self._responded = True
        sized = headers.with_field("Content-Length", str(len(body)))
        await self._connection.send(
            self._connection.response(status=status, headers=sized),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def respond_json(
        self, *, status: int, payload: object, headers: Headers | None = None
    ) -> None:
        """Answer with a JSON document."""
        typed = (headers or Headers()).with_field("Content-Type", JSON_TYPE)
        await self.respond(status=status, headers=typed, body=json.dumps(payload).encode())

    async def start_stream(self, *, status: int, headers: Headers) -> None:
        """Start a response whose body is written piece by piece."""
        self._responded = True
        await self._connection.send(self._connection.response(status=status, headers=headers))

    async def write(self, data: bytes) -> None:
        """Write one piece of the body; raises ``CallerGone``."""
        await self._connection.send(h11.Data(data=data))

    async def write_raw(self, data: bytes) -> None:
        """Write bytes that are no HTTP, for stand-ins of broken servers."""
        self._responded = True
        await self._connection.write_raw(data)

    async def finish(self, *, trailers: Headers | None = None) -> None:
        """End the body, with trailers where the caller's version of HTTP knows them."""
        known = trailers if trailers and self._connection.takes_trailers else Headers()
        await self._connection.send(h11.EndOfMessage(headers=known.raw()))

    def caller_present(self) -> bool:
        """Check whether the caller's connection is still open, by a look at the socket itself.

        Guards a VM that wakes after a pause: the caller may have left and be
        served elsewhere, and no task here has had its turn to see that yet.
        """
        return self._connection.caller_present()

    def pay_answer(self, size: int) -> bool:
        """Pay for ``size`` bytes of an answer that is held; False if there is no memory for it.

        What was paid is returned as the exchange ends, or by ``return_answer``.
        """
        return self._connection.memory.pay_answer(size)

    def return_answer(self, size: int) -> None:
        """Return what was paid for bytes of an answer that are held no more."""
        self._connection.memory.return_answer(size)

    async def wait_gone(self) -> None:
        """Return when the caller has closed its side of the connection."""
        await self._connection.wait_gone()
        self._is_caller_gone = True


Handler = Callable[[Exchange], Awaitable[None]]
HeadCheck = Callable[[Exchange], Awaitable[bool]]
"""Refuses an exchange by its request's head alone, or returns False; its body is empty."""
