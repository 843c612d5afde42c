"""The membership protocol of one VM: takes messages and the time, returns messages and views.

It is the SWIM protocol with local health awareness: one probe a period, indirect probes through
helpers, and a suspicion that the suspected member can refute before it counts as dead. Probes go
along a fixed overlay of neighbours, on which changes are flooded at once; digests of the views
find the changes that a flood missed.
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
"""The number of VMs that a VM without any known live member pings at once; others ping one."""
SYNC_INTERVAL_S = 5.0
"""The minimum interval between two sync requests of this VM."""
MAX_SYNC_UPDATES = 100
"""The maximum number of members in one message of a sync reply; a larger reply is split."""
LISTING_SETTLE_S = 30.0
"""How long an incarnation must have been known before the platform's list may mark it as
leaving. The list lags, and may still describe the former incarnation at the same address."""


@attrs.frozen(kw_only=True)
class ListedVm:
    """An entry VM as the platform lists it."""

    name: str
    peers: Address
    leaving: bool = False


@attrs.define(kw_only=True, eq=False)
class MembershipProtocol:
    """The state machine; after every input, ``take_sends`` returns the messages to send."""

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
    _next_contact_at: float = attrs.field(default=float("-inf"), init=False)
    _next_sync_at: float = attrs.field(default=float("-inf"), init=False)

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
        """Whether this incarnation sends nothing more: it has departed or was superseded."""
        return self._departed or self._roster.superseded

    @property
    def health_factor(self) -> int:
        """The factor by which this VM multiplies its timeouts: 1 when it is healthy."""
        return self._roster.health.factor

    def take_view(self, now: float) -> MemberView:
        """Return the view, and reset ``changed``."""
        self._roster.changed = False
        return self._roster.view(now)

    def own_update(self, now: float) -> MemberUpdate:
        """Return the entry of this VM as it is sent to peers."""
        return self._roster.own_update(now)

    def take_sends(self) -> list[Send]:
        """Remove and return the messages to send."""
        return self._outbox.take()

    def set_load(self, load: float) -> None:
        """Set the share of the own capacity in use (0 to 1), which the next messages carry."""
        self._roster.own.load = min(max(load, 0.0), 1.0)

    def set_listed(self, listed: tuple[ListedVm, ...], now: float) -> None:
        """Apply the platform's list: VMs to contact, and members that it marks as leaving.

        The list lags and may be unavailable, so no member is removed because of it.
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
        """Announce that this incarnation takes no new work; this cannot be undone."""
        self._roster.mark_leaving(self._roster.own)
        self._flood(now)

    def depart(self, now: float) -> None:
        """Announce that this incarnation ends now, so that no peer has to detect it."""
        own = self._roster.own
        self._roster.mark_leaving(own)
        own.set_status(version=own.version, status=Status.DEAD, now=now)
        self._departed = True
        self._gossip(Gossip(news=(own.to_update(now),)))

    def tick(self, now: float, *, paused_s: float = 0.0) -> None:
        """Advance to ``now``; ``paused_s`` is how long this process was paused before."""
        if self.silent:
            return
        self._roster.own.load_at = now
        if paused_s > 0:
            self._distrust(now)
        self._prober.tick(now)
        self._roster.end_suspicions(now)
        self._contact_unreached(now)
        self._flood(now)

    def receive(self, message: MembershipMessage, now: float) -> None:
        """Handle a message from a peer."""
        if self.silent:
            return
        self._roster.merge_updates(_updates_in(message), now)
        if isinstance(message, Ping | Ack | Gossip):
            self._roster.merge_verdicts(message.verdicts, now)
        if not self.silent:
            self._dispatch(message, now)
        self._flood(now)

    def _dispatch(self, message: MembershipMessage, now: float) -> None:
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
        """Discard the probes and restart the suspicions whose time passed during a pause.

        Guards against a VM that resumes and declares all others dead at once, since all its
        timeouts have passed while it could not receive their answers.
        """
        self._roster.health.record_pause()
        self._prober.discard_outstanding()
        self._roster.restart_suspicions(now)

    def _contact_unreached(self, now: float) -> None:
        """Ping VMs that are not known to be alive: seeds, listed VMs and dead members.

        Dead members are included because after a network partition each side takes the other
        for dead: without these pings they would stay apart once it heals.
        """
        if now < self._next_contact_at:
            return
        alone = not self._roster.others
        wait_s = self._settings.period_s if alone else self._settings.contact_interval_s
        self._next_contact_at = now + wait_s * self._random.uniform(0.5, 1.5)
        self._roster.table.expire_dead(now)
        unreached = self._strangers()
        count = min(len(unreached), CONTACTS_AT_ONCE if alone else 1)
        for address in self._random.sample(unreached, count):
            self._contact(address, now)

    def _strangers(self) -> list[Address]:
        """Return the known addresses at which no member is live, in a fixed order."""
        dead = {record.peers for record in self._roster.table if not record.live}
        listed = {vm.peers for vm in self._listed}
        live = {record.peers for record in self._roster.table if record.live}
        return sorted({*self._seeds, *listed, *dead} - live, key=str)

    def _contact(self, address: Address, now: float) -> None:
        """Ping an address, with the dead entries known for it so that a live VM refutes them."""
        dead = [r for r in self._roster.table if not r.live and r.peers == address]
        ping = Ping(
            sequence=0,
            own=self._roster.own_update(now),
            digest=self._roster.digest,
            news=tuple(record.to_update(now) for record in dead),
        )
        self._outbox.send(address, ping)

    def _sync_if_different(self, peer: MemberUpdate, digest: int, now: float) -> None:
        """Request the members in which a peer's view differs, once per ``SYNC_INTERVAL_S``."""
        if digest == self._roster.digest or now < self._next_sync_at:
            return
        self._next_sync_at = now + SYNC_INTERVAL_S
        request = SyncRequest(own=self._roster.own_update(now), buckets=self._roster.table.buckets)
        self._outbox.send(peer.peer_address, request, expected=peer.incarnation)

    def _reply_to_sync(self, request: SyncRequest, now: float) -> None:
        """Send a peer the members of the buckets that differ, in messages of bounded size."""
        updates = [r.to_update(now) for r in self._roster.table.differing(request.buckets)]
        for start in range(0, len(updates), MAX_SYNC_UPDATES):
            reply = SyncReply(news=tuple(updates[start : start + MAX_SYNC_UPDATES]))
            self._outbox.send(request.own.peer_address, reply, expected=request.own.incarnation)

    def _flood(self, now: float) -> None:
        """Send the queued changes to the neighbours, if the flood interval has passed."""
        gossip = self._roster.take_flood(now)
        if gossip is not None:
            self._gossip(gossip)

    def _gossip(self, gossip: Gossip) -> None:
        """Send a message to all neighbours on the overlay."""
        for neighbour in self._roster.adjacent:
            self._outbox.send(neighbour.peers, gossip, expected=neighbour.incarnation)


def _updates_in(message: MembershipMessage) -> Iterable[MemberUpdate]:
    """Return the entries of members that a message carries."""
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
