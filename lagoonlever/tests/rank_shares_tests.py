"""Claims of ranks to grants: all who ask steadily are served, and the urgent lose no more."""

from __future__ import annotations

import itertools
import random
from collections import Counter, deque

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonlever.decisions.admission.rank_shares import (
    KEPT_SHARE,
    MAX_CLAIMS,
    MAX_UNSERVED_REQUESTS,
    STARVED_SHARE,
    RankShares,
)
from lagoonlever.soak.served import LEAST_SHARE

MAX_WAITING = 40
GRANTS = 4_000
LEAST_ASKED = 40
"""Requests of a rank that tell how often it is served."""


@attrs.define(kw_only=True)
class Line:
    """A queue that grants by rank, and refuses the least urgent newcomers once it is full."""

    shares: RankShares = attrs.field(factory=RankShares)
    is_fair: bool = True
    waiting: deque[int] = attrs.field(factory=deque)
    """Ranks in the order in which they came."""
    asked: Counter[int] = attrs.field(factory=Counter)
    served: Counter[int] = attrs.field(factory=Counter)
    ahead: int = 0
    """Grants ahead of a more urgent one that waited."""

    def ask(self, rank: int) -> None:
        self.asked[rank] += 1
        self.shares.record_request(rank)
        if self.is_full(rank):
            return
        self.waiting.append(rank)

    def is_full(self, rank: int) -> bool:
        """Check whether as many as fit go before a newcomer, by the order and by its claims."""
        before = sum(1 for each in self.waiting if each <= rank)
        claims = self.shares.claims(rank) if self.is_fair else 0
        return before >= MAX_WAITING and self.waiting.count(rank) >= claims

    def grant(self) -> None:
        if not self.waiting:
            return
        ordered = sorted(self.waiting)
        rank = self.shares.next_in_turn(ordered, lambda each: each) if self.is_fair else ordered[0]
        self.ahead += rank > ordered[0]
        self.waiting.remove(rank)
        self.served[rank] += 1
        self.shares.record_grant(rank)


def play(per_grant: dict[int, float], *, seed: int, is_fair: bool = True) -> Line:
    """Return a line after some thousand grants; ``per_grant`` is what each rank asks per grant."""
    rng, line = random.Random(seed), Line(is_fair=is_fair)
    for _ in range(GRANTS):
        for rank, rate in per_grant.items():
            for _ in range(int(rate) + (rng.random() < rate % 1.0)):
                line.ask(rank)
        line.grant()
    return line


RATES = st.dictionaries(
    st.integers(0, 9), st.sampled_from([0.01, 0.05, 0.2, 0.5, 1.0, 3.0]), min_size=1, max_size=5
)


@settings(max_examples=30, deadline=None)
@given(per_grant=RATES, seed=st.integers(0, 9))
def test_no_rank_that_asks_steadily_is_starved(per_grant: dict[int, float], seed: int) -> None:
    """Guards against ranks that get nothing for any number and mix of more urgent requests."""
    line = play(per_grant, seed=seed)
    of_all = line.served.total() / line.asked.total()
    for rank, asked in line.asked.items():
        if asked >= LEAST_ASKED:
            assert line.served[rank] / asked >= LEAST_SHARE * of_all, (rank, line)


@settings(max_examples=30, deadline=None)
@given(per_grant=RATES, seed=st.integers(0, 9))
def test_the_more_urgent_lose_no_more_than_the_others_are_owed(
    per_grant: dict[int, float], seed: int
) -> None:
    """Guards against a share for the less urgent that is more than the rule asks for."""
    fair, plain = play(per_grant, seed=seed), play(per_grant, seed=seed, is_fair=False)
    assert fair.asked == plain.asked
    assert fair.ahead <= KEPT_SHARE * fair.served.total()
    of_all = fair.served.total() / fair.asked.total()
    for rank, asked in fair.asked.items():
        owed = KEPT_SHARE * of_all * asked
        most = max(plain.served[rank] + MAX_WAITING, 1.2 * owed + MAX_WAITING)
        assert fair.served[rank] <= most, "no rank gets more than it is owed, or had"
        gained = sum(max(0, fair.served[r] - plain.served[r]) for r in fair.asked if r > rank)
        assert fair.served[rank] >= plain.served[rank] - gained - MAX_WAITING


def test_a_rank_that_is_served_often_enough_never_goes_ahead() -> None:
    """Guards against urgent requests that are passed though nobody is starved."""
    line = play({0: 0.6, 1: 0.2, 2: 0.15}, seed=1)
    plain = play({0: 0.6, 1: 0.2, 2: 0.15}, seed=1, is_fair=False)
    assert line.served == plain.served
    assert line.ahead <= 0.02 * line.served.total(), "chance alone makes a rank wait for moments"


def test_the_less_urgent_do_not_overtake_the_more_urgent() -> None:
    """Guards against a less urgent rank that is served more often than a more urgent one."""
    for seed in range(5):
        line = play({0: 1.0, 1: 0.5, 2: 0.5, 3: 0.05}, seed=seed)
        shares = [line.served[rank] / line.asked[rank] for rank in range(4)]
        for urgent, patient in itertools.pairwise(shares):
            assert patient <= urgent + 0.05, shares


def test_a_rank_that_was_served_in_full_has_a_claim_after_four_requests() -> None:
    """Guards against callers that wait for long as others of their rank were served before."""
    shares = RankShares()
    for _ in range(500):
        for rank in (0, 2):
            shares.record_request(rank)
            shares.record_grant(rank)
    asked = 0
    while not shares.claims(2):
        asked += 1
        for rank in (2, 0):
            shares.record_request(rank)
            shares.record_grant(0)
    assert asked <= MAX_UNSERVED_REQUESTS + 1, "the ranks' parts are measured, not known"


def test_the_target_is_above_the_share_that_counts_as_starved() -> None:
    """Guards against a target that is lowered to where the rule is broken."""
    assert STARVED_SHARE == LEAST_SHARE
    assert STARVED_SHARE < KEPT_SHARE < 1.0


class RankSharesMachine(RuleBasedStateMachine):
    """Requests, grants and callers that leave, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.line = Line()

    @rule(rank=st.integers(0, 4), count=st.integers(1, 8))
    def ask(self, rank: int, count: int) -> None:
        for _ in range(count):
            self.line.ask(rank)

    @precondition(lambda self: self.line.waiting)
    @rule(count=st.integers(1, 20))
    def grant(self, count: int) -> None:
        for _ in range(count):
            self.line.grant()

    @precondition(lambda self: self.line.waiting)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        self.line.waiting.remove(data.draw(st.sampled_from(sorted(set(self.line.waiting)))))

    @invariant()
    def grants_ahead_of_their_turn_are_within_the_claims(self) -> None:
        assert self.line.ahead <= KEPT_SHARE * self.line.served.total()

    @invariant()
    def claims_are_bounded(self) -> None:
        assert all(self.line.shares.claims(rank) <= MAX_CLAIMS for rank in range(5))

    @invariant()
    def the_order_holds_all_that_wait_with_claimants_first(self) -> None:
        waiting = sorted(self.line.waiting)
        ordered = self.line.shares.claimants_first(waiting, lambda each: each)
        assert sorted(ordered) == waiting
        if waiting:
            assert ordered[0] == self.line.shares.next_in_turn(waiting, lambda each: each)

    @invariant()
    def a_claim_is_expected_at_once_where_there_is_one(self) -> None:
        for rank in range(5):
            has_claim = self.line.shares.claims(rank) > 0
            assert (self.line.shares.grants_until_claim(rank, before=0) == 0) == has_claim


TestRankShares = RankSharesMachine.TestCase
