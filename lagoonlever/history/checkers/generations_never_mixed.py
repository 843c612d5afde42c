"""Every token of an answer follows from the tokens before it, by one version and seed.

Recomputes the stand-in engine's token rule: a token of another generation,
version, adapter or prefix differs from the rule's.
"""

from __future__ import annotations

from collections.abc import Sequence

from lagoonlever.fakes.tokens import TokenState, next_token
from lagoonlever.history.checkers import Violation, checker
from lagoonlever.history.checkers.answers import HeldAnswer, final_answers, follow
from lagoonlever.history.events import HistoryEvent
from lagoonlever.history.events_callers import CallerReceived, CallerToldGeneration
from lagoonlever.history.events_vms import AttemptDispatched

NAME = "generations_never_mixed"


def adapter_of(model: str) -> str | None:
    """Give the adapter that a model's name asks for (``base:adapter``)."""
    return model.partition(":")[2] or None


@checker(NAME)
def check(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Check what callers hold, what they were told, and what was dispatched."""
    violations = [
        Violation(checker=NAME, subject=answer.request, at=answer.told.at, message=message)
        for answer in final_answers(events)
        if answer.told is not None and (message := _splice(answer)) is not None
    ]
    violations += _changed_generations(events)
    return violations + _mixed_dispatches(events)


def _splice(answer: HeldAnswer) -> str | None:
    told, asked = answer.told, answer.asked
    if told is None or asked is None:
        return None
    state = TokenState.start(
        model_version=told.model_version,
        adapter=adapter_of(asked.model),
        seed=told.seed,
        prompt=told.prompt_token_ids,
    )
    for offset, token_id in enumerate(answer.token_ids):
        if token_id != next_token(state):
            return f"the token at offset {offset} does not follow from those before it"
        state = state.extended(token_id)
    return None


def _changed_generations(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Find a generation told twice with another version, seed or prompt, or gone back."""
    violations: list[Violation] = []
    for answer, event in follow(events):
        message = None
        if isinstance(event, CallerToldGeneration):
            message = _told_fault(answer, event)
        elif isinstance(event, CallerReceived) and event.generation > answer.generation > 0:
            message = f"generation {event.generation} began without the caller being told"
        if message is not None:
            violations.append(
                Violation(checker=NAME, subject=event.request, at=event.at, message=message)
            )
    return violations


def _told_fault(answer: HeldAnswer, event: CallerToldGeneration) -> str | None:
    told = answer.told
    if told is None or event.generation > told.generation:
        return None
    if event.generation < told.generation and answer.token_ids:
        return f"generation {event.generation} was told after {told.generation}"
    before = (told.model_version, told.seed, told.prompt_token_ids)
    if event.generation == told.generation and before != (
        event.model_version,
        event.seed,
        event.prompt_token_ids,
    ):
        return f"generation {event.generation} changed its version, seed or prompt"
    return None


def _mixed_dispatches(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Find an attempt that continues a prefix under another seed or version."""
    violations: list[Violation] = []
    seeds: dict[tuple[str, int], int] = {}
    versions: dict[tuple[str, int], str] = {}
    for event in events:
        if not isinstance(event, AttemptDispatched) or not event.prefix_tokens:
            continue
        key = (event.request, event.generation)
        if seeds.setdefault(key, event.seed) != event.seed:
            violations.append(_mixed(event, "another seed"))
        if event.model_version is None:
            violations.append(_mixed(event, "no model version"))
        elif versions.setdefault(key, event.model_version) != event.model_version:
            violations.append(_mixed(event, "another model version"))
    return violations


def _mixed(event: AttemptDispatched, what: str) -> Violation:
    return Violation(
        checker=NAME,
        subject=event.request,
        at=event.at,
        message=f"attempt {event.attempt} continues generation {event.generation} with {what}",
    )
