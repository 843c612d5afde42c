"""What a caller has been given of one generation, token by token, and nothing else."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.release import Piece
from lagoonlever.identity import EventId, extend_digest, initial_digest


@attrs.frozen(kw_only=True)
class ReleasedPiece:
    """Released tokens with the id that a caller comes back with; ``start`` is their offset."""

    start: int
    token_ids: tuple[int, ...]
    text: str
    event_id: EventId

    @property
    def end(self) -> int:
        """The offset of the token after these."""
        return self.start + len(self.token_ids)


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

    def append(self, piece: Piece, *, attempt: int, target: str) -> ReleasedPiece:
        """Release one piece."""
        start = self.offset
        for token_id in piece.token_ids:
            self._digest = extend_digest(self._digest, token_id)
        self._token_ids.extend(piece.token_ids)
        released = ReleasedPiece(
            start=start,
            token_ids=piece.token_ids,
            text=piece.text,
            event_id=EventId(
                request_id=self._request_id,
                generation=self._generation,
                attempt=attempt,
                offset=self.offset,
                digest=self._digest,
                target=target,
                vm=self._vm,
            ),
        )
        self._pieces.append(released)
        return released

    def adopt(self, piece: ReleasedPiece) -> None:
        """Take a piece that another VM released; raises ``ValueError`` unless it fits exactly."""
        digest = self._digest
        for token_id in piece.token_ids:
            digest = extend_digest(digest, token_id)
        if piece.start != self.offset or piece.event_id.digest != digest:
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
                return index + 1 if piece.event_id.digest == last.digest else None
        return None
