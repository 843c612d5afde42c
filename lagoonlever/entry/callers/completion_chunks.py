"""The events of a caller's completion stream: chunks in the published format, and notes."""

from __future__ import annotations

import attrs
import msgspec

from lagoonlever.decisions.streams.answer import ReleasedPiece
from lagoonlever.decisions.streams.generation_messages import GenerationSpec
from lagoonlever.http.sse import DONE_DATA, ServerEvent, encode_event

RESTART_EVENT = "restart"
MOVED_EVENT = "moved"


@attrs.frozen(kw_only=True)
class RestartNote:
    """Tells a caller that what it holds is void: a new generation begins."""

    generation: int


@attrs.frozen(kw_only=True)
class MovedNote:
    """Tells a caller to come back for the rest of its answer at one of these addresses."""

    addresses: tuple[str, ...]


@attrs.frozen(kw_only=True)
class CallerChoice:
    """One choice of a chunk, as callers get it."""

    index: int = 0
    text: str = ""
    token_ids: tuple[int, ...] = ()
    finish_reason: str | None = None


@attrs.frozen(kw_only=True)
class CallerUsage:
    """The token counts of a finished answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@attrs.frozen(kw_only=True)
class GenerationNote:
    """What a caller keeps to be able to come back at any VM, whatever has died."""

    generation: int
    seed: int
    model_version: str
    prompt_token_ids: tuple[int, ...]


@attrs.frozen(kw_only=True)
class CallerChunk:
    """One event of a caller's stream, in the format of completions."""

    id: str
    object: str = "text_completion"
    created: int
    model: str
    system_fingerprint: str
    choices: tuple[CallerChoice, ...]
    usage: CallerUsage | None = None
    lagoonlever: GenerationNote | None = None


_ENCODER = msgspec.json.Encoder()
_MARK = "*"
_MARKED = _ENCODER.encode(_MARK) + b',"token_ids":[]'


@attrs.frozen(kw_only=True)
class _ChunkFrame:
    """The JSON around a piece's text and token ids, which is the same for all pieces.

    Encoding the whole chunk anew was the dearest step of a token at an entry VM.
    """

    model_version: str
    head: bytes
    tail: bytes

    def around(self, piece: ReleasedPiece) -> bytes:
        """Give the whole chunk of a piece."""
        text = _ENCODER.encode(piece.text)
        token_ids = _ENCODER.encode(piece.token_ids)
        return b"".join((self.head, text, b',"token_ids":', token_ids, self.tail))


class ChunkWriter:
    """Writes the events of one request's stream."""

    def __init__(self, *, spec: GenerationSpec, created: int) -> None:
        self._spec = spec
        self._created = created
        self._frame: _ChunkFrame | None = None

    def piece(
        self, piece: ReleasedPiece, *, model_version: str, note: GenerationNote | None = None
    ) -> bytes:
        """Give the event of one released piece."""
        if note is not None:
            choice = CallerChoice(text=piece.text, token_ids=piece.token_ids)
            data = _ENCODER.encode(self._chunk(model_version, (choice,), note=note))
        else:
            data = self._frame_of(model_version).around(piece)
        return encode_event(ServerEvent(id=str(piece.event_id), data=data))

    def _frame_of(self, model_version: str) -> _ChunkFrame:
        frame = self._frame
        if frame is None or frame.model_version != model_version:
            choice = CallerChoice(text=_MARK)
            chunk = _ENCODER.encode(self._chunk(model_version, (choice,)))
            head, _, tail = chunk.rpartition(_MARKED)
            frame = self._frame = _ChunkFrame(model_version=model_version, head=head, tail=tail)
        return frame

    def end(self, *, model_version: str, finish_reason: str | None, usage: CallerUsage) -> bytes:
        """Give the events that end a whole answer."""
        last = self._chunk(model_version, (CallerChoice(finish_reason=finish_reason),))
        counted = self._chunk(model_version, (), usage=usage)
        return b"".join(
            encode_event(ServerEvent(data=data))
            for data in (_ENCODER.encode(last), _ENCODER.encode(counted), DONE_DATA)
        )

    def whole(
        self, *, text: str, model_version: str, finish_reason: str | None, usage: CallerUsage
    ) -> bytes:
        """Give the body of an answer that is not streamed."""
        choice = CallerChoice(text=text, finish_reason=finish_reason)
        return _ENCODER.encode(self._chunk(model_version, (choice,), usage=usage))

    def _chunk(
        self,
        model_version: str,
        choices: tuple[CallerChoice, ...],
        *,
        usage: CallerUsage | None = None,
        note: GenerationNote | None = None,
    ) -> CallerChunk:
        return CallerChunk(
            id=self._spec.request_id,
            created=self._created,
            model=self._spec.model,
            system_fingerprint=model_version,
            choices=choices,
            usage=usage,
            lagoonlever=note,
        )
