"""Whether a well-formed completion request may be served; refuses it before anything is run."""

from __future__ import annotations

from http import HTTPStatus

import attrs

from lagoonlever.decisions.routing.routing import prompt_size
from lagoonlever.decisions.streams.generation_messages import GenerationSpec
from lagoonlever.exceptions import RequestRefused
from lagoonlever.identity import EventId
from lagoonlever.tree.options import EffectiveSettings


def check_allowed(
    spec: GenerationSpec, *, settings: EffectiveSettings, served_models: frozenset[str]
) -> None:
    """Check a request against its organisation's settings and the models that engines serve.

    Raises ``RequestRefused`` naming the field. No model is refused while none is
    known to be served: a VM that has just started has read no engine's models yet.
    """
    if settings.models and spec.model not in settings.models:
        raise RequestRefused(
            status=HTTPStatus.FORBIDDEN,
            field="model",
            message=f"{spec.organisation} may ask for: {', '.join(settings.models)}",
        )
    if prompt_size(spec.prompt) > settings.max_prompt_tokens:
        raise RequestRefused(
            status=HTTPStatus.BAD_REQUEST,
            field="prompt",
            message=f"give at most {settings.max_prompt_tokens} tokens",
        )
    if spec.max_tokens > settings.max_tokens:
        raise RequestRefused(
            status=HTTPStatus.BAD_REQUEST,
            field="max_tokens",
            message=f"give at most {settings.max_tokens}",
        )
    if served_models and spec.model not in served_models:
        names = ", ".join(sorted(served_models))
        raise RequestRefused(
            status=HTTPStatus.NOT_FOUND,
            field="model",
            message=f"{spec.model!r} is not served; give one of: {names}",
        )


def check_same_request(known: GenerationSpec, asked: GenerationSpec) -> None:
    """Refuse another request under a known id: its caller would get a foreign answer."""
    if known.dropped_prompt is not None:
        asked = asked.without_prompt()
    volatile = {"deadline_s": None, "accepts_restart": False}
    if attrs.evolve(known, **volatile) != attrs.evolve(asked, **volatile):  # type: ignore[arg-type]
        raise RequestRefused(
            status=HTTPStatus.UNPROCESSABLE_ENTITY,
            field="Idempotency-Key",
            message="was used for another request; take a new",
        )


def check_event_of(spec: GenerationSpec, last: EventId) -> None:
    """Refuse the last event id of another request."""
    if last.request_id != spec.request_id:
        raise RequestRefused(
            status=HTTPStatus.BAD_REQUEST, field="Last-Event-ID", message="is of another request"
        )
