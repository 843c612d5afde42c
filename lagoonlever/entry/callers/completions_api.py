"""Reads the completion requests of callers: each field and header is checked here."""

from __future__ import annotations

import random
from typing import Any

import attrs
import msgspec

from lagoonlever.config.options import load, option
from lagoonlever.decisions.streams.generation_messages import GenerationSpec
from lagoonlever.decisions.streams.resume import HeldAnswer
from lagoonlever.entry.callers.completion_documents import (
    CompletionDocument,
    Memory,
    read_document,
)
from lagoonlever.exceptions import FaultsError, RequestRefused
from lagoonlever.http.messages import Headers, Request
from lagoonlever.identity import REQUEST_ID

ACCEPT_HEADER = "Lagoonlever-Accept"
"""What a caller can do beyond the usual format: ``resume``, ``restart``, ``moved``."""
DEADLINE_HEADER = "Lagoonlever-Deadline-S"
LAST_EVENT_HEADER = "Last-Event-ID"
REQUEST_ID_HEADERS = ("Idempotency-Key", "X-Request-Id")
MINTED_ID_BITS = 96
NOT_SUPPORTED: dict[str, tuple[object, ...]] = {
    "echo": (None, False),
    "best_of": (None, 1),
    "logprobs": (None, False),
    "suffix": (None, ""),
}
"""Published options that would change what a resume must continue, with what leaves them off."""
MAX_STOP_STRINGS = 16
MAX_STOP_LENGTH = 256


def _check_stop(value: str | tuple[str, ...] | None) -> str | None:
    strings = (value,) if isinstance(value, str) else (value or ())
    if len(strings) > MAX_STOP_STRINGS:
        return f"has {len(strings)} strings; give at most {MAX_STOP_STRINGS}"
    if any(not 0 < len(string) <= MAX_STOP_LENGTH for string in strings):
        return f"has a string of a wrong length; give 1 to {MAX_STOP_LENGTH} characters each"
    return None


@attrs.frozen(kw_only=True)
class CompletionBody:
    """The fields of a completion request that the system takes."""

    model: str = option(doc="The model, or model:adapter.")
    prompt: str | tuple[int, ...] = option(doc="The prompt, as text or as token ids.")
    max_tokens: int = option(default=256, at_least=1, doc="The longest answer, in tokens.")
    stream: bool = option(default=False, doc="Whether to stream the answer.")
    seed: int | None = option(default=None, doc="The seed of sampling.")
    temperature: float = option(default=1.0, at_least=0, at_most=2, doc="Of sampling.")
    stop: str | tuple[str, ...] | None = option(
        default=None, check=_check_stop, doc="Strings that end the answer."
    )
    n: int = option(default=1, at_least=1, at_most=1, doc="One answer a request.")
    stream_options: dict[str, Any] | None = option(default=None, doc="Taken; usage always comes.")
    user: str | None = option(default=None, doc="Taken and not used.")
    return_token_ids: bool = option(default=False, doc="Taken; token ids always come.")
    lagoonlever_held: HeldAnswer | None = option(default=None, doc="Of a returning caller.")


KNOWN_FIELDS = frozenset(field.name for field in attrs.fields(CompletionBody))


@attrs.frozen(kw_only=True)
class CompletionCall:
    """A checked request, and what its caller can do."""

    spec: GenerationSpec
    stream: bool
    accepts: frozenset[str]
    resumable: bool
    """The caller brought its own id, so it may come back for its answer."""
    last_event_id: str | None
    held: HeldAnswer | None


def read_call(
    request: Request, *, organisation: str, rng: random.Random, memory: Memory
) -> CompletionCall:
    """Check a request; raises ``RequestRefused`` naming the field, or ``NoMemoryLeft``."""
    document = read_document(request.body, memory=memory)
    body = _read_body(document)
    accepts = _tokens(request.headers.get(ACCEPT_HEADER, "") or "")
    request_id = _request_id(request.headers)
    stop = (body.stop,) if isinstance(body.stop, str) else (body.stop or ())
    spec = GenerationSpec(
        request_id=request_id or f"{rng.getrandbits(MINTED_ID_BITS):024x}",
        organisation=organisation,
        model=body.model,
        prompt=body.prompt,
        max_tokens=body.max_tokens,
        seed=body.seed,
        temperature=body.temperature,
        stop=stop,
        sampling_json=_sampling_json(document.options),
        deadline_s=read_deadline(request.headers),
        accepts_restart="restart" in accepts or not body.stream,
    )
    return CompletionCall(
        spec=spec,
        stream=body.stream,
        accepts=accepts,
        resumable=request_id is not None,
        last_event_id=request.headers.get(LAST_EVENT_HEADER),
        held=body.lagoonlever_held,
    )


def may_have_run(headers: Headers) -> bool:
    """Return whether a request may be a copy of one that has run, by its head alone."""
    return any(headers.get(name) is not None for name in (*REQUEST_ID_HEADERS, LAST_EVENT_HEADER))


def read_deadline(headers: Headers) -> float | None:
    """Give the remaining time that a caller allows, in seconds."""
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        raise RequestRefused(
            status=400, field=DEADLINE_HEADER, message="give the remaining seconds, above 0"
        )
    return seconds


def _read_body(document: CompletionDocument) -> CompletionBody:
    _check_supported(document.options)
    known = {name: value for name, value in document.options.items() if name in KNOWN_FIELDS}
    if document.prompt is not None:
        known["prompt"] = ""
    try:
        body = load(CompletionBody, known)
    except FaultsError as error:
        first, *others = error.faults
        message = "; ".join([first.message, *map(str, others)])
        raise RequestRefused(status=400, field=first.path, message=message) from error
    assert document.prompt is not None
    return attrs.evolve(body, prompt=document.prompt, lagoonlever_held=document.held)


def _check_supported(document: dict[str, Any]) -> None:
    for name, harmless in NOT_SUPPORTED.items():
        value = document.get(name)
        # By type as well: in Python True equals 1, and False equals 0.
        if not any(value == off and type(value) is type(off) for off in harmless):
            raise RequestRefused(status=400, field=name, message="is not supported; leave it out")


def _sampling_json(options: dict[str, Any]) -> str:
    """Return the options that only the engine reads, as JSON with a stable order."""
    rest = {
        name: value
        for name, value in options.items()
        if name not in KNOWN_FIELDS and name not in NOT_SUPPORTED
    }
    return msgspec.json.encode(rest, order="sorted").decode()


def _tokens(text: str) -> frozenset[str]:
    return frozenset(part.strip() for part in text.split(",") if part.strip())


def _request_id(headers: Headers) -> str | None:
    for name in REQUEST_ID_HEADERS:
        value = headers.get(name)
        if value is None:
            continue
        if REQUEST_ID.match(value) is None:
            raise RequestRefused(
                status=400, field=name, message="give 1 to 80 letters, digits, '-', '_' or '.'"
            )
        return value
    return None
