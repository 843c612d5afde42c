"""What a caller holds of its answer, rebuilt from what it was sent."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import attrs

from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_callers import (
    CallerAsked,
    CallerEvent,
    CallerGotOutcome,
    CallerReceived,
    CallerToldGeneration,
)


@attrs.define(kw_only=True)
class HeldAnswer:
    """One caller's view of one request at a point of the history."""

    caller: str
    request: str
    asked: CallerAsked | None = None
    told: CallerToldGeneration | None = None
    outcome: CallerGotOutcome | None = None
    generation: int = 0
    token_ids: list[int] = attrs.field(factory=list)
    text: str = ""

    def apply(self, event: CallerEvent) -> None:
        """Take the next event as a caller does: append tokens, drop void generations."""
        if isinstance(event, CallerAsked):
            self.asked = event
            self.outcome = None
            if not event.held_tokens:
                self._begin(event.held_generation)
        elif isinstance(event, CallerToldGeneration):
            if event.generation != self.generation:
                self._begin(event.generation)
            self.told = event
        elif isinstance(event, CallerReceived):
            if event.generation != self.generation:
                self._begin(event.generation)
            self.token_ids.extend(event.token_ids)
            self.text += event.text
        elif isinstance(event, CallerGotOutcome):
            self.outcome = event

    def _begin(self, generation: int) -> None:
        self.generation = generation
        self.token_ids = []
        self.text = ""


def follow(events: Sequence[HistoryEvent]) -> Iterator[tuple[HeldAnswer, CallerEvent]]:
    """Give each caller's event with what the caller held before it."""
    answers: dict[tuple[str, str], HeldAnswer] = {}
    for event in events:
        if not isinstance(event, CallerEvent):
            continue
        key = (event.caller, event.request)
        answer = answers.setdefault(key, HeldAnswer(caller=event.caller, request=event.request))
        yield answer, event
        answer.apply(event)


def final_answers(events: Sequence[HistoryEvent]) -> list[HeldAnswer]:
    """Give what each caller held at the end of the history."""
    answers = {id(answer): answer for answer, _ in follow(events)}
    return list(answers.values())
