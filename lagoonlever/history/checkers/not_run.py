"""A request that a caller was told is "not run" never ran, before or after it was told."""

from __future__ import annotations

from collections.abc import Sequence

from lagoonlever.history.checkers import Violation, checker
from lagoonlever.history.checkers.at_most_once import may_repeat
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_callers import CallerAsked, CallerGotOutcome, CallerReceived
from lagoonlever.history.events_services import CallerToldOfCall
from lagoonlever.history.events_targets import ServiceExecuted
from lagoonlever.outcomes import OutcomeTag

NAME = "not_run_is_true"


@checker(NAME)
def check(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Check calls of services against their executions, generations against their tokens."""
    return [*_calls_that_ran(events), *_generations_that_ran(events)]


def _calls_that_ran(events: Sequence[HistoryEvent]) -> list[Violation]:
    told = {
        event.request: event
        for event in events
        if isinstance(event, CallerToldOfCall) and event.tag == OutcomeTag.NOT_RUN.value
    }
    violations: list[Violation] = []
    for event in events:
        if not isinstance(event, ServiceExecuted) or may_repeat(event):
            continue
        said = told.get(event.request or event.key)
        if said is None:
            continue
        order = "ran before" if event.at < said.at else "ran after"
        message = f"{order} {said.caller} was told that it was not run ({said.reason})"
        violations.append(
            Violation(checker=NAME, subject=said.request, at=event.at, message=message)
        )
    return violations


def _generations_that_ran(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Find callers told "not run" that had received tokens for the same question."""
    received: set[tuple[str, str]] = set()
    violations: list[Violation] = []
    for event in events:
        if isinstance(event, CallerAsked):
            received.discard((event.caller, event.request))
        elif isinstance(event, CallerReceived):
            received.add((event.caller, event.request))
        elif isinstance(event, CallerGotOutcome) and event.tag == OutcomeTag.NOT_RUN.value:
            if (event.caller, event.request) not in received:
                continue
            violations.append(
                Violation(
                    checker=NAME,
                    subject=event.request,
                    at=event.at,
                    message="tokens of it had been given",
                )
            )
    return violations
