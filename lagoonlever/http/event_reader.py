"""Reads server-sent events from the response that a client connection receives."""

from __future__ import annotations

from collections import deque

from lagoonlever.exceptions import BadResponse
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.parsing_turns import TURN_PIECES, take_answer_turn
from lagoonlever.http.sse import EventParser, ServerEvent


class EventReader:
    """The events of one response; a cancelled read loses none of them."""

    def __init__(self, *, connection: ClientConnection, step: str) -> None:
        self._connection = connection
        self._step = step
        self._parser = EventParser()
        self._events: deque[ServerEvent] = deque()
        self._returned = 0
        """The events of the piece that was read last."""

    async def next_event(self) -> ServerEvent | None:
        """Return the next event, or None at the end of the body.

        Raises ``ConnectionBroken`` if the body is cut, ``BadResponse`` for an event
        larger than ``MAX_EVENT_BYTES``.
        """
        while not self._events:
            piece = await self._connection.next_piece()
            if piece is None:
                return None
            self._events.extend(self._parse(piece))
            self._returned = 0
        if self._returned == TURN_PIECES:
            await take_answer_turn()
            self._returned = 0
        self._returned += 1
        return self._events.popleft()

    def _parse(self, piece: bytes) -> list[ServerEvent]:
        try:
            return self._parser.feed(piece)
        except ValueError as error:
            peer = str(self._connection.address)
            raise BadResponse(str(error), step=self._step, peer=peer) from error
