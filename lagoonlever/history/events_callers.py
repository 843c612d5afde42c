"""What callers saw: the checkers of whole answers rest on these alone."""

from __future__ import annotations

import attrs

from lagoonlever.history.events import HISTORY, HistoryEvent


@attrs.frozen(kw_only=True)
class CallerEvent(HistoryEvent):
    """Base: what one caller saw of one request."""

    caller: str
    request: str


@HISTORY.message("caller-asked")
@attrs.frozen(kw_only=True)
class CallerAsked(CallerEvent):
    """A caller sent its request; ``held_tokens`` of ``held_generation`` it had already."""

    vm: str
    model: str
    prompt: str
    max_tokens: int
    stop: tuple[str, ...] = ()
    held_generation: int = 0
    held_tokens: int = 0


@HISTORY.message("caller-told-generation")
@attrs.frozen(kw_only=True)
class CallerToldGeneration(CallerEvent):
    """A caller was told which generation follows; tokens of an earlier one are void."""

    generation: int
    model_version: str
    seed: int
    prompt_token_ids: tuple[int, ...]


@HISTORY.message("caller-received")
@attrs.frozen(kw_only=True)
class CallerReceived(CallerEvent):
    """A caller received tokens; ``offset`` is that of the first of them."""

    generation: int
    attempt: int
    offset: int
    token_ids: tuple[int, ...]
    text: str
    event_id: str


@HISTORY.message("caller-got-outcome")
@attrs.frozen(kw_only=True)
class CallerGotOutcome(CallerEvent):
    """A caller got its final answer; ``text`` is given where it was not streamed."""

    tag: str
    status: int
    reason: str | None = None
    finish_reason: str | None = None
    completion_tokens: int | None = None
    text: str | None = None
    retry_after_s: float | None = None
