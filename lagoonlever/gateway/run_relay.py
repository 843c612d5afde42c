"""Tells the other gateways what becomes of runs: all of them, or those that hold the book.

The load that is answered: each run is told some five times, and told to every VM its cost
grows with runs times VMs. So in a very large fleet only the hubs hear of runs
(`lagoonlever/decisions/fleet/news_paths.py`): a VM tells its hub, which gathers for 10 ms what its
VMs tell and passes it on to the other hubs, and VMs that place a run ask a hub
(`lagoonlever/gateway/placer.py`). Of a lost engine a hub tells at once those of its data
centre's VMs that it concerns.

Late news costs worse placements, so smaller fleets tell directly.

What is told is soft state. A hub that dies takes the last 10 ms with it, which may cost
a worse placement or a second reading of a prompt, never an answer.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.codec import UnknownMessage
from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.fleet.update_routing import sends_directly, vms_affected_by_losses
from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.peers.compression import UnreadablePack, pack, unpack
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_gateway import (
    EngineLost,
    NewsStage,
    PackedNews,
    RunChange,
    RunCopied,
    RunEnded,
    RunFlows,
    RunNews,
)
from lagoonlever.published import Published
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

GATHER_S = 0.01
"""How long a hub gathers; lost engines are told at once, as streams wait for that.

Each hub sends to one VM of each data centre, so this bounds its messages; longer, and two
hubs more often give the same place.
"""
MOST_CHANGES_WAITING = 4096
"""Changes of one kind that wait here: of all streams of a large fleet, if all change at once."""
DIRECT_NEWS_S = 0.02
"""What other VMs place is known after this where they tell it themselves."""
RELAYED_NEWS_S = 0.03
"""The same among hubs: gathered twice, and carried to another data centre."""


@attrs.define(kw_only=True, eq=False)
class RunRelay:
    """Sends this VM's changes, and passes on those of others where it is their hub."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _roles: Published[Roles | None]
    _own: str
    """This VM's name."""
    _take: Callable[[RunChange, str], None]
    """Takes a change that another VM tells, and that VM's name."""
    _near: list[RunChange] = attrs.field(factory=list)
    """Gathered for the other hubs of this data centre."""
    _far: list[RunChange] = attrs.field(factory=list)
    """Gathered for hubs of the other data centres."""
    _gathered: trio.Event = attrs.field(factory=trio.Event)
    _urgent: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Take what others tell, and tell what was gathered, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._tell_gathered)

    def tell(self, change: RunChange) -> None:
        """Tell those that are to know of a change of this VM."""
        present = self._beliefs.fellows.present(self._timers.now)
        hub = None if sends_directly(len(present)) else self._hub()
        if hub is None:
            self._beliefs.book.news_s = DIRECT_NEWS_S
            self._bus.send_to_all((fellow.bus for fellow in present), change)
            return
        self._beliefs.book.news_s = RELAYED_NEWS_S
        if hub == self._own:
            self._gather([change], far=True)
            return
        state = self._beliefs.fellows.find(hub)
        if state is not None:
            self._bus.send(state.bus, _packed(NewsStage.GATHER, [change]))

    def _hub(self) -> str | None:
        """Return the hub that this VM tells; None until it has one."""
        roles = self._roles.value
        return roles.hubs[0] if roles is not None and roles.hubs else None

    async def _receive(self) -> None:
        async for received in self._bus.subscribe(PackedNews, capacity=MOST_CHANGES_WAITING):
            try:
                news = PEER.decode(unpack(received.message.value))
            except (UnreadablePack, UnknownMessage) as error:
                events.NEWS_UNREADABLE.log(log, vm=received.sender.name, error=str(error))
                continue
            if isinstance(news, RunNews):
                self._take_news(news, received.sender.name)

    def _take_news(self, news: RunNews, source: str) -> None:
        known = {lost.engine for lost in news.lost if self._is_known_lost(lost)}
        for change in news.changes:
            self._take(change, source)
        if news.stage is NewsStage.TELL:
            return
        told = [c for c in news.changes if not (isinstance(c, EngineLost) and c.engine in known)]
        if told:
            self._gather(told, far=news.stage is NewsStage.GATHER)

    def _is_known_lost(self, lost: EngineLost) -> bool:
        """Check whether a hub has told of a loss already.

        Each VM with a stream on an engine that crashes tells of it: told on each time, one
        crash was some hundred messages to every VM.
        """
        avoidance = self._beliefs.book.avoidance
        return not lost.replaced and avoidance.is_avoided(lost.engine, self._timers.now)

    def _gather(self, changes: list[RunChange], *, far: bool) -> None:
        self._near += changes
        if far:
            self._far += changes
        self._gathered.set()
        if any(isinstance(change, EngineLost) for change in changes):
            self._urgent.set()

    async def _tell_gathered(self) -> None:
        while True:
            await self._gathered.wait()
            with trio.move_on_after(GATHER_S):
                await self._urgent.wait()
            self._gathered, self._urgent = trio.Event(), trio.Event()
            near, self._near = self._near, []
            far, self._far = self._far, []
            present = self._beliefs.fellows.present(self._timers.now)
            by_name = {state.life.name: state for state in present}
            hubs = self._near_hubs(by_name)
            self._send(NewsStage.TELL, near, hubs)
            self._send(NewsStage.PASS_ON, far, self._far_hubs(by_name))
            lost: list[RunChange] = [c for c in near if isinstance(c, EngineLost)]
            self._send(NewsStage.TELL, lost, self._concerned(lost, by_name, hubs))

    def _send(self, stage: NewsStage, changes: list[RunChange], to: list[PeerState]) -> None:
        if changes and to:
            self._bus.send_to_all([state.bus for state in to], _packed(stage, changes))

    def _near_hubs(self, present: dict[str, PeerState]) -> list[PeerState]:
        """Return the other hubs of this data centre."""
        roles = self._roles.value
        names = roles.hubs if roles is not None else ()
        return [present[name] for name in names if name in present]

    def _concerned(
        self, lost: list[RunChange], present: dict[str, PeerState], told: list[PeerState]
    ) -> list[PeerState]:
        """Return the VMs of this data centre that are to hear of lost engines, but for ``told``."""
        engines = {change.engine for change in lost if isinstance(change, EngineLost)}
        if not engines:
            return []
        names = vms_affected_by_losses(
            engines, self._beliefs.book.open_runs, data_center_of=self._data_center_of
        )
        found = [present[name] for name in names if name in present]
        return [s for s in found if s.data_center == self._data_center and s not in told]

    def _data_center_of(self, engine: str) -> str | None:
        target = self._beliefs.targets.find(engine)
        return target.data_center if target is not None else None

    def _far_hubs(self, present: dict[str, PeerState]) -> list[PeerState]:
        """Return one hub of each other data centre, the first that is not silent."""
        roles = self._roles.value
        chosen: dict[str, PeerState] = {}
        for name in roles.other_hubs if roles is not None else ():
            state = present.get(name)
            if state is not None:
                chosen.setdefault(state.data_center, state)
        return list(chosen.values())

    @property
    def _data_center(self) -> str:
        return self._beliefs.book.data_center


def _packed(stage: NewsStage, changes: list[RunChange]) -> PackedNews:
    news = RunNews(
        stage=stage,
        runs=tuple(change for change in changes if isinstance(change, EngineRun)),
        flowing=tuple(change for change in changes if isinstance(change, RunFlows)),
        copied=tuple(change for change in changes if isinstance(change, RunCopied)),
        ended=tuple(change for change in changes if isinstance(change, RunEnded)),
        lost=tuple(change for change in changes if isinstance(change, EngineLost)),
    )
    return PackedNews(value=pack(PEER.encode(news)))
