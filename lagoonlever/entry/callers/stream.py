"""Gives a caller its answer: as a stream from the offset it holds, or whole."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from http import HTTPStatus

import attrs
import msgspec
import trio

from lagoonlever.decisions.streams.answer import Answer, ReleasedPiece
from lagoonlever.entry.callers.completion_chunks import (
    MOVED_EVENT,
    RESTART_EVENT,
    CallerUsage,
    ChunkWriter,
    GenerationNote,
    MovedNote,
    RestartNote,
)
from lagoonlever.entry.callers.completion_outcomes import (
    outcome_error,
    outcome_headers,
    respond_outcome,
)
from lagoonlever.entry.callers.completions_api import CompletionCall
from lagoonlever.entry.generations.task import GenerationTask
from lagoonlever.http.exchange import CallerGone, Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.http.sse import EVENT_STREAM_TYPE, ServerEvent, encode_event
from lagoonlever.identity import EventId
from lagoonlever.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    Done,
    Reason,
    Unknown,
)

STREAM_HEADERS = Headers(
    (
        ("Content-Type", EVENT_STREAM_TYPE),
        ("Cache-Control", "no-store"),
        ("Trailer", f"{OUTCOME_HEADER}, {REASON_HEADER}"),
    )
)

HELD_IS_VOID = Unknown(
    reason=Reason.SUPERSEDED,
    message="what you hold is not part of the answer here; ask anew without Last-Event-ID",
    status=HTTPStatus.CONFLICT,
)


class _HeldIsVoid(Exception):
    """The caller holds a part of another generation, and knows no restart."""


def _usage(task: GenerationTask) -> CallerUsage:
    prompt = task.life.prompt_tokens
    completion = task.life.released_tokens
    return CallerUsage(
        prompt_tokens=prompt, completion_tokens=completion, total_tokens=prompt + completion
    )


@attrs.define(kw_only=True)
class CallerStream:
    """Writes one request's answer to one exchange; a later exchange supersedes it."""

    _exchange: Exchange
    _task: GenerationTask
    _call: CompletionCall
    _rng: random.Random
    _moved_to: Callable[[], tuple[str, ...] | None]
    """Gives where callers shall go instead, while this VM is leaving."""
    _index: int = 0
    _generation: int | None = None
    _started: bool = False
    _attempt: int | None = None
    _writer: ChunkWriter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._writer = ChunkWriter(spec=self._task.spec, created=int(time.time()))

    async def run(self) -> None:
        """Give the answer until its end; raises ``CallerGone``."""
        self._task.reader = self._exchange
        self._task.wake()
        try:
            await (self._stream() if self._call.stream else self._whole())
        except _HeldIsVoid:
            await self._tell_void()

    async def _whole(self) -> None:
        while self._task.finished is None:
            await self._task.wait_change()
            self._check_superseded()
        finish = self._task.finished
        answer = self._task.life.answer
        if answer is None or not isinstance(finish.outcome, Done):
            await respond_outcome(self._exchange, finish.outcome, rng=self._rng)
            return
        body = self._writer.whole(
            text=answer.text,
            model_version=answer.model_version,
            finish_reason=finish.finish_reason,
            usage=_usage(self._task),
        )
        headers = outcome_headers(finish.outcome, rng=self._rng)
        typed = headers.with_field("Content-Type", "application/json")
        await self._exchange.respond(status=finish.outcome.status, headers=typed, body=body)

    async def _stream(self) -> None:
        last = self._call.last_event_id
        if last is not None:
            await self._begin_after(EventId.parse(last))
        while True:
            if await self._write_new():
                continue
            if self._task.finished is not None:
                await self._end()
                return
            moved_to = self._moved_to()
            if moved_to and self._started and self._may_move():
                await self._move(moved_to)
                return
            await self._task.wait_change()
            self._check_superseded()

    def _may_move(self) -> bool:
        return self._call.resumable and MOVED_EVENT in self._call.accepts

    def _check_superseded(self) -> None:
        """Raise ``CallerGone`` where another exchange, or another VM, has the answer now."""
        if self._task.reader is not self._exchange or self._task.let_go:
            raise CallerGone

    async def _begin_after(self, last: EventId) -> None:
        while self._is_behind(last) and self._task.finished is None:
            await self._task.wait_change()
            self._check_superseded()
        answer = self._task.life.answer
        index = answer.next_piece_index(last) if answer is not None else None
        if index is None:
            await self._restart()
            return
        self._index = index
        self._generation = last.generation

    def _is_behind(self, last: EventId) -> bool:
        """Tell whether the answer may still come to the point that the caller holds.

        A caller that was at another VM meanwhile can hold more than this VM has read
        of the same engine's stream; once it has read as much, the digest decides.
        """
        answer = self._task.life.answer
        if answer is None:
            return True
        return answer.generation == last.generation and answer.offset < last.offset

    async def _restart(self) -> None:
        """Tell the caller that a new generation begins.

        Guards against a splice: a caller that does not know restarts would put the
        new generation's text behind the part that it holds.
        """
        if not self._call.spec.accepts_restart:
            raise _HeldIsVoid
        await self._start()
        self._index = 0
        self._generation = self._task.life.generation
        note = msgspec.json.encode(RestartNote(generation=self._generation))
        await self._exchange.write(encode_event(ServerEvent(event=RESTART_EVENT, data=note)))

    async def _write_new(self) -> bool:
        """Write what is released and not written yet; give whether there was any.

        Guards against tokens that a slow caller would miss: while one write waits
        for the caller, the engine sends more and may end. So whoever looks for the
        end does so only after a call that found nothing to write.
        """
        if self._generation not in (None, self._task.life.generation) and self._started:
            await self._restart()
            return True
        answer = self._task.life.answer
        if answer is None or self._index >= len(answer.pieces):
            return False
        self._generation = answer.generation
        await self._start()
        pieces = answer.pieces[self._index :]
        self._index += len(pieces)
        await self._exchange.write(b"".join(self._events(answer, pieces)))
        return True

    def _events(self, answer: Answer, pieces: list[ReleasedPiece]) -> list[bytes]:
        return [
            self._writer.piece(
                piece,
                model_version=answer.model_version,
                note=self._note(answer, piece.source.attempt),
            )
            for piece in pieces
        ]

    def _note(self, answer: Answer, attempt: int) -> GenerationNote | None:
        if "resume" not in self._call.accepts or attempt == self._attempt:
            return None
        self._attempt = attempt
        return GenerationNote(
            generation=answer.generation,
            seed=self._task.life.seed,
            model_version=answer.model_version,
            prompt_token_ids=self._task.life.prompt_token_ids or (),
        )

    async def _start(self) -> None:
        if self._started:
            return
        self._started = True
        await self._exchange.start_stream(status=HTTPStatus.OK, headers=STREAM_HEADERS)

    async def _end(self) -> None:
        finish = self._task.finished
        assert finish is not None
        if not self._started and not isinstance(finish.outcome, Done):
            await respond_outcome(self._exchange, finish.outcome, rng=self._rng)
            return
        await self._start()
        answer = self._task.life.answer
        if isinstance(finish.outcome, Done) and answer is not None:
            data = self._writer.end(
                model_version=answer.model_version,
                finish_reason=finish.finish_reason,
                usage=_usage(self._task),
            )
        else:
            payload = msgspec.json.encode(outcome_error(finish.outcome))
            data = encode_event(ServerEvent(data=payload))
        await self._exchange.write(data)
        await self._exchange.finish(trailers=outcome_headers(finish.outcome, rng=self._rng))

    async def _tell_void(self) -> None:
        if not self._started:
            await respond_outcome(self._exchange, HELD_IS_VOID, rng=self._rng)
            return
        payload = msgspec.json.encode(outcome_error(HELD_IS_VOID))
        await self._exchange.write(encode_event(ServerEvent(data=payload)))
        await self._exchange.finish(trailers=outcome_headers(HELD_IS_VOID, rng=self._rng))

    async def _move(self, addresses: tuple[str, ...]) -> None:
        note = msgspec.json.encode(MovedNote(addresses=addresses))
        await self._exchange.write(encode_event(ServerEvent(event=MOVED_EVENT, data=note)))
        await self._exchange.finish()


async def stream_while_present(stream: CallerStream, exchange: Exchange) -> bool:
    """Give the answer as long as the caller is there; gives whether it took all of it."""
    whole = False
    async with trio.open_nursery() as nursery:

        async def watch() -> None:
            await exchange.wait_gone()
            nursery.cancel_scope.cancel()

        nursery.start_soon(watch)
        try:
            await stream.run()
            whole = True
        except CallerGone:
            whole = False
        nursery.cancel_scope.cancel()
    return whole
