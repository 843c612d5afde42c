"""Which received tokens may be released: whole characters, and no half of a stop string.

What is released can never be taken back, and a resume goes on from exactly the
released tokens. Tokens whose text is not settled yet are therefore held: an
engine that dies in the middle of a character or of a stop string takes them
with it, and the next engine generates them again.
"""

from __future__ import annotations

from collections import deque

import attrs


@attrs.frozen(kw_only=True)
class Piece:
    """Some tokens and the text that belongs to exactly them."""

    token_ids: tuple[int, ...]
    text: str


class ReleaseBuffer:
    """Holds the tokens of one attempt until their text is settled."""

    def __init__(self, *, stop: tuple[str, ...] = ()) -> None:
        self._stop = stop
        self._incomplete: tuple[int, ...] = ()
        self._held: deque[Piece] = deque()
        self._stopped = False

    @property
    def stopped(self) -> bool:
        """Whether a stop string was met; nothing is released after it."""
        return self._stopped

    @property
    def held_tokens(self) -> int:
        """How many received tokens are not released yet."""
        return len(self._incomplete) + sum(len(piece.token_ids) for piece in self._held)

    def push(self, *, token_ids: tuple[int, ...], text: str) -> list[Piece]:
        """Take what an engine sent and give what may be released now."""
        if self._stopped:
            return []
        if not text:
            self._incomplete += token_ids
            return []
        piece = Piece(token_ids=self._incomplete + token_ids, text=text)
        self._incomplete = ()
        if not self._stop:
            return [piece]
        self._held.append(piece)
        return self._settle()

    def flush(self) -> list[Piece]:
        """Give everything held, when the engine said that its answer ended."""
        if self._stopped:
            return []
        pieces = list(self._held)
        self._held.clear()
        if self._incomplete:
            pieces.append(Piece(token_ids=self._incomplete, text=""))
            self._incomplete = ()
        return pieces

    def _settle(self) -> list[Piece]:
        text = "".join(piece.text for piece in self._held)
        starts = [start for stop in self._stop if (start := text.find(stop)) >= 0]
        if starts:
            self._stopped = True
            return self._cut_at(min(starts))
        return self._take_until(len(text) - self._possible_stop_length(text))

    def _possible_stop_length(self, text: str) -> int:
        for length in range(min(len(text), max(map(len, self._stop)) - 1), 0, -1):
            tail = text[-length:]
            if any(stop.startswith(tail) for stop in self._stop):
                return length
        return 0

    def _take_until(self, end: int) -> list[Piece]:
        pieces: list[Piece] = []
        position = 0
        while self._held and position + len(self._held[0].text) <= end:
            piece = self._held.popleft()
            position += len(piece.text)
            pieces.append(piece)
        return pieces

    def _cut_at(self, end: int) -> list[Piece]:
        pieces = self._take_until(end)
        position = sum(len(piece.text) for piece in pieces)
        if self._held and position < end:
            cut = self._held.popleft()
            pieces.append(Piece(token_ids=cut.token_ids, text=cut.text[: end - position]))
        self._held.clear()
        return pieces
