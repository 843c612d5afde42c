"""A done request's answer is the whole answer to the prompt its caller sent.

Recomputes what the stand-in engine answers to that prompt when nothing fails;
another caller's answer, a shortened one or a second one differs from it.
"""

from __future__ import annotations

from collections.abc import Sequence

from lagoonlever.fakes.tokens import ExpectedOutput, encode_prompt, expected_output
from lagoonlever.history.checkers import Violation, checker
from lagoonlever.history.checkers.answers import HeldAnswer, final_answers, follow
from lagoonlever.history.checkers.generations_never_mixed import adapter_of
from lagoonlever.history.events import HistoryEvent, RunEnded
from lagoonlever.history.events_callers import CallerAsked, CallerGotOutcome, CallerToldGeneration
from lagoonlever.outcomes import OutcomeTag

NAME = "whole_answer_to_own_request"
STOP = "stop"


@checker(NAME)
def check(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Check each caller's final answer, and that it has one once the run has ended."""
    ended = any(isinstance(event, RunEnded) for event in events)
    violations: list[Violation] = []
    for answer in final_answers(events):
        message = _fault(answer, ended=ended)
        if message is not None:
            at = answer.outcome.at if answer.outcome else events[-1].at
            violations.append(
                Violation(checker=NAME, subject=answer.request, at=at, message=message)
            )
    return violations + _second_outcomes(events)


def _second_outcomes(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Find final answers that came without a question of their own: crossed ones."""
    return [
        Violation(checker=NAME, subject=event.request, at=event.at, message="a second final answer")
        for answer, event in follow(events)
        if isinstance(event, CallerGotOutcome) and answer.outcome is not None
    ]


def _fault(answer: HeldAnswer, *, ended: bool) -> str | None:
    asked, outcome = answer.asked, answer.outcome
    if asked is None:
        return "an answer came to a request that this caller never sent"
    if outcome is None:
        return "the run ended without a final answer" if ended else None
    if outcome.tag != OutcomeTag.DONE.value:
        return None
    if answer.told is None:
        return "done without a word of the generation"
    return _answer_fault(answer, asked, answer.told, outcome)


def _answer_fault(
    answer: HeldAnswer, asked: CallerAsked, told: CallerToldGeneration, outcome: CallerGotOutcome
) -> str | None:
    if told.prompt_token_ids != tuple(encode_prompt(asked.prompt)):
        return "the answer is to another prompt"
    expected = expected_output(
        model_version=told.model_version,
        prompt=told.prompt_token_ids,
        max_tokens=asked.max_tokens,
        adapter=adapter_of(asked.model),
        seed=told.seed,
        stop=asked.stop,
    )
    text = answer.text if outcome.text is None else outcome.text
    if text != expected.text:
        return f"the text has {len(text)} characters and is not the {len(expected.text)} expected"
    if outcome.finish_reason != expected.finish_reason:
        return f"told to end by {outcome.finish_reason}, not {expected.finish_reason}"
    return _tokens_fault(answer, expected) if outcome.text is None else None


def _tokens_fault(answer: HeldAnswer, expected: ExpectedOutput) -> str | None:
    """Compare token ids; those held for a stop string are never released."""
    received = tuple(answer.token_ids)
    if expected.finish_reason == STOP:
        if received != expected.token_ids[: len(received)]:
            return "the token ids are not those of the text"
        return None
    return None if received == expected.token_ids else "the token ids are not those expected"
