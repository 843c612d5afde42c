"""Talks with the other gateways: who is there, which runs engines have, what is newest."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs
import logbook
import trio

from lagoonlever.decisions.engine_book import BookedRun, RunCopy
from lagoonlever.decisions.fellows import SAY_EVERY_S, FellowState
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.learner import Learner
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages import Received
from lagoonlever.peers.messages_gateway import (
    EngineLost,
    Knowledge,
    KnowledgeAsk,
    RunCopied,
    RunEnded,
    RunFlows,
)
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

BEHIND_S = 0.25
"""A VM that watches the store learns a change this soon by itself; only then it asks."""
ASK_EVERY_S = 0.3
MOST_RUNS_TOLD = 64


@attrs.define(kw_only=True, eq=False)
class PeerExchange:
    """Says what this VM knows, and takes in what the others say."""

    _bus: Bus
    _beliefs: Beliefs
    _learner: Learner
    _timers: TimerService
    _rng: random.Random
    _own_state: Callable[[], FellowState]
    _seeds: tuple[Address, ...] = ()
    _on_engine_lost: list[Callable[[str], None]] = attrs.field(factory=list)
    _behind_since: float | None = None
    _asked_at: float = float("-inf")
    _silent: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Exchange news until cancelled."""
        takers: dict[type[Any], Callable[[Received[Any]], None]] = {
            FellowState: self._take_state,
            BookedRun: self._take_run,
            RunFlows: self._take_flows,
            RunCopied: self._take_copied,
            RunEnded: self._take_ended,
            EngineLost: self._take_engine_lost,
            KnowledgeAsk: self._take_ask,
            Knowledge: self._take_knowledge,
        }
        async with trio.open_nursery() as nursery:
            for message_class, take in takers.items():
                nursery.start_soon(self._receive, message_class, take)
            with self._timers.subscribed(self._say, period_s=SAY_EVERY_S):
                await trio.sleep_forever()

    def reseed(self, seeds: tuple[Address, ...]) -> None:
        """Take other addresses to ask while no fellow is known."""
        self._seeds = seeds

    def on_engine_lost(self, notify: Callable[[str], None]) -> None:
        """Have ``notify`` called with each engine that this or another VM has lost."""
        self._on_engine_lost.append(notify)

    def begin(self, run: BookedRun) -> None:
        """Book a run of this VM, and tell the others."""
        self._beliefs.book.begin(run, self._timers.now)
        self._broadcast(run)

    def copied(self, request: str, copy: RunCopy) -> None:
        """Note a new copy of a run of this VM, and tell the others."""
        self._beliefs.book.copied(request, copy)
        self._broadcast(RunCopied(request=request, copy=copy))

    def flows(self, request: str) -> None:
        """Note the first event of a run of this VM, and tell the others."""
        self._beliefs.book.flows(request)
        self._broadcast(RunFlows(request=request))

    def end(self, request: str, *, whole: bool) -> None:
        """Note the end of a run of this VM, and tell the others."""
        self._beliefs.book.end(request, self._timers.now, whole=whole)
        self._broadcast(RunEnded(request=request, whole=whole))

    def engine_lost(self, engine: str, *, replaced: bool) -> None:
        """Note that an engine failed, and tell the others unless they know."""
        now = self._timers.now
        known = self._beliefs.book.is_avoided(engine, now)
        self._beliefs.book.failed(engine, now)
        if replaced:
            self._learner.take_replaced(engine, source="answer")
        if replaced or not known:
            self._broadcast(EngineLost(engine=engine, replaced=replaced))
        if not replaced:
            self._tell_engine_lost(engine)

    def say_now(self) -> None:
        """Tell the others of this VM at once, as when it begins to leave."""
        self._broadcast(self._own_state())

    async def _receive(
        self, message_class: type[Any], take: Callable[[Received[Any]], None]
    ) -> None:
        async for received in self._bus.subscribe(message_class):
            take(received)

    def _say(self, tick: Tick) -> None:
        state = self._own_state()
        known = {fellow.bus for fellow in self._beliefs.fellows.states}
        for address in known:
            self._bus.send(address, state)
        self._note_silent(tick.now)
        if state.configuration and known:
            return
        for seed in self._seeds:
            if seed != state.bus and seed not in known:
                self._bus.send(seed, state)
                self._bus.send(seed, self._ask(fellows=True))

    def _note_silent(self, now: float) -> None:
        """Log who fell silent or came back, and let go of the runs of those that are gone."""
        fellows = self._beliefs.fellows
        silent = {s.life.name for s in fellows.states if fellows.is_silent(s.life.name, now)}
        for name in silent - self._silent:
            events.FELLOW_SILENT.log(log, vm=name)
            self._beliefs.book.vm_lost(name, now)
        for name in self._silent - silent:
            events.FELLOW_HEARD.log(log, vm=name)
        self._silent = silent

    def _take_state(self, received: Received[FellowState]) -> None:
        state = received.message
        if self._beliefs.fellows.heard(state, self._timers.now):
            self._greet(state)
        self._compare(state)

    def _greet(self, state: FellowState) -> None:
        """Tell a VM that is new here of this one and its runs; its former life's are gone."""
        events.FELLOW_LISTED.log(log, vm=state.life.name, life=str(state.life), state="heard")
        self._beliefs.book.vm_lost(state.life.name, self._timers.now)
        self._bus.send(state.bus, self._own_state())
        known = Knowledge(
            fellows=tuple(fellow.bus for fellow in self._beliefs.fellows.states),
            runs=self._beliefs.book.open_runs[:MOST_RUNS_TOLD],
        )
        self._bus.send(state.bus, known)

    def _compare(self, state: FellowState) -> None:
        """Ask a VM that knows more, once the store had time to tell this one."""
        now = self._timers.now
        targets = self._beliefs.targets
        if state.configuration <= self._beliefs.version and state.list_revision <= targets.as_of:
            if self._behind_since is not None and now - self._behind_since > SAY_EVERY_S:
                self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        if self._beliefs.version and now - self._behind_since < BEHIND_S:
            return
        if now - self._asked_at < ASK_EVERY_S:
            return
        self._asked_at = now
        self._bus.send(state.bus, self._ask())

    def _ask(self, *, fellows: bool = False) -> KnowledgeAsk:
        return KnowledgeAsk(
            configuration=self._beliefs.version,
            list_revision=self._beliefs.targets.as_of,
            fellows=fellows,
        )

    def _take_ask(self, received: Received[KnowledgeAsk]) -> None:
        ask = received.message
        asker = self._address_of(received.sender)
        if asker is None:
            return
        beliefs = self._beliefs
        newer_list = beliefs.targets.as_of > ask.list_revision
        fellows = tuple(f.bus for f in beliefs.fellows.states) if ask.fellows else ()
        answer = Knowledge(
            configuration=(
                beliefs.configuration_value if beliefs.version > ask.configuration else None
            ),
            targets=beliefs.targets.targets if newer_list else None,
            list_revision=beliefs.targets.as_of,
            fellows=fellows,
        )
        self._bus.send(asker, answer)

    def _take_knowledge(self, received: Received[Knowledge]) -> None:
        known = received.message
        source = received.sender.name
        if known.configuration is not None:
            self._learner.take_configuration(known.configuration, source=source)
        if known.targets is not None:
            self._learner.take_list(known.targets, revision=known.list_revision, source=source)
        for run in known.runs:
            self._beliefs.book.begin(run, self._timers.now)
        heard = {state.bus for state in self._beliefs.fellows.states}
        own = self._own_state()
        for address in set(known.fellows) - heard - {own.bus}:
            self._bus.send(address, own)

    def _take_run(self, received: Received[BookedRun]) -> None:
        self._beliefs.book.begin(received.message, self._timers.now)

    def _take_flows(self, received: Received[RunFlows]) -> None:
        self._beliefs.book.flows(received.message.request)

    def _take_copied(self, received: Received[RunCopied]) -> None:
        self._beliefs.book.copied(received.message.request, received.message.copy)

    def _take_ended(self, received: Received[RunEnded]) -> None:
        ended = received.message
        self._beliefs.book.end(ended.request, self._timers.now, whole=ended.whole)

    def _take_engine_lost(self, received: Received[EngineLost]) -> None:
        lost = received.message
        self._beliefs.book.failed(lost.engine, self._timers.now)
        if lost.replaced:
            self._learner.take_replaced(lost.engine, source=received.sender.name)
        else:
            self._tell_engine_lost(lost.engine)

    def _tell_engine_lost(self, engine: str) -> None:
        for notify in self._on_engine_lost:
            notify(engine)

    def _address_of(self, life: Incarnation) -> Address | None:
        for state in self._beliefs.fellows.states:
            if state.life == life:
                return state.bus
        return None

    def _broadcast(self, message: object) -> None:
        for state in self._beliefs.fellows.states:
            if not self._beliefs.fellows.is_silent(state.life.name, self._timers.now):
                self._bus.send(state.bus, message)
