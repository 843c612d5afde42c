"""Attempts of an idempotent call: which runner to call, when to send a hedge, when to stop.

A hedge is a second attempt sent while the first is still open. It is sent after a delay derived
from the latencies of answers, and is paid for from the retry budgets of the organisation and of
the runner that it goes to, so that hedges can't multiply an overload.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.shares.budgets import RetryBudget, take_extra

HEDGE_QUANTILE = 0.95
"""The hedge delay is this quantile of the answers' latencies, within the two bounds below."""
MIN_DELAY_S = 0.005
MAX_DELAY_S = 1.0
INITIAL_DELAY_S = 0.05
"""Hedge delay until ``SAMPLES_NEEDED`` answers have been measured."""
SAMPLES = 256
SAMPLES_NEEDED = 16
SORT_EVERY = 16
"""The delay is computed again after this many answers, as it sorts all samples."""

MAX_ATTEMPTS = 3
MAX_UNREACHED = 4
"""A call fails after this many attempts that reached no runner."""
MAX_CONNECTION_TRIES = 2
"""Attempts of one call to reach one runner: a connection may time out as this process was late."""
LATE_PROCESS_S = 0.005
"""A hedge that is overdue by more than this shows that this process itself ran late."""
RECHECK_S = 0.05
"""Delay before a call looks again for a hedge that was due while budget or runner was missing."""


@attrs.define(kw_only=True)
class HedgeDelay:
    """Hedge delay in seconds: a high quantile of the last ``SAMPLES`` answers' latencies."""

    _latencies: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLES))
    _delay_s: float = INITIAL_DELAY_S
    _unsorted: int = 0
    """Answers since the delay was last computed."""

    @property
    def delay_s(self) -> float:
        """The seconds after which a hedge is worth its cost."""
        return self._delay_s

    def on_answer(self, latency_s: float) -> None:
        """Record the latency of an answer, measured from the sending of its own attempt.

        Attempts that were given up must not be recorded: with them a stalled runner
        would raise the delay for all calls, until nothing is hedged any more.
        """
        self._latencies.append(latency_s)
        self._unsorted += 1
        if len(self._latencies) < SAMPLES_NEEDED or self._unsorted < SORT_EVERY:
            return
        self._unsorted = 0
        ordered = sorted(self._latencies)
        quantile = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]
        self._delay_s = min(MAX_DELAY_S, max(MIN_DELAY_S, quantile))


@dataclass(frozen=True, kw_only=True)
class Send:
    """Decision to send attempt ``number`` (from 1) to this runner now."""

    runner: str
    number: int


@dataclass(frozen=True, kw_only=True)
class Wait:
    """Decision to wait for an event until this time (monotonic seconds), then decide again."""

    until: float


@dataclass(frozen=True, kw_only=True)
class Stop:
    """Decision to end the call without an answer; ``sent`` tells whether any attempt was sent."""

    sent: bool
    timed_out: bool


CallDecision = Send | Wait | Stop
LiveNames = Callable[[], tuple[str, ...]]


@attrs.define(kw_only=True)
class HedgedCall:
    """Attempts of one idempotent call, and the decision on its next step.

    ``live_names`` is called at each decision, so that a pending hedge goes elsewhere
    if its runner has begun to leave.

    An attempt that reached no runner does not count as an attempt of the call. It is sent to
    another runner, and to the same one again only if no other is left.
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
    """Runners at which an attempt is open."""
    _unreached: Counter[str] = attrs.field(factory=Counter)
    """Number of attempts that did not reach their runner, by runner."""
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
        return self.attempts < self._max_attempts and self._unreached.total() < MAX_UNREACHED

    def wants_extra(self, now: float) -> bool:
        """Check whether an attempt after the first is due, provided that a runner is available."""
        if not self.tried or not self._may_send or now >= self._deadline:
            return False
        return not self._open or (self._hedge and now >= self._hedge_at)

    def decide(self, now: float) -> CallDecision:
        """Decide the next step; the attempt of a returned ``Send`` counts as sent."""
        if now >= self._deadline:
            return Stop(sent=self.attempts > 0, timed_out=True)
        if not self._sent_at:
            return self._decide_first(now)
        if self._open and not self._hedge_due(now):
            return Wait(until=min(self._hedge_at, self._deadline))
        extra = self._decide_extra(now)
        if extra is not None:
            return extra
        if not self._open:
            return Stop(sent=True, timed_out=False)
        self._hedge_at = now + RECHECK_S
        return Wait(until=min(self._hedge_at, self._deadline))

    def on_answer(self, runner: str, now: float) -> None:
        """Record a complete answer, which ends the call, and give up its other attempts."""
        self._open.discard(runner)
        latency_s = now - self._sent_at[runner]
        self._runners.on_answer(runner, now=now, latency_s=latency_s)
        self._delay.on_answer(latency_s)
        self._budget.on_success()
        self.give_up(now)

    def on_failure(self, runner: str, now: float, *, overloaded: bool) -> None:
        """Record a failed attempt; a refusal because of load reduces the budget."""
        self._open.discard(runner)
        self._runners.on_failure(runner, now=now)
        if overloaded:
            self._budget.on_overload()

    def on_unsent(self, runner: str) -> None:
        """Remove an attempt that was not sent, as its runner accepts no more calls for now.

        The runner counts as untried, so it may be chosen again while ``live_names`` returns it.
        What a hedge or retry took from the retry budgets is not given back.
        """
        self._open.discard(runner)
        del self._sent_at[runner]
        self._runners.on_unsent(runner)

    def on_unreached(self, runner: str, now: float) -> None:
        """Remove an attempt that did not reach its runner, and count that runner as failed."""
        self._open.discard(runner)
        del self._sent_at[runner]
        self._unreached[runner] += 1
        self._runners.on_failure(runner, now=now)

    def on_error(self, runner: str) -> None:
        """Record an answer that reports the runner's own failure; another runner may succeed."""
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
        """Record that the deadline passed without an answer, which counts as overload."""
        self._budget.on_overload()
        for runner in self._open:
            self._runners.on_failure(runner, now=now)
        self._open.clear()

    def _hedge_due(self, now: float) -> bool:
        """Check whether a hedge is due; postpone it once if this process itself ran late.

        A process that is scheduled late finds every call late, while the answers wait in its
        sockets. Hedging them all would double the load just when there is no time for it. Each
        call is postponed only once: otherwise a process that always runs a little late would
        never hedge.
        """
        if now - self._hedge_at > LATE_PROCESS_S and not self._postponed:
            self._postponed = True
            self._hedge_at = now + self._delay.delay_s
        return now >= self._hedge_at

    def _decide_first(self, now: float) -> CallDecision:
        runner = self._choose(now, probe=True) if self._may_send else None
        if runner is None:
            return Stop(sent=False, timed_out=False)
        return self._send(runner, now)

    def _decide_extra(self, now: float) -> Send | None:
        """Return a retry or hedge to send; None without a runner, or if a budget is empty."""
        if not self._may_send or (self._open and not self._hedge):
            return None
        runner = self._choose(now, probe=False)
        if runner is None:
            return None
        if not take_extra(self._budget, self._runners.state(runner).budget):
            return None
        return self._send(runner, now)

    def _choose(self, now: float, *, probe: bool) -> str | None:
        """Choose an untried runner; an unreached one again only if no other one is left."""
        live = self._live_names()
        others = [name for name in live if name not in self.tried]
        chosen = self._runners.choose(others, now=now, probe=probe, near=self._near)
        if chosen is not None:
            return chosen
        again = [name for name in live if 0 < self._unreached[name] < MAX_CONNECTION_TRIES]
        again = [name for name in again if name not in self._sent_at]
        return self._runners.choose(again, now=now, probe=probe, near=self._near)

    def _send(self, runner: str, now: float) -> Send:
        """Record an attempt as sent, and set the time of the next hedge.

        Each further attempt of a call waits one hedge delay longer.
        """
        self._sent_at[runner] = now
        self._open.add(runner)
        self._hedge_at = now + self._delay.delay_s * len(self._sent_at)
        self._runners.on_sent(runner)
        return Send(runner=runner, number=len(self._sent_at))
