"""Idempotent calls: which runner to ask, when to ask a second one, when to stop asking.

A hedge is sent after a delay learnt from answers, and paid for out of the
budgets of the organisation and of the runner that it goes to.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.shares.budgets import RetryBudget, take_extra

HEDGE_QUANTILE = 0.95
LEAST_DELAY_S = 0.005
MOST_DELAY_S = 1.0
FIRST_DELAY_S = 0.05
"""Until enough answers have been seen."""
SAMPLES = 256
SAMPLES_NEEDED = 16
SORT_EVERY = 16

TARGET_S = 0.25
"""Answers slower than this mean that a runner has more calls than it should."""
LIMIT_CUT = 0.7

STALLED_AFTER_LOSSES = 2
FIRST_AVOID_S = 0.5
MOST_AVOID_S = 8.0
MAX_ATTEMPTS = 3
MOST_UNREACHED = 4
"""Attempts of one call that reach no runner, before its caller is told."""
TRIES_TO_REACH = 2
"""Of one runner by one call: a connection may be late because this process was."""
LATE_TURN_S = 0.005
RECHECK_S = 0.05
"""A call that waits while the budget is empty looks again after this time."""

FAILURE_WEIGHT = 0.15
"""Of the newest answer in a runner's failure rate: five failures of ten show within ten."""
UNSOUND_EXCESS = 0.2
"""A runner that fails this much more often than the best one is passed over."""
SAMPLE_UNSOUND = 0.1
"""The part of repeatable calls that go to an unsound runner all the same, to see it mend."""
NEAR_SLACK = 2
"""Calls that a runner of the same data centre may have more than the least busy one."""


@attrs.define(kw_only=True)
class HedgeDelay:
    """How long answers take, learnt from the last ``SAMPLES`` of them."""

    _latencies: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES))
    _delay_s: float = FIRST_DELAY_S
    _unsorted: int = 0

    @property
    def delay_s(self) -> float:
        """The seconds after which a hedge is worth its cost."""
        return self._delay_s

    def on_answer(self, latency_s: float) -> None:
        """Learn from an answer's time since its own attempt was sent.

        Attempts that were given up are no samples: with them a stalled runner
        would push the delay up for all, until nothing is hedged any more.
        """
        self._latencies.append(latency_s)
        self._unsorted += 1
        if len(self._latencies) < SAMPLES_NEEDED or self._unsorted < SORT_EVERY:
            return
        self._unsorted = 0
        ordered = sorted(self._latencies)
        learnt = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]
        self._delay_s = min(MOST_DELAY_S, max(LEAST_DELAY_S, learnt))


@attrs.define(kw_only=True)
class RunnerState:
    """What this VM has learnt of one runner."""

    limit: float
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    outstanding: int = 0
    limit_cut_at: float = float("-inf")
    losses: int = 0
    failure_rate: float = 0.0
    """Of late: lost answers, and failures of the runner's own."""
    avoid_s: float = FIRST_AVOID_S
    avoid_until: float = 0.0

    @property
    def stalled(self) -> bool:
        """Whether the runner has let several attempts wait and answered none since."""
        return self.losses >= STALLED_AFTER_LOSSES

    def note(self, *, failed: bool) -> None:
        """Take an answer, or the lack of one, into the failure rate."""
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)


@attrs.define(kw_only=True)
class Runners:
    """The runners of a service by name: chosen by what is outstanding, stalled ones avoided.

    A stalled runner is probed by one real call at a time, at growing intervals;
    that call is hedged like any other, so its caller waits the hedge delay.
    """

    _rng: random.Random
    _max_outstanding: int
    _target_s: float = TARGET_S
    _new_budget: Callable[[], RetryBudget] = RetryBudget
    _states: dict[str, RunnerState] = attrs.field(factory=dict)

    def state(self, name: str) -> RunnerState:
        """Give what is known of a runner."""
        if name not in self._states:
            self._states[name] = RunnerState(limit=self._max_outstanding, budget=self._new_budget())
        return self._states[name]

    def choose(
        self,
        names: Iterable[str],
        *,
        now: float,
        probe: bool = True,
        near: frozenset[str] = frozenset(),
    ) -> str | None:
        """Choose a runner for an attempt, or None when each is stalled or full.

        Only a first attempt may ``probe``; a hedge goes where an answer is likely, and
        so does a call that runs at most once. Runners that are ``near`` go first while
        they are hardly busier.
        """
        free = [name for name in names if self._has_room(name)]
        stalled = [name for name in free if self.state(name).stalled]
        due = [name for name in stalled if self._probe_due(name, now)]
        if probe and due:
            self._postpone_probe(due[0], now)
            return due[0]
        healthy = [name for name in free if name not in stalled]
        sound = self._sound(healthy, sample=probe)
        return self._nearest(sound, near) or self._less_busy(sound or (stalled if probe else []))

    def retain(self, names: Iterable[str]) -> None:
        """Forget runners that are gone."""
        known = set(names)
        for name in [name for name in self._states if name not in known]:
            del self._states[name]

    def started_again(self, name: str) -> None:
        """Note that another process has a runner's id: what was learnt of it is void."""
        former = self._states.pop(name, None)
        if former is not None:
            self.state(name).outstanding = former.outstanding

    def on_sent(self, name: str) -> None:
        """Note an attempt on its way."""
        self.state(name).outstanding += 1

    def on_unsent(self, name: str) -> None:
        """Note that an attempt was not sent, through no fault of the runner."""
        state = self.state(name)
        state.outstanding = max(0, state.outstanding - 1)

    def on_answer(self, name: str, *, now: float, latency_s: float) -> None:
        """Note a whole answer: the runner is well, if it was in time.

        Answers that take longer than the target mean a queue at the runner.
        Calls that would only lengthen it are refused at once instead.
        """
        state = self.state(name)
        if latency_s > self._target_s:
            self._cut_limit(state, now)
        else:
            state.limit = min(self._max_outstanding, state.limit + 1.0 / state.limit)
        state.outstanding = max(0, state.outstanding - 1)
        state.losses = 0
        state.avoid_s = FIRST_AVOID_S
        state.avoid_until = 0.0
        state.note(failed=False)
        state.budget.on_success()

    def on_error(self, name: str) -> None:
        """Note an answer that tells of the runner's own failure: it is there, and not well."""
        state = self.state(name)
        state.outstanding = max(0, state.outstanding - 1)
        state.losses = 0
        state.note(failed=True)

    def on_failure(self, name: str, *, now: float) -> None:
        """Note an attempt that was broken, refused, or not answered in its time."""
        state = self.state(name)
        state.budget.on_overload()
        self._cut_limit(state, now)
        self.on_loss(name, now=now)

    def on_loss(self, name: str, *, now: float) -> None:
        """Note an attempt given up because another runner was faster, or time was over."""
        state = self.state(name)
        state.outstanding = max(0, state.outstanding - 1)
        state.losses += 1
        state.note(failed=True)
        if state.losses == STALLED_AFTER_LOSSES:
            state.avoid_until = now + state.avoid_s

    def _has_room(self, name: str) -> bool:
        state = self.state(name)
        return state.outstanding < int(state.limit)

    def _cut_limit(self, state: RunnerState, now: float) -> None:
        """Allow fewer calls; once in ``target_s``, as the calls now open tell the same story."""
        if now - state.limit_cut_at < self._target_s:
            return
        state.limit_cut_at = now
        state.limit = max(1.0, state.limit * LIMIT_CUT)

    def _probe_due(self, name: str, now: float) -> bool:
        state = self.state(name)
        return now >= state.avoid_until and state.outstanding == 0

    def _postpone_probe(self, name: str, now: float) -> None:
        state = self.state(name)
        state.avoid_s = min(MOST_AVOID_S, state.avoid_s * 2)
        state.avoid_until = now + state.avoid_s

    def _sound(self, names: list[str], *, sample: bool) -> list[str]:
        """Leave out runners that fail far more often than the best one."""
        if not names or (sample and self._rng.random() < SAMPLE_UNSOUND):
            return names
        least = min(self.state(name).failure_rate for name in names)
        return [n for n in names if self.state(n).failure_rate <= least + UNSOUND_EXCESS]

    def _nearest(self, names: list[str], near: frozenset[str]) -> str | None:
        """Give the least busy near runner, unless it is much busier than another."""
        close = [name for name in names if name in near]
        if not close:
            return None
        best = min(close, key=lambda name: self.state(name).outstanding)
        least = min(self.state(name).outstanding for name in names)
        return best if self.state(best).outstanding <= least + NEAR_SLACK else None

    def _less_busy(self, names: list[str]) -> str | None:
        """Take the less busy of two: the least busy of all would draw every VM at once."""
        if not names:
            return None
        pair = self._rng.sample(names, min(2, len(names)))
        return min(pair, key=lambda name: self.state(name).outstanding)


@dataclass(frozen=True, kw_only=True)
class Send:
    """Send an attempt to this runner now."""

    runner: str
    number: int


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Wait for news until this time, then ask again."""

    until: float


@dataclass(frozen=True, kw_only=True)
class Stop:
    """No answer is to be had; ``sent`` says whether any attempt was sent."""

    sent: bool
    timed_out: bool


CallDecision = Send | Wait | Stop
LiveNames = Callable[[], tuple[str, ...]]


@attrs.define(kw_only=True)
class HedgedCall:
    """One idempotent call: its attempts, and what to do next.

    ``live_names`` is asked at each decision, so that a hedge that was pending
    when its runner began to leave goes elsewhere.

    An attempt that reached no runner is none of the call's attempts. It goes to another
    runner, and to the same one again only where no other is left.
    """

    _live_names: LiveNames
    _runners: Runners
    _delay: HedgeDelay
    _budget: RetryBudget
    _deadline: float
    _hedge: bool = True
    _max_attempts: int = MAX_ATTEMPTS
    _near: frozenset[str] = frozenset()
    _sent_at: dict[str, float] = attrs.field(factory=dict)
    _open: set[str] = attrs.field(factory=set)
    _unreached: Counter[str] = attrs.field(factory=Counter)
    """Runners that an attempt did not reach, with how many did not."""
    _hedge_at: float = 0.0
    _postponed: bool = False

    @property
    def attempts(self) -> int:
        """The number of attempts that reached a runner or are on their way."""
        return len(self._sent_at)

    @property
    def has_open(self) -> bool:
        """Whether an attempt is on its way."""
        return bool(self._open)

    @property
    def tried(self) -> tuple[str, ...]:
        """The runners that an attempt was sent to, whether it reached them or not."""
        return (*self._sent_at, *(name for name in self._unreached if name not in self._sent_at))

    @property
    def _may_send(self) -> bool:
        """Whether the call may have one more attempt."""
        return self.attempts < self._max_attempts and self._unreached.total() < MOST_UNREACHED

    def wants_extra(self, now: float) -> bool:
        """Tell whether an attempt after the first is due, if there is a runner for it."""
        if not self.tried or not self._may_send or now >= self._deadline:
            return False
        return not self._open or (self._hedge and now >= self._hedge_at)

    def decide(self, now: float) -> CallDecision:
        """Give the next step; a ``Send`` counts as sent."""
        if now >= self._deadline:
            return Stop(sent=self.attempts > 0, timed_out=True)
        if not self._sent_at:
            return self._first(now)
        if self._open and not self._due(now):
            return Wait(until=min(self._hedge_at, self._deadline))
        extra = self._extra(now)
        if extra is not None:
            return extra
        if not self._open:
            return Stop(sent=True, timed_out=False)
        self._hedge_at = now + RECHECK_S
        return Wait(until=min(self._hedge_at, self._deadline))

    def on_answer(self, runner: str, now: float) -> None:
        """Take a whole answer: the call is over, other attempts are given up."""
        self._open.discard(runner)
        latency_s = now - self._sent_at[runner]
        self._runners.on_answer(runner, now=now, latency_s=latency_s)
        self._delay.on_answer(latency_s)
        self._budget.on_success()
        self.give_up(now)

    def on_failure(self, runner: str, now: float, *, overloaded: bool) -> None:
        """Take the failure of an attempt; a refusal for load shrinks the budget."""
        self._open.discard(runner)
        self._runners.on_failure(runner, now=now)
        if overloaded:
            self._budget.on_overload()

    def on_unsent(self, runner: str) -> None:
        """Take back an attempt that was not sent, as its runner takes no more for now."""
        self._open.discard(runner)
        del self._sent_at[runner]
        self._runners.on_unsent(runner)

    def on_unreached(self, runner: str, now: float) -> None:
        """Take back an attempt that did not reach its runner."""
        self._open.discard(runner)
        del self._sent_at[runner]
        self._unreached[runner] += 1
        self._runners.on_failure(runner, now=now)

    def on_error(self, runner: str) -> None:
        """Take an answer that tells of a failure of the runner: another one may do better."""
        self._open.discard(runner)
        self._runners.on_error(runner)

    def give_up(self, now: float) -> None:
        """End the attempts that are still open; those older than the delay count as losses."""
        for runner in self._open:
            if now - self._sent_at[runner] >= self._delay.delay_s:
                self._runners.on_loss(runner, now=now)
            else:
                self._runners.on_unsent(runner)
        self._open.clear()

    def on_timeout(self, now: float) -> None:
        """Note that the deadline passed without an answer: a sign of overload."""
        self._budget.on_overload()
        for runner in self._open:
            self._runners.on_failure(runner, now=now)
        self._open.clear()

    def _due(self, now: float) -> bool:
        """Tell whether a hedge is due; once more later if this process was late itself.

        A process that gets its turn late finds every call late, with the
        answers waiting in its sockets. Hedging them all would double the load
        just when there is no time for it. Only once a call, or a process that
        is always a little late would never hedge.
        """
        if now - self._hedge_at > LATE_TURN_S and not self._postponed:
            self._postponed = True
            self._hedge_at = now + self._delay.delay_s
        return now >= self._hedge_at

    def _first(self, now: float) -> CallDecision:
        runner = self._choose(now, probe=True) if self._may_send else None
        if runner is None:
            return Stop(sent=False, timed_out=False)
        return self._send(runner, now)

    def _extra(self, now: float) -> Send | None:
        if not self._may_send or (self._open and not self._hedge):
            return None
        runner = self._choose(now, probe=False)
        if runner is None:
            return None
        if not take_extra(self._budget, self._runners.state(runner).budget):
            return None
        return self._send(runner, now)

    def _choose(self, now: float, *, probe: bool) -> str | None:
        """Choose a runner that was not tried; one that was not reached only if nothing is open."""
        live = self._live_names()
        others = [name for name in live if name not in self.tried]
        chosen = self._runners.choose(others, now=now, probe=probe, near=self._near)
        if chosen is not None or self._open:
            return chosen
        again = [name for name in live if 0 < self._unreached[name] < TRIES_TO_REACH]
        again = [name for name in again if name not in self._sent_at]
        return self._runners.choose(again, now=now, probe=probe, near=self._near)

    def _send(self, runner: str, now: float) -> Send:
        self._sent_at[runner] = now
        self._open.add(runner)
        self._hedge_at = now + self._delay.delay_s * len(self._sent_at)
        self._runners.on_sent(runner)
        return Send(runner=runner, number=len(self._sent_at))
