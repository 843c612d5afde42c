"""What a caller has been given of one generation, token by token, and nothing else."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.targets.release import Piece
from lagoonlever.identity import EventId, extend_digest, initial_digest


@attrs.frozen(kw_only=True)
class Source:
    """Where pieces come from: one for all pieces of an attempt, as a long answer has many."""

    request_id: str
    generation: int
    attempt: int
    attempt_start: int
    """The offset at which the attempt went on."""
    target: str
    vm: str


@attrs.frozen(kw_only=True)
class ReleasedPiece:
    """Released tokens; ``start`` is their offset, ``digest`` that of all up to their end."""

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
        """The id that a caller comes back with; made anew each time, as pieces are kept."""
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
        """Give the piece of these tokens that has this event id."""
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
    """The released tokens of one generation of one request; only ever grows."""

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
        self._initial = self._digest
        self._pieces: list[ReleasedPiece] = []
        self._token_ids: list[int] = []
        self._source: Source | None = None

    @property
    def generation(self) -> int:
        """The generation whose tokens these are."""
        return self._generation

    @property
    def model_version(self) -> str:
        """The version of the model that every token came from."""
        return self._model_version

    @property
    def offset(self) -> int:
        """How many tokens are released."""
        return len(self._token_ids)

    @property
    def digest(self) -> int:
        """The digest over all released tokens."""
        return self._digest

    @property
    def token_ids(self) -> tuple[int, ...]:
        """All released tokens."""
        return tuple(self._token_ids)

    @property
    def pieces(self) -> list[ReleasedPiece]:
        """The released pieces in their order; not to be changed by readers."""
        return self._pieces

    @property
    def text(self) -> str:
        """The whole released text."""
        return "".join(piece.text for piece in self._pieces)

    def append(
        self, piece: Piece, *, attempt: int, attempt_start: int, target: str
    ) -> ReleasedPiece:
        """Release one piece."""
        start = self.offset
        for token_id in piece.token_ids:
            self._digest = extend_digest(self._digest, token_id)
        self._token_ids.extend(piece.token_ids)
        released = ReleasedPiece(
            start=start,
            token_ids=piece.token_ids,
            text=piece.text,
            digest=self._digest,
            source=self._source_of(attempt, attempt_start, target),
        )
        self._pieces.append(released)
        return released

    def _source_of(self, attempt: int, attempt_start: int, target: str) -> Source:
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

    def adopt(self, piece: ReleasedPiece) -> None:
        """Take a piece that another VM released; raises ``ValueError`` unless it fits exactly."""
        digest = self._digest
        for token_id in piece.token_ids:
            digest = extend_digest(digest, token_id)
        if piece.start != self.offset or piece.digest != digest:
            raise ValueError("the piece does not continue this answer")
        self._digest = digest
        self._token_ids.extend(piece.token_ids)
        self._pieces.append(piece)

    def index_after(self, last: EventId) -> int | None:
        """Give the index of the first piece a caller lacks, or None if it holds another answer.

        Guards against a splice: a caller may hold tokens of another generation,
        or tokens that this VM never released. Its digest then differs at its
        offset, and its answer must not be continued from here.
        """
        if last.generation != self._generation:
            return None
        if last.offset == 0:
            return 0 if last.digest == self._initial else None
        for index, piece in enumerate(self._pieces):
            if piece.end == last.offset:
                return index + 1 if piece.digest == last.digest else None
        return None
