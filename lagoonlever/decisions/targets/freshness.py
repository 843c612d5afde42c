"""Check of whether the list of targets is recent enough to send new work by it.

Guards against a VM that is cut off from the platform and goes on sending work to a target which
the platform has listed as leaving meanwhile. The list counts as fresh as the newest reading of it
by any VM that this VM has proof of. The proof is a round trip: the age that a peer answers counts
from the time of the query, so an answer that was delayed in a buffer or by a pause of the VM only
makes the list look older, never newer.
"""

from __future__ import annotations

import enum
import random
from collections import deque

import attrs

from lagoonlever.decisions.membership.membership import MemberState, MemberView
from lagoonlever.http.messages import Address

MAX_LIST_AGE_S = 2.5
"""New work stops once the newest reading of the list, by this VM or a peer, is older than this.

It keeps the rule that no VM sends new work to a target later than 3 s after the target was listed
as leaving. In an outage of the platform for all VMs work goes on (see ``ListStatus``).
"""
QUERY_AFTER_S = 1.2
"""Peers are queried for their list's age once the list is older than this.

It is longer than the usual period of reading the list.
"""
ANSWER_GRACE_S = 0.4
"""A query that is younger than this does not count as unanswered yet."""
QUERY_FANOUT = 3
"""The number of peers that are queried at once while the list is late."""
STEADY_QUERY_INTERVAL_S = 2.0
"""One peer is queried at this interval also while the list is read in time.

Its answer carries the evidence of leaving targets, as the message that pushes it may get lost.
"""


class ListStatus(enum.Enum):
    """Whether the list of targets may be used to send new work, and why."""

    FRESH = "fresh"
    """The list was read recently enough."""
    PLATFORM_OUTAGE = "platform outage"
    """The list is too old, but most peers answer and none of them has a newer one."""
    ISOLATED = "isolated"
    """The list is too old and most peers do not answer: others may have a newer list."""

    @property
    def allows_work(self) -> bool:
        """Whether new work may be sent to targets that the list names as live."""
        return self is not ListStatus.ISOLATED


@attrs.define(kw_only=True)
class _Query:
    """A query sent to a peer for the age of its list; ``sent_at`` in monotonic seconds."""

    number: int
    peer: Address
    sent_at: float
    answered: bool = False


@attrs.define(kw_only=True)
class ListFreshness:
    """The age of the list of targets, and which peers answer queries for it.

    All times are seconds of the monotonic clock.
    """

    _fresh_s: float = MAX_LIST_AGE_S
    _query_after_s: float = QUERY_AFTER_S
    _fanout: int = QUERY_FANOUT
    _read_at: float | None = None
    _peers: dict[Address, None] = attrs.field(factory=dict)
    """The peers whose answers are counted."""
    _staying: dict[Address, None] = attrs.field(factory=dict)
    """The peers that are reachable by the membership view and not leaving."""
    _queries: deque[_Query] = attrs.field(factory=deque)
    """The queries of the last ``_fresh_s`` seconds, oldest first."""
    _next_number: int = 0
    _queried_at: float | None = None
    _rotation: list[Address] = attrs.field(factory=list)
    """The peers that are still to be queried in the present round over all peers."""

    @property
    def read_at(self) -> float | None:
        """When the list was last read by any VM that this VM has proof of, or None."""
        return self._read_at

    def age_s(self, now: float) -> float:
        """Return the age of the list in seconds; infinite if no reading is known."""
        return float("inf") if self._read_at is None else now - self._read_at

    def status(self, now: float) -> ListStatus:
        """Return whether the list may be used to send new work.

        A VM that can't reach the platform can distinguish an outage for all VMs from a network
        partition around itself only by its peers. If most of them answer and can't read the list
        either, no VM knows better, and service goes on. If most of them are silent, a VM beyond
        the partition may have read that a target leaves, so this VM sends no new work.
        """
        if self.age_s(now) <= self._fresh_s:
            return ListStatus.FRESH
        if not self._peers:
            return ListStatus.PLATFORM_OUTAGE
        return ListStatus.PLATFORM_OUTAGE if self._most_answer(now) else ListStatus.ISOLATED

    def record_reading(self, at: float) -> None:
        """Record that the list was read by a call that began at ``at``."""
        self._read_at = at if self._read_at is None else max(self._read_at, at)

    def members_changed(self, members: MemberView, now: float) -> None:
        """Update the peers that are counted.

        While the list is late, only peers that leave as planned are removed. Otherwise the
        smaller side of a network partition would declare the others dead after the suspicion
        timeout, count only itself, and use a list that is minutes old.
        """
        leaving = {m.peers for m in members.members if m.state is MemberState.LEAVING}
        others = [m.peers for m in members.reachable if m.incarnation != members.own]
        self._staying = dict.fromkeys(peer for peer in others if peer not in leaving)
        kept = {peer: None for peer in self._peers if peer not in leaving}
        self._peers = self._staying if self._is_in_time(now) else kept | self._staying

    def due_queries(self, now: float, rng: random.Random) -> tuple[tuple[int, Address], ...]:
        """Return the number and the peer of each query to send now, and record them as sent.

        While the list is read in time, one peer is queried per interval. After a start, or a
        pause of this VM, several are queried, so that updates that were missed arrive at once.
        """
        steady = self._is_in_time(now)
        if steady:
            self._peers = self._staying
        if (
            steady
            and self._queried_at is not None
            and now - self._queried_at < STEADY_QUERY_INTERVAL_S
        ):
            return ()
        late = self._queried_at is None or now - self._queried_at > 2 * STEADY_QUERY_INTERVAL_S
        self._queried_at = now
        self._drop_old_queries(now)
        fanout = 1 if steady and not late else self._fanout
        queries = [self._new_query(peer, now) for peer in self._next_peers(fanout, rng)]
        self._queries.extend(queries)
        return tuple((query.number, query.peer) for query in queries)

    def record_answer(self, number: int, list_age_s: float | None) -> None:
        """Record a peer's answer: the age of its list when it answered, None if it has none."""
        query = next((query for query in self._queries if query.number == number), None)
        if query is None:
            return
        query.answered = True
        if list_age_s is not None:
            self.record_reading(query.sent_at - max(0.0, list_age_s))

    def _new_query(self, peer: Address, now: float) -> _Query:
        self._next_number += 1
        return _Query(number=self._next_number, peer=peer, sent_at=now)

    def _next_peers(self, fanout: int, rng: random.Random) -> list[Address]:
        """Return the next peers to query, in rounds over all peers in random order.

        The rounds spread the queries evenly, so that few reach each peer.
        """
        chosen: list[Address] = []
        while len(chosen) < min(fanout, len(self._peers)):
            if not self._rotation:
                self._rotation = [peer for peer in self._peers if peer not in chosen]
                rng.shuffle(self._rotation)
            peer = self._rotation.pop()
            if peer in self._peers and peer not in chosen:
                chosen.append(peer)
        return chosen

    def _is_in_time(self, now: float) -> bool:
        return self.age_s(now) <= self._query_after_s

    def _drop_old_queries(self, now: float) -> None:
        while self._queries and now - self._queries[0].sent_at > self._fresh_s:
            self._queries.popleft()

    def _most_answer(self, now: float) -> bool:
        """Check whether most VMs answer, by the last query to each peer that was queried lately.

        This VM counts as one that answers, but one peer at least has to answer too.
        """
        latest: dict[Address, bool] = {}
        for query in self._queries:
            if query.peer not in self._peers or now - query.sent_at > self._fresh_s:
                continue
            if not query.answered and now - query.sent_at < ANSWER_GRACE_S:
                continue
            latest[query.peer] = query.answered
        answered = sum(latest.values())
        return answered > 0 and (answered + 1) * 2 > len(latest) + 1
