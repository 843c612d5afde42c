"""Tells the other gateways what becomes of runs: directly, or in a very large fleet by hubs.

The load that is answered: each run is told three times to every other VM, so messages
grow with runs times VMs. At 300 VMs with 75 runs a second that is 67,000 a second. There
a VM tells its hub; a hub gathers for 50 ms what its VMs and the other hubs tell, and
sends that as one message to each VM of its data centre: 6,000 a second (worked out).

Late news costs worse placements, so smaller fleets tell directly
(`lagoonlever/decisions/news_paths.py`). Measured once on 69 VMs: by hubs two fifths less
processor time for messages and a third fewer bytes between data centres.

What is told is soft state. A hub that dies takes the last 50 ms with it, which may cost
a worse placement or a second reading of a prompt, never an answer.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.codec import UnknownMessage
from lagoonlever.decisions.booked_runs import BookedRun
from lagoonlever.decisions.fellows import FellowState
from lagoonlever.decisions.news_paths import tells_directly
from lagoonlever.decisions.roles import Roles
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

GATHER_S = 0.05
"""How long a hub gathers; lost engines are told at once, as streams wait for that."""
DIRECT_NEWS_S = 0.02
"""What other VMs place is known after this where they tell it themselves."""
RELAYED_NEWS_S = 0.08
"""The same by hubs: gathered once or twice for half of ``GATHER_S`` in the mean."""


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
    """Gathered for the VMs of this data centre."""
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
        """Tell all other VMs of a change of this one."""
        present = self._beliefs.fellows.present(self._timers.now)
        hub = None if tells_directly(len(present)) else self._hub()
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
        """Give the hub that this VM tells; None until it has one."""
        roles = self._roles.value
        return roles.hubs[0] if roles is not None and roles.hubs else None

    async def _receive(self) -> None:
        async for received in self._bus.subscribe(PackedNews):
            try:
                news = PEER.decode(unpack(received.message.value))
            except (UnreadablePack, UnknownMessage) as error:
                events.NEWS_UNREADABLE.log(log, vm=received.sender.name, error=str(error))
                continue
            if isinstance(news, RunNews):
                self._take_news(news, received.sender.name)

    def _take_news(self, news: RunNews, source: str) -> None:
        for change in news.changes:
            self._take(change, source)
        if news.stage is NewsStage.TELL:
            return
        self._gather(list(news.changes), far=news.stage is NewsStage.GATHER)

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
            self._send(NewsStage.TELL, near, self._near_vms(present))
            self._send(NewsStage.PASS_ON, far, self._far_hubs(present))

    def _send(self, stage: NewsStage, changes: list[RunChange], to: list[FellowState]) -> None:
        if changes and to:
            self._bus.send_to_all([state.bus for state in to], _packed(stage, changes))

    def _near_vms(self, present: tuple[FellowState, ...]) -> list[FellowState]:
        return [state for state in present if state.data_center == self._data_center]

    def _far_hubs(self, present: tuple[FellowState, ...]) -> list[FellowState]:
        """Give one hub of each other data centre, the first that is not silent."""
        roles = self._roles.value
        by_name = {state.life.name: state for state in present}
        chosen: dict[str, FellowState] = {}
        for name in roles.other_hubs if roles is not None else ():
            state = by_name.get(name)
            if state is not None:
                chosen.setdefault(state.data_center, state)
        return list(chosen.values())

    @property
    def _data_center(self) -> str:
        return self._beliefs.book.data_center


def _packed(stage: NewsStage, changes: list[RunChange]) -> PackedNews:
    news = RunNews(
        stage=stage,
        runs=tuple(change for change in changes if isinstance(change, BookedRun)),
        flowing=tuple(change for change in changes if isinstance(change, RunFlows)),
        copied=tuple(change for change in changes if isinstance(change, RunCopied)),
        ended=tuple(change for change in changes if isinstance(change, RunEnded)),
        lost=tuple(change for change in changes if isinstance(change, EngineLost)),
    )
    return PackedNews(value=pack(PEER.encode(news)))
