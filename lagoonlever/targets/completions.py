"""The engines' side of streaming completions: requests as published, chunks as typed values."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec
import xxhash

from lagoonlever.decisions.streams.generation_messages import Dispatch, GenerationSpec
from lagoonlever.http.messages import Headers

COMPLETIONS_PATH = "/v1/completions"
JSON_HEADERS = Headers((("Content-Type", "application/json"),))


@attrs.frozen(kw_only=True)
class EngineChoice:
    """One choice of a chunk; ``prompt_token_ids`` comes with the first only."""

    text: str = ""
    token_ids: tuple[int, ...] = ()
    finish_reason: str | None = None
    prompt_token_ids: tuple[int, ...] | None = None


@attrs.frozen(kw_only=True)
class PromptTokensDetails:
    """How much of the prompt the engine had cached."""

    cached_tokens: int = 0


@attrs.frozen(kw_only=True)
class EngineUsage:
    """The engine's count of a finished answer's tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptTokensDetails = PromptTokensDetails()


@attrs.frozen(kw_only=True)
class EngineChunk:
    """One event of an engine's stream; ``system_fingerprint`` is the model's version."""

    system_fingerprint: str = ""
    choices: tuple[EngineChoice, ...] = ()
    usage: EngineUsage | None = None


_CHUNK_DECODER = msgspec.json.Decoder(EngineChunk)


def decode_chunk(data: bytes) -> EngineChunk:
    """Read a chunk; raises ``msgspec.MsgspecError``."""
    return _CHUNK_DECODER.decode(data)


def stream_id(spec: GenerationSpec, attempt: int) -> str:
    """Give the id under which an engine knows an attempt; derivable at any VM."""
    organisation = xxhash.xxh3_64_hexdigest(spec.organisation.encode())[:8]
    return f"{spec.request_id}-{organisation}-{attempt:x}"


def completion_body(spec: GenerationSpec, dispatch: Dispatch, *, priority: int) -> bytes:
    """Give the body of the request that starts an attempt.

    A resume sends token ids, never text: text would be tokenised differently
    where a released token ended within a word.

    Stop strings stay with this VM. An engine that looks for them holds back text
    that may begin one while its token is sent; if it died then, the next engine
    would go on after the token, and the held text would be missing.
    """
    prompt: str | tuple[int, ...] = spec.prompt
    if dispatch.prefix:
        prompt = (dispatch.prompt_token_ids or ()) + dispatch.prefix
    sampling = msgspec.json.decode(spec.sampling_json, type=dict[str, Any])
    return msgspec.json.encode(
        {
            **sampling,
            "model": spec.model,
            "prompt": prompt,
            "max_tokens": dispatch.max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
            "seed": dispatch.seed,
            "temperature": spec.temperature,
            "priority": priority,
            "request_id": stream_id(spec, dispatch.attempt),
            "return_token_ids": True,
            "background": True,
        }
    )


def reattach_path(spec: GenerationSpec, attempt: int, *, starting_after: int) -> str:
    """Give the path that takes up an engine's stream after so many of its output tokens."""
    return f"/v1/responses/{stream_id(spec, attempt)}?stream=true&starting_after={starting_after}"


def cancel_path(name: str) -> str:
    """Give the path that cancels a stream of this id at its engine."""
    return f"/v1/responses/{name}/cancel"
