"""The membership protocol of one VM: messages and the time in, messages and views out.

A SWIM protocol with local health: one probe a period, indirect probes by helpers,
a suspicion that the member can answer. Probes go along a fixed overlay, on which
changes are flooded at once; digests find what a flood missed.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import attrs

from lagoonlever.decisions.membership.membership import Member, MemberView
from lagoonlever.decisions.membership.outbox import Outbox, Send
from lagoonlever.decisions.membership.prober import Prober
from lagoonlever.decisions.membership.roster import Roster
from lagoonlever.decisions.membership.settings import MembershipSettings
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages_membership import (
    Ack,
    Gossip,
    MembershipMessage,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    Status,
    SyncReply,
    SyncRequest,
)

CONTACTS_AT_ONCE = 3
SYNC_INTERVAL_S = 5.0
SYNC_NEWS = 100
"""Members in one message of a reply, which goes out in several where it must."""
LISTING_SETTLE_S = 30.0
"""A life known for less is not marked by the platform's list, which lags and may
still tell of the former life at the same address."""


@attrs.frozen(kw_only=True)
class ListedVm:
    """An entry VM as the platform lists it."""

    name: str
    peers: Address
    leaving: bool = False


@attrs.define(kw_only=True, eq=False)
class MembershipProtocol:
    """The state machine; every input may leave messages in ``take_sends``."""

    _own: Member
    _settings: MembershipSettings
    _random: Random
    _started_at: float
    _seeds: tuple[Address, ...] = ()
    _outbox: Outbox = attrs.field(factory=Outbox, init=False)
    _roster: Roster = attrs.field(init=False)
    _prober: Prober = attrs.field(init=False)
    _listed: tuple[ListedVm, ...] = attrs.field(default=(), init=False)
    _departed: bool = attrs.field(default=False, init=False)
    _contact_due: float = attrs.field(default=float("-inf"), init=False)
    _sync_due: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        self._roster = Roster(own=self._own, settings=self._settings, started_at=self._started_at)
        self._prober = Prober(
            roster=self._roster,
            outbox=self._outbox,
            settings=self._settings,
            random=self._random,
        )

    @property
    def changed(self) -> bool:
        """Whether a state has changed since the last ``take_view``."""
        return self._roster.changed

    @property
    def silent(self) -> bool:
        """Whether this life is over: told to depart, or superseded by a newer life."""
        return self._departed or self._roster.superseded

    @property
    def health_factor(self) -> int:
        """By how much this VM stretches its timeouts: 1 when it trusts itself."""
        return self._roster.health.factor

    def take_view(self, now: float) -> MemberView:
        """Give the view, and note that it is known."""
        self._roster.changed = False
        return self._roster.view(now)

    def own_update(self, now: float) -> MemberUpdate:
        """Give what peers are told of this VM."""
        return self._roster.own_news(now)

    def take_sends(self) -> list[Send]:
        """Give the messages to send, and forget them."""
        return self._outbox.take()

    def set_load(self, load: float) -> None:
        """Set the share of the own capacity in use, which rides on the next messages."""
        self._roster.own.load = min(max(load, 0.0), 1.0)

    def set_listed(self, listed: tuple[ListedVm, ...], now: float) -> None:
        """Take the platform's list: VMs to contact, and lives that it says are leaving.

        The list lags and may be down, so it adds and marks, and never removes.
        """
        self._listed = listed
        for vm in listed:
            record = self._roster.table.find_by_name(vm.name)
            if not vm.leaving or record is None or record.peers != vm.peers:
                continue
            if now - record.known_since >= LISTING_SETTLE_S:
                self._roster.mark_leaving(record)
        self._flood(now)

    def leave(self, now: float) -> None:
        """Tell everyone that this life takes no new work; there is no way back."""
        self._roster.mark_leaving(self._roster.own)
        self._flood(now)

    def depart(self, now: float) -> None:
        """Tell everyone that this life ends now, so that nobody has to find out."""
        own = self._roster.own
        self._roster.mark_leaving(own)
        own.set_status(version=own.version, status=Status.DEAD, now=now)
        self._departed = True
        self._gossip(Gossip(news=(own.news(now),)))

    def tick(self, now: float, *, paused_s: float = 0.0) -> None:
        """Let time pass; ``paused_s`` tells that this process stood still before."""
        if self.silent:
            return
        self._roster.own.load_at = now
        if paused_s > 0:
            self._distrust(now)
        self._prober.tick(now)
        self._roster.end_suspicions(now)
        self._contact_strangers(now)
        self._flood(now)

    def receive(self, message: MembershipMessage, now: float) -> None:
        """Take a message from a peer."""
        if self.silent:
            return
        self._roster.merge_news(_news_of(message), now)
        if isinstance(message, Ping | Ack | Gossip):
            self._roster.merge_verdicts(message.verdicts, now)
        if not self.silent:
            self._act_on(message, now)
        self._flood(now)

    def _act_on(self, message: MembershipMessage, now: float) -> None:
        match message:
            case Ping():
                self._prober.on_ping(message, now)
                self._sync_if_different(message.own, message.digest, now)
            case Ack():
                self._prober.on_ack(message, now)
                self._sync_if_different(message.own, message.digest, now)
            case PingRequest():
                self._prober.on_ping_request(message, now)
            case Nack():
                self._prober.on_nack(message)
            case SyncRequest():
                self._reply_to_sync(message, now)
            case Gossip() | SyncReply():
                return

    def _distrust(self, now: float) -> None:
        """Trust nothing that ran out while this process stood still.

        Guards against a VM that wakes and declares everybody dead at once, since
        all its timeouts have passed: probes are forgotten, suspicions start again.
        """
        self._roster.health.note_pause()
        self._prober.forget()
        self._roster.restart_suspicions(now)

    def _contact_strangers(self, now: float) -> None:
        """Ping VMs that are not known to live: seeds, listed ones, and the dead.

        Without the dead the two sides of a healed cut would never talk again, each
        taking the other for dead.
        """
        if now < self._contact_due:
            return
        alone = not self._roster.others
        wait_s = self._settings.period_s if alone else self._settings.contact_interval_s
        self._contact_due = now + wait_s * self._random.uniform(0.5, 1.5)
        self._roster.table.forget_old_dead(now)
        strangers = self._strangers()
        count = min(len(strangers), CONTACTS_AT_ONCE if alone else 1)
        for address in self._random.sample(strangers, count):
            self._contact(address, now)

    def _strangers(self) -> list[Address]:
        dead = {record.peers for record in self._roster.table if not record.live}
        listed = {vm.peers for vm in self._listed}
        live = {record.peers for record in self._roster.table if record.live}
        return sorted({*self._seeds, *listed, *dead} - live, key=str)

    def _contact(self, address: Address, now: float) -> None:
        told = [r for r in self._roster.table if not r.live and r.peers == address]
        ping = Ping(
            sequence=0,
            own=self._roster.own_news(now),
            digest=self._roster.digest,
            news=tuple(record.news(now) for record in told),
        )
        self._outbox.send(address, ping)

    def _sync_if_different(self, peer: MemberUpdate, digest: int, now: float) -> None:
        """Ask for what a peer knows otherwise, at a bounded rate."""
        if digest == self._roster.digest or now < self._sync_due:
            return
        self._sync_due = now + SYNC_INTERVAL_S
        request = SyncRequest(own=self._roster.own_news(now), buckets=self._roster.table.buckets)
        self._outbox.send(peer.peer_address, request, expected=peer.incarnation)

    def _reply_to_sync(self, request: SyncRequest, now: float) -> None:
        news = [r.news(now) for r in self._roster.table.differing(request.buckets)]
        for start in range(0, len(news), SYNC_NEWS):
            reply = SyncReply(news=tuple(news[start : start + SYNC_NEWS]))
            self._outbox.send(request.own.peer_address, reply, expected=request.own.incarnation)

    def _flood(self, now: float) -> None:
        gossip = self._roster.take_flood(now)
        if gossip is not None:
            self._gossip(gossip)

    def _gossip(self, gossip: Gossip) -> None:
        for neighbour in self._roster.adjacent:
            self._outbox.send(neighbour.peers, gossip, expected=neighbour.incarnation)


def _news_of(message: MembershipMessage) -> Iterable[MemberUpdate]:
    match message:
        case Ping() | Ack():
            return (message.own, *message.news)
        case PingRequest():
            return (message.own, message.target)
        case SyncRequest():
            return (message.own,)
        case Gossip() | SyncReply():
            return message.news
        case Nack():
            return ()
