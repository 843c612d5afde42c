"""What one VM knows of the targets' list, as messages and times in and messages out.

Joins the listing, which says who leaves, and the freshness, which says whether
the listing may be believed. No socket and no clock; the task around it sends
what is returned.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.targets.freshness import ListFreshness, ListStatus
from lagoonlever.decisions.targets.listing import (
    LeavingEvidence,
    TargetListing,
    TargetListReading,
)
from lagoonlever.decisions.targets.targets import Target, TargetState
from lagoonlever.http.messages import Address

NEWS_FANOUT = 8
"""Reaches every VM of a fleet of nine at once, and 400 in three steps."""


@attrs.frozen(kw_only=True)
class TargetLeavingNews:
    """Targets read as leaving; told on at once by whoever did not know of one."""

    evidence: tuple[LeavingEvidence, ...]


@attrs.frozen(kw_only=True)
class TargetListAsk:
    """Asks how old the receiver's list is; ``number`` comes back in the answer."""

    number: int
    reply_to: Address


@attrs.frozen(kw_only=True)
class TargetListAnswer:
    """The age of the sender's list in seconds, None if it has none, and who leaves by it."""

    number: int
    list_age_s: float | None
    evidence: tuple[LeavingEvidence, ...]


@attrs.frozen(kw_only=True)
class Send:
    """A message to send to a peer; it may be lost."""

    to: Address
    message: TargetLeavingNews | TargetListAsk | TargetListAnswer


@attrs.define(kw_only=True)
class TargetKnowledge:
    """The state of one VM; all times are its monotonic seconds."""

    _own: Address
    _rng: random.Random
    _members: MemberView
    _listing: TargetListing = attrs.field(factory=TargetListing)
    _freshness: ListFreshness = attrs.field(factory=ListFreshness)

    def __attrs_post_init__(self) -> None:
        self._freshness.members_changed(self._members, 0.0)

    def belief(self, now: float) -> ListStatus:
        """Tell whether the list may be believed."""
        return self._freshness.belief(now)

    def list_age_s(self, now: float) -> float | None:
        """Give the age of the newest reading of the list that is proved, or None."""
        return None if self._freshness.read_at is None else self._freshness.age_s(now)

    def may_dispatch(self, name: str, address: Address, now: float) -> bool:
        """Tell whether work may be written now to one life of a target."""
        if not self.belief(now).allows_work:
            return False
        return self._listing.state_of(name, address) is TargetState.LIVE

    def targets(self, now: float) -> tuple[Target, ...]:
        """Give every target known; those live by a list not to be believed are unsure."""
        targets = self._listing.targets()
        if self.belief(now).allows_work:
            return targets
        return tuple(_unsure(target) for target in targets)

    def members_changed(self, members: MemberView, now: float) -> None:
        """Take a changed view of the VMs."""
        self._members = members
        self._freshness.members_changed(members, now)

    def read(self, reading: TargetListReading) -> list[Send]:
        """Take the platform's list."""
        self._freshness.read(reading.read_at)
        return self._tell(self._listing.read_list(reading))

    def heard(self, news: TargetLeavingNews, now: float) -> list[Send]:
        """Take a peer's news."""
        return self._hear(news.evidence, now)

    def asked(self, ask: TargetListAsk, now: float) -> list[Send]:
        """Answer a peer."""
        answer = TargetListAnswer(
            number=ask.number,
            list_age_s=self.list_age_s(now),
            evidence=self._listing.evidence(now),
        )
        return [Send(to=ask.reply_to, message=answer)]

    def answered(self, answer: TargetListAnswer, now: float) -> list[Send]:
        """Take a peer's answer: first who leaves, then how fresh that is."""
        sends = self._hear(answer.evidence, now)
        self._freshness.answered(answer.number, answer.list_age_s)
        return sends

    def tick(self, now: float) -> list[Send]:
        """Ask peers while the list is not read in time."""
        return [
            Send(to=peer, message=TargetListAsk(number=number, reply_to=self._own))
            for number, peer in self._freshness.asks_due(now, self._rng)
        ]

    def _hear(self, evidence: Iterable[LeavingEvidence], now: float) -> list[Send]:
        return self._tell(self._listing.hear(evidence, now))

    def _tell(self, news: tuple[LeavingEvidence, ...]) -> list[Send]:
        """Tell some peers at once; each of them tells on what is new to it."""
        if not news:
            return []
        members = self._members
        peers = [m.peers for m in members.reachable if m.incarnation != members.own]
        message = TargetLeavingNews(evidence=news)
        chosen = self._rng.sample(peers, min(NEWS_FANOUT, len(peers)))
        return [Send(to=peer, message=message) for peer in chosen]


def _unsure(target: Target) -> Target:
    if target.state is not TargetState.LIVE:
        return target
    return attrs.evolve(target, state=TargetState.UNSURE)
