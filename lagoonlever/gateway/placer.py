"""Finds a place for each attempt of a stream: by this VM's own book, or by a VM that holds it.

A VM that holds the book (`lagoonlever/decisions/fleet/news_paths.py`) decides by itself. Another
one asks a hub, then the next, and decides by what it knows itself when none answers in time:
its own runs, and the engines that it found lost.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import attrs
import logbook
import trio

from lagoonlever.decisions.engines.engine_timings import StoredTimings
from lagoonlever.decisions.engines.uneven_engines import UnevenChoice
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.fleet.update_routing import placement_hubs, sends_directly
from lagoonlever.decisions.settings.configuration import RouteKind
from lagoonlever.decisions.settings.load_parts import has_ranks
from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.decisions.streams.run_placement import (
    Placed,
    PlacementContext,
    PlacementRequest,
    RunOutcome,
    place_run,
)
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.cache_locator import CacheLocator
from lagoonlever.gateway.questions import Questions
from lagoonlever.gateway.retry_budgets import RetryBudgets
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_placement import (
    FormerRun,
    FormerRunAsk,
    FormerRunTold,
    PlacementAsk,
    PlacementTold,
)
from lagoonlever.published import Published
from lagoonlever.timers import TimerService

T = TypeVar("T")

log = logbook.Logger(__name__)

ANSWER_S = 0.05
"""A hub answers within some milliseconds; one that takes longer is starting, busy or gone."""
LOCATED_S = 0.25
"""The same where it has to ask engines who keeps a prompt, which takes it up to 0.15 s."""
PASSED_OVER_S = 1.0
"""How long a hub that did not answer is not asked: by then VMs speak to another one."""


@attrs.define(kw_only=True, eq=False)
class Placer:
    """Asks and decides; the answers of other VMs come by the bus."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _budgets: RetryBudgets
    _roles: Published[Roles | None]
    _vm: str
    """This VM's name."""
    _locator: CacheLocator
    _questions: Questions = attrs.field(init=False)
    _silent_until: dict[str, float] = attrs.field(factory=dict)

    @_questions.default
    def _make_questions(self) -> Questions:
        return Questions(bus=self._bus)

    async def run(self) -> None:
        """Take the answers of other VMs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._questions.receive, PlacementTold)
            nursery.start_soon(self._questions.receive, FormerRunTold)

    async def place(self, ask: PlacementRequest) -> RunOutcome:
        """Decide where an attempt goes, or why it can't go now."""
        outcome = await self._place(ask)
        choice = outcome.choice if isinstance(outcome, Placed) else None
        if choice is not None:
            _log_choice(ask.request, choice)
        return outcome

    async def _place(self, ask: PlacementRequest) -> RunOutcome:
        def question(number: int) -> PlacementAsk:
            return PlacementAsk(number=number, reply_to=self._bus.address, ask=ask)

        told = await self._ask_holders(question, PlacementTold, timeout_s=ANSWER_S)
        if told is None:
            return place_run(ask, self.view(ask.service), self._timers.now)
        self._recall(ask.service, told.pace)
        return told.outcome

    async def former_run(self, wanted: FormerRun) -> FormerRunTold:
        """Find the last run of a stream, or the engine that keeps its prompt."""

        def question(number: int) -> FormerRunAsk:
            return FormerRunAsk(number=number, reply_to=self._bus.address, wanted=wanted)

        timeout_s = LOCATED_S if wanted.returning else ANSWER_S
        told = await self._ask_holders(question, FormerRunTold, timeout_s=timeout_s)
        return told or await self.former_run_here(0, wanted)

    async def former_run_here(self, number: int, wanted: FormerRun) -> FormerRunTold:
        """Answer by this VM's own book, and by the engines themselves where it knows nothing.

        A run that has given no event is none to go on from.
        """
        run = self._find_run(wanted)
        if run is not None and run.flowing:
            return FormerRunTold(number=number, run=run)
        if not wanted.returning or wanted.part is None:
            return FormerRunTold(number=number)
        engines = self._beliefs.targets.serving(wanted.service, version=wanted.version)
        kept_at = await self._locator.find(wanted.part, list(engines))
        return FormerRunTold(number=number, kept_at=kept_at)

    def _find_run(self, wanted: FormerRun) -> EngineRun | None:
        """Return the last run of a stream, or else of its session, which may ask something else.

        The engine of any run of the session has a part of the prompt cached.
        """
        book = self._beliefs.book
        if wanted.begun_by is not None:
            return book.find_unfinished_run_of(wanted.begun_by)
        same: EngineRun | None = None
        if wanted.returning and wanted.fingerprint is not None:
            same = book.find_unfinished_run_for(wanted.fingerprint)
        if same is not None or wanted.part is None:
            return same
        return book.find_unfinished_run(wanted.part)

    def view(self, service: str) -> PlacementContext:
        """Return what this VM's own decisions rest on.

        The window counts the runs of all VMs where this one hears of them all. A VM that
        does not, and finds no hub, keeps to its share.
        """
        alone = bool(placement_hubs(self._roles.value, own=self._vm, present=self._present))
        return PlacementContext(
            book=self._beliefs.book,
            retry_window=self._budgets.of_runs(service),
            targets=self._beliefs.targets,
            limits=self._beliefs.engine_limits(service),
            versions=self._beliefs.versions,
            vm_count=self._beliefs.fellows.max_fleet_size(self._timers.now) if alone else 1,
            deciders=1 if alone else self._count_deciders(),
            ranks_differ=has_ranks(self._beliefs.configuration.value, service, RouteKind.STREAM),
        )

    def _count_deciders(self) -> int:
        """Return how many VMs place runs by the book of all runs, this one among them."""
        roles = self._roles.value
        if roles is None or sends_directly(self._present):
            return self._beliefs.fellows.max_fleet_size(self._timers.now)
        return len({self._vm, *roles.hubs, *roles.other_hubs})

    @property
    def _present(self) -> int:
        return len(self._beliefs.fellows.present(self._timers.now))

    async def _ask_holders(
        self, question: Callable[[int], object], answer: type[T], *, timeout_s: float
    ) -> T | None:
        """Ask one holder of the book after the other; gives the first answer, or None."""
        for hub in placement_hubs(self._roles.value, own=self._vm, present=self._present):
            address = self._address_of(hub)
            if address is None:
                continue
            told = await self._questions.ask(address, question, answer, timeout_s=timeout_s)
            if told is not None:
                return told
            events.HUB_SILENT.log(log, vm=hub, seconds=timeout_s)
            self._silent_until[hub] = self._timers.now + PASSED_OVER_S
        return None

    def _address_of(self, hub: str) -> Address | None:
        """Return where a hub listens, unless it was silent of late."""
        if self._silent_until.get(hub, 0.0) > self._timers.now:
            return None
        state = self._beliefs.fellows.find(hub)
        return state.bus if state is not None else None

    def _recall(self, service: str, pace: StoredTimings | None) -> None:
        """Take what the hub knows of the engines, where this VM has seen no stream yet."""
        if pace is not None:
            self._beliefs.book.timings.restore(service, pace, self._timers.now)


def _log_choice(request: str, choice: UnevenChoice) -> None:
    taken, other = choice.taken, choice.passed_over
    events.ENGINE_BY_PACE.log(
        log,
        request=request,
        target=taken.engine,
        pace=round(taken.pace, 2),
        slowness=round(taken.slowness, 2),
        other=other.engine,
        other_pace=round(other.pace, 2),
        other_slowness=round(other.slowness, 2),
        age_s=None if other.age_s is None else round(other.age_s, 2),
        source=other.source.value,
    )
