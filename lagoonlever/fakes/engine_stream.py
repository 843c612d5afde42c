"""One stream of the stand-in engine, and writing it to a caller chunk by chunk."""

from __future__ import annotations

import attrs
import msgspec

from lagoonlever.fakes import wire
from lagoonlever.fakes.batch import ABORTED, Generation, OutputToken
from lagoonlever.fakes.faults import Faults
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.http.sse import DONE_DATA, EVENT_STREAM_TYPE, ServerEvent, encode_event
from lagoonlever.published import Published

STREAM_HEADERS = Headers((("Content-Type", EVENT_STREAM_TYPE), ("Cache-Control", "no-store")))


@attrs.define(kw_only=True, eq=False)
class EngineStream:
    """A generation and its readers; a reader sees what was published."""

    generation: Generation
    created: int
    readers: int = 0
    _published: Published[tuple[int, str | None]] = attrs.field(
        factory=lambda: Published((0, None)), init=False
    )

    @property
    def finish_reason(self) -> str | None:
        """Why the stream ended, as published, or None while it goes on."""
        return self._published.value[1]

    @property
    def length(self) -> int:
        """Output tokens that readers may see."""
        return self._published.value[0]

    def publish(self) -> None:
        """Show readers what came out since."""
        state = (len(self.generation.outputs), self.generation.finish_reason)
        if state != self._published.value:
            self._published.publish(state)

    async def wait_change(self) -> None:
        """Wait for the next output, or the end."""
        await self._published.wait_change()

    def chunk(self, index: int) -> wire.Chunk:
        """Give the chunk of one output token."""
        output = self.generation.outputs[index]
        ended = index + 1 == self.length and self.finish_reason != ABORTED
        return self._wrap([self._choice(index, output, self.finish_reason if ended else None)])

    def aborted_chunk(self) -> wire.Chunk:
        """Give the chunk that ends a cancelled stream."""
        return self._wrap([wire.Choice(text="", token_ids=[], finish_reason=ABORTED)])

    def usage_chunk(self) -> wire.UsageChunk:
        """Give the last chunk, with the usage."""
        return self._finished([])

    def whole(self) -> wire.UsageChunk:
        """Give the whole answer as one document."""
        outputs = self.generation.outputs
        choice = wire.FirstChoice(
            text="".join(output.text for output in outputs),
            token_ids=[output.token_id for output in outputs],
            finish_reason=self.finish_reason,
            prompt_token_ids=self.generation.prompt,
        )
        return self._finished([choice])

    def _choice(self, index: int, output: OutputToken, finish_reason: str | None) -> wire.Choice:
        if index:
            return wire.Choice(
                text=output.text, token_ids=[output.token_id], finish_reason=finish_reason
            )
        return wire.FirstChoice(
            text=output.text,
            token_ids=[output.token_id],
            finish_reason=finish_reason,
            prompt_token_ids=self.generation.prompt,
        )

    def _wrap(self, choices: list[wire.Choice]) -> wire.Chunk:
        return wire.Chunk(
            id=self.generation.request_id,
            created=self.created,
            model=self.generation.model,
            system_fingerprint=self.generation.version,
            choices=choices,
        )

    def _finished(self, choices: list[wire.Choice]) -> wire.UsageChunk:
        prompt_tokens = len(self.generation.prompt)
        completion_tokens = len(self.generation.outputs)
        usage = wire.Usage(
            prompt_tokens=prompt_tokens,
            completion_tokens=completion_tokens,
            total_tokens=prompt_tokens + completion_tokens,
            prompt_tokens_details=wire.PromptDetails(cached_tokens=self.generation.cached_tokens),
        )
        return wire.UsageChunk(
            id=self.generation.request_id,
            created=self.created,
            model=self.generation.model,
            system_fingerprint=self.generation.version,
            choices=choices,
            usage=usage,
        )


@attrs.frozen(kw_only=True)
class StreamWriter:
    """Writes a stream to one caller; faults that wait for a token hit right after it."""

    _exchange: Exchange
    _stream: EngineStream
    _faults: Faults

    async def write_whole(self) -> None:
        """Answer with the whole document once it is finished."""
        while self._stream.finish_reason is None:
            await self._stream.wait_change()
        await self._faults.moving()
        await wire.respond(self._exchange, self._stream.whole())

    async def write_stream(self, start: int) -> None:
        """Stream the chunks after the first ``start`` output tokens, and the end."""
        await self._exchange.start_stream(status=200, headers=STREAM_HEADERS)
        await self._write_chunks(start)
        if self._stream.finish_reason == ABORTED:
            await self._write(self._stream.aborted_chunk())
        await self._write(self._stream.usage_chunk())
        await self._faults.moving()
        await self._exchange.write(encode_event(ServerEvent(data=DONE_DATA)))
        await self._exchange.finish()

    async def _write_chunks(self, start: int) -> None:
        sent = start
        self._sent(sent)
        while True:
            while sent < self._stream.length:
                await self._write(self._stream.chunk(sent))
                sent += 1
                self._sent(sent)
            if self._stream.finish_reason is not None:
                return
            await self._stream.wait_change()

    async def _write(self, chunk: wire.Chunk) -> None:
        await self._faults.moving()
        await self._exchange.write(encode_event(ServerEvent(data=msgspec.json.encode(chunk))))

    def _sent(self, tokens: int) -> None:
        self._faults.sent(self._stream.generation.request_id, tokens)
