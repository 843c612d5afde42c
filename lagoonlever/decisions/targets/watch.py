"""One VM's knowledge of the list of targets: messages and times in, messages to send out.

It combines the listing, which says which targets leave, and the freshness, which says whether the
listing may be used. It has no socket and no clock: its caller passes the time and sends the
messages that are returned.
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

UPDATE_FANOUT = 8
"""The number of peers to which a VM sends an update at once.

It reaches every VM of a fleet of nine in one step, and 400 VMs in three steps.
"""


@attrs.frozen(kw_only=True)
class TargetLeavingNews:
    """Targets that were read as leaving; a VM to which any is new passes it on at once."""

    evidence: tuple[LeavingEvidence, ...]


@attrs.frozen(kw_only=True)
class TargetListAsk:
    """A query for the age of the receiver's list; the answer has the same ``number``."""

    number: int
    reply_to: Address


@attrs.frozen(kw_only=True)
class TargetListAnswer:
    """The age of the sender's list in seconds, None if it has none, and its leaving targets."""

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
    """What one VM knows of the list of targets; times are seconds of its monotonic clock."""

    _own: Address
    _rng: random.Random
    _members: MemberView
    _listing: TargetListing = attrs.field(factory=TargetListing)
    _freshness: ListFreshness = attrs.field(factory=ListFreshness)

    def __attrs_post_init__(self) -> None:
        # No list has been read yet, so the time has no effect.
        self._freshness.members_changed(self._members, 0.0)

    def list_status(self, now: float) -> ListStatus:
        """Return whether the list may be used to send new work."""
        return self._freshness.status(now)

    def list_age_s(self, now: float) -> float | None:
        """Return the seconds since the newest reading by this VM or a peer, or None."""
        return None if self._freshness.read_at is None else self._freshness.age_s(now)

    def may_dispatch(self, name: str, address: Address, now: float) -> bool:
        """Check whether work may be sent now to one incarnation of a target."""
        if not self.list_status(now).allows_work:
            return False
        return self._listing.state_of(name, address) is TargetState.LIVE

    def targets(self, now: float) -> tuple[Target, ...]:
        """Return every known target; if the list may not be used, live ones are ``UNSURE``."""
        targets = self._listing.targets()
        if self.list_status(now).allows_work:
            return targets
        return tuple(_as_unsure(target) for target in targets)

    def members_changed(self, members: MemberView, now: float) -> None:
        """Update the membership view."""
        self._members = members
        self._freshness.members_changed(members, now)

    def on_list_read(self, reading: TargetListReading) -> list[Send]:
        """Apply a reading of the platform's list; return the updates to send to peers."""
        self._freshness.record_reading(reading.read_at)
        return self._update_peers(self._listing.apply_list(reading))

    def on_leaving_update(self, update: TargetLeavingNews, now: float) -> list[Send]:
        """Apply a peer's update; return the messages that pass on what was new."""
        return self._apply_evidence(update.evidence, now)

    def on_list_query(self, query: TargetListAsk, now: float) -> list[Send]:
        """Return the answer to a peer's query."""
        answer = TargetListAnswer(
            number=query.number,
            list_age_s=self.list_age_s(now),
            evidence=self._listing.evidence(now),
        )
        return [Send(to=query.reply_to, message=answer)]

    def on_list_answer(self, answer: TargetListAnswer, now: float) -> list[Send]:
        """Apply a peer's answer; return the messages that pass on what was new.

        The evidence is applied before the age of the list: otherwise the list would count as
        fresh before the targets that leave by it were known.
        """
        sends = self._apply_evidence(answer.evidence, now)
        self._freshness.record_answer(answer.number, answer.list_age_s)
        return sends

    def tick(self, now: float) -> list[Send]:
        """Return the queries for the list's age that are due now."""
        return [
            Send(to=peer, message=TargetListAsk(number=number, reply_to=self._own))
            for number, peer in self._freshness.due_queries(now, self._rng)
        ]

    def _apply_evidence(self, evidence: Iterable[LeavingEvidence], now: float) -> list[Send]:
        return self._update_peers(self._listing.merge_evidence(evidence, now))

    def _update_peers(self, evidence: tuple[LeavingEvidence, ...]) -> list[Send]:
        """Return an update to a random sample of peers; each passes on what is new to it."""
        if not evidence:
            return []
        members = self._members
        peers = [m.peers for m in members.reachable if m.incarnation != members.own]
        message = TargetLeavingNews(evidence=evidence)
        chosen = self._rng.sample(peers, min(UPDATE_FANOUT, len(peers)))
        return [Send(to=peer, message=message) for peer in chosen]


def _as_unsure(target: Target) -> Target:
    if target.state is not TargetState.LIVE:
        return target
    return attrs.evolve(target, state=TargetState.UNSURE)
