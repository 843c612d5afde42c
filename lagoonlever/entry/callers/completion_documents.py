"""Reads the documents of completion requests, within what their reading may cost.

A document of small pieces takes many times its size once it is read into objects. So only what
may be large is read by its type, and what it takes is paid for first; the rest is small.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Protocol

import attrs
import msgspec

from lagoonlever.decisions.streams.resume import HeldAnswer
from lagoonlever.exceptions import LagoonleverException, RequestRefused

OPTION_BYTES = 64 * 1024
"""Of a document without its prompt and without what a returning caller holds."""
TEXT_COST = 4
"""Bytes for each byte of a text, where one of its characters needs four."""
LIST_COST = 12
"""Bytes for each byte of a list of numbers, at their worst size."""


class NoMemoryLeft(LagoonleverException):
    """There is no memory for a request now; nothing of it was run."""


class Memory(Protocol):
    """What the connection of a request may hold."""

    @property
    def largest_bytes(self) -> int:
        """What it may hold at most."""

    def pay(self, size: int) -> bool:
        """Pay for ``size`` bytes; False if there is no memory for them."""

    def pay_back(self, size: int) -> None:
        """Pay back ``size`` bytes."""


class _LargeFields(msgspec.Struct):
    """What may be large in a document; other fields are passed over unread."""

    prompt: msgspec.Raw = msgspec.Raw()
    lagoonlever_held: msgspec.Raw = msgspec.Raw()


class _Held(msgspec.Struct, forbid_unknown_fields=True):
    model_version: str
    prompt_token_ids: tuple[int, ...]
    token_ids: tuple[int, ...]


@attrs.frozen(kw_only=True)
class CompletionDocument:
    """A document of which the small part is read, and the large part by its types."""

    options: dict[str, Any]
    """Every field but ``prompt`` and ``lagoonlever_held``."""
    prompt: str | tuple[int, ...] | None
    """None if the document has none."""
    held: HeldAnswer | None


def read_document(raw: bytes, *, memory: Memory) -> CompletionDocument:
    """Read a request's body; raises ``RequestRefused`` naming the field, or ``NoMemoryLeft``."""
    large = _decode(raw, _LargeFields, field="body")
    option_bytes = len(raw) - len(large.prompt) - len(large.lagoonlever_held)
    if option_bytes > OPTION_BYTES:
        raise RequestRefused(
            status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            field="body",
            message=f"has more than {OPTION_BYTES} bytes beside its prompt",
        )
    cost = _cost_of(large)
    if cost > memory.largest_bytes - len(raw):
        raise RequestRefused(
            status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            field="body",
            message="takes more memory than this VM has for a request",
        )
    if not memory.pay(cost):
        raise NoMemoryLeft("there is no memory left for the request")
    try:
        return _read_fields(raw, large)
    finally:
        memory.pay_back(cost)


def _read_fields(raw: bytes, large: _LargeFields) -> CompletionDocument:
    fields = _decode(raw, dict[str, msgspec.Raw], field="body")
    options = {
        name: _decode(value, Any, field=name)
        for name, value in fields.items()
        if name not in _LargeFields.__struct_fields__
    }
    prompt: str | tuple[int, ...] | None = None
    if large.prompt:
        prompt = _decode(large.prompt, str | tuple[int, ...], field="prompt")
    return CompletionDocument(options=options, prompt=prompt, held=_held(large.lagoonlever_held))


def _cost_of(large: _LargeFields) -> int:
    """Return what reading may take, in bytes."""
    is_text = bytes(memoryview(large.prompt)[:1]) == b'"'
    prompt_cost = len(large.prompt) * (TEXT_COST if is_text else LIST_COST)
    return prompt_cost + len(large.lagoonlever_held) * LIST_COST


def _held(raw: msgspec.Raw) -> HeldAnswer | None:
    if not raw:
        return None
    held = _decode(raw, _Held | None, field="lagoonlever_held")
    if held is None:
        return None
    return HeldAnswer(
        model_version=held.model_version,
        prompt_token_ids=held.prompt_token_ids,
        token_ids=held.token_ids,
    )


def _decode(raw: bytes | msgspec.Raw, kind: Any, *, field: str) -> Any:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.ValidationError as error:
        message = "give a JSON object" if field == "body" else str(error)
        raise RequestRefused(status=HTTPStatus.BAD_REQUEST, field=field, message=message) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestRefused(
            status=HTTPStatus.BAD_REQUEST, field=field, message=f"is not JSON: {error}"
        ) from error
