"""Says to the other gateways that this one is there, and notes who of them is.

In a small fleet every VM speaks to every other. In a larger one it speaks to the hubs
of its data centre; a hub tells the VMs of its data centre, and the hubs of the others,
whom it has heard itself, and passes on what other data centres' hubs tell. Only what a
hub has heard itself is told as heard: else two hubs would keep a dead VM alive for each
other.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.fellows import (
    HUB_SILENT_S,
    SAY_EVERY_S,
    SILENT_S,
    FellowState,
)
from lagoonlever.decisions.roles import Roles, roles_of
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages import Received
from lagoonlever.peers.messages_gateway import FellowAsk, FellowDigest, FellowList
from lagoonlever.published import Published
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

SETTLE_S = 0.5
"""After a start, before this VM takes a role: until then it hardly knows the others."""
FULL_EVERY = 10
"""Digests between two that tell every state in full, so that a lost one is made good."""
ASK_EVERY_S = 0.3


@attrs.define(kw_only=True)
class _Passing:
    """The last digest of a hub elsewhere, to be passed on once."""

    digest: FellowDigest


@attrs.define(kw_only=True, eq=False)
class Presence:
    """Owns the table of fellows and this VM's roles."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _own_state: Callable[[], FellowState]
    _seeds: tuple[Address, ...] = ()
    _greet: list[Callable[[FellowState], None]] = attrs.field(factory=list)
    _lost: list[Callable[[str], None]] = attrs.field(factory=list)
    roles: Published[Roles | None] = attrs.field(factory=lambda: Published[Roles | None](None))
    """None until this VM had time to hear of the others."""
    _started: float | None = None
    _direct: dict[str, float] = attrs.field(factory=dict)
    """When each VM was last heard without a hub between."""
    _fresh: dict[str, FellowState] = attrs.field(factory=dict)
    """States that changed since the last digest."""
    _passing: dict[str, _Passing] = attrs.field(factory=dict)
    _rounds: int = 0
    _asked_at: float = float("-inf")
    _silent: set[str] = attrs.field(factory=set)

    def on_greeting(self, notify: Callable[[FellowState], None]) -> None:
        """Have ``notify`` called with each VM that is heard for the first time."""
        self._greet.append(notify)

    def on_loss(self, notify: Callable[[str], None]) -> None:
        """Have ``notify`` called with the name of each VM that falls silent or is replaced."""
        self._lost.append(notify)

    def reseed(self, seeds: tuple[Address, ...]) -> None:
        """Take other addresses to ask while no fellow is known."""
        self._seeds = seeds

    async def run(self) -> None:
        """Say and listen until cancelled."""
        self._started = self._timers.now
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_states)
            nursery.start_soon(self._receive_digests)
            nursery.start_soon(self._receive_asks)
            nursery.start_soon(self._receive_lists)
            with self._timers.subscribed(self._round, period_s=SAY_EVERY_S):
                await trio.sleep_forever()

    def say_now(self) -> None:
        """Tell every fellow of this VM at once, as when it begins to leave."""
        state = self._own_state()
        for fellow in self._beliefs.fellows.present(self._timers.now):
            self._bus.send(fellow.bus, state)

    def _round(self, tick: Tick) -> None:
        own = self._own_state()
        fellows = self._beliefs.fellows
        roles = roles_of(own, fellows.present(tick.now))
        fellows.silent_s = SILENT_S if roles.mesh else HUB_SILENT_S
        self._take_roles(roles, tick.now)
        self._say(own, roles)
        if roles.is_hub and not roles.mesh:
            self._gather(own, roles, tick.now)
        self._fresh.clear()
        self._passing.clear()
        self._note_silent(tick.now)
        self._ask_seeds(own)

    def _take_roles(self, roles: Roles, now: float) -> None:
        settled = self._started is not None and now - self._started >= SETTLE_S
        if not settled or roles == self.roles.value:
            return
        former = self.roles.value
        self.roles.publish(roles)
        if former is None or _duties(former) != _duties(roles):
            events.ROLES.log(log, reads=roles.reads_store, hub=roles.is_hub, mesh=roles.mesh)

    def _say(self, own: FellowState, roles: Roles) -> None:
        if roles.mesh:
            for fellow in self._beliefs.fellows.states:
                self._bus.send(fellow.bus, own)
            return
        for name in roles.hubs:
            hub = self._beliefs.fellows.find(name)
            if hub is not None:
                self._bus.send(hub.bus, own)

    def _gather(self, own: FellowState, roles: Roles, now: float) -> None:
        """Tell whom this hub has heard, and pass on what hubs elsewhere have told."""
        self._rounds += 1
        digest = self._digest(own, now, full=self._rounds % FULL_EVERY == 0)
        fellows = self._beliefs.fellows
        for name in roles.other_hubs:
            hub = fellows.find(name)
            if hub is not None:
                self._bus.send(hub.bus, digest)
        for fellow in fellows.states:
            if fellow.data_center != own.data_center:
                continue
            self._bus.send(fellow.bus, digest)
            for passing in self._passing.values():
                self._bus.send(fellow.bus, passing.digest)

    def _digest(self, own: FellowState, now: float, *, full: bool) -> FellowDigest:
        near = {own.life.name: own}
        for name, at in self._direct.items():
            state = self._beliefs.fellows.find(name)
            near_here = state is not None and state.data_center == own.data_center
            if state is not None and near_here and now - at <= SILENT_S:
                near[name] = state
        news = near if full else {n: s for n, s in near.items() if n in self._fresh or s is own}
        return FellowDigest(
            hub=own.life.name,
            data_center=own.data_center,
            heard=tuple(state.life.nonce for state in near.values()),
            news=tuple(news.values()),
        )

    async def _receive_states(self) -> None:
        async for received in self._bus.subscribe(FellowState):
            self._take_state(received.message)

    def _take_state(self, state: FellowState) -> None:
        now = self._timers.now
        former = self._beliefs.fellows.find(state.life.name)
        self._direct[state.life.name] = now
        if former != state:
            self._fresh[state.life.name] = state
        if self._beliefs.fellows.heard(state, now):
            self._meet(state, former)

    def _meet(self, state: FellowState, former: FellowState | None) -> None:
        """Answer a VM that is new here; what its former life ran is gone."""
        events.FELLOW_LISTED.log(log, vm=state.life.name, life=str(state.life), state="heard")
        if former is not None and former.life != state.life:
            self._tell_lost(state.life.name)
        self._bus.send(state.bus, self._own_state())
        self._bus.send(state.bus, FellowList(fellows=self._beliefs.fellows.states))
        for notify in self._greet:
            notify(state)

    async def _receive_digests(self) -> None:
        async for received in self._bus.subscribe(FellowDigest):
            self._take_digest(received)

    def _take_digest(self, received: Received[FellowDigest]) -> None:
        digest, now = received.message, self._timers.now
        fellows = self._beliefs.fellows
        for state in digest.news:
            former = fellows.find(state.life.name)
            if fellows.heard(state, now) and former and former.life != state.life:
                self._tell_lost(state.life.name)
        if not fellows.seen(digest.heard, now) and now - self._asked_at >= ASK_EVERY_S:
            self._asked_at = now
            hub = fellows.find(digest.hub)
            if hub is not None:
                self._bus.send(hub.bus, FellowAsk(reply_to=self._own_state().bus))
        if digest.data_center != self._own_state().data_center:
            self._passing[digest.hub] = _Passing(digest=digest)

    async def _receive_asks(self) -> None:
        async for received in self._bus.subscribe(FellowAsk):
            answer = FellowList(fellows=(self._own_state(), *self._beliefs.fellows.states))
            self._bus.send(received.message.reply_to, answer)

    async def _receive_lists(self) -> None:
        async for received in self._bus.subscribe(FellowList):
            own, now = self._own_state(), self._timers.now
            for state in received.message.fellows:
                known = self._beliefs.fellows.find(state.life.name)
                self._beliefs.fellows.registered(state, now)
                if known is None and state.life.name != own.life.name:
                    self._bus.send(state.bus, own)

    def _note_silent(self, now: float) -> None:
        """Log who fell silent or came back, and tell those who counted on the silent ones."""
        fellows = self._beliefs.fellows
        silent = {s.life.name for s in fellows.states if fellows.is_silent(s.life.name, now)}
        for name in silent - self._silent:
            events.FELLOW_SILENT.log(log, vm=name)
            self._tell_lost(name)
        for name in self._silent - silent:
            events.FELLOW_HEARD.log(log, vm=name)
        self._silent = silent

    def _ask_seeds(self, own: FellowState) -> None:
        """Make this VM known to the seeds until it knows somebody who lives."""
        if self._beliefs.fellows.present(self._timers.now):
            return
        for seed in self._seeds:
            if seed != own.bus:
                self._bus.send(seed, own)

    def _tell_lost(self, name: str) -> None:
        for notify in self._lost:
            notify(name)


def _duties(roles: Roles) -> tuple[bool, bool, bool]:
    return roles.reads_store, roles.is_hub, roles.mesh
