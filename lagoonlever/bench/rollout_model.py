"""One roll-out in virtual time: arrivals, answers of two versions, and the plan that reads them."""

from __future__ import annotations

import enum
import random
from collections import deque
from collections.abc import Iterator

import attrs

from lagoonlever.decisions.rollouts.evidence import AnswerCounts
from lagoonlever.decisions.rollouts.plan import ExposureBounds, Plan, TrialProgress, plan_rollout
from lagoonlever.decisions.rollouts.totals import Lane, RolloutTotals, VmCounts
from lagoonlever.decisions.rollouts.versions import RolloutOrder, RolloutPhase, RolloutState

TICK_S = 0.1
WORD_S = 0.2
"""Between two words of those who decide."""
NEWS_S = 0.3
"""Until an answer that a VM has seen is known to those who decide."""
AFTER_S = 10.0
"""For which a roll-out is watched on after its deadline."""
STOPS_AFTER_S = 5.0
"""After the 50th bad answer no request may be sent to a bad version later than this."""
BAD_ANSWERS = 50


class Conduct(enum.Enum):
    """How a version behaves."""

    SOUND = "sound"
    FAILS = "fails a part"
    SLOW = "slow in a part"
    FAILS_LATER = "fails a part, from half of the time on"
    FAILS_UNDER_LOAD = "fails a part once all work goes there"
    FAILS_ON_RARE = "fails a part of its rarest route"


@attrs.frozen(kw_only=True)
class RolloutCase:
    """A service, the version that it gets, and what goes on beside it."""

    rates: dict[str, float]
    """Requests a second, by kind."""
    answer_s: float
    duration_s: float
    conduct: Conduct
    part: float = 0.4
    """The share of answers that a bad version spoils."""
    old_fails: float = 0.02
    crashes: bool = False
    """A third of all targets end for a second of every six: their answers are not counted."""
    word_s: float = WORD_S


@attrs.frozen(kw_only=True)
class RolloutRun:
    """What came of it."""

    state: RolloutState
    decided_s: float
    exposed: int
    """Requests that the new version got until the deadline."""
    allowed: float
    after_stop_s: float
    """From the 50th bad answer to the last request sent after it; 0 without either."""


@attrs.frozen(kw_only=True)
class _Answer:
    known_at: float
    lane: Lane
    failed: bool
    seconds: float


@attrs.define(kw_only=True)
class RolloutModel:
    """Plays one case with one seed; all VMs act on one word, as they are told it together."""

    _case: RolloutCase
    _rng: random.Random
    _bounds: ExposureBounds = attrs.field(factory=ExposureBounds)
    _plan: Plan = attrs.field(factory=lambda: Plan(phase=RolloutPhase.HELD))
    _arrivals: dict[str, int] = attrs.field(factory=dict)
    _exposed: int = 0
    _exposed_in_time: int = 0
    _lanes: dict[Lane, AnswerCounts] = attrs.field(factory=dict)
    _book: RolloutTotals = attrs.field(factory=RolloutTotals)
    _underway: deque[_Answer] = attrs.field(factory=deque)
    _bad_at: list[float] = attrs.field(factory=list)
    _last_sent_new: float = 0.0
    _decided_s: float = 0.0

    def run(self) -> RolloutRun:
        """Play until well after the deadline."""
        case = self._case
        order = RolloutOrder(service="s", version="v2", duration_s=case.duration_s)
        self._arrivals = dict.fromkeys(case.rates, 0)
        now, told = 0.0, -1.0
        while now < case.duration_s + AFTER_S:
            if now - told >= case.word_s and not self._plan.state.is_final:
                told = now
                self._plan = plan_rollout(order, self._progress(now), self._bounds)
                self._decided_s = now if self._plan.state.is_final else 0.0
            for kind in self._arriving():
                self._arrive(kind, now)
            now += TICK_S
        total = sum(case.rates.values()) * case.duration_s
        return RolloutRun(
            state=self._plan.state,
            decided_s=self._decided_s,
            exposed=self._exposed_in_time,
            allowed=self._bounds.share * total + self._bounds.slack,
            after_stop_s=self._after_stop(),
        )

    def _progress(self, now: float) -> TrialProgress:
        waiting = deque[_Answer]()
        for answer in self._underway:
            if answer.known_at > now:
                waiting.append(answer)
                continue
            counts = self._lanes.get(answer.lane, AnswerCounts())
            self._lanes[answer.lane] = (
                counts.with_failure() if answer.failed else counts.with_answer(answer.seconds)
            )
        self._underway = waiting
        told = VmCounts(
            lanes=dict(self._lanes), arrivals=dict(self._arrivals), exposed=self._exposed
        )
        self._book.record_vm_counts("all", told, elapsed_s=now)
        return self._book.progress(elapsed_s=now, is_moving=self._plan.phase is RolloutPhase.MOVING)

    def _arriving(self) -> Iterator[str]:
        for kind, rate in self._case.rates.items():
            expected = rate * TICK_S
            count = int(expected) + (self._rng.random() < expected % 1)
            yield from (kind for _ in range(count))

    def _arrive(self, kind: str, now: float) -> None:
        self._arrivals[kind] += 1
        is_new = self._goes_to_new(kind)
        if is_new:
            self._exposed += 1
            self._exposed_in_time += now < self._case.duration_s - TICK_S / 2
            self._last_sent_new = now
        failed, seconds = self._answer(kind, now, is_new=is_new)
        if is_new and (failed or seconds > 2 * self._case.answer_s):
            self._bad_at.append(now + seconds)
        if self._case.crashes and now % 6.0 < 1.0 and self._rng.random() < 0.33:
            return
        self._underway.append(
            _Answer(
                known_at=now + seconds + NEWS_S,
                lane=(kind, self._plan.phase if is_new else None),
                failed=failed,
                seconds=seconds,
            )
        )

    def _goes_to_new(self, kind: str) -> bool:
        if self._plan.state is RolloutState.COMPLETED or self._plan.phase is RolloutPhase.MOVING:
            return True
        if self._plan.phase is not RolloutPhase.TRIAL:
            return False
        return self._rng.random() < self._plan.shares.get(kind, 0.0)

    def _answer(self, kind: str, now: float, *, is_new: bool) -> tuple[bool, float]:
        case, rng = self._case, self._rng
        seconds = case.answer_s * rng.lognormvariate(0.0, 0.25)
        failed = rng.random() < case.old_fails
        if not is_new or not self._spoils(kind, now) or rng.random() >= case.part:
            return failed, seconds
        if case.conduct is Conduct.SLOW:
            return failed, seconds * 4.0
        return True, seconds

    def _spoils(self, kind: str, now: float) -> bool:
        case = self._case
        if case.conduct is Conduct.FAILS_LATER:
            return now > case.duration_s / 2
        if case.conduct is Conduct.FAILS_UNDER_LOAD:
            return self._plan.phase is RolloutPhase.MOVING
        if case.conduct is Conduct.FAILS_ON_RARE:
            return kind == min(case.rates, key=lambda name: case.rates[name])
        return case.conduct is not Conduct.SOUND

    def _after_stop(self) -> float:
        bad = sorted(self._bad_at)
        if self._case.conduct is Conduct.SOUND or len(bad) < BAD_ANSWERS:
            return 0.0
        return max(0.0, self._last_sent_new - bad[BAD_ANSWERS - 1])
