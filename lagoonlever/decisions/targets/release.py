"""Buffer that releases received tokens only as whole characters, and not within a stop string.

Tokens that were released to the caller can't be taken back, and another engine resumes from
exactly the released tokens. Tokens are therefore held while their text may still change: within a
character, or where the text may be the beginning of a stop string. If the engine dies then, the
held tokens are lost, and the next engine generates them again.
"""

from __future__ import annotations

from collections import deque

import attrs


@attrs.frozen(kw_only=True)
class Piece:
    """Tokens, and the text that belongs to exactly these tokens."""

    token_ids: tuple[int, ...]
    text: str


class ReleaseBuffer:
    """Holds the tokens of one attempt until their text can no longer change.

    ``stop`` are the stop strings, at which the answer ends.
    """

    def __init__(self, *, stop: tuple[str, ...] = ()) -> None:
        self._stop = stop
        self._incomplete: tuple[int, ...] = ()
        self._held: deque[Piece] = deque()
        self._stopped = False

    @property
    def stopped(self) -> bool:
        """Whether a stop string was found; nothing is released after it."""
        return self._stopped

    @property
    def held_tokens(self) -> int:
        """The number of received tokens that are not released yet."""
        return len(self._incomplete) + sum(len(piece.token_ids) for piece in self._held)

    def push(self, *, token_ids: tuple[int, ...], text: str) -> list[Piece]:
        """Add tokens and text that an engine sent; return the pieces that may be released now."""
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
        return self._release_settled()

    def flush(self) -> list[Piece]:
        """Return all held pieces, once the engine has reported the end of its answer."""
        if self._stopped:
            return []
        pieces = list(self._held)
        self._held.clear()
        if self._incomplete:
            pieces.append(Piece(token_ids=self._incomplete, text=""))
            self._incomplete = ()
        return pieces

    def _release_settled(self) -> list[Piece]:
        """Release the held pieces up to a stop string, or to the beginning of a possible one."""
        text = "".join(piece.text for piece in self._held)
        starts = [start for stop in self._stop if (start := text.find(stop)) >= 0]
        if starts:
            self._stopped = True
            return self._cut_at(min(starts))
        return self._take_until(len(text) - self._possible_stop_length(text))

    def _possible_stop_length(self, text: str) -> int:
        """Return the length of the longest end of the text that a stop string begins with."""
        for length in range(min(len(text), max(map(len, self._stop)) - 1), 0, -1):
            tail = text[-length:]
            if any(stop.startswith(tail) for stop in self._stop):
                return length
        return 0

    def _take_until(self, end: int) -> list[Piece]:
        """Remove and return the held pieces that end at or before a position in the held text."""
        pieces: list[Piece] = []
        position = 0
        while self._held and position + len(self._held[0].text) <= end:
            piece = self._held.popleft()
            position += len(piece.text)
            pieces.append(piece)
        return pieces

    def _cut_at(self, end: int) -> list[Piece]:
        """Return the held pieces up to a position in the held text, and discard the rest.

        A piece across the position keeps its tokens, and its text is cut.
        """
        pieces = self._take_until(end)
        position = sum(len(piece.text) for piece in pieces)
        if self._held and position < end:
            cut = self._held.popleft()
            pieces.append(Piece(token_ids=cut.token_ids, text=cut.text[: end - position]))
        self._held.clear()
        return pieces
