"""The life of an opaque stream, as a state machine over everything that can happen to it."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from lagoonlever.decisions.streams.booked_runs import RunCopy
from lagoonlever.decisions.streams.life import (
    MOST_ROUNDS,
    EventVerdict,
    GiveUp,
    Place,
    ResumeFrom,
    StreamLife,
    WaitForEngine,
)
from lagoonlever.http.messages import Address

ENGINES = ("e1", "e2", "e3")
MAX_ATTEMPTS = 5


def copy_at(holder: str) -> RunCopy:
    return RunCopy(holder=holder, address=Address(host="10.0.0.1", port=80), name="r1")


class LifeMachine(RuleBasedStateMachine):
    """One stream; engines refuse, die, skip and repeat events; the caller sees ``told``."""

    repeatable = True

    def __init__(self) -> None:
        super().__init__()
        self.life = StreamLife(repeatable=self.repeatable, max_attempts=MAX_ATTEMPTS)
        self.engine: str | None = None
        self.copy: RunCopy | None = None
        self.flowing = False
        self.given_up: GiveUp | None = None
        self.told: list[int] = []
        self.ran = 0
        self.waits = 0

    @precondition(lambda self: self.engine is None and self.given_up is None)
    @rule(pick=st.integers(0, 2), holder=st.sampled_from(("", *ENGINES)), usable=st.booleans())
    def step(self, pick: int, holder: str, usable: bool) -> None:
        step = self.life.next_step()
        if isinstance(step, GiveUp):
            self.given_up = step
            return
        if isinstance(step, WaitForEngine):
            self.waits += 1
            assert self.life.begun or self.waits <= MOST_ROUNDS
            return
        if isinstance(step, ResumeFrom):
            assert step.copy == self.copy
            if not usable:
                self.life.copy_unusable()
                return
            self.engine = step.copy.holder
        else:
            assert isinstance(step, Place)
            left = [name for name in ENGINES if name not in step.avoid]
            if not left:
                self.life.no_engine()
                return
            self.engine = left[pick % len(left)]
        self.copy = None
        self.flowing = False
        self.growing = copy_at(holder) if holder else None
        self.life.was_sent(copy=self.growing)
        self.ran += 1

    @precondition(lambda self: self.engine is not None and not self.flowing)
    @rule()
    def refused(self) -> None:
        self.life.refused(self.engine or "", "full")
        self.ran -= 1
        self.engine = None

    @precondition(lambda self: self.engine is not None)
    @rule(alive=st.booleans())
    def lost(self, alive: bool) -> None:
        self.life.lost(self.engine or "", "broke", alive=alive, read=True)
        self.engine = None

    @precondition(lambda self: self.engine is not None)
    @rule(offset=st.integers(-2, 2))
    def event(self, offset: int) -> None:
        number = max(1, (self.life.position or 0) + offset)
        verdict = self.life.event(number)
        if verdict is EventVerdict.FORWARD:
            self.life.begun = True
            self.life.flows()
            self.copy = self.growing
            self.flowing = True
            self.told.append(number)
        if verdict is EventVerdict.OUT_OF_ORDER:
            self.life.lost(self.engine or "", "skipped")
            self.engine = None

    @precondition(lambda self: self.given_up is not None)
    @rule()
    def nothing_more(self) -> None:
        assert isinstance(self.life.next_step(), GiveUp)

    @invariant()
    def no_event_is_missing_or_twice(self) -> None:
        assert self.told == list(range(1, len(self.told) + 1))

    @invariant()
    def it_runs_no_more_often_than_it_may(self) -> None:
        most = MAX_ATTEMPTS if self.repeatable else 1
        assert self.ran <= most

    @invariant()
    def not_run_is_said_only_of_what_did_not_run(self) -> None:
        if self.given_up is not None and not self.given_up.may_have_run:
            assert self.ran == 0 and not self.told


class OnceMachine(LifeMachine):
    """A stream that must not run twice."""

    repeatable = False


def test_a_stream_that_may_be_resumed() -> None:
    run_machine(LifeMachine, settings=settings(max_examples=200, stateful_step_count=40))


def test_a_stream_that_runs_once() -> None:
    run_machine(OnceMachine, settings=settings(max_examples=100, stateful_step_count=20))


def test_a_copy_counts_only_from_the_first_event_on() -> None:
    """An engine copies nothing before a run's first event: resumes from there were refused."""
    life = StreamLife(repeatable=True, max_attempts=5)
    life.was_sent(copy=copy_at("e2"))
    life.lost("e1", "broke")
    assert isinstance(life.next_step(), Place)


def test_an_engine_that_lives_is_kept_to_once() -> None:
    life = StreamLife(repeatable=True, max_attempts=5)
    life.was_sent(copy=None)
    life.lost("e1", "reset", alive=True, read=True)
    first = life.next_step()
    assert isinstance(first, Place) and first.prefer == "e1" and not first.avoid
    life.was_sent(copy=None)
    life.lost("e1", "reset", alive=True, read=True)
    second = life.next_step()
    assert isinstance(second, Place) and second.prefer is None and second.avoid == {"e1"}


def test_a_stream_is_not_given_up_over_engines_that_could_not_be_reached() -> None:
    """All engines of a data centre crash; they look idle, so they are tried first.

    Connections are refused within milliseconds. After a dozen of them the stream was told
    that no engine takes it, though all engines of the other data centres were free.
    """
    life = StreamLife(repeatable=True, max_attempts=MAX_ATTEMPTS)
    for number in range(19):
        assert isinstance(life.next_step(), Place)
        life.unreachable(f"dead-{number}", "connection refused")
    assert isinstance(life.next_step(), Place)


def test_engines_that_are_all_dead_are_tried_a_few_times_with_pauses() -> None:
    """Without a pause a stream would try dead engines in a loop, at the cost of the VM."""
    life = StreamLife(repeatable=True, max_attempts=MAX_ATTEMPTS)
    pauses = 0
    while not isinstance(step := life.next_step(), GiveUp):
        if isinstance(step, WaitForEngine):
            pauses += 1
            continue
        if len(step.avoid) == len(ENGINES):
            life.no_engine()
            continue
        life.unreachable(next(e for e in ENGINES if e not in step.avoid), "refused")
    assert pauses == MOST_ROUNDS and not step.may_have_run
