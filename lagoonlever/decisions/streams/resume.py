"""Resume points for requests that another VM started.

A caller that reconnects sends its last event id and may send the tokens that it received.
If they match, any VM can continue the answer without the state of the first VM.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.streams.answer import ReleasedPiece
from lagoonlever.decisions.streams.generation_messages import GenerationSpec, ResumePoint
from lagoonlever.identity import EventId, extend_digest, initial_digest


@attrs.frozen(kw_only=True)
class HeldAnswer:
    """The part of an answer that a caller received and sends back when it reconnects.

    With it any VM can continue the answer.
    """

    model_version: str
    prompt_token_ids: tuple[int, ...]
    token_ids: tuple[int, ...]


def resume_point_from_held(
    spec: GenerationSpec, held: HeldAnswer | None, last: EventId
) -> ResumePoint | None:
    """Return the resume point of a caller that sent its tokens, or None if they do not match.

    The digest in the event id was computed by the VM that released the tokens. Tokens with
    another digest are not continued, as that would join two different answers.
    """
    if held is None or len(held.token_ids) != last.offset:
        return None
    digest = initial_digest(
        request_id=spec.request_id,
        generation=last.generation,
        model_version=held.model_version,
    )
    for token_id in held.token_ids:
        digest = extend_digest(digest, token_id)
    if digest != last.digest:
        return None
    piece = ReleasedPiece.ending_at(last, token_ids=held.token_ids, text="")
    return ResumePoint(
        generation=last.generation,
        attempt=last.attempt,
        attempt_start=min(last.attempt_start, last.offset),
        target=last.target,
        model_version=held.model_version,
        prompt_token_ids=held.prompt_token_ids,
        pieces=(piece,) if held.token_ids else (),
    )
