"""The tokens of one generation that were released to the caller, with their running digest.

The digest over the released tokens is part of each event id. When a caller reconnects with an
event id, the digest shows whether the caller holds the same tokens, so that an answer is never
continued from the tokens of another one.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.targets.release import Piece
from lagoonlever.identity import EventId, extend_digest, initial_digest


@attrs.frozen(kw_only=True)
class Source:
    """The attempt that produced pieces; shared by all its pieces, as a long answer has many."""

    request_id: str
    generation: int
    attempt: int
    attempt_start: int
    """Offset in the answer of the first token of the attempt's stream."""
    target: str
    vm: str


@attrs.frozen(kw_only=True)
class ReleasedPiece:
    """Consecutive released tokens; ``start`` is the offset of the first one.

    ``digest`` covers all tokens of the answer up to the end of this piece.
    """

    start: int
    token_ids: tuple[int, ...]
    text: str
    digest: int
    source: Source

    @property
    def end(self) -> int:
        """The offset of the token after these."""
        return self.start + len(self.token_ids)

    @property
    def event_id(self) -> EventId:
        """The event id by which a caller resumes after this piece.

        It is built on each access, because keeping one for each stored piece costs memory.
        """
        source = self.source
        return EventId(
            request_id=source.request_id,
            generation=source.generation,
            attempt=source.attempt,
            attempt_start=source.attempt_start,
            offset=self.end,
            digest=self.digest,
            target=source.target,
            vm=source.vm,
        )

    @classmethod
    def ending_at(
        cls, event_id: EventId, *, token_ids: tuple[int, ...], text: str
    ) -> ReleasedPiece:
        """Return the piece that consists of these tokens and has this event id."""
        source = Source(
            request_id=event_id.request_id,
            generation=event_id.generation,
            attempt=event_id.attempt,
            attempt_start=event_id.attempt_start,
            target=event_id.target,
            vm=event_id.vm,
        )
        return cls(
            start=event_id.offset - len(token_ids),
            token_ids=token_ids,
            text=text,
            digest=event_id.digest,
            source=source,
        )


class Answer:
    """Released tokens of one generation of one request; tokens are added and never removed."""

    def __init__(
        self, *, request_id: str, generation: int, model_version: str, vm: str = ""
    ) -> None:
        self._request_id = request_id
        self._generation = generation
        self._model_version = model_version
        self._vm = vm
        self._digest = initial_digest(
            request_id=request_id, generation=generation, model_version=model_version
        )
        self._initial_digest = self._digest
        self._pieces: list[ReleasedPiece] = []
        self._token_ids: list[int] = []
        self._source: Source | None = None

    @property
    def generation(self) -> int:
        """The number of the generation that the tokens belong to."""
        return self._generation

    @property
    def model_version(self) -> str:
        """The model version that produced every token."""
        return self._model_version

    @property
    def offset(self) -> int:
        """The number of released tokens, which is the offset of the next one."""
        return len(self._token_ids)

    @property
    def digest(self) -> int:
        """The digest over all released tokens."""
        return self._digest

    @property
    def token_ids(self) -> tuple[int, ...]:
        """The ids of all released tokens."""
        return tuple(self._token_ids)

    @property
    def pieces(self) -> list[ReleasedPiece]:
        """The released pieces in order; the list itself, which callers must not modify."""
        return self._pieces

    @property
    def text(self) -> str:
        """The text of all released pieces."""
        return "".join(piece.text for piece in self._pieces)

    def append(
        self, piece: Piece, *, attempt: int, attempt_start: int, target: str
    ) -> ReleasedPiece:
        """Append a piece of an attempt and return it with its offset and digest."""
        start = self.offset
        for token_id in piece.token_ids:
            self._digest = extend_digest(self._digest, token_id)
        self._token_ids.extend(piece.token_ids)
        released = ReleasedPiece(
            start=start,
            token_ids=piece.token_ids,
            text=piece.text,
            digest=self._digest,
            source=self._get_source(attempt, attempt_start, target),
        )
        self._pieces.append(released)
        return released

    def _get_source(self, attempt: int, attempt_start: int, target: str) -> Source:
        source = self._source
        if source is None or source.attempt != attempt or source.target != target:
            source = self._source = Source(
                request_id=self._request_id,
                generation=self._generation,
                attempt=attempt,
                attempt_start=attempt_start,
                target=target,
                vm=self._vm,
            )
        return source

    def append_released(self, piece: ReleasedPiece) -> None:
        """Append a piece that another VM released.

        Raises ``ValueError`` if its offset or digest does not continue this answer.
        """
        digest = self._digest
        for token_id in piece.token_ids:
            digest = extend_digest(digest, token_id)
        if piece.start != self.offset or piece.digest != digest:
            raise ValueError("the piece does not continue this answer")
        self._digest = digest
        self._token_ids.extend(piece.token_ids)
        self._pieces.append(piece)

    def next_piece_index(self, last: EventId) -> int | None:
        """Return the index of the first piece that a caller lacks.

        Return None if the caller holds other tokens than these: those of another generation,
        or tokens that this VM never released. Its digest then differs at its offset, and
        continuing it from here would join two different answers.
        """
        if last.generation != self._generation:
            return None
        if last.offset == 0:
            return 0 if last.digest == self._initial_digest else None
        for index, piece in enumerate(self._pieces):
            if piece.end == last.offset:
                return index + 1 if piece.digest == last.digest else None
        return None
