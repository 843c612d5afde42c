"""Tells the other gateways of this VM's runs and lost engines, and takes in theirs."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.fleet.update_routing import placement_hubs, sends_directly
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.stream_origins import PROVEN, StreamOrigin, Writer
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway import events_paths as events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.learner import Learner
from lagoonlever.gateway.retry_budgets import RetryBudgets
from lagoonlever.gateway.run_relay import MOST_CHANGES_WAITING, RunRelay
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_gateway import (
    EngineLost,
    EngineWord,
    RunChange,
    RunCopied,
    RunEnded,
    RunFlows,
    RunList,
)
from lagoonlever.peers.messages_placement import BookAsk
from lagoonlever.published import Published
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

OWN = "own"
"""The source of what this VM has seen itself."""
KEEP_PERIOD_S = 0.3
"""How often it is looked at whether this VM still hears of all runs."""
MOST_RUNS_TOLD = 256
"""Some 64 KB, the open runs of 70 VMs."""
MOST_ORIGINS_TOLD = 512
"""Some 50 KB: streams that broke off within the last seconds, beside the open ones."""


@attrs.define(kw_only=True, eq=False)
class PeerExchange:
    """Every change of the book of runs goes through here, so that the others hear of it."""

    _bus: Bus
    _beliefs: Beliefs
    _learner: Learner
    _timers: TimerService
    _budgets: RetryBudgets
    _roles: Published[Roles | None]
    _vm: str
    _relay: RunRelay = attrs.field(init=False)
    _on_engine_lost: list[Callable[[str], None]] = attrs.field(factory=list)
    _on_run_begun: list[Callable[[EngineRun], None]] = attrs.field(factory=list)
    _on_whole_run: list[Callable[[EngineRun], None]] = attrs.field(factory=list)
    _on_stream_begun: list[Callable[[StreamOrigin], None]] = attrs.field(factory=list)
    _on_stream_completed: list[Callable[[str], None]] = attrs.field(factory=list)

    @_relay.default
    def _make_relay(self) -> RunRelay:
        return RunRelay(
            bus=self._bus,
            beliefs=self._beliefs,
            timers=self._timers,
            roles=self._roles,
            own=self._vm,
            take=self._take,
        )

    async def run(self) -> None:
        """Take in what the others tell, directly or by a hub, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._relay.run)
            nursery.start_soon(self._receive_lists)
            nursery.start_soon(self._receive_book_asks)
            nursery.start_soon(self._ask_for_book)
            for message_class in (EngineRun, RunFlows, RunCopied, RunEnded, EngineLost):
                nursery.start_soon(self._receive, message_class)
            with self._timers.subscribed(self._keep_book, period_s=KEEP_PERIOD_S):
                await trio.sleep_forever()

    def on_engine_lost(self, notify: Callable[[str], None]) -> None:
        """Have ``notify`` called with each engine that this or another VM has lost."""
        self._on_engine_lost.append(notify)

    def on_stream(
        self, *, begun: Callable[[StreamOrigin], None], completed: Callable[[str], None]
    ) -> None:
        """Have ``begun`` called as this VM passes on the first event of an answer.

        ``completed`` is called with the request that began a stream which this VM has completed.
        """
        self._on_stream_begun.append(begun)
        self._on_stream_completed.append(completed)

    def on_run_begun(self, notify: Callable[[EngineRun], None]) -> None:
        """Have ``notify`` called with each run of another VM whose answer has begun."""
        self._on_run_begun.append(notify)

    def on_whole_run(self, notify: Callable[[EngineRun], None]) -> None:
        """Have ``notify`` called with each run of any VM whose answer was given whole."""
        self._on_whole_run.append(notify)

    def greet(self, newcomer: Address) -> None:
        """Tell a VM that has just come of the open runs, where every VM hears of all.

        In a very large fleet it would let go of them at once: some 64 KB for each VM that
        starts, from hubs that all of them ask together after a loss of power.
        """
        if sends_directly(len(self._beliefs.fellows.present(self._timers.now))):
            self._tell_book(newcomer)

    def vm_lost(self, name: str) -> None:
        """Let go of the runs of a VM that is gone."""
        self._beliefs.book.record_vm_loss(name, self._timers.now)

    def begin(self, run: EngineRun) -> None:
        """Book a run of this VM, and tell the others."""
        self._book(run)
        self._relay.tell(run)

    def copied(self, request: str, copy: RunCopy) -> None:
        """Record a copy of a run of this VM, and tell the others of one that is new.

        Three in five copies are refreshed ones: 57 of 95 in 25 s of calm traffic at nine VMs.
        """
        if self._beliefs.book.record_copy(request, copy):
            self._relay.tell(RunCopied(request=request, copy=copy))

    def flows(self, request: str, writer: Writer = PROVEN) -> None:
        """Record the first event of a run of this VM, and tell the others.

        With what the engine has just said of itself: so everyone hears of each engine as often
        as a stream begins there, by messages that pass anyway.
        """
        now = self._timers.now
        self._beliefs.book.record_first_event(request, now)
        run = self._beliefs.book.find_run(request)
        origin = self._record_origin(run, writer)
        if origin is not None:
            for notify in self._on_stream_begun:
                notify(origin)
        if run is None:
            return
        word = self._beliefs.loads.latest_report(run.engine)
        self._relay.tell(
            RunFlows(
                request=request,
                engine=run.engine,
                engine_started_ms=run.engine_started_ms,
                load=EngineWord.of(word, now),
                writer=writer,
            )
        )

    def end(self, ended: RunEnded) -> None:
        """Record the end of a run of this VM, and tell the others."""
        run = self._beliefs.book.find_run(ended.request)
        if ended.whole and run is not None:
            for notify in self._on_stream_completed:
                notify(run.stream)
        self._end(ended)
        self._relay.tell(ended)

    def engine_lost(self, engine: str, *, confirmed: bool = True) -> None:
        """Record that an engine failed, and tell the others unless they know.

        Only what another VM has ``confirmed`` is told: this one may have lost its path to it.
        """
        now = self._timers.now
        known = self._beliefs.book.avoidance.is_avoided(engine, now)
        self._avoid(engine, source=OWN)
        if confirmed and not known:
            self._relay.tell(EngineLost(engine=engine))
        self._tell_engine_lost(engine)

    def engine_replaced(self, engine: ListedTarget, *, by: str) -> None:
        """Record that a process ``by`` answers at an engine's address, and tell the others."""
        self._avoid(engine.id, source=OWN)
        self._learner.take_replaced(engine.id, by=by, started_ms=engine.started_ms, source="answer")
        self._relay.tell(
            EngineLost(engine=engine.id, replaced=True, by=by, started_ms=engine.started_ms)
        )

    async def _receive(self, message_class: type[RunChange]) -> None:
        async for received in self._bus.subscribe(message_class, capacity=MOST_CHANGES_WAITING):
            self._take(received.message, received.sender.name)

    def holds_book(self) -> bool:
        """Check whether this VM hears of the runs of all others."""
        present = len(self._beliefs.fellows.present(self._timers.now))
        return not placement_hubs(self._roles.value, own=self._vm, present=present)

    def _keep_book(self, _: Tick) -> None:
        """Let go of what was heard before others were left to hear it."""
        if not self.holds_book():
            self._beliefs.book.forget_other_vms(self._vm)

    async def _receive_lists(self) -> None:
        async for received in self._bus.subscribe(RunList):
            told, now = received.message, self._timers.now
            self._beliefs.origins.record_all(told.origins, now)
            # The writer of these may be another process than the one that the run was sent to.
            apart = {origin.request for origin in told.origins}
            for run in told.runs:
                self._beliefs.book.record_reported_run(run, now)
                if run.flowing:
                    self._tell_run_begun(run)
                if run.flowing and run.stream not in apart:
                    self._beliefs.origins.record_all((StreamOrigin.of_run(run, PROVEN),), now)

    async def _receive_book_asks(self) -> None:
        async for received in self._bus.subscribe(BookAsk):
            self._tell_book(received.message.reply_to)

    def _tell_book(self, to: Address) -> None:
        runs = self._beliefs.book.open_runs[:MOST_RUNS_TOLD]
        flowing = {run.stream: run for run in runs if run.flowing}
        newest = self._beliefs.origins.newest(MOST_ORIGINS_TOLD)
        origins = (
            *(origin for run in flowing.values() if (origin := self._apart(run)) is not None),
            *(origin for origin in newest if origin.request not in flowing),
        )
        if runs or origins:
            self._bus.send(to, RunList(runs=runs, origins=origins))

    async def _ask_for_book(self) -> None:
        """Ask the hubs for the open runs whenever this VM becomes one of them.

        A hub's successor has heard of no run: callers whose VM died would find none to go
        on from, and engines that are full would look idle.
        """
        was_hub = False
        while True:
            roles = self._roles.value
            is_hub = roles is not None and roles.is_hub
            if roles is not None and is_hub and not was_hub and not roles.mesh:
                self._ask_hubs(roles)
            was_hub = is_hub
            await self._roles.wait_change()

    def _apart(self, run: EngineRun) -> StreamOrigin | None:
        """Return the origin of a flowing run's stream, unless its version is known from the run."""
        origin = self._beliefs.origins.find(run.stream)
        if origin is None:
            return StreamOrigin(request=run.stream, service=run.service, version=None)
        is_known = origin.version is not None and origin.version == run.version
        return None if is_known else origin

    def _ask_hubs(self, roles: Roles) -> None:
        for hub in (*roles.hubs, *roles.other_hubs[:1]):
            state = self._beliefs.fellows.find(hub)
            if state is not None:
                self._bus.send(state.bus, BookAsk(reply_to=self._bus.address))

    def _take(self, change: RunChange, source: str) -> None:
        """Apply a change that another VM tells; this one's own come back from its hub."""
        book = self._beliefs.book
        if isinstance(change, EngineLost):
            self._take_engine_lost(change, source)
        elif isinstance(change, EngineRun):
            if change.vm != self._vm:
                self._book(change)
        elif book.find_relay_vm(change.request) == self._vm:
            return
        elif isinstance(change, RunFlows):
            self._take_first_event(change)
        elif isinstance(change, RunCopied):
            book.record_copy(change.request, change.copy)
        else:
            self._end(change)

    def _tell_run_begun(self, run: EngineRun) -> None:
        for notify in self._on_run_begun:
            notify(run)

    def _record_origin(self, run: EngineRun | None, writer: Writer) -> StreamOrigin | None:
        """Record where the stream of a run began, now that its caller gets events of it."""
        if run is None:
            return None
        now = self._timers.now
        origin = StreamOrigin.of_run(run, writer)
        self._beliefs.origins.record(origin, now)
        self._beliefs.versions.record_begin(
            run.service,
            origin.version,
            origin.engine,
            now,
            started_ms=origin.engine_started_ms,
            request=origin.request,
        )
        return origin

    def _take_first_event(self, change: RunFlows) -> None:
        """Record the first event of another VM's run, if this VM has heard of that run.

        News may be lost. The run that is known here may be a former one of the request, at an
        engine of another version.
        """
        run = self._beliefs.book.find_run(change.request)
        if run is None or not change.is_of(run):
            return
        self._beliefs.book.record_first_event(change.request, self._timers.now)
        self._record_origin(run, change.writer)
        self._tell_run_begun(run)
        self._take_load(change, run)

    def _take_load(self, change: RunFlows, run: EngineRun) -> None:
        """Record an engine's word that another VM passes on, unless it is of a former process."""
        if change.load is None:
            return
        engine = self._beliefs.targets.find(run.engine)
        if engine is None or engine.is_later_than(run.engine_started_ms):
            return
        self._beliefs.loads.record_relayed_report(change.load.word(run, self._timers.now))

    def _end(self, ended: RunEnded) -> None:
        run = self._beliefs.book.find_run(ended.request)
        if ended.whole and run is not None:
            self._beliefs.origins.discard(run.stream)
            for notify in self._on_whole_run:
                notify(run)
        self._beliefs.book.record_end(
            ended.request,
            self._timers.now,
            whole=ended.whole,
            token_s=ended.token_s,
            slowdown=ended.slowdown,
            tokens=ended.tokens,
        )

    def _book(self, run: EngineRun) -> None:
        """Book a run, and count it as a request or as a repeat at the service it goes to."""
        now, book = self._timers.now, self._beliefs.book
        engine = self._beliefs.targets.find(run.engine)
        if engine is not None:
            window = self._budgets.of_runs(engine.service)
            if book.is_dispatched(run.request):
                window.record_retry(now, request=run.request)
            else:
                window.record_request(now)
        book.record_dispatch(run, now)

    def _take_engine_lost(self, lost: EngineLost, source: str) -> None:
        self._avoid(lost.engine, source=source)
        if lost.replaced:
            self._learner.take_replaced(
                lost.engine, by=lost.by, started_ms=lost.started_ms, source=source
            )
        else:
            self._tell_engine_lost(lost.engine)

    def _avoid(self, engine: str, *, source: str) -> None:
        avoidance, now = self._beliefs.book.avoidance, self._timers.now
        self._beliefs.targets.record_loss(engine)
        if not avoidance.is_avoided(engine, now):
            events.ENGINE_AVOIDED.log(log, target=engine, source=source)
        avoidance.record_failure(engine, now)

    def _tell_engine_lost(self, engine: str) -> None:
        for notify in self._on_engine_lost:
            notify(engine)
