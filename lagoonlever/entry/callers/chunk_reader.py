"""Reads the chunks of a completion from the response of an engine."""

from __future__ import annotations

from http import HTTPStatus

import msgspec

from lagoonlever.exceptions import BadResponse
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.event_reader import EventReader
from lagoonlever.http.sse import DONE_DATA
from lagoonlever.targets.completions import EngineChunk, decode_chunk


class EngineRefused(BadResponse):
    """The engine answered with an error status, before any chunk."""


class ChunkReader:
    """The chunks of one response; the request has been written on ``connection``."""

    def __init__(self, *, connection: ClientConnection, step: str) -> None:
        self._connection = connection
        self._step = step
        self._events = EventReader(connection=connection, step=step)

    @property
    def _peer(self) -> str:
        return str(self._connection.address)

    async def read_head(self) -> None:
        """Read the head of the response; raises ``EngineRefused`` for an error status."""
        head = await self._connection.read_head()
        if head.status != HTTPStatus.OK:
            raise EngineRefused(f"status {head.status}", step=self._step, peer=self._peer)

    async def next_chunk(self) -> EngineChunk | None:
        """Give the next chunk, or None at the stream's end marker.

        Raises ``ConnectionBroken`` if the stream is cut, ``BadResponse`` for an end
        without the marker and for data that is no chunk.
        """
        event = await self._events.next_event()
        if event is None:
            raise self._bad("ended without its end marker")
        if event.data == DONE_DATA:
            return None
        try:
            return decode_chunk(event.data)
        except msgspec.MsgspecError as error:
            raise self._bad(str(error)) from error

    def _bad(self, message: str) -> BadResponse:
        return BadResponse(message, step=self._step, peer=self._peer)
