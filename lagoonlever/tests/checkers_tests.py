"""The checkers of answers: green on a true history, red on each way to spoil it."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import attrs
import pytest

from lagoonlever.fakes.tokens import encode_prompt, expected_output
from lagoonlever.history.checkers import CHECKERS, check_history, load_checkers
from lagoonlever.history.events import HistoryEvent, RunEnded
from lagoonlever.history.events_callers import (
    CallerAsked,
    CallerGotOutcome,
    CallerReceived,
    CallerToldGeneration,
)
from lagoonlever.history.events_vms import AttemptDispatched
from lagoonlever.history.recorder import Recorder, read_history
from lagoonlever.identity import EventId, extend_digest, initial_digest

History = list[HistoryEvent]
LENGTH = 12
VERSION = "v1"


def received(
    token_ids: tuple[int, ...], *, request: str = "r", generation: int = 1, text: str | None = None
) -> History:
    """Give one event a token, with true event ids, and the text with the last of them."""
    digest = initial_digest(request_id=request, generation=generation, model_version=VERSION)
    events: History = []
    for offset, token_id in enumerate(token_ids):
        digest = extend_digest(digest, token_id)
        event_id = EventId(
            request_id=request,
            generation=generation,
            attempt=7,
            offset=offset + 1,
            digest=digest,
            target="e1",
        )
        last = offset == len(token_ids) - 1
        events.append(
            CallerReceived(
                at=3.0 + offset / 100,
                process="caller",
                caller="c",
                request=request,
                generation=generation,
                attempt=7,
                offset=offset,
                token_ids=(token_id,),
                text=(text or "") if last else "",
                event_id=str(event_id),
            )
        )
    return events


def answer(*, seed: int = 5, prompt: str = "the price", generation: int = 1) -> History:
    """Give the history of one whole answer."""
    prompt_ids = tuple(encode_prompt(prompt))
    whole = expected_output(model_version=VERSION, prompt=prompt_ids, max_tokens=LENGTH, seed=seed)
    common = {"process": "caller", "caller": "c", "request": "r"}
    told = CallerToldGeneration(
        at=2.0,
        generation=generation,
        model_version=VERSION,
        seed=seed,
        prompt_token_ids=prompt_ids,
        **common,
    )
    asked = CallerAsked(
        at=1.0, vm="vm1", model="m", prompt="the price", max_tokens=LENGTH, **common
    )
    outcome = CallerGotOutcome(
        at=9.0,
        tag="done",
        status=200,
        finish_reason="length",
        completion_tokens=LENGTH,
        **common,
    )
    pieces = received(whole.token_ids, generation=generation, text=whole.text)
    return [asked, told, *pieces, outcome, RunEnded(at=10.0, process="test")]


def dispatch(*, attempt: int, seed: int, version: str | None = VERSION) -> AttemptDispatched:
    return AttemptDispatched(
        at=2.5,
        process="vm1",
        request="r",
        generation=1,
        attempt=attempt,
        target="e1",
        seed=seed,
        model_version=version,
        prefix_tokens=4,
    )


def red(history: History) -> set[str]:
    return {violation.checker for violation in check_history(history)}


def test_a_true_history_is_green() -> None:
    load_checkers()
    assert len(CHECKERS) >= 3
    assert check_history(answer()) == []


def test_a_history_read_from_files_is_the_one_recorded(tmp_path: Path) -> None:
    recorders = [Recorder(process=name, path=tmp_path / name) for name in ("a", "b")]
    history = answer()
    for index, event in enumerate(history):
        recorders[index % 2].record(event)
    for recorder in recorders:
        recorder.close()
    torn = tmp_path / "a"
    torn.write_bytes(torn.read_bytes() + b'["caller-received",{"at":')
    assert read_history([tmp_path / "a", tmp_path / "b"]) == history


def lose_a_token(history: History) -> History:
    return history[:5] + history[6:]


def repeat_a_token(history: History) -> History:
    return history[:6] + history[5:]


def append_a_late_token(history: History) -> History:
    """Have a frozen engine thaw, so that its tokens come after the answer's end."""
    return [*history[:-1], history[5], history[-1]]


def wrong_event_id(history: History) -> History:
    """Give the id of another prefix: a caller that comes back with it would get a splice."""
    spoiled = list(history)
    spoiled[5] = attrs.evolve(history[5], event_id=history[6].event_id)
    return spoiled


def splice_another_seed(history: History) -> History:
    """Forget the seed in a resume on another engine: true ids over a mixed answer."""
    token_ids = tuple(
        token for e in history if isinstance(e, CallerReceived) for token in e.token_ids
    )
    other = expected_output(
        model_version=VERSION,
        prompt=[*encode_prompt("the price"), *token_ids[:6]],
        max_tokens=LENGTH - 6,
        seed=6,
    )
    mixed = received(token_ids[:6] + other.token_ids, text="whatever")
    return [*history[:2], *mixed, *history[-2:]]


def begin_another_generation_unsaid(history: History) -> History:
    return [
        attrs.evolve(e, generation=2) if isinstance(e, CallerReceived) and e.offset > 5 else e
        for e in history
    ]


def continue_with_another_seed(history: History) -> History:
    return [*history, dispatch(attempt=1, seed=5), dispatch(attempt=2, seed=6)]


def continue_with_another_version(history: History) -> History:
    return [*history, dispatch(attempt=1, seed=5), dispatch(attempt=2, seed=5, version="v2")]


def answer_to_another_prompt(history: History) -> History:
    """Reuse a connection after a timeout: the next caller reads the former's answer."""
    return [history[0], *answer(prompt="chili today")[1:]]


def shortened(history: History) -> History:
    outcome = attrs.evolve(history[-2], completion_tokens=LENGTH - 2)
    return [*history[:-4], outcome, history[-1]]


def no_outcome(history: History) -> History:
    return [*history[:-2], history[-1]]


def second_outcome(history: History) -> History:
    return [*history[:-1], history[-2], history[-1]]


NO_TOKEN = "no_token_missing_or_repeated"
NEVER_MIXED = "generations_never_mixed"
WHOLE = "whole_answer_to_own_request"


@pytest.mark.parametrize(
    ("spoil", "expected"),
    [
        (lose_a_token, NO_TOKEN),
        (repeat_a_token, NO_TOKEN),
        (append_a_late_token, NO_TOKEN),
        (wrong_event_id, NO_TOKEN),
        (splice_another_seed, NEVER_MIXED),
        (begin_another_generation_unsaid, NEVER_MIXED),
        (continue_with_another_seed, NEVER_MIXED),
        (continue_with_another_version, NEVER_MIXED),
        (answer_to_another_prompt, WHOLE),
        (shortened, WHOLE),
        (no_outcome, WHOLE),
        (second_outcome, WHOLE),
    ],
)
def test_a_spoiled_history_is_red(spoil: Callable[[History], History], expected: str) -> None:
    assert expected in red(spoil(answer()))


def test_a_new_generation_that_was_told_is_no_mixture() -> None:
    """No engine has the version any more: the caller is told, and gets a new answer."""
    first = answer()
    second = answer(seed=9, generation=2)
    assert check_history([*first[:8], *second[1:]]) == []


def test_a_caller_that_comes_back_goes_on_where_it_was() -> None:
    history = answer()
    back = attrs.evolve(history[0], at=3.05, vm="vm2", held_generation=1, held_tokens=5)
    told = attrs.evolve(history[1], at=3.05)
    assert check_history([*history[:7], back, told, *history[7:]]) == []
    assert red([*history[:7], back, told, *history[6:]]) >= {NO_TOKEN}
