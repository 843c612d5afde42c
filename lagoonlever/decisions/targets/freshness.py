"""Whether this VM may still believe its list of targets, also when cut from the platform.

A list is as fresh as the newest reading of it by any VM that this VM can prove.
The proof is a round trip: the age that a peer answers counts from when it was
asked, so an answer that was held up in a buffer or by a pause only looks older.
"""

from __future__ import annotations

import enum
import random
from collections import deque

import attrs

from lagoonlever.decisions.membership.membership import MemberState, MemberView
from lagoonlever.http.messages import Address

FRESH_S = 2.5
"""New work stops this long after the last proof, so that 3 s hold from the listing."""
ASK_AFTER_S = 1.2
"""Peers are asked once the list was not read for longer than the usual period of reading."""
ANSWER_GRACE_S = 0.4
"""An ask younger than this doesn't count as unanswered."""
ASK_FANOUT = 3
STEADY_ASK_S = 2.0
"""One peer is asked this often also while the list is read in time: a push may get lost."""


class ListStatus(enum.Enum):
    """Why the list of targets is believed, or that it is not."""

    FRESH = "fresh"
    PLATFORM_OUTAGE = "platform outage"
    ISOLATED = "isolated"

    @property
    def allows_work(self) -> bool:
        """Whether new work may be given to targets on the strength of the list."""
        return self is not ListStatus.ISOLATED


@attrs.define(kw_only=True)
class _Ask:
    number: int
    peer: Address
    at: float
    answered: bool = False


@attrs.define(kw_only=True)
class ListFreshness:
    """How old the list is, and which of the peers answer; times are monotonic seconds."""

    _fresh_s: float = FRESH_S
    _ask_after_s: float = ASK_AFTER_S
    _fanout: int = ASK_FANOUT
    _read_at: float | None = None
    _peers: dict[Address, None] = attrs.field(factory=dict)
    _staying: dict[Address, None] = attrs.field(factory=dict)
    _asks: deque[_Ask] = attrs.field(factory=deque)
    _next_number: int = 0
    _asked_at: float | None = None
    _turn: list[Address] = attrs.field(factory=list)

    @property
    def read_at(self) -> float | None:
        """When the list was last read by any VM, as far as proved, or None."""
        return self._read_at

    def age_s(self, now: float) -> float:
        """Give the age of the list in seconds; endless when none was ever read."""
        return float("inf") if self._read_at is None else now - self._read_at

    def belief(self, now: float) -> ListStatus:
        """Tell whether the list may be believed.

        A VM that lost the platform can't tell an outage for all from a cut
        around itself, save by its peers: with most of them answering that they
        can't read the list either, nobody can know better, and service goes on.
        With most of them silent, some VM beyond the cut may have read that a
        target leaves, so this one gives no new work.
        """
        if self.age_s(now) <= self._fresh_s:
            return ListStatus.FRESH
        if not self._peers:
            return ListStatus.PLATFORM_OUTAGE
        return ListStatus.PLATFORM_OUTAGE if self._most_answer(now) else ListStatus.ISOLATED

    def read(self, at: float) -> None:
        """Note that the list was read, by a call that began at ``at``."""
        self._read_at = at if self._read_at is None else max(self._read_at, at)

    def members_changed(self, members: MemberView, now: float) -> None:
        """Take the peers that count; while the list is stale only a planned stop takes one out.

        Otherwise the smaller side of a cut would in time declare the others
        dead, count only itself, and believe a list that is minutes old.
        """
        leaving = {m.peers for m in members.members if m.state is MemberState.LEAVING}
        others = [m.peers for m in members.reachable if m.incarnation != members.own]
        self._staying = dict.fromkeys(peer for peer in others if peer not in leaving)
        kept = {peer: None for peer in self._peers if peer not in leaving}
        self._peers = self._staying if self._in_time(now) else kept | self._staying

    def asks_due(self, now: float, rng: random.Random) -> tuple[tuple[int, Address], ...]:
        """Give the numbered asks to send now: few while the list is read in time.

        After a pause or a start several are sent, so that what peers told
        meanwhile is learnt at once.
        """
        steady = self._in_time(now)
        if steady:
            self._peers = self._staying
        if steady and self._asked_at is not None and now - self._asked_at < STEADY_ASK_S:
            return ()
        late = self._asked_at is None or now - self._asked_at > 2 * STEADY_ASK_S
        self._asked_at = now
        self._drop_old(now)
        fanout = 1 if steady and not late else self._fanout
        asks = [self._ask(peer, now) for peer in self._next_peers(fanout, rng)]
        self._asks.extend(asks)
        return tuple((ask.number, ask.peer) for ask in asks)

    def answered(self, number: int, list_age_s: float | None) -> None:
        """Take a peer's answer: the age of its list when it answered, or None."""
        ask = next((ask for ask in self._asks if ask.number == number), None)
        if ask is None:
            return
        ask.answered = True
        if list_age_s is not None:
            self.read(ask.at - max(0.0, list_age_s))

    def _ask(self, peer: Address, now: float) -> _Ask:
        self._next_number += 1
        return _Ask(number=self._next_number, peer=peer, at=now)

    def _next_peers(self, fanout: int, rng: random.Random) -> list[Address]:
        """Take turns over all peers in random order, so that few asks reach each of them."""
        chosen: list[Address] = []
        while len(chosen) < min(fanout, len(self._peers)):
            if not self._turn:
                self._turn = [peer for peer in self._peers if peer not in chosen]
                rng.shuffle(self._turn)
            peer = self._turn.pop()
            if peer in self._peers and peer not in chosen:
                chosen.append(peer)
        return chosen

    def _in_time(self, now: float) -> bool:
        return self.age_s(now) <= self._ask_after_s

    def _drop_old(self, now: float) -> None:
        while self._asks and now - self._asks[0].at > self._fresh_s:
            self._asks.popleft()

    def _most_answer(self, now: float) -> bool:
        """Tell by the last answer of each peer asked lately, this VM counted as answering."""
        latest: dict[Address, bool] = {}
        for ask in self._asks:
            if ask.peer not in self._peers or now - ask.at > self._fresh_s:
                continue
            if not ask.answered and now - ask.at < ANSWER_GRACE_S:
                continue
            latest[ask.peer] = ask.answered
        answered = sum(latest.values())
        return answered > 0 and (answered + 1) * 2 > len(latest) + 1
