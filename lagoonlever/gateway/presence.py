"""Says to the other gateways that this one is there, and notes who of them is.

In a small fleet every VM speaks to every other. In a larger one it speaks to the hubs
of its data centre, and a hub is who is spoken to: it tells the VMs that speak to it, and
the hubs of the other data centres, whom it has heard itself, and passes on what other
data centres' hubs tell. So views need not agree on who is a hub. Only what a hub has
heard itself is told as heard: else two hubs would keep a dead VM alive for each other.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.fleet.digests import maximal_digests
from lagoonlever.decisions.fleet.hub_watch import HubWatch
from lagoonlever.decisions.fleet.peer_table import (
    ANNOUNCE_INTERVAL_S,
    DISCOVERY_S,
    HUB_SILENCE_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    PeerState,
    repeats_in_round,
)
from lagoonlever.decisions.fleet.roles import HUBS_PER_DATA_CENTER, Roles, assign_roles
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_gateway import FellowAsk, FellowDigest, FellowDigests, FellowList
from lagoonlever.published import Published
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

SETTLE_S = 0.5
"""After a start, before this VM takes a role: until then it hardly knows the others."""
ASK_EVERY_S = 1.0
"""Between two questions for VMs that a hub has heard: its news tells most of them anyway."""
ROUNDS_TOLD = HUBS_PER_DATA_CENTER
"""Digests that tell a change: a VM speaks to the hubs in turn, and each answers it only then."""
ASK_FELLOW_EVERY_S = 3.0
"""Between two questions to fellows once a VM has had time to hear of all that live."""


@attrs.define(kw_only=True, eq=False)
class Presence:
    """Owns the table of fellows and this VM's roles."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _own_state: Callable[[], PeerState]
    _seeds: tuple[Address, ...] = ()
    _greet: list[Callable[[Address], None]] = attrs.field(factory=list)
    _met: list[Callable[[Address], None]] = attrs.field(factory=list)
    _lost: list[Callable[[str], None]] = attrs.field(factory=list)
    roles: Published[Roles | None] = attrs.field(factory=lambda: Published[Roles | None](None))
    """None until this VM had time to hear of the others."""
    _started: float | None = None
    _direct: dict[str, float] = attrs.field(factory=dict)
    """When each VM was last heard without a hub between."""
    _spoke: set[str] = attrs.field(factory=set)
    """VMs that have spoken to this one since the last round."""
    _fresh: dict[str, int] = attrs.field(factory=dict)
    """VMs whose state has changed, and how many digests are still to tell it."""
    _passing: dict[str, FellowDigest] = attrs.field(factory=dict)
    """The digests of this round that may be passed on, by the hub that made them."""
    _told_by: set[str] = attrs.field(factory=set)
    """Hubs whose digests came since the last round."""
    _hub_watch: HubWatch = attrs.field(factory=HubWatch)
    _rounds: int = 0
    """Digests that this VM has made."""
    _turns: int = 0
    """Words to hubs, which take turns."""
    _asked_at: float = float("-inf")
    _silent: set[str] = attrs.field(factory=set)
    _asked_fellows: int = 0
    """How many questions were put to fellows in turn."""
    _asked_fellow_at: float = float("-inf")

    def on_greeting(self, notify: Callable[[Address], None]) -> None:
        """Have ``notify`` called with the bus of each VM that asks who is there."""
        self._greet.append(notify)

    def on_meeting(self, notify: Callable[[Address], None]) -> None:
        """Have ``notify`` called with the bus of each VM that is heard first, or again."""
        self._met.append(notify)

    def on_loss(self, notify: Callable[[str], None]) -> None:
        """Have ``notify`` called with the name of each VM that falls silent or is replaced."""
        self._lost.append(notify)

    def reseed(self, seeds: tuple[Address, ...]) -> None:
        """Take other addresses to ask while no fellow is known."""
        self._seeds = seeds

    async def run(self) -> None:
        """Say and listen until cancelled."""
        self._started = self._beliefs.fellows.started_at = self._timers.now
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_states)
            nursery.start_soon(self._receive_digests)
            nursery.start_soon(self._receive_asks)
            nursery.start_soon(self._receive_lists)
            with self._timers.subscribed(self._round, period_s=ANNOUNCE_INTERVAL_S):
                await trio.sleep_forever()

    def say_now(self) -> None:
        """Tell of this VM at once, as when it begins to leave: every fellow, or the hubs."""
        state, now = self._own_state(), self._timers.now
        roles = self._roles_now(state, now, self._present(now))
        if not roles.mesh:
            self._send_to(roles.hubs, state)
            return
        present = self._present(now)
        self._bus.send_to_all((fellow.bus for fellow in present), state)

    def _round(self, tick: Tick) -> None:
        own, present = self._own_state(), self._present(tick.now)
        roles = self._roles_now(own, tick.now, present)
        self._watch_hubs(roles, tick.now)
        self._take_roles(roles, tick.now)
        self._say(own, roles, tick.now)
        if not roles.mesh:
            self._gather(own, roles, tick.now)
        self._fresh = {name: left - 1 for name, left in self._fresh.items() if left > 1}
        self._passing.clear()
        self._told_by.clear()
        self._spoke.clear()
        self._note_silent(present)
        if not present:
            self._ask_seeds(own)
        elif roles.mesh:
            self._ask_fellow(present, tick.now)

    def _roles_now(
        self,
        own: PeerState,
        now: float,
        present: tuple[PeerState, ...],
        *,
        without: frozenset[str] = frozenset(),
    ) -> Roles:
        """Work out the roles; ``without`` names hubs that are left out for a moment."""
        watch = self._hub_watch
        return assign_roles(
            own,
            present,
            failed=watch.failed_hubs(now) | without,
            isolated=watch.is_isolated(now),
        )

    def _present(self, now: float) -> tuple[PeerState, ...]:
        return self._beliefs.fellows.present(now)

    def _watch_hubs(self, roles: Roles, now: float) -> None:
        fellows = self._beliefs.fellows
        if roles.mesh:
            self._hub_watch.reset()
            fellows.silent_s, fellows.blind_since = SILENCE_TIMEOUT_S, {}
            return
        for hub in self._hub_watch.take_overdue(now):
            events.HUB_PASSED_OVER.log(log, vm=hub)
        fellows.silent_s, fellows.blind_since = (
            HUB_SILENCE_TIMEOUT_S,
            self._hub_watch.blind_since(now),
        )

    def _take_roles(self, roles: Roles, now: float) -> None:
        settled = self._started is not None and now - self._started >= SETTLE_S
        if not settled or roles == self.roles.value:
            return
        former = self.roles.value
        self.roles.publish(roles)
        if former is None or _duties(former) != _duties(roles):
            events.ROLES.log(log, reads=roles.reads_store, hub=roles.is_hub, mesh=roles.mesh)

    def _say(self, own: PeerState, roles: Roles, now: float) -> None:
        """Speak to every VM of a small fleet, of a larger one to one hub after the other.

        A hub answers whoever has spoken to it. With each word to both hubs a VM at rest
        sent and got twice as many messages, and did nothing else: 16.7 ms of processor time a
        VM and second at 195 VMs.
        """
        if roles.mesh:
            self._bus.send_to_all((f.bus for f in self._beliefs.fellows.states), own)
            return
        self._turns += 1
        hubs = roles.hubs[self._turns % len(roles.hubs) :][:1] if roles.hubs else ()
        doubtful = self._hub_watch.late_hubs(now)
        if doubtful:
            # Both hubs may have died together: whoever would follow them is spoken to before
            # they are given up, else the VMs here hear of nobody for too long.
            others = self._roles_now(own, now, self._present(now), without=doubtful).hubs
            hubs = tuple(dict.fromkeys((*roles.hubs, *others)))
        if self._hub_watch.is_isolated(now):
            # This VM may have been cut off, and passes over hubs that were there all along.
            hubs = tuple(dict.fromkeys((*hubs, *assign_roles(own, self._present(now)).hubs)))
        for hub in hubs:
            if hub != own.life.name:
                self._hub_watch.record_sent(hub, now)
        self._send_to(hubs, own)

    def _send_to(self, names: tuple[str, ...], message: object) -> None:
        for name in names:
            fellow = self._beliefs.fellows.find(name)
            if fellow is not None:
                self._bus.send(fellow.bus, message)

    def _gather(self, own: PeerState, roles: Roles, now: float) -> None:
        """Tell whom this VM has heard, if any VM speaks to it, and what hubs elsewhere told."""
        speakers = self._speakers(own, now)
        if not speakers:
            return
        self._rounds += 1
        digest = self._digest(own, speakers)
        told = (state.life.name for state in self._remote_hubs(own))
        for hub in dict.fromkeys((*roles.other_hubs, *told)):
            self._send_to((hub,), FellowDigests(digests=(digest, *self._hubs_to_meet(hub, roles))))
        together = FellowDigests(digests=(digest, *self._passed_on()))
        told_now = [speaker for speaker in speakers if speaker.life.name in self._spoke]
        self._bus.send_to_all((speaker.bus for speaker in told_now), together)

    def _hubs_to_meet(self, name: str, roles: Roles) -> list[FellowDigest]:
        """Return digests that tell a hub elsewhere of its data center's hubs that don't hear it.

        VMs that were cut from the rest of their data center take each other for its hubs, as do
        VMs that heard of no others there when the fleet started. Both parts hear the hubs
        elsewhere, so neither takes itself for cut off, and neither would ever hear the other.
        """
        fellows = self._beliefs.fellows
        state = fellows.find(name)
        if state is None:
            return []
        unmet = [
            fellows.find(hub)
            for hub in roles.other_hubs
            if hub != name
            and (digest := self._passing.get(hub)) is not None
            and digest.data_center == state.data_center
            and state.life.nonce not in digest.heard
        ]
        return [
            FellowDigest(
                hub=hub.life.name,
                data_center=hub.data_center,
                heard=(hub.life.nonce,),
                news=(hub,),
            )
            for hub in unmet
            if hub is not None
        ]

    def _passed_on(self) -> list[FellowDigest]:
        """Return the fewest digests that tell of every VM that hubs elsewhere have heard."""
        by_place: dict[str, list[FellowDigest]] = {}
        for digest in self._passing.values():
            by_place.setdefault(digest.data_center, []).append(digest)
        return [
            digests[number]
            for digests in by_place.values()
            for number in maximal_digests([frozenset(digest.heard) for digest in digests])
        ]

    def _speakers(self, own: PeerState, now: float) -> list[PeerState]:
        """Return the VMs of this data centre that speak to this one."""
        self._direct = {
            name: at for name, at in self._direct.items() if now - at <= SILENCE_TIMEOUT_S
        }
        known = [self._beliefs.fellows.find(name) for name in self._direct]
        return [s for s in known if s is not None and s.data_center == own.data_center]

    def _remote_hubs(self, own: PeerState) -> list[PeerState]:
        """Return the hubs elsewhere that speak to this VM, so take it for a hub too."""
        known = [self._beliefs.fellows.find(hub) for hub in self._told_by]
        return [s for s in known if s is not None and s.data_center != own.data_center]

    def _digest(self, own: PeerState, speakers: list[PeerState]) -> FellowDigest:
        told = [own]
        for number, state in enumerate(speakers):
            # Each VM gets every other digest of a hub, so each state is in two that follow.
            turn = self._rounds // ROUNDS_TOLD
            repeated = repeats_in_round(number, speakers=len(speakers), in_round=turn)
            if repeated or state.life.name in self._fresh:
                told.append(state)
        return FellowDigest(
            hub=own.life.name,
            data_center=own.data_center,
            heard=(own.life.nonce, *(state.life.nonce for state in speakers)),
            news=tuple(told),
        )

    async def _receive_states(self) -> None:
        async for received in self._bus.subscribe(PeerState):
            self._take_state(received.message)

    def _take_state(self, state: PeerState) -> None:
        now = self._timers.now
        former = self._beliefs.fellows.find(state.life.name)
        self._direct[state.life.name] = now
        self._spoke.add(state.life.name)
        if state.is_update_of(former):
            self._fresh[state.life.name] = ROUNDS_TOLD
        if self._beliefs.fellows.record_state(state, now):
            self._meet(state, former)

    def _meet(self, state: PeerState, former: PeerState | None) -> None:
        """Answer a VM that is new here; what its former life ran is gone."""
        events.FELLOW_LISTED.log(log, vm=state.life.name, life=str(state.life), state="heard")
        if former is not None and former.life != state.life:
            self._tell_lost(state.life.name)
        self._bus.send(state.bus, self._own_state())
        for notify in self._met:
            notify(state.bus)

    async def _receive_digests(self) -> None:
        async for received in self._bus.subscribe(FellowDigests):
            for digest in received.message.digests:
                self._take_digest(digest, received.sender.name)

    def _take_digest(self, digest: FellowDigest, sender: str) -> None:
        now = self._timers.now
        fellows = self._beliefs.fellows
        own = self._own_state()
        self._hub_watch.record_answer(sender, now, data_center=digest.data_center)
        for state in digest.news:
            former = fellows.find(state.life.name)
            if fellows.record_state(state, now) and former and former.life != state.life:
                self._tell_lost(state.life.name)
        if not fellows.record_digest(digest.heard, now):
            self._ask_who(digest.hub, now)
        if sender != digest.hub:
            return
        self._told_by.add(digest.hub)
        if self._passes_on(digest, own):
            self._passing[digest.hub] = digest

    def _passes_on(self, digest: FellowDigest, own: PeerState) -> bool:
        """Check whether the VMs that speak to this one are to get a hub's digest.

        Those of other data centres, which this VM gets for them. And, where this VM takes
        others for the hubs, those hubs' too: who speaks to it thereby learns of them.
        """
        roles = self.roles.value
        near = digest.data_center == own.data_center
        return not near or (roles is not None and not roles.is_hub)

    def _ask_who(self, hub: str, now: float) -> None:
        """Ask a hub for the VMs that it has heard and this one has never met."""
        known = self._beliefs.fellows.find(hub)
        if known is None or now - self._asked_at < ASK_EVERY_S:
            return
        self._asked_at = now
        self._bus.send(known.bus, FellowAsk(reply_to=self._own_state().bus))

    async def _receive_asks(self) -> None:
        async for received in self._bus.subscribe(FellowAsk):
            self._answer(received.message.reply_to)

    def _answer(self, reply_to: Address) -> None:
        """Tell who is there: every VM, or of a large fleet only its hubs.

        A seed is asked by the whole fleet at once after a loss of all VMs, and the whole
        list, some 16 KB at 69 VMs, would fill its link for seconds. The hubs that it
        names tell the rest to the VMs of their own data centre.
        """
        own, now = self._own_state(), self._timers.now
        fellows = self._beliefs.fellows
        roles = self._roles_now(own, now, self._present(now))
        told: tuple[PeerState, ...] = fellows.states
        if not roles.mesh and not self._speakers(own, now):
            names = (*roles.hubs, *roles.other_hubs)
            told = tuple(state for state in fellows.states if state.life.name in names)
        self._bus.send(reply_to, FellowList(fellows=(own, *told)))
        for notify in self._greet:
            notify(reply_to)

    async def _receive_lists(self) -> None:
        async for received in self._bus.subscribe(FellowList):
            self._take_list(received.message)

    def _take_list(self, known: FellowList) -> None:
        """Take who is there, and speak at once to those who are to hear of this VM."""
        own, now = self._own_state(), self._timers.now
        fellows = self._beliefs.fellows
        new = [state for state in known.fellows if fellows.find(state.life.name) is None]
        for state in known.fellows:
            fellows.record_registration(state, now)
        if new:
            self._say(own, self._roles_now(own, now, self._present(now)), now)

    def _note_silent(self, present: tuple[PeerState, ...]) -> None:
        """Log who fell silent or came back, and tell those who counted on the silent ones."""
        known = {state.life.name for state in self._beliefs.fellows.states}
        silent = known - {state.life.name for state in present}
        for name in silent - self._silent:
            events.FELLOW_SILENT.log(log, vm=name)
            self._tell_lost(name)
        for name in self._silent - silent:
            events.FELLOW_HEARD.log(log, vm=name)
            self._tell_met(name)
        self._silent = silent

    def _ask_seeds(self, own: PeerState) -> None:
        """Make this VM known to the seeds until it knows somebody who lives."""
        for seed in self._seeds:
            if seed != own.bus:
                self._bus.send(seed, own)
                self._bus.send(seed, FellowAsk(reply_to=own.bus))

    def _ask_fellow(self, present: tuple[PeerState, ...], now: float) -> None:
        """Ask one VM after the other who is there, where nobody passes on who lives.

        Two VMs that started together may each have asked a seed before it took in the word of
        the other. No list that they got named the other one, and so neither spoke to it, for
        as long as both lived: no caller was sent there, no run or loss told. A VM that heard a
        few others of a large fleet first took them for all, and no hub heard of it for 1.8 s.
        """
        started = self._started if self._started is not None else now
        every_s = 0.0 if now - started <= DISCOVERY_S else ASK_FELLOW_EVERY_S
        if now - self._asked_fellow_at < every_s:
            return
        fellow = present[self._asked_fellows % len(present)]
        self._asked_fellows += 1
        self._asked_fellow_at = now
        self._bus.send(fellow.bus, FellowAsk(reply_to=self._bus.address))

    def _tell_met(self, name: str) -> None:
        state = self._beliefs.fellows.find(name)
        if state is None:
            return
        for notify in self._met:
            notify(state.bus)

    def _tell_lost(self, name: str) -> None:
        for notify in self._lost:
            notify(name)


def _duties(roles: Roles) -> tuple[bool, bool, bool]:
    return roles.reads_store, roles.is_hub, roles.mesh
