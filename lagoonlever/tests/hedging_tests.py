"""State machine over hedged calls: runners answer, fail, stall and leave; budgets run out."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from lagoonlever.decisions.admission.hedging import (
    MAX_ATTEMPTS,
    SAMPLES_NEEDED,
    HedgedCall,
    HedgeDelay,
    Send,
    Stop,
    Wait,
)
from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.shares.budgets import (
    FULL_RATIO,
    RESERVE_TOKENS,
    RetryBudget,
    take_extra,
)
from lagoonlever.entry.services.answers import ComeBack

NAMES = ("a", "b", "c")
TIMEOUT_S = 2.0
MAX_OUTSTANDING = 4


class HedgingMachine(RuleBasedStateMachine):
    """Several calls to three runners, one event per rule."""

    budget_class: type[RetryBudget] = RetryBudget
    refreshes_names = True

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.live = list(NAMES)
        self.runners = Runners(
            rng=random.Random(1), max_outstanding=MAX_OUTSTANDING, new_budget=self.budget_class
        )
        self.delay = HedgeDelay()
        self.budget = self.budget_class()
        self.calls: list[tuple[HedgedCall, dict[str, float]]] = []
        self.first_attempts = 0
        self.extra_attempts = 0
        self.successes = 0

    @precondition(lambda self: len(self.calls) < 5)
    @rule()
    def begin(self) -> None:
        names = tuple(self.live)
        call = HedgedCall(
            live_names=lambda: tuple(self.live) if self.refreshes_names else names,
            runners=self.runners,
            delay=self.delay,
            budget=self.budget,
            deadline=self.now + TIMEOUT_S,
        )
        self.calls.append((call, {}))

    @precondition(lambda self: self.calls)
    @rule(index=st.integers(0, 4))
    def decide(self, index: int) -> None:
        call, open_ = self.calls[index % len(self.calls)]
        decision = call.decide(self.now)
        if isinstance(decision, Send):
            assert decision.runner in self.live
            assert decision.runner not in open_
            assert decision.number <= MAX_ATTEMPTS
            open_[decision.runner] = self.now
            self.first_attempts += decision.number == 1
            self.extra_attempts += decision.number > 1
        elif isinstance(decision, Stop):
            assert decision.timed_out or not open_
            call.on_timeout(self.now) if decision.timed_out else call.give_up(self.now)
            self.calls.remove((call, open_))
        else:
            assert isinstance(decision, Wait)
            assert decision.until > self.now

    @precondition(lambda self: any(open_ for _, open_ in self.calls))
    @rule(index=st.integers(0, 4), answered=st.booleans(), overloaded=st.booleans())
    def attempt_ends(self, index: int, answered: bool, overloaded: bool) -> None:
        busy = [pair for pair in self.calls if pair[1]]
        call, open_ = busy[index % len(busy)]
        runner = next(iter(open_))
        if answered:
            call.on_answer(runner, self.now)
            self.successes += 1
            self.calls.remove((call, open_))
            return
        del open_[runner]
        call.on_failure(runner, self.now, overloaded=overloaded)

    @precondition(lambda self: any(open_ for _, open_ in self.calls))
    @rule(index=st.integers(0, 4))
    def attempt_does_not_reach_its_runner(self, index: int) -> None:
        busy = [pair for pair in self.calls if pair[1]]
        call, open_ = busy[index % len(busy)]
        runner = next(iter(open_))
        del open_[runner]
        call.on_unreached(runner, self.now)

    @rule(name=st.sampled_from(NAMES))
    def leave_or_join(self, name: str) -> None:
        if name in self.live:
            self.live.remove(name)
        else:
            self.live.append(name)

    @rule(seconds=st.sampled_from([0.001, 0.06, 0.7, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def extra_attempts_are_paid_for(self) -> None:
        allowed = RESERVE_TOKENS + FULL_RATIO * self.successes
        assert self.extra_attempts <= allowed + 1e-9

    @invariant()
    def outstanding_is_what_is_open(self) -> None:
        for name in NAMES:
            open_ = sum(name in attempts for _, attempts in self.calls)
            assert self.runners.state(name).outstanding == open_
            assert open_ <= MAX_OUTSTANDING


def test_lookups_are_hedged_within_their_budget() -> None:
    """Guards against hedges that go to a leaving runner, or twice to one runner.

    It also guards against hedges that double the load of runners which are slow because they
    are overloaded. Runners stall, fail, leave and come back while calls run.
    """
    run_machine(
        HedgingMachine,
        settings=settings(
            max_examples=100,
            stateful_step_count=60,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


class EndlessBudget(RetryBudget):
    """Budget without its guard: every extra attempt is allowed."""

    @property
    def allows(self) -> bool:
        return True


class UnpaidMachine(HedgingMachine):
    budget_class = EndlessBudget


class StaleNamesMachine(HedgingMachine):
    """Machine without the guard: a call keeps the list of runners from its start."""

    refreshes_names = False


def every_runner_slow(machine: HedgingMachine) -> None:
    """Make all runners answer later than any hedge delay, as in an overload."""
    for _ in range(40):
        machine.begin()
        for _ in range(3):
            machine.decide(0)
            machine.wait(0.6)
        machine.attempt_ends(0, answered=True, overloaded=False)


def runners_leave_with_hedges_pending(machine: HedgingMachine) -> None:
    """Make two of three runners leave while a call waits for its hedge."""
    machine.begin()
    machine.decide(0)
    first = next(iter(machine.calls[0][1]))
    for name in NAMES:
        if name != first:
            machine.leave_or_join(name)
    for _ in range(4):
        machine.wait(0.06)
        machine.decide(0)


@pytest.mark.parametrize(
    ("story", "guard_off"),
    [
        (every_runner_slow, UnpaidMachine),
        (runners_leave_with_hedges_pending, StaleNamesMachine),
    ],
)
def test_each_guard_is_needed(
    story: Callable[[HedgingMachine], None], guard_off: type[HedgingMachine]
) -> None:
    """Check that the invariants fail without each guard.

    Without budgets hedges double an overload; with a stale list a leaving runner gets calls.
    """

    def play(machine: HedgingMachine) -> None:
        story(machine)
        machine.extra_attempts_are_paid_for()

    play(HedgingMachine())
    with pytest.raises(AssertionError):
        play(guard_off())


def test_a_stalled_runner_is_avoided_and_probed_again() -> None:
    """Guards against a stalled runner that keeps getting calls, or gets none after it recovers."""
    runners = Runners(rng=random.Random(1), max_outstanding=MAX_OUTSTANDING)
    for _ in range(2):
        runners.on_sent("a")
        runners.on_loss("a", now=1.0)
    chosen = {runners.choose(NAMES, now=1.1) for _ in range(50)}
    assert chosen == {"b", "c"}
    assert runners.choose(NAMES, now=9.0) == "a"
    assert "a" not in {runners.choose(NAMES, now=9.1) for _ in range(50)}
    runners.on_sent("a")
    runners.on_answer("a", now=9.2, latency_s=0.01)
    assert "a" in {runners.choose(NAMES, now=9.2) for _ in range(50)}


def test_the_hedge_delay_follows_answer_latencies() -> None:
    delay = HedgeDelay()
    for number in range(SAMPLES_NEEDED * 2):
        delay.on_answer(0.010 + 0.0001 * (number % 10))
    assert 0.010 <= delay.delay_s <= 0.011


def test_overload_reduces_a_budget_and_success_restores_it() -> None:
    budget = RetryBudget()
    for _ in range(5):
        budget.on_overload()
    assert not budget.allows
    assert budget.ratio < FULL_RATIO / 10
    for _ in range(2000):
        budget.on_success()
    assert budget.allows
    assert budget.ratio == pytest.approx(FULL_RATIO)


def test_an_extra_attempt_is_charged_to_all_budgets_or_none() -> None:
    full, empty = RetryBudget(), RetryBudget(tokens=0.5)
    assert not take_extra(full, empty)
    assert full.tokens == RESERVE_TOKENS


@given(seed=st.integers(), base_s=st.floats(2.0, 50.0))
def test_retry_times_of_callers_are_spread(seed: int, base_s: float) -> None:
    come_back = ComeBack(base_s=base_s, rng=random.Random(seed))
    times = [come_back.after_s() for _ in range(60)]
    assert all(0.75 * base_s - 1 <= time <= 1.25 * base_s + 1 for time in times)
    assert all(time >= 1 and time == int(time) for time in times)
    assert len(set(times)) >= 2


def test_an_organisation_without_a_budget_gets_no_extra_attempt() -> None:
    """Guards against an internal error in calls after an operator sets the retry budget to 0."""
    budget = RetryBudget.of_ratio(0.0)
    for _ in range(50):
        budget.on_success()
    budget.on_overload()
    assert not budget.allows


@attrs.define(kw_only=True, eq=False)
class CallOfTwo:
    """Call of a service with two runners and at most two attempts."""

    now: float = 0.0
    runners: Runners = attrs.field(
        factory=lambda: Runners(rng=random.Random(1), max_outstanding=MAX_OUTSTANDING)
    )
    call: HedgedCall = attrs.field(init=False)

    @call.default
    def _make_call(self) -> HedgedCall:
        return HedgedCall(
            live_names=lambda: ("a", "b"),
            runners=self.runners,
            delay=HedgeDelay(),
            budget=RetryBudget(),
            deadline=TIMEOUT_S,
            max_attempts=2,
        )

    def send(self) -> str:
        """Return the runner that an attempt is sent to now."""
        decision = self.call.decide(self.now)
        assert isinstance(decision, Send)
        return decision.runner


def test_an_unreached_runner_is_tried_again_after_another_one_fails() -> None:
    """Guards against a caller that gets one runner's failure while another one may answer.

    The other runner was missed only because a connection was not made in time.
    """
    story = CallOfTwo()
    failing = story.send()
    story.call.on_error(failing)
    other = story.send()
    story.call.on_unreached(other, story.now)
    assert other != failing
    assert story.send() == other


def test_an_unreached_hedge_is_sent_again_after_the_first_attempt_fails() -> None:
    story = CallOfTwo()
    first = story.send()
    story.now += 0.06
    story.call.decide(story.now)
    story.now += 0.06
    other = story.send()
    story.call.on_unreached(other, story.now)
    assert isinstance(story.call.decide(story.now), Wait)
    story.call.on_error(first)
    assert story.send() == other


def test_unreached_attempts_are_not_counted() -> None:
    """Guards against a call that fails because its first two attempts reached no runner."""
    story = CallOfTwo()
    tried = []
    for _ in range(4):
        tried.append(story.send())
        story.call.on_unreached(tried[-1], story.now)
        assert story.call.attempts == 0
    assert sorted(tried) == ["a", "a", "b", "b"]
    assert story.call.decide(story.now) == Stop(sent=False, timed_out=False)
