"""Typed bodies of the stand-ins' HTTP interfaces, and reading and writing them."""

from __future__ import annotations

import re
from typing import TypeVar

import attrs
import msgspec

from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers, Request
from lagoonlever.http.refusals import JSON_TYPE

T = TypeVar("T")
_AT_FIELD = re.compile(r"`\$\.?([^`]*)`")
_MISSING_FIELD = re.compile(r"required field `([^`]*)`")


def read_body(request: Request, cls: type[T]) -> T:
    """Read a JSON body; raises ``RequestRefused`` naming the field."""
    try:
        return msgspec.json.decode(request.body, type=cls)
    except msgspec.MsgspecError as error:
        named = _MISSING_FIELD.search(str(error)) or _AT_FIELD.search(str(error))
        field = named.group(1) if named and named.group(1) else "body"
        raise RequestRefused(status=400, field=field, message=str(error)) from None


def read_number(request: Request, name: str) -> int:
    """Read a whole number of the query, 0 where it is absent; raises ``RequestRefused``."""
    text = request.query.get(name, "0")
    if not text.isdecimal():
        raise RequestRefused(status=400, field=name, message="give a whole number")
    return int(text)


async def respond(exchange: Exchange, payload: object, *, status: int = 200) -> None:
    """Answer with a typed message as JSON."""
    headers = Headers().with_field("Content-Type", JSON_TYPE)
    await exchange.respond(status=status, headers=headers, body=msgspec.json.encode(payload))


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """The body of ``POST /v1/completions``."""

    model: str
    prompt: str | list[int]
    max_tokens: int = 16
    stream: bool = False
    seed: int | None = None
    temperature: float = 1.0
    stop: str | list[str] | None = None
    priority: int = 0
    request_id: str | None = None
    return_token_ids: bool = False
    background: bool = False


@attrs.frozen(kw_only=True)
class Choice:
    """A piece of an answer."""

    index: int = 0
    text: str
    token_ids: list[int]
    finish_reason: str | None


@attrs.frozen(kw_only=True)
class FirstChoice(Choice):
    """The first piece of an answer, with the prompt as the engine tokenised it."""

    prompt_token_ids: list[int]


@attrs.frozen(kw_only=True)
class PromptDetails:
    """How much of a prompt was cached."""

    cached_tokens: int


@attrs.frozen(kw_only=True)
class Usage:
    """The tokens of one request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptDetails


@attrs.frozen(kw_only=True)
class Chunk:
    """One chunk of a stream, or a whole answer; only the last one has ``usage``."""

    id: str
    object: str = "text_completion"
    created: int
    model: str
    system_fingerprint: str
    choices: list[Choice]


@attrs.frozen(kw_only=True)
class UsageChunk(Chunk):
    """The last chunk of a stream, or a whole answer."""

    usage: Usage


@attrs.frozen(kw_only=True)
class ModelEntry:
    """One model of ``GET /v1/models``."""

    id: str
    version: str
    adapters: list[str]


@attrs.frozen(kw_only=True)
class ModelList:
    """The body of ``GET /v1/models``."""

    data: list[ModelEntry]


@attrs.frozen(kw_only=True)
class LoadReport:
    """The body of ``GET /load``; ``at`` is the engine's own clock in seconds."""

    running: int
    waiting: int
    slots: int
    cached_tokens: int
    at: float


@attrs.frozen(kw_only=True)
class OrderedModel:
    """A model that an order wants loaded."""

    name: str
    version: str
    adapter: str | None = None


@attrs.frozen(kw_only=True)
class WantedState:
    """The state that an order wants of an engine."""

    models: list[OrderedModel] = attrs.field(factory=list)
    role: str = "both"
    draining: bool = False


@attrs.frozen(kw_only=True)
class Order:
    """The body of ``POST /orders``; a greater fencing number supersedes a smaller one."""

    fencing: int
    wanted: WantedState


@attrs.frozen(kw_only=True)
class OrderReport:
    """The body of ``GET /orders``: the order in force and what the engine has by now."""

    fencing: int
    wanted: WantedState
    actual: WantedState


@attrs.frozen(kw_only=True)
class Acknowledged:
    """The body of an answer that has nothing to tell."""

    ok: bool = True
