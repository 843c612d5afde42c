"""The caller's side of one request: what it holds, and what each event does to it."""

from __future__ import annotations

import attrs
import msgspec

from lagoonlever.client.history import CallerHistory
from lagoonlever.decisions.streams.resume import HeldAnswer
from lagoonlever.entry.callers.completion_chunks import (
    MOVED_EVENT,
    RESTART_EVENT,
    CallerChunk,
    GenerationNote,
    MovedNote,
)
from lagoonlever.exceptions import BadResponse
from lagoonlever.http.sse import DONE_DATA, ServerEvent
from lagoonlever.identity import EventId

_CHUNK = msgspec.json.Decoder(CallerChunk)
_MOVED = msgspec.json.Decoder(MovedNote)


@attrs.frozen(kw_only=True)
class _ErrorBody:
    message: str = ""
    type: str = ""
    code: str | int | None = None


@attrs.frozen(kw_only=True)
class _ErrorEvent:
    error: _ErrorBody | None = None


_ERROR = msgspec.json.Decoder(_ErrorEvent)


@attrs.frozen(kw_only=True)
class StreamError:
    """The error event that ended a stream; ``outcome`` and ``reason`` are the header's words."""

    outcome: str
    reason: str
    message: str


@attrs.define(kw_only=True)
class HeldStream:
    """What a caller holds of its answer; grows by events, and is void after a restart."""

    _note: GenerationNote | None = None
    _last: EventId | None = None
    _token_ids: list[int] = attrs.field(factory=list)
    _texts: list[str] = attrs.field(factory=list)
    _whole: bool = False
    _finish_reason: str | None = None
    _error: StreamError | None = None
    _moved: tuple[str, ...] | None = None
    _restarts: int = 0

    @property
    def text(self) -> str:
        """The text held."""
        return "".join(self._texts)

    @property
    def token_ids(self) -> tuple[int, ...]:
        """The tokens held."""
        return tuple(self._token_ids)

    @property
    def whole(self) -> bool:
        """Whether the end of the answer has come."""
        return self._whole

    @property
    def finish_reason(self) -> str | None:
        """Why the answer ended, as the engine said."""
        return self._finish_reason

    @property
    def error(self) -> StreamError | None:
        """The error that ended the stream, if one did."""
        return self._error

    @property
    def restarts(self) -> int:
        """How many times a new generation replaced what was held."""
        return self._restarts

    @property
    def last_event_id(self) -> EventId | None:
        """The id of the last event held."""
        return self._last

    @property
    def note(self) -> GenerationNote | None:
        """The last note on the generation held."""
        return self._note

    def held(self) -> HeldAnswer | None:
        """Give what to bring along when coming back, or None with nothing held."""
        if self._note is None or self._last is None:
            return None
        return HeldAnswer(
            model_version=self._note.model_version,
            prompt_token_ids=self._note.prompt_token_ids,
            token_ids=self.token_ids,
        )

    def take_moved(self) -> tuple[str, ...] | None:
        """Give where the system sent the caller, once."""
        moved, self._moved = self._moved, None
        return moved

    def feed(self, event: ServerEvent, *, peer: str, history: CallerHistory | None = None) -> str:
        """Take one event and give the text that it adds.

        Raises ``BadResponse`` for an event that does not go on from what is held,
        or that can't be read.
        """
        try:
            return self._take(event, peer=peer, history=history)
        except msgspec.MsgspecError as error:
            raise BadResponse(str(error), step="read the answer", peer=peer) from error

    def _take(self, event: ServerEvent, *, peer: str, history: CallerHistory | None) -> str:
        if event.event == RESTART_EVENT:
            self._restart()
            return ""
        if event.event == MOVED_EVENT:
            self._moved = _MOVED.decode(event.data).addresses
            return ""
        if event.data == DONE_DATA:
            self._whole = True
            return ""
        error = _ERROR.decode(event.data).error
        if error is not None:
            self._error = StreamError(
                outcome=error.type, reason=str(error.code), message=error.message
            )
            return ""
        return self._take_chunk(_CHUNK.decode(event.data), event.id, peer, history)

    def _restart(self) -> None:
        self._restarts += 1
        self._note = self._last = None
        self._token_ids.clear()
        self._texts.clear()

    def _take_chunk(
        self, chunk: CallerChunk, event_id: str | None, peer: str, history: CallerHistory | None
    ) -> str:
        if chunk.lagoonlever is not None:
            self._note = chunk.lagoonlever
            if history is not None:
                history.told_generation(chunk.lagoonlever)
        if not chunk.choices:
            return ""
        choice = chunk.choices[0]
        if choice.finish_reason is not None:
            self._finish_reason = choice.finish_reason
        if event_id is None:
            return ""
        last = EventId.parse(event_id)
        if last.offset != len(self._token_ids) + len(choice.token_ids):
            raise BadResponse(
                f"event of offset {last.offset} after {len(self._token_ids)} tokens",
                step="read the answer",
                peer=peer,
            )
        if history is not None:
            history.received(last=last, token_ids=choice.token_ids, text=choice.text)
        self._last = last
        self._token_ids.extend(choice.token_ids)
        self._texts.append(choice.text)
        return choice.text
