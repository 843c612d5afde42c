"""Which ranks a full queue of calls serves: two runners, more calls than they can do."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlever.decisions.admission.call_queue import CallEnd, CallQueue
from lagoonlever.decisions.admission.capacity import (
    CapacityGranted,
    CapacityOutcome,
    RejectedWithRetryAfter,
)
from lagoonlever.decisions.admission.rank_shares import KEPT_SHARE, RankShares
from lagoonlever.soak.served import LEAST_ASKED, LEAST_SHARE
from lagoonlever.tests.call_queue_tests import load_report, slot_request

RUNNERS, SLOTS = ("a", "b"), 6
WORK_S = 0.1
"""So that the runners do 120 calls a second."""
SECONDS = 12.0
TICK_S = 0.01
TRIES = 2


@attrs.frozen(kw_only=True, order=True)
class Arrival:
    """A try of a caller; a second one comes when the refusal of the first one says."""

    at: float
    number: int
    rank: int
    turn: int = 0

    @property
    def name(self) -> str:
        return f"r{self.number}-{self.turn}"


@attrs.define(kw_only=True, eq=False)
class Replay:
    """Calls of some ranks at one queue, in virtual time."""

    per_s: dict[int, float]
    seconds: float = SECONDS
    queue: CallQueue = attrs.field(factory=CallQueue)
    asked: Counter[int] = attrs.field(factory=Counter)
    served: Counter[int] = attrs.field(factory=Counter)
    _coming: list[Arrival] = attrs.field(factory=list)
    _ends: list[tuple[float, str, str]] = attrs.field(factory=list)
    _tries: dict[str, Arrival] = attrs.field(factory=dict)

    def run(self) -> None:
        """Play all calls until the last is over."""
        self._draw()
        self.queue.retain(dict.fromkeys(RUNNERS, "dc"))
        for name in RUNNERS:
            self._answered("-", name, 0.0)
        for step in range(round((self.seconds + SECONDS) / TICK_S)):
            now = step * TICK_S
            while self._ends and self._ends[0][0] <= now:
                _, name, runner = heapq.heappop(self._ends)
                self._answered(name, runner, now)
            while self._coming and self._coming[0].at <= now:
                come = heapq.heappop(self._coming)
                self._tries[come.name] = come
                self._ask(come, now)
            for name in list(self._tries):
                self._ask(self._tries[name], now)
            for decision in self.queue.tick(now):
                if decision.request_id in self._tries:
                    self._take(self._tries[decision.request_id], decision.outcome, now)

    def _draw(self) -> None:
        rng = random.Random(1)
        for rank, rate in self.per_s.items():
            at = 0.0
            while (at := at + rng.expovariate(rate)) < self.seconds:
                self._coming.append(Arrival(at=at, number=len(self._coming), rank=rank))
                self.asked[rank] += 1
        heapq.heapify(self._coming)

    def _ask(self, come: Arrival, now: float) -> None:
        request = slot_request(come.name, now=come.at, rank=come.rank)
        self._take(come, self.queue.request_slot(request, now), now)

    def _take(self, come: Arrival, outcome: CapacityOutcome, now: float) -> None:
        if isinstance(outcome, CapacityGranted):
            self.served[come.rank] += 1
            heapq.heappush(self._ends, (now + WORK_S, come.name, outcome.target))
            del self._tries[come.name]
        elif isinstance(outcome, RejectedWithRetryAfter):
            del self._tries[come.name]
            if come.turn + 1 < TRIES:
                at = now + outcome.retry_after_s
                heapq.heappush(self._coming, attrs.evolve(come, at=at, turn=come.turn + 1))

    def _answered(self, name: str, runner: str, now: float) -> None:
        load = load_report(slots=SLOTS)
        self.queue.record_end(name, runner, CallEnd.ANSWERED, now, seconds=WORK_S, load=load)


def test_no_rank_of_calls_is_refused_each_time_behind_more_urgent_ones() -> None:
    """The less urgent get only what the more urgent leave over, which may be nothing."""
    replay = Replay(per_s={0: 200.0, 2: 20.0})
    replay.run()
    shares = {rank: replay.served[rank] / asked for rank, asked in replay.asked.items()}
    of_all = replay.served.total() / replay.asked.total()
    assert of_all > 0.5
    assert min(shares.values()) >= LEAST_SHARE * of_all, (shares, of_all)


class NoShares(RankShares):
    """Claims that no rank has: the queue goes by rank alone."""

    def record_grant(self, rank: int) -> None:
        """Record nothing."""


RATES = st.dictionaries(
    st.integers(0, 4), st.sampled_from([5.0, 20.0, 60.0, 120.0, 250.0]), min_size=2, max_size=4
)


@settings(max_examples=10, deadline=None)
@given(per_s=RATES)
def test_a_rank_of_calls_gets_what_it_is_owed_for_any_mix_of_rates(
    per_s: dict[int, float],
) -> None:
    """Guards against ranks that are starved, or get more than they are owed, in some mixes."""
    fair = Replay(per_s=per_s, seconds=4.0)
    fair.run()
    plain = Replay(per_s=per_s, seconds=4.0, queue=CallQueue(shares=NoShares()))
    plain.run()
    of_all = fair.served.total() / fair.asked.total()
    for rank, asked in fair.asked.items():
        if asked >= LEAST_ASKED:
            assert fair.served[rank] >= LEAST_SHARE * of_all * asked, (rank, fair.served)
        less_urgent = [each for each in per_s if each > rank]
        for each in less_urgent:
            overtakes_by = fair.served[each] / fair.asked[each] - fair.served[rank] / asked
            assert overtakes_by <= 0.05 or min(asked, fair.asked[each]) < 2 * LEAST_ASKED
        gained = sum(max(0, fair.served[each] - plain.served[each]) for each in less_urgent)
        assert fair.served[rank] >= plain.served[rank] - gained - LEAST_ASKED
    assert fair.served.total() >= 0.95 * plain.served.total()


def test_the_urgent_lose_a_part_of_what_one_grant_in_four_would_cost_them() -> None:
    """Guards against a share of grants that does not follow how few the less urgent are."""
    fair = Replay(per_s={0: 200.0, 2: 20.0})
    fair.run()
    plain = Replay(per_s={0: 200.0, 2: 20.0}, queue=CallQueue(shares=NoShares()))
    plain.run()
    owed = KEPT_SHARE * 20.0 / 220.0 * fair.served.total()
    lost = plain.served[0] - fair.served[0]
    assert lost <= 2.0 * owed, "the urgent ones' second tries find the queue fuller, too"
    assert fair.served[0] / fair.asked[0] > fair.served[2] / fair.asked[2]
