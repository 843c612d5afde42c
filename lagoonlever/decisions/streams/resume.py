"""From what is known of a request begun elsewhere to the point at which it goes on."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.streams.answer import ReleasedPiece
from lagoonlever.decisions.streams.generation_messages import GenerationSpec, ResumePoint
from lagoonlever.identity import EventId, extend_digest, initial_digest


@attrs.frozen(kw_only=True)
class HeldAnswer:
    """What a returning caller holds of its answer; sent along so that any VM can go on."""

    model_version: str
    prompt_token_ids: tuple[int, ...]
    token_ids: tuple[int, ...]


def point_of_held(
    spec: GenerationSpec, held: HeldAnswer | None, last: EventId
) -> ResumePoint | None:
    """Give the point of a caller that brought its tokens, if they are those of its event id.

    Guards against a splice: the digest in the event id was computed by the VM
    that released the tokens, so tokens that do not yield it are not continued.
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
