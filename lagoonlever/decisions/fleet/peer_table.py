"""The other gateway VMs (peers) that a VM knows, and which of them callers may be sent to.

There are two sources, and either may be out of date. The register in the store says which VMs exist
and where their bus listens; it is read once, and an entry outlives its VM until the lease expires.
The states that VMs announce several times a second, to each other or through hubs, say which are
alive and accept callers now. A VM whose announcements have stopped, or that is registered but has
announced nothing, is dead or cut off. A caller sent there would use up its only retry, so the VM is
left out within a second or two.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.revisions import NOWHERE, Revision

ANNOUNCE_INTERVAL_S = 0.3
"""The interval at which a VM announces its state."""
SILENCE_TIMEOUT_S = 1.0
"""A VM counts as silent when none of its announcements arrived for this long: three intervals.
One announcement that is lost or delayed by a slow event loop does not exclude the VM."""
HUB_SILENCE_TIMEOUT_S = 2.0
"""The time after which a VM counts as silent where hubs report which VMs announce themselves. It
leaves the time to find another hub, and one announcement interval for each hop."""
MAX_BLIND_S = 1.0
"""How much longer the peers of a data centre count as present when no hub reports on it.

Other hubs are found and answer within 2.2 s of the loss of a hub. The peers count as present for
2.7 s: ``HUB_SILENCE_TIMEOUT_S`` and this time, less one announcement interval, as the last
announcement may be that old at the loss.
"""
DISCOVERY_S = 3.0
"""The time after its start within which a VM receives the state of every live peer."""
INITIAL_FLEET_SIZE = 100
"""The fleet size assumed during ``DISCOVERY_S``. It is above that of the fleets served, and small
enough that the VM's share of the fleet's retry budget still allows one retry."""
REPEAT_ROUNDS = 10
"""The minimum number of digests over which a hub repeats every state once, since the announcement
of a changed state may have been lost.

Each digest repeats a tenth of the states: all at once are some 800 KB from a hub of 26 VMs.
"""
MAX_REPEATED_STATES = 3
"""The number of states that one digest repeats at most; a larger fleet takes more rounds.

Where a hundred VMs announce themselves to a hub and each digest repeats a tenth of them, at 200
bytes a state, the digests in a fleet of 300 VMs took 45 KB a second of each VM's link.
"""
FORGET_AFTER_S = 30.0
"""How long a silent VM stays in the table. This is longer than any lease, so that the register
entry of a dead VM is not taken for a new VM."""


@attrs.frozen(kw_only=True)
class PeerState:
    """What a VM announces about itself."""

    life: Incarnation
    data_center: str
    callers: Address
    """Where it listens for callers."""
    bus: Address
    """Where it listens for messages of other VMs."""
    takes_callers: bool = True
    leaving: bool = False
    configuration: int = 0
    """The version of the configuration in force at that VM; 0 for none."""
    list_revision: Revision = NOWHERE
    """The store's revision of its list of targets."""
    store_away: bool = False
    """Whether it recently tried to reach the store and could not."""
    link_mbps: float = 0.0
    """The capacity of its network link in Mbit/s; 0 if unknown."""
    cut_off: bool = False
    """Whether it reaches no target by its own paths while other VMs do."""

    def is_update_of(self, former: PeerState | None) -> bool:
        """Check whether hubs forward this state at once to VMs that know ``former``.

        A new version of the configuration or revision of the target list is not a reason: it
        changes on every VM with each change, so hubs sent the states of all VMs to all VMs
        (7.4 MB in 3 s after five changes at 69 VMs, 3.1 MB without). Each digest contains what
        the hub itself has, and a VM that lacks it requests it from the hub.
        """
        if former is None:
            return True
        comparable = attrs.evolve(
            former, configuration=self.configuration, list_revision=self.list_revision
        )
        return self != comparable


def repeats_in_round(number: int, *, speakers: int, in_round: int) -> bool:
    """Check whether a hub's digest of round number ``in_round`` repeats the state of one VM.

    ``speakers`` is the number of VMs that announce themselves to the hub, ``number`` the index
    of the VM among them.
    """
    rounds = max(REPEAT_ROUNDS, math.ceil(speakers / MAX_REPEATED_STATES))
    return (number + in_round) % rounds == 0


@attrs.define(kw_only=True)
class _Peer:
    """The last known state of one peer, and when it was known."""

    state: PeerState
    known_at: float
    """When its last announcement arrived, or when it was first read from the register."""
    heard: bool = False
    """Whether an announcement of it arrived, directly or through a hub; else only registered."""
    leaving_since: float | None = None
    """When its first announcement arrived that it leaves."""


@attrs.define(kw_only=True)
class PeerTable:
    """The newest incarnation of each VM but this one; times in seconds of the monotonic clock."""

    _own: Incarnation
    silent_s: float = SILENCE_TIMEOUT_S
    started_at: float = float("-inf")
    """When this VM began to receive announcements."""
    blind_since: Mapping[str, float] = attrs.field(factory=dict)
    """The data centres that no hub reports on, and since when: peers there may be alive though
    no announcement of theirs arrives."""
    _peers: dict[str, _Peer] = attrs.field(factory=dict)
    _names: dict[int, str] = attrs.field(factory=dict)
    """Names by the nonce of the incarnation, which is how digests refer to VMs."""

    @property
    def states(self) -> tuple[PeerState, ...]:
        """The known states of all peers, whether announced or only registered."""
        return tuple(peer.state for peer in self._peers.values())

    def max_fleet_size(self, now: float) -> int:
        """Return the number of VMs that there may be, this one among them.

        A VM that has just started knows few peers. If it took them for the whole fleet, each of
        69 VMs that restart together would spend the retry budget that is meant for all of them.
        """
        known = len(self._peers) + 1
        discovered = now - self.started_at >= DISCOVERY_S
        return known if discovered else max(known, INITIAL_FLEET_SIZE)

    @property
    def known_fleet_size(self) -> int:
        """The number of VMs that this one has heard of, itself among them."""
        return len(self._peers) + 1

    def present(self, now: float) -> tuple[PeerState, ...]:
        """Return the states of the peers that are not silent."""
        return tuple(p.state for p in self._peers.values() if not self._is_silent(p, now))

    def find(self, name: str) -> PeerState | None:
        """Return the known state of a VM, or None."""
        peer = self._peers.get(name)
        return peer.state if peer else None

    def record_state(self, state: PeerState, now: float) -> bool:
        """Record the state that a VM announced; return whether its incarnation is new here.

        An announcement of a former incarnation, or of this VM itself, is ignored.
        """
        if state.life.name == self._own.name:
            return False
        known = self._peers.get(state.life.name)
        if known is not None and self._is_former(state, known, now):
            return False
        leaving_since = now if state.leaving else None
        if state.leaving and known is not None and known.state.life == state.life:
            leaving_since = known.leaving_since or now
        self._put(_Peer(state=state, known_at=now, heard=True, leaving_since=leaving_since))
        return known is None or known.state.life != state.life or not known.heard

    def record_digest(self, nonces: Iterable[int], now: float) -> bool:
        """Record which incarnations a hub receives announcements of.

        Return whether all of them are known here.
        """
        all_known = True
        for nonce in nonces:
            peer = self._peers.get(self._names.get(nonce, ""))
            if peer is not None and peer.state.life.nonce == nonce:
                peer.known_at = now
                peer.heard = True
            elif nonce != self._own.nonce:
                all_known = False
        return all_known

    def record_registration(self, state: PeerState, now: float) -> None:
        """Record an entry of the register, unless this incarnation or a newer one is known."""
        if state.life.name == self._own.name:
            return
        known = self._peers.get(state.life.name)
        if known is None or known.state.life < state.life:
            self._put(_Peer(state=state, known_at=now))

    def leaving_since(self, now: float) -> tuple[float, ...]:
        """Return when each of the peers that leave, and are not silent yet, began to."""
        present = (peer for peer in self._peers.values() if not self._is_silent(peer, now))
        return tuple(peer.leaving_since for peer in present if peer.leaving_since is not None)

    def accepting_callers(self, now: float) -> tuple[PeerState, ...]:
        """Return the states of the peers that callers may be sent to."""
        return tuple(
            state for state in self.present(now) if state.takes_callers and not state.leaving
        )

    def expire(self, now: float) -> None:
        """Remove the peers that have been silent for ``FORGET_AFTER_S``."""
        for name, peer in list(self._peers.items()):
            if now - peer.known_at > FORGET_AFTER_S:
                del self._peers[name]
                self._names.pop(peer.state.life.nonce, None)

    def _put(self, peer: _Peer) -> None:
        """Set the entry of a name, and remove the nonce of a former incarnation."""
        incarnation = peer.state.life
        former = self._peers.get(incarnation.name)
        if former is not None:
            self._names.pop(former.state.life.nonce, None)
        self._peers[incarnation.name] = peer
        self._names[incarnation.nonce] = incarnation.name

    def _is_former(self, state: PeerState, known: _Peer, now: float) -> bool:
        """Check whether a state is that of an incarnation before the known one.

        Incarnations are ordered by the wall clock, which may be set back: a VM that restarts
        then seems older than the incarnation it replaces, and would be ignored. The former
        incarnation announces nothing any more, so the state is accepted once it is silent.
        """
        return state.life < known.state.life and not self._is_silent(known, now)

    def _is_silent(self, peer: _Peer, now: float) -> bool:
        """Check whether no announcement of a peer arrived for ``silent_s``.

        Where no hub reports on its data centre, the limit is up to ``MAX_BLIND_S`` longer: the
        hubs have then failed, and the peer itself may be alive.
        """
        blind_since = self.blind_since.get(peer.state.data_center)
        if blind_since is not None:
            now = max(blind_since, now - MAX_BLIND_S)
        return now - peer.known_at > self.silent_s
