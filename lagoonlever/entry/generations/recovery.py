"""Fetches the released tokens of a request from the engine that still has its stream.

A caller that comes back at another VM names the engine and the attempt in its
last event id, so no lookup is needed. The tokens are taken only if their digest
is the one in that id.
"""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.streams.generation_messages import GenerationSpec, ResumePoint
from lagoonlever.decisions.streams.resume import HeldAnswer, resume_point_from_held
from lagoonlever.decisions.targets.targets import TargetView
from lagoonlever.entry.callers.chunk_reader import ChunkReader
from lagoonlever.events import event
from lagoonlever.exceptions import PeerError
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Address
from lagoonlever.identity import EventId
from lagoonlever.published import Published
from lagoonlever.targets.completions import EngineChunk, reattach_path

log = logbook.Logger(__name__)

RECOVERY_TIMEOUT_S = 2.0
RECOVERY_STEP = "recover an answer"

RECOVERED = event(
    210,
    "answer-recovered",
    "info",
    "Request {request} goes on from {offset} tokens that {target} still had.",
    "A caller came back from a VM that was lost. Nothing to do.",
)
NOT_RECOVERED = event(
    211,
    "answer-not-recovered",
    "notice",
    "The {offset} tokens of request {request} were not found at {target}: {reason}.",
    "The caller brought no tokens and the engine has lost its stream; a new generation is "
    "begun and the caller is told so.",
)


@attrs.define(kw_only=True)
class _StreamHead:
    """The first tokens of an engine's stream, and what its first chunk told."""

    wanted: int
    model_version: str = ""
    prompt_token_ids: tuple[int, ...] = ()
    token_ids: list[int] = attrs.field(factory=list)

    @property
    def whole(self) -> bool:
        """Whether as many tokens as wanted have come."""
        return len(self.token_ids) >= self.wanted

    def take(self, chunk: EngineChunk) -> None:
        """Take one chunk."""
        self.model_version = self.model_version or chunk.system_fingerprint
        for choice in chunk.choices:
            self.prompt_token_ids = self.prompt_token_ids or choice.prompt_token_ids or ()
            self.token_ids.extend(choice.token_ids)


@attrs.define(kw_only=True)
class EngineRecovery:
    """Finds resume points by asking engines for their own streams."""

    _view: Published[TargetView]

    async def find(self, spec: GenerationSpec, last: EventId) -> ResumePoint | None:
        """Give the point after the caller's last event, or None if the tokens are not there."""
        target = self._view.value.find(last.target)
        if target is None or last.offset <= last.attempt_start:
            return None
        head = _StreamHead(wanted=last.offset - last.attempt_start)
        reason = "the tokens there are others"
        with trio.move_on_after(RECOVERY_TIMEOUT_S) as scope:
            try:
                await _read_head(spec, last, target.address, head)
            except PeerError as error:
                reason = str(error)
        if scope.cancelled_caught:
            reason = "it did not answer in time"
        point = _point(spec, last, head)
        if point is None:
            NOT_RECOVERED.log(
                log,
                request=spec.request_id,
                offset=last.offset,
                target=last.target,
                reason=reason,
            )
            return None
        RECOVERED.log(log, request=spec.request_id, offset=last.offset, target=last.target)
        return point


def _point(spec: GenerationSpec, last: EventId, head: _StreamHead) -> ResumePoint | None:
    """Give the point of the answer that a stream ends, if its tokens are those of the event id.

    An attempt that was a resume has the first tokens of the answer behind its prompt.
    """
    end_of_prompt = len(head.prompt_token_ids) - last.attempt_start
    if end_of_prompt < 0:
        return None
    own_tokens = tuple(head.token_ids[: head.wanted])
    held = HeldAnswer(
        model_version=head.model_version,
        prompt_token_ids=head.prompt_token_ids[:end_of_prompt],
        token_ids=head.prompt_token_ids[end_of_prompt:] + own_tokens,
    )
    return resume_point_from_held(spec, held, last)


async def _read_head(
    spec: GenerationSpec, last: EventId, address: Address, head: _StreamHead
) -> None:
    async with await ClientConnection.open(address) as connection:
        path = reattach_path(spec, last.attempt, starting_after=0)
        await connection.start(method="GET", path=path, step=RECOVERY_STEP)
        reader = ChunkReader(connection=connection, step=RECOVERY_STEP)
        await reader.read_head()
        while not head.whole and (chunk := await reader.next_chunk()) is not None:
            head.take(chunk)
