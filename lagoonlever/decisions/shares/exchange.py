"""The sums that VMs tell each other about their use of the pool, kept as soft state.

Every VM says for each leaf how much work it has committed since it started, and
how many requests run and wait there now. The sums are cumulative, so a lost
message costs freshness and nothing else, and a repeated one charges nothing.
"""

from __future__ import annotations

import math

import attrs

from lagoonlever.identity import Incarnation

PERIOD_S = 1.0
"""Every VM speaks this often, also when it has nothing new: silence means it is gone."""
URGENT_GAP_S = 0.25
"""A leaf that begins or ceases to wait is told this soon."""
REPEAT_S = 2.5
"""A changed leaf is told again for this long, so that one lost message does no harm."""
FULL_PERIOD_S = 10.0
STALE_AFTER_S = 4.0
"""A peer silent for this long no longer counts as having demand."""
RATE_WINDOW_S = 5.0
"""Time constant of the rate at which a peer uses each leaf's share."""
FORGET_AFTER_S = 600.0
"""A peer silent for this long loses its sums; should it return, they start anew."""


@attrs.frozen(kw_only=True)
class LeafSum:
    """One leaf at one VM: work committed since the VM started, requests running and waiting."""

    key: int
    committed: int
    running: int
    waiting: int


@attrs.frozen(kw_only=True)
class LeafChange:
    """What a peer's news changes for one leaf."""

    key: int
    work: float
    running: int
    waiting: int


@attrs.frozen(kw_only=True)
class SumsNews:
    """News of one VM: the leaves that changed, or, if ``full``, all that it ever used."""

    sequence: int
    full: bool
    leaves: tuple[LeafSum, ...]


@attrs.define(kw_only=True)
class _Own:
    sum: LeafSum
    changed_at: float


class OwnSums:
    """The sums of this VM, and when to tell them."""

    def __init__(self) -> None:
        self._leaves: dict[int, _Own] = {}
        self._sequence = 0
        self._sent_at = -FULL_PERIOD_S
        self._full_at = -FULL_PERIOD_S
        self._urgent = False

    def ask_full(self) -> None:
        """Tell everything next time, because a peer is new."""
        self._full_at = -FULL_PERIOD_S

    def update(self, leaf: LeafSum, now: float) -> None:
        """Take on a leaf's sums."""
        known = self._leaves.get(leaf.key)
        if known is not None and known.sum == leaf:
            return
        waited = known is not None and known.sum.waiting > 0
        if waited != (leaf.waiting > 0):
            self._urgent = True
        self._leaves[leaf.key] = _Own(sum=leaf, changed_at=now)

    def due_news(self, now: float) -> SumsNews | None:
        """Give the news that is due now, or None."""
        if now < self._sent_at + (URGENT_GAP_S if self._urgent else PERIOD_S):
            return None
        full = now >= self._full_at + FULL_PERIOD_S
        if full:
            self._full_at = now
        self._sent_at = now
        self._urgent = False
        self._sequence += 1
        leaves = tuple(
            own.sum for own in self._leaves.values() if full or own.changed_at > now - REPEAT_S
        )
        return SumsNews(sequence=self._sequence, full=full, leaves=leaves)


@attrs.define(kw_only=True)
class _Peer:
    heard_at: float
    sequence: int = 0
    complete: bool = False
    """Whether a full message came, so that a leaf not heard of before is new at the peer."""
    silent: bool = False
    gone: bool = False
    """Silent, and the engines no longer show what it ran."""
    leaves: dict[int, LeafSum] = attrs.field(factory=dict)
    rates: dict[int, float] = attrs.field(factory=dict)
    """Work a second by leaf, of late."""

    def merge(self, leaf: LeafSum) -> LeafChange:
        """Take on one leaf; gives the difference."""
        start = LeafSum(
            key=leaf.key,
            # What a peer used before we heard of it was shared out without us.
            committed=0 if self.complete else leaf.committed,
            running=0,
            waiting=0,
        )
        former = self.leaves.get(leaf.key, start)
        self.leaves[leaf.key] = leaf
        return LeafChange(
            key=leaf.key,
            work=leaf.committed - former.committed,
            running=leaf.running - former.running,
            waiting=leaf.waiting - former.waiting,
        )

    def learn_rates(self, changes: list[LeafChange], elapsed_s: float) -> None:
        """Learn how fast the peer uses each leaf's share."""
        if elapsed_s <= 0:
            return
        keep = math.exp(-elapsed_s / RATE_WINDOW_S)
        for key in self.rates:
            self.rates[key] *= keep
        for change in changes:
            gain = (1.0 - keep) * change.work / elapsed_s
            self.rates[change.key] = self.rates.get(change.key, 0.0) + gain

    def fall_silent(self) -> list[LeafChange]:
        """Cease to count its demand as heard."""
        self.silent = True
        return [
            LeafChange(key=leaf.key, work=0, running=-leaf.running, waiting=-leaf.waiting)
            for leaf in self.leaves.values()
        ]

    def return_from_silence(self, news: SumsNews) -> None:
        """Charge nothing that it used while it was not heard.

        Its use was estimated meanwhile. Charging what differs all at once, as a cut
        ends, would shut out for minutes whoever was served over there.
        """
        self.silent = self.gone = False
        self.leaves = {
            key: attrs.evolve(leaf, running=0, waiting=0) for key, leaf in self.leaves.items()
        }
        for leaf in news.leaves:
            self.leaves[leaf.key] = attrs.evolve(leaf, running=0, waiting=0)


class PeerSums:
    """What the peers have said, by incarnation."""

    def __init__(self) -> None:
        self._peers: dict[Incarnation, _Peer] = {}
        self._aged_at: float | None = None

    @property
    def live_count(self) -> int:
        """How many peers were heard of late."""
        return sum(not peer.silent for peer in self._peers.values())

    def hears(self, sender: Incarnation) -> bool:
        """Tell whether a peer was heard of late."""
        peer = self._peers.get(sender)
        return peer is not None and not peer.silent

    def silent_leaves(self, *, heard_after: float) -> list[LeafSum]:
        """Give the demand of silent peers as last heard; it may still be there."""
        return [
            leaf
            for peer in self._peers.values()
            if peer.silent and not peer.gone and peer.heard_at > heard_after
            for leaf in peer.leaves.values()
        ]

    def give_up_silent(self) -> None:
        """Count no use of the peers that are silent now any more, until they are heard again."""
        for peer in self._peers.values():
            peer.gone = peer.gone or peer.silent

    def receive(self, sender: Incarnation, news: SumsNews, now: float) -> list[LeafChange]:
        """Take on a peer's news; gives what it changes, nothing if it is late."""
        if any(_is_later_life(other, sender) for other in self._peers):
            return []
        changes = self._drop_former_lives(sender)
        peer = self._peers.setdefault(sender, _Peer(heard_at=now))
        if news.sequence <= peer.sequence:
            return changes
        if peer.silent:
            peer.return_from_silence(news)
            peer.heard_at = now
        merged = [peer.merge(leaf) for leaf in news.leaves]
        peer.learn_rates(merged, now - peer.heard_at)
        peer.sequence = news.sequence
        peer.heard_at = now
        peer.complete = peer.complete or news.full
        return [*changes, *merged]

    def excuse(self, paused_s: float) -> None:
        """Count no silence for a time in which this VM itself was paused."""
        for peer in self._peers.values():
            peer.heard_at += paused_s

    def age(self, now: float, *, silent_part: float) -> list[LeafChange]:
        """Cease to count peers that fell silent, and charge what they still seem to use.

        ``silent_part`` (0..1) says how much of what they used the engines still show.
        """
        elapsed_s = 0.0 if self._aged_at is None else max(0.0, now - self._aged_at)
        self._aged_at = now
        changes: list[LeafChange] = []
        for sender, peer in list(self._peers.items()):
            if not peer.silent and now > peer.heard_at + STALE_AFTER_S:
                changes.extend(peer.fall_silent())
            if peer.silent and not peer.gone and silent_part > 0:
                changes.extend(_projected(peer, elapsed_s * silent_part))
            if now > peer.heard_at + FORGET_AFTER_S:
                del self._peers[sender]
        return changes

    def _drop_former_lives(self, sender: Incarnation) -> list[LeafChange]:
        former = [other for other in self._peers if _is_later_life(sender, other)]
        changes: list[LeafChange] = []
        for other in former:
            peer = self._peers.pop(other)
            if not peer.silent:
                changes.extend(peer.fall_silent())
        return changes


def _projected(peer: _Peer, elapsed_s: float) -> list[LeafChange]:
    return [
        LeafChange(key=key, work=rate * elapsed_s, running=0, waiting=0)
        for key, rate in peer.rates.items()
        if rate > 0
    ]


def _is_later_life(one: Incarnation, other: Incarnation) -> bool:
    return one.name == other.name and one > other
