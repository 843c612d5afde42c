"""The runners of a service: which of them an attempt may go to, by what they have answered.

The load that is answered: a runner that stalls or fails would draw calls for as long as it is
listed; so it is left out, and probed by single calls until it answers again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import attrs

from lagoonlever.decisions.shares.budgets import RetryBudget

TARGET_LATENCY_S = 0.25
"""Answers slower than this mean that a runner has more calls than it should."""
LIMIT_CUT = 0.7

STALLED_AFTER_LOSSES = 2
FIRST_AVOID_S = 0.5
MOST_AVOID_S = 8.0

FAILURE_WEIGHT = 0.15
"""Of the newest answer in a runner's failure rate: five failures of ten show within ten."""
UNSOUND_EXCESS = 0.2
"""A runner that fails this much more often than the best one is passed over."""
SAMPLE_UNSOUND = 0.1
"""The part of repeatable calls that go to an unsound runner all the same, to see it mend."""
NEAR_SLACK = 2
"""Calls that a runner of the same data centre may have more than the least busy one."""


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
    _target_s: float = TARGET_LATENCY_S
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

    def record_restart(self, name: str) -> None:
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
