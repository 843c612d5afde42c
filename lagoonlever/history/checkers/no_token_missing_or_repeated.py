"""Every token reaches the caller once, in its place, and the event ids tell the truth."""

from __future__ import annotations

from collections.abc import Sequence

from lagoonlever.exceptions import RequestRefused
from lagoonlever.history.checkers import Violation, checker
from lagoonlever.history.checkers.answers import HeldAnswer, follow
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_callers import CallerGotOutcome, CallerReceived
from lagoonlever.identity import EventId, extend_digest, initial_digest
from lagoonlever.outcomes import OutcomeTag

NAME = "no_token_missing_or_repeated"


@checker(NAME)
def check(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Check offsets, digests, and the count of a whole answer."""
    violations: list[Violation] = []
    for answer, event in follow(events):
        message = None
        if isinstance(event, CallerReceived):
            message = _received_fault(answer, event)
        elif isinstance(event, CallerGotOutcome):
            message = _count_fault(answer, event)
        if message is not None:
            violations.append(
                Violation(checker=NAME, subject=event.request, at=event.at, message=message)
            )
    return violations


def _received_fault(answer: HeldAnswer, event: CallerReceived) -> str | None:
    if answer.outcome is not None:
        return "tokens came after the final answer"
    if event.generation < answer.generation:
        return f"generation {event.generation} came after generation {answer.generation}"
    held = answer.token_ids if event.generation == answer.generation else []
    if event.offset != len(held):
        kind = "missing" if event.offset > len(held) else "repeated"
        return f"offset {event.offset} came where {len(held)} was next: tokens are {kind}"
    return _event_id_fault(answer, event, held)


def _event_id_fault(answer: HeldAnswer, event: CallerReceived, held: list[int]) -> str | None:
    told = answer.told
    if told is None or told.generation != event.generation:
        return f"tokens of generation {event.generation} came before it was told of"
    try:
        event_id = EventId.parse(event.event_id)
    except RequestRefused:
        return f"{event.event_id!r} is no event id"
    digest = initial_digest(
        request_id=event_id.request_id,
        generation=event.generation,
        model_version=told.model_version,
    )
    for token_id in (*held, *event.token_ids):
        digest = extend_digest(digest, token_id)
    if event_id.offset != len(held) + len(event.token_ids):
        return f"the event id tells offset {event_id.offset}, not what was received"
    if event_id.digest != digest:
        return "the event id's digest is not that of the tokens received"
    return None


def _count_fault(answer: HeldAnswer, event: CallerGotOutcome) -> str | None:
    if event.tag != OutcomeTag.DONE.value or event.completion_tokens is None:
        return None
    if event.text is not None or event.completion_tokens == len(answer.token_ids):
        return None
    return f"{len(answer.token_ids)} of {event.completion_tokens} tokens were received"
