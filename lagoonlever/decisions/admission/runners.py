"""Choice of the runner of a service that an attempt goes to, by the runners' former answers.

A runner that stalls or fails would attract calls for as long as it is listed. So such a runner is
avoided, and probed by single calls until it answers again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import attrs

from lagoonlever.decisions.shares.budgets import RetryBudget

TARGET_LATENCY_S = 0.25
"""Slower answers mean that a runner has more calls than it should; its limit is lowered."""
LIMIT_DECREASE_FACTOR = 0.7
"""A runner's limit of calls is multiplied by this when its answers are too slow or fail."""

STALLED_AFTER_LOSSES = 2
"""A runner that lost this many calls in a row counts as stalled and is avoided."""
INITIAL_AVOID_S = 0.5
"""Time after which a stalled runner is probed; it doubles up to ``MAX_AVOID_S``."""
MAX_AVOID_S = 8.0

FAILURE_WEIGHT = 0.15
"""Weight of the latest answer in the failure rate.

If half of a runner's answers fail, its rate is about 0.4 after ten answers.
"""
UNHEALTHY_FAILURE_EXCESS = 0.2
"""A runner whose failure rate exceeds the best one's by more than this is unhealthy."""
UNHEALTHY_SAMPLE_SHARE = 0.1
"""Share of repeatable calls that may go to an unhealthy runner, to notice its recovery."""
LOCAL_PREFERENCE_CALLS = 2
"""A runner of the same data centre may have this many calls more than the least busy one."""


@attrs.define(kw_only=True)
class RunnerState:
    """State of one runner, as this VM has measured it."""

    limit: float
    """Maximum number of outstanding calls; adapts to the latency of answers."""
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    outstanding: int = 0
    limit_cut_at: float = float("-inf")
    losses: int = 0
    """Calls lost since the last answer."""
    failure_rate: float = 0.0
    """Moving average of lost answers and of failures of the runner itself, from 0 to 1."""
    avoid_s: float = INITIAL_AVOID_S
    avoid_until: float = 0.0

    @property
    def stalled(self) -> bool:
        """Whether the runner has left several attempts unanswered and answered none since."""
        return self.losses >= STALLED_AFTER_LOSSES

    def record_outcome(self, *, failed: bool) -> None:
        """Count an answer, or a missing one, in the failure rate."""
        self.failure_rate += FAILURE_WEIGHT * (float(failed) - self.failure_rate)


@attrs.define(kw_only=True)
class Runners:
    """States of the runners of a service by name; chooses by outstanding calls, avoids stalled.

    A stalled runner is probed by one real call at a time, at growing intervals;
    that call is hedged like any other, so its caller waits the hedge delay.
    """

    _rng: random.Random
    _max_outstanding: int
    _target_s: float = TARGET_LATENCY_S
    _new_budget: Callable[[], RetryBudget] = RetryBudget
    _states: dict[str, RunnerState] = attrs.field(factory=dict)

    def state(self, name: str) -> RunnerState:
        """Return the state of a runner; a new one for a runner that is not known yet."""
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
        """Choose a runner for an attempt, or None if each is stalled or full.

        Only a first attempt may ``probe`` a stalled runner. A hedge goes where an answer is
        likely, and so does a call that runs at most once. Runners that are ``near`` are
        preferred while they are hardly busier than others.
        """
        free = [name for name in names if self._has_capacity(name)]
        stalled = [name for name in free if self.state(name).stalled]
        due = [name for name in stalled if self._probe_due(name, now)]
        if probe and due:
            self._postpone_probe(due[0], now)
            return due[0]
        responsive = [name for name in free if name not in stalled]
        healthy = self._healthy(responsive, sample=probe)
        return self._choose_near(healthy, near) or self._choose_less_busy(
            healthy or (stalled if probe else [])
        )

    def retain(self, names: Iterable[str]) -> None:
        """Keep only the states of these runners."""
        known = set(names)
        for name in [name for name in self._states if name not in known]:
            del self._states[name]

    def record_restart(self, name: str) -> None:
        """Discard what was measured of a runner, as a new process has taken over its id.

        The outstanding calls stay counted: the end of each is still recorded and subtracted.
        """
        former = self._states.pop(name, None)
        if former is not None:
            self.state(name).outstanding = former.outstanding

    def on_sent(self, name: str) -> None:
        """Count an attempt that is on its way."""
        self.state(name).outstanding += 1

    def on_unsent(self, name: str) -> None:
        """Remove an attempt that was not sent, or given up, through no fault of the runner."""
        state = self.state(name)
        state.outstanding = max(0, state.outstanding - 1)

    def on_answer(self, name: str, *, now: float, latency_s: float) -> None:
        """Record a complete answer: the runner is responsive, and healthy if it was in time.

        An answer slower than the target latency means that calls queue at the runner. Its limit
        is then lowered, so that calls which would only lengthen that queue are rejected at once.
        """
        state = self.state(name)
        if latency_s > self._target_s:
            self._lower_limit(state, now)
        else:
            state.limit = min(self._max_outstanding, state.limit + 1.0 / state.limit)
        state.outstanding = max(0, state.outstanding - 1)
        state.losses = 0
        state.avoid_s = INITIAL_AVOID_S
        state.avoid_until = 0.0
        state.record_outcome(failed=False)
        state.budget.on_success()

    def on_error(self, name: str) -> None:
        """Record an answer that reports the runner's own failure: reachable, but unhealthy."""
        state = self.state(name)
        state.outstanding = max(0, state.outstanding - 1)
        state.losses = 0
        state.record_outcome(failed=True)

    def on_failure(self, name: str, *, now: float) -> None:
        """Record an attempt whose connection broke, or that was refused or timed out."""
        state = self.state(name)
        state.budget.on_overload()
        self._lower_limit(state, now)
        self.on_loss(name, now=now)

    def on_loss(self, name: str, *, now: float) -> None:
        """Record an attempt without an answer: it failed, or was given up.

        When ``STALLED_AFTER_LOSSES`` of them follow each other, the runner counts as stalled and
        is avoided for ``avoid_s`` seconds.
        """
        state = self.state(name)
        state.outstanding = max(0, state.outstanding - 1)
        state.losses += 1
        state.record_outcome(failed=True)
        if state.losses == STALLED_AFTER_LOSSES:
            state.avoid_until = now + state.avoid_s

    def _has_capacity(self, name: str) -> bool:
        state = self.state(name)
        return state.outstanding < int(state.limit)

    def _lower_limit(self, state: RunnerState, now: float) -> None:
        """Lower the limit of calls; at most once per target latency.

        The calls that are open at that time all show the same overload.
        """
        if now - state.limit_cut_at < self._target_s:
            return
        state.limit_cut_at = now
        state.limit = max(1.0, state.limit * LIMIT_DECREASE_FACTOR)

    def _probe_due(self, name: str, now: float) -> bool:
        state = self.state(name)
        return now >= state.avoid_until and state.outstanding == 0

    def _postpone_probe(self, name: str, now: float) -> None:
        state = self.state(name)
        state.avoid_s = min(MAX_AVOID_S, state.avoid_s * 2)
        state.avoid_until = now + state.avoid_s

    def _healthy(self, names: list[str], *, sample: bool) -> list[str]:
        """Leave out runners that fail far more often than the best one.

        With ``sample``, a random share of calls may go to any runner, to notice a recovery.
        """
        if not names or (sample and self._rng.random() < UNHEALTHY_SAMPLE_SHARE):
            return names
        lowest = min(self.state(name).failure_rate for name in names)
        return [n for n in names if self.state(n).failure_rate <= lowest + UNHEALTHY_FAILURE_EXCESS]

    def _choose_near(self, names: list[str], near: frozenset[str]) -> str | None:
        """Return the least busy near runner, or None if it is much busier than another."""
        local = [name for name in names if name in near]
        if not local:
            return None
        best = min(local, key=lambda name: self.state(name).outstanding)
        lowest = min(self.state(name).outstanding for name in names)
        return best if self.state(best).outstanding <= lowest + LOCAL_PREFERENCE_CALLS else None

    def _choose_less_busy(self, names: list[str]) -> str | None:
        """Return the less busy of two random runners, or None if there is none.

        The least busy of all would attract the calls of all VMs at once.
        """
        if not names:
            return None
        pair = self._rng.sample(names, min(2, len(names)))
        return min(pair, key=lambda name: self.state(name).outstanding)
