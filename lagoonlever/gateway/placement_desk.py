"""Answers other VMs that ask for a place, by the book of runs that this VM holds."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.decisions.streams.run_placement import Placed, place_run, reserved_run
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.placer import Placer
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_placement import (
    FormerRunAsk,
    PlacementAsk,
    PlacementTold,
)
from lagoonlever.timers import TimerService


@attrs.define(kw_only=True, eq=False)
class PlacementDesk:
    """Serves whoever asks: views need not agree on who is a hub."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _placer: Placer

    async def run(self) -> None:
        """Answer until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_placements)
            nursery.start_soon(self._receive_former_runs, nursery)

    async def _receive_placements(self) -> None:
        async for received in self._bus.subscribe(PlacementAsk):
            self._answer(received.message, received.sender.name)

    def _answer(self, asked: PlacementAsk, vm: str) -> None:
        """Decide for another VM, and keep the place for it until it tells of the run."""
        if not self._beliefs.known.is_set():
            # It knows no engines yet: the next hub is asked sooner than this one can tell.
            return
        # Chance would only part those who do not know of each other: this VM places them all.
        ask, now = attrs.evolve(asked.ask, crowd=False), self._timers.now
        outcome = place_run(ask, self._placer.view(ask.service), now)
        if isinstance(outcome, Placed) and ask.attempt:
            self._beliefs.book.reserve(reserved_run(ask, outcome, vm=vm), now)
        pace = self._beliefs.book.timings.stored_timings().get(ask.service)
        told = PlacementTold.of(asked.number, outcome, pace)
        self._bus.send(asked.reply_to, told)

    async def _receive_former_runs(self, nursery: trio.Nursery) -> None:
        async for received in self._bus.subscribe(FormerRunAsk):
            nursery.start_soon(self._tell_former_run, received.message)

    async def _tell_former_run(self, asked: FormerRunAsk) -> None:
        told = await self._placer.former_run_here(asked.number, asked.wanted)
        self._bus.send(asked.reply_to, told)
