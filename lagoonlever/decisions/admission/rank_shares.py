"""Which rank gets the next grant of a queue in which more urgent requests go first.

By their order alone, less urgent requests get what the more urgent ones leave over, and behind
enough of those that is nothing, each time that their callers come back. So every grant of the
queue gives each rank a claim to a part of a grant, by the rank's part of the requests, and a grant
to a rank takes one claim from it. A rank that is served often enough by the usual order never has
a whole claim and never goes ahead of its turn. The claims of all ranks add up to
``KEPT_SHARE`` of the grants, so the more urgent never lose more than that to the others, however
many these are.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

STARVED_SHARE = 0.25
"""A rank that is served less than this part as often as all requests counts as starved."""
SAFETY_FACTOR = 1.5
"""How much more than ``STARVED_SHARE`` a rank is kept at.

All requests include those of other queues, which may be served more often than those of this one.
The factor covers a queue that serves its requests two thirds as often as the others do.
"""
KEPT_SHARE = SAFETY_FACTOR * STARVED_SHARE
"""A rank gets grants ahead of its turn while it is served less than this part as often as all."""
MAX_UNSERVED_REQUESTS = 4
"""Requests of a rank without a grant, at most, before it has a claim, where all others are served.

Whoever asks this often and never gets anything counts as starved.
"""
MAX_SAVED_GRANTS = MAX_UNSERVED_REQUESTS * KEPT_SHARE - 1.0
"""Grants beyond its claims that are held against a rank, at most."""
MAX_CLAIMS = 2.0
"""Claims that a rank keeps, at most: more would be a burst ahead of the urgent after a pause."""
MIX_WEIGHT = 0.02
"""Weight of the latest request in the ranks' parts of the requests."""

WaiterT = TypeVar("WaiterT")


@attrs.define(kw_only=True)
class RankShares:
    """Claims of the ranks in one queue; rank 0 is the most urgent."""

    _parts: dict[int, float] = attrs.field(factory=dict)
    """Each rank's part of the latest requests; these add up to 1."""
    _claims: dict[int, float] = attrs.field(factory=dict)
    """Grants that each rank is owed; negative if it got more than its claims."""

    def claims(self, rank: int) -> int:
        """Return the number of whole grants that a rank is owed."""
        return max(0, int(self._claims.get(rank, 0.0)))

    def grants_until_claim(self, rank: int, *, before: int) -> float:
        """Return after how many grants a rank has a claim for one more than ``before`` requests.

        Infinity for a rank that has not asked.
        """
        missing = before + 1 - self._claims.get(rank, 0.0)
        part = self._parts.get(rank, 0.0)
        if missing <= 0:
            return 0.0
        return missing / (KEPT_SHARE * part) if part > 0 else math.inf

    def next_in_turn(
        self, ordered: Sequence[WaiterT], rank_of: Callable[[WaiterT], int]
    ) -> WaiterT:
        """Return the first waiter of the most urgent rank with a claim, or else the first."""
        ranks = {rank_of(waiter) for waiter in ordered if self.claims(rank_of(waiter))}
        if not ranks:
            return ordered[0]
        rank = min(ranks)
        return next(waiter for waiter in ordered if rank_of(waiter) == rank)

    def claimants_first(
        self, ordered: Sequence[WaiterT], rank_of: Callable[[WaiterT], int]
    ) -> list[WaiterT]:
        """Return the waiters with those first that have a claim, the most urgent rank's before.

        Within a rank, and among all others, the order stays as it is.
        """
        left = {rank: self.claims(rank) for rank in self._claims}
        if not any(left.values()):
            return list(ordered)
        ahead: list[WaiterT] = []
        others: list[WaiterT] = []
        for waiter in ordered:
            rank = rank_of(waiter)
            has_claim = left.get(rank, 0) > 0
            left[rank] = left.get(rank, 0) - 1
            (ahead if has_claim else others).append(waiter)
        return sorted(ahead, key=rank_of) + others

    def record_request(self, rank: int) -> None:
        """Record a new request; one that is repeated while it waits is the same."""
        if not self._parts:
            self._parts[rank] = 1.0
            return
        for each in self._parts:
            self._parts[each] *= 1.0 - MIX_WEIGHT
        self._parts[rank] = self._parts.get(rank, 0.0) + MIX_WEIGHT

    def record_grant(self, rank: int) -> None:
        """Record a grant to a request that had waited or had just come."""
        for each, part in self._parts.items():
            claims = self._claims.get(each, 0.0) + KEPT_SHARE * part
            self._claims[each] = min(MAX_CLAIMS, claims)
        self._claims[rank] = max(-MAX_SAVED_GRANTS, self._claims.get(rank, 0.0) - 1.0)
