"""Tells the other gateways of this VM's runs and lost engines, and takes in theirs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import trio

from lagoonlever.decisions.engine_book import BookedRun, RunCopy
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.learner import Learner
from lagoonlever.gateway.retry_budgets import RetryBudgets
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages import Received
from lagoonlever.peers.messages_gateway import (
    EngineLost,
    RunCopied,
    RunEnded,
    RunFlows,
    RunList,
)
from lagoonlever.timers import TimerService

MOST_RUNS_TOLD = 256
"""Some 64 KB, the open runs of 70 VMs."""


@attrs.define(kw_only=True, eq=False)
class PeerExchange:
    """Every change of the book of runs goes through here, so that the others hear of it."""

    _bus: Bus
    _beliefs: Beliefs
    _learner: Learner
    _timers: TimerService
    _budgets: RetryBudgets
    _on_engine_lost: list[Callable[[str], None]] = attrs.field(factory=list)

    async def run(self) -> None:
        """Take in what the others tell until cancelled."""
        takers: dict[type[Any], Callable[[Received[Any]], None]] = {
            BookedRun: self._take_run,
            RunList: self._take_runs,
            RunFlows: self._take_flows,
            RunCopied: self._take_copied,
            RunEnded: self._take_ended,
            EngineLost: self._take_engine_lost,
        }
        async with trio.open_nursery() as nursery:
            for message_class, take in takers.items():
                nursery.start_soon(self._receive, message_class, take)

    def on_engine_lost(self, notify: Callable[[str], None]) -> None:
        """Have ``notify`` called with each engine that this or another VM has lost."""
        self._on_engine_lost.append(notify)

    def greet(self, newcomer: Address) -> None:
        """Tell a VM that has just come of the open runs that are known here, of all VMs."""
        runs = self._beliefs.book.open_runs
        if runs:
            self._bus.send(newcomer, RunList(runs=runs[:MOST_RUNS_TOLD]))

    def vm_lost(self, name: str) -> None:
        """Let go of the runs of a VM that is gone."""
        self._beliefs.book.vm_lost(name, self._timers.now)

    def begin(self, run: BookedRun) -> None:
        """Book a run of this VM, and tell the others."""
        self._book(run)
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

    async def _receive(
        self, message_class: type[Any], take: Callable[[Received[Any]], None]
    ) -> None:
        async for received in self._bus.subscribe(message_class):
            take(received)

    def _take_run(self, received: Received[BookedRun]) -> None:
        self._book(received.message)

    def _book(self, run: BookedRun) -> None:
        """Book a run, and count it as a request or as a repeat at the service it goes to."""
        now, book = self._timers.now, self._beliefs.book
        engine = self._beliefs.targets.find(run.engine)
        if engine is not None:
            window = self._budgets.of_runs(engine.service)
            count = window.repeat if book.knows(run.request) else window.request
            count(now)
        book.begin(run, now)

    def _take_runs(self, received: Received[RunList]) -> None:
        for run in received.message.runs:
            self._beliefs.book.learn(run, self._timers.now)

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

    def _broadcast(self, message: object) -> None:
        present = self._beliefs.fellows.present(self._timers.now)
        self._bus.send_to_all((fellow.bus for fellow in present), message)
