"""Idempotent calls: which runner to ask, when to ask a second one, when to stop asking.

A hedge is sent after a delay learnt from answers, and paid for out of the
budgets of the organisation and of the runner that it goes to.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.shares.budgets import RetryBudget, take_extra

HEDGE_QUANTILE = 0.95
LEAST_DELAY_S = 0.005
MOST_DELAY_S = 1.0
FIRST_DELAY_S = 0.05
"""Until enough answers have been seen."""
SAMPLES = 256
SAMPLES_NEEDED = 16
SORT_EVERY = 16

MAX_ATTEMPTS = 3
MOST_UNREACHED = 4
"""Attempts of one call that reach no runner, before its caller is told."""
TRIES_TO_REACH = 2
"""Of one runner by one call: a connection may be late because this process was."""
LATE_TURN_S = 0.005
RECHECK_S = 0.05
"""A call that waits while the budget is empty looks again after this time."""


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
