"""The fellow VMs: who they are, and which of them callers may be sent to.

Two sources, neither of them a promise. The store's register tells which VMs exist and
where their bus listens; it is read once, and lags a death by the life of a lease. What
VMs say of themselves several times a second, to each other or through hubs, tells who
is alive and takes callers now. A VM that has fallen silent, or was never heard though
it is registered, is dead or cut off: a caller sent there would lose its one retry, so
it is left out within a second or two.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.revisions import NOWHERE, Revision

ANNOUNCE_INTERVAL_S = 0.3
SILENCE_TIMEOUT_S = 1.0
"""Three words missed: one lost, or late by a slow turn, doesn't take a VM out."""
HUB_SILENCE_TIMEOUT_S = 2.0
"""Where hubs pass words on: the time to find another hub, and an interval for each hop."""
MAX_BLIND_S = 1.0
"""How long a VM goes on with what it knew of a data centre that no hub tells of.

Other hubs are found and answer within 2.2 s of a loss; what was known lasts 2.7 s.
"""
DISCOVERY_S = 3.0
"""After a start every VM that lives has been heard."""
FLEET_AT_START = 100
"""What is assumed until then: more than the fleets served, and a share that allows one repeat."""
NEWS_ROUNDS = 10
"""Digests in which a hub tells every state once, so that a lost one is made good.

A tenth each time: all at once are some 800 KB from a hub of 26 VMs.
"""
REPEATED_MOST = 3
"""States that one digest repeats: with a tenth of a hundred VMs, 200 bytes each, digests of
300 VMs took 45 KB a second of each VM's link; so a larger fleet takes more rounds.
"""
FORGET_S = 30.0
"""Beyond any lease, so that a dead VM's entry is not taken for a new VM."""


@attrs.frozen(kw_only=True)
class PeerState:
    """What a VM says of itself."""

    life: Incarnation
    data_center: str
    callers: Address
    """Where it listens for callers."""
    bus: Address
    takes_callers: bool = True
    leaving: bool = False
    configuration: int = 0
    """The version it has in force; 0 for none."""
    list_revision: Revision = NOWHERE
    """The store's revision of its list of targets."""
    store_away: bool = False
    """It has tried to reach the store of late, and could not."""
    link_mbps: float = 0.0
    """How much its link carries; 0 where it was not told."""

    def is_update_of(self, former: PeerState | None) -> bool:
        """Tell whether hubs pass this on at once to those who know ``former``.

        What a VM knows of the configuration and of the list is no news: it changes on
        every VM with each change, and hubs told the states of all VMs to all VMs (7.4 MB
        in 3 s after five changes at 69 VMs, 3.1 MB without). A hub's own knowledge is in
        each digest, and who lacks something asks the hub.
        """
        if former is None:
            return True
        alike = attrs.evolve(
            former, configuration=self.configuration, list_revision=self.list_revision
        )
        return self != alike


def repeats_in_round(number: int, *, speakers: int, in_round: int) -> bool:
    """Tell whether a hub repeats the state of one of the VMs that speak to it in this round."""
    rounds = max(NEWS_ROUNDS, math.ceil(speakers / REPEATED_MOST))
    return (number + in_round) % rounds == 0


@attrs.define(kw_only=True)
class _Fellow:
    state: PeerState
    known_at: float
    """When it was last heard, or first read of."""
    heard: bool = False


@attrs.define(kw_only=True)
class PeerTable:
    """The newest life of each VM but this one; times are seconds of the monotonic clock."""

    _own: Incarnation
    silent_s: float = SILENCE_TIMEOUT_S
    started_at: float = float("-inf")
    """When this VM began to listen."""
    blind_since: Mapping[str, float] = attrs.field(factory=dict)
    """Data centres that nothing is heard of, and since when: silence there tells nothing."""
    _fellows: dict[str, _Fellow] = attrs.field(factory=dict)
    _names: dict[int, str] = attrs.field(factory=dict)
    """By the random number of each life, which is how digests name it."""

    @property
    def states(self) -> tuple[PeerState, ...]:
        """What is known of every fellow, heard or registered."""
        return tuple(fellow.state for fellow in self._fellows.values())

    def max_fleet_size(self, now: float) -> int:
        """Give how many VMs there may be, this one among them.

        A VM that has just started knows of few. Taken for the whole fleet, they would let
        each of 69 VMs that restart together spend what is meant for all of them.
        """
        known = len(self._fellows) + 1
        settled = now - self.started_at >= DISCOVERY_S
        return known if settled else max(known, FLEET_AT_START)

    def present(self, now: float) -> tuple[PeerState, ...]:
        """Give the fellows that are not silent."""
        return tuple(f.state for f in self._fellows.values() if not self._is_silent(f, now))

    def find(self, name: str) -> PeerState | None:
        """Give what is known of a VM, or None."""
        fellow = self._fellows.get(name)
        return fellow.state if fellow else None

    def record_state(self, state: PeerState, now: float) -> bool:
        """Take what a VM says of itself; gives True for a life that was not heard before."""
        if state.life.name == self._own.name:
            return False
        known = self._fellows.get(state.life.name)
        if known is not None and self._is_former(state, known, now):
            return False
        self._put(_Fellow(state=state, known_at=now, heard=True))
        return known is None or known.state.life != state.life or not known.heard

    def record_digest(self, numbers: Iterable[int], now: float) -> bool:
        """Take the lives that a hub has heard; gives False where one is not known here."""
        all_known = True
        for number in numbers:
            fellow = self._fellows.get(self._names.get(number, ""))
            if fellow is not None and fellow.state.life.nonce == number:
                fellow.known_at = now
                fellow.heard = True
            elif number != self._own.nonce:
                all_known = False
        return all_known

    def record_registration(self, state: PeerState, now: float) -> None:
        """Take an entry of the register; what the VM itself said goes before it."""
        if state.life.name == self._own.name:
            return
        known = self._fellows.get(state.life.name)
        if known is None or known.state.life < state.life:
            self._put(_Fellow(state=state, known_at=now))

    def accepting_callers(self, now: float) -> tuple[PeerState, ...]:
        """Give the VMs that callers may be sent to."""
        return tuple(
            state for state in self.present(now) if state.takes_callers and not state.leaving
        )

    def expire(self, now: float) -> None:
        """Forget VMs that have been silent for long."""
        for name, fellow in list(self._fellows.items()):
            if now - fellow.known_at > FORGET_S:
                del self._fellows[name]
                self._names.pop(fellow.state.life.nonce, None)

    def _put(self, fellow: _Fellow) -> None:
        life = fellow.state.life
        former = self._fellows.get(life.name)
        if former is not None:
            self._names.pop(former.state.life.nonce, None)
        self._fellows[life.name] = fellow
        self._names[life.nonce] = life.name

    def _is_former(self, state: PeerState, known: _Fellow, now: float) -> bool:
        """Tell whether a word is of a life before the known one.

        Lives are ordered by the time of day, which may jump back: then a VM that has
        restarted seems older than the life that it replaced, and would be ignored. The
        former life says nothing any more, so once it is silent the word is believed.
        """
        return state.life < known.state.life and not self._is_silent(known, now)

    def _is_silent(self, fellow: _Fellow, now: float) -> bool:
        blind_since = self.blind_since.get(fellow.state.data_center)
        if blind_since is not None:
            now = max(blind_since, now - MAX_BLIND_S)
        return now - fellow.known_at > self.silent_s
