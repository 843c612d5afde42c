"""Tests of the state machine of an opaque stream, over everything that can happen to it."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from lagoonlever.decisions.streams.engine_runs import RunCopy
from lagoonlever.decisions.streams.stream_lifecycle import (
    MAX_ENGINE_ROUNDS,
    EventVerdict,
    GiveUp,
    PlaceAttempt,
    ResumeFromCopy,
    StreamLifecycle,
    WaitForEngine,
)
from lagoonlever.http.messages import Address

ENGINES = ("e1", "e2", "e3")
MAX_ATTEMPTS = 5


def copy_at(holder: str) -> RunCopy:
    return RunCopy(holder=holder, address=Address(host="10.0.0.1", port=80), name="r1")


class StreamMachine(RuleBasedStateMachine):
    """One stream whose engines refuse it, crash, and skip or repeat events.

    ``delivered`` has the events that the caller receives.
    """

    repeatable = True

    def __init__(self) -> None:
        super().__init__()
        self.stream = StreamLifecycle(repeatable=self.repeatable, max_attempts=MAX_ATTEMPTS)
        self.engine: str | None = None
        self.copy: RunCopy | None = None
        self.flowing = False
        self.given_up: GiveUp | None = None
        self.delivered: list[int] = []
        self.ran = 0
        self.waits = 0

    @precondition(lambda self: self.engine is None and self.given_up is None)
    @rule(pick=st.integers(0, 2), holder=st.sampled_from(("", *ENGINES)), usable=st.booleans())
    def step(self, pick: int, holder: str, usable: bool) -> None:
        step = self.stream.next_step()
        if isinstance(step, GiveUp):
            self.given_up = step
            return
        if isinstance(step, WaitForEngine):
            self.waits += 1
            assert self.stream.response_started or self.waits <= MAX_ENGINE_ROUNDS
            return
        if isinstance(step, ResumeFromCopy):
            assert step.copy == self.copy
            if not usable:
                self.stream.discard_copy()
                return
            self.engine = step.copy.holder
        else:
            assert isinstance(step, PlaceAttempt)
            usable_engines = [name for name in ENGINES if name not in step.avoid]
            if not usable_engines:
                self.stream.record_no_engine()
                return
            self.engine = usable_engines[pick % len(usable_engines)]
        self.copy = None
        self.flowing = False
        self.growing = copy_at(holder) if holder else None
        self.stream.record_sent(copy=self.growing)
        self.ran += 1

    @precondition(lambda self: self.engine is not None and not self.flowing)
    @rule()
    def refused(self) -> None:
        self.stream.record_refusal(self.engine or "", "full")
        self.ran -= 1
        self.engine = None

    @precondition(lambda self: self.engine is not None)
    @rule(alive=st.booleans())
    def lost(self, alive: bool) -> None:
        self.stream.record_loss(self.engine or "", "broke", alive=alive, read=True)
        self.engine = None

    @precondition(lambda self: self.engine is not None)
    @rule(offset=st.integers(-2, 2))
    def event(self, offset: int) -> None:
        number = max(1, (self.stream.position or 0) + offset)
        verdict = self.stream.check_event(number)
        if verdict is EventVerdict.FORWARD:
            self.stream.response_started = True
            self.stream.record_first_event()
            self.copy = self.growing
            self.flowing = True
            self.delivered.append(number)
        if verdict is EventVerdict.OUT_OF_ORDER:
            self.stream.record_loss(self.engine or "", "skipped")
            self.engine = None

    @precondition(lambda self: self.given_up is not None)
    @rule()
    def stays_given_up(self) -> None:
        assert isinstance(self.stream.next_step(), GiveUp)

    @invariant()
    def no_event_is_missing_or_repeated(self) -> None:
        assert self.delivered == list(range(1, len(self.delivered) + 1))

    @invariant()
    def runs_stay_within_the_limit(self) -> None:
        max_runs = MAX_ATTEMPTS if self.repeatable else 1
        assert self.ran <= max_runs

    @invariant()
    def not_run_is_reported_only_if_nothing_ran(self) -> None:
        if self.given_up is not None and not self.stream.possible_runs:
            assert self.ran == 0 and not self.delivered


class SingleRunMachine(StreamMachine):
    """A stream that must not run more than once."""

    repeatable = False


def test_a_repeatable_stream_keeps_its_invariants() -> None:
    run_machine(StreamMachine, settings=settings(max_examples=200, stateful_step_count=40))


def test_an_unrepeatable_stream_runs_at_most_once() -> None:
    run_machine(SingleRunMachine, settings=settings(max_examples=100, stateful_step_count=20))


def test_a_copy_is_used_only_after_the_first_event() -> None:
    """An engine makes no copy before a run's first event, so a resume from it is refused."""
    stream = StreamLifecycle(repeatable=True, max_attempts=5)
    stream.record_sent(copy=copy_at("e2"))
    stream.record_loss("e1", "broke")
    assert isinstance(stream.next_step(), PlaceAttempt)


def test_a_live_engine_that_lost_a_response_is_preferred_only_once() -> None:
    stream = StreamLifecycle(repeatable=True, max_attempts=5)
    stream.record_sent(copy=None)
    stream.record_loss("e1", "reset", alive=True, read=True)
    first = stream.next_step()
    assert isinstance(first, PlaceAttempt) and first.prefer == "e1" and not first.avoid
    stream.record_sent(copy=None)
    stream.record_loss("e1", "reset", alive=True, read=True)
    second = stream.next_step()
    assert isinstance(second, PlaceAttempt) and second.prefer is None and second.avoid == {"e1"}


def test_a_stream_is_not_given_up_because_of_unreachable_engines() -> None:
    """All engines of a data centre crash; they look idle, so they are tried first.

    Connections to them are refused within milliseconds. Counted as refusals, a dozen of them
    made the stream fail although all engines of the other data centres were free.
    """
    stream = StreamLifecycle(repeatable=True, max_attempts=MAX_ATTEMPTS)
    for number in range(19):
        assert isinstance(stream.next_step(), PlaceAttempt)
        stream.record_unreachable(f"dead-{number}", "connection refused")
    assert isinstance(stream.next_step(), PlaceAttempt)


def test_dead_engines_are_retried_a_few_times_with_pauses() -> None:
    """Without pauses a stream would retry dead engines in a busy loop and load its VM."""
    stream = StreamLifecycle(repeatable=True, max_attempts=MAX_ATTEMPTS)
    pauses = 0
    while not isinstance(step := stream.next_step(), GiveUp):
        if isinstance(step, WaitForEngine):
            pauses += 1
            continue
        if len(step.avoid) == len(ENGINES):
            stream.record_no_engine()
            continue
        stream.record_unreachable(next(e for e in ENGINES if e not in step.avoid), "refused")
    assert pauses == MAX_ENGINE_ROUNDS and not stream.possible_runs
