"""A request that may not be repeated runs at most once, and its repeats get one answer."""

from __future__ import annotations

from collections.abc import Sequence

from lagoonlever.history.checkers import Violation, checker
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_services import CallerToldOfCall, DispatchWritten
from lagoonlever.history.events_targets import ServiceExecuted
from lagoonlever.outcomes import OutcomeTag

NAME = "at_most_once"
IDEMPOTENT = ("GET ", "HEAD ")


def may_repeat(event: ServiceExecuted) -> bool:
    """Tell whether an execution may be repeated."""
    return event.operation.startswith(IDEMPOTENT)


@checker(NAME)
def check(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Check each request's executions and writes, and the answers of those told "done"."""
    return [*_executed_again(events), *_written_again(events), *_answered_otherwise(events)]


def _executed_again(events: Sequence[HistoryEvent]) -> list[Violation]:
    first: dict[str, ServiceExecuted] = {}
    violations: list[Violation] = []
    for event in events:
        if not isinstance(event, ServiceExecuted) or may_repeat(event):
            continue
        subject = event.request or event.key
        if not subject:
            continue
        earlier = first.setdefault(subject, event)
        if earlier is event:
            continue
        message = f"ran at {earlier.target} and again at {event.target}"
        violations.append(Violation(checker=NAME, subject=subject, at=event.at, message=message))
    return violations


def _written_again(events: Sequence[HistoryEvent]) -> list[Violation]:
    first: dict[str, DispatchWritten] = {}
    violations: list[Violation] = []
    for event in events:
        if not isinstance(event, DispatchWritten) or not event.homed_key:
            continue
        earlier = first.setdefault(event.homed_key, event)
        if earlier is event:
            continue
        message = f"written by {earlier.process} and again by {event.process}"
        violations.append(Violation(checker=NAME, subject=event.key, at=event.at, message=message))
    return violations


def _answered_otherwise(events: Sequence[HistoryEvent]) -> list[Violation]:
    first: dict[str, CallerToldOfCall] = {}
    violations: list[Violation] = []
    may_change = {e.request for e in events if isinstance(e, ServiceExecuted) and may_repeat(e)}
    for event in events:
        if not isinstance(event, CallerToldOfCall) or event.tag != OutcomeTag.DONE.value:
            continue
        if event.request in may_change:
            continue
        earlier = first.setdefault(event.request, event)
        if (earlier.status, earlier.body) == (event.status, event.body):
            continue
        violations.append(
            Violation(
                checker=NAME, subject=event.request, at=event.at, message="two different answers"
            )
        )
    return violations
