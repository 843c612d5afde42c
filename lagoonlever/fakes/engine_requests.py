"""Checks a completion request of the stand-in engine and makes its generation."""

from __future__ import annotations

import time
from collections.abc import Sequence

from lagoonlever.exceptions import RequestRefused
from lagoonlever.fakes import wire
from lagoonlever.fakes.batch import Generation, ServedModel
from lagoonlever.fakes.tokens import encode_prompt, token_bytes

MAX_TOKENS = 1_000_000


def new_generation(request: wire.CompletionRequest, *, models: Sequence[ServedModel]) -> Generation:
    """Give the generation that a request asks for; raises ``RequestRefused``."""
    name, _, adapter = request.model.partition(":")
    model = next((each for each in models if each.name == name), None)
    if model is None or (adapter and adapter not in model.adapters):
        raise RequestRefused(status=404, field="model", message=f"{request.model!r} not loaded")
    if not 1 <= request.max_tokens <= MAX_TOKENS:
        message = f"give 1 to {MAX_TOKENS} tokens"
        raise RequestRefused(status=400, field="max_tokens", message=message)
    stop = [request.stop] if isinstance(request.stop, str) else request.stop or []
    return Generation(
        request_id=request.request_id or f"cmpl-{time.monotonic_ns():x}",
        model=request.model,
        version=model.version,
        adapter=adapter or None,
        prompt=_prompt_tokens(request.prompt),
        max_tokens=request.max_tokens,
        seed=request.seed or 0,
        stop=tuple(stop),
        priority=request.priority,
        background=request.background,
    )


def _prompt_tokens(prompt: str | list[int]) -> list[int]:
    tokens = encode_prompt(prompt) if isinstance(prompt, str) else prompt
    if not tokens:
        raise RequestRefused(status=400, field="prompt", message="is empty")
    try:
        for token_id in tokens:
            token_bytes(token_id)
    except ValueError as error:
        raise RequestRefused(status=400, field="prompt", message=str(error)) from None
    return tokens
