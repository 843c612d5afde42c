"""Takes what targets say of how brittle they are, and tells the other VMs."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import attrs
import logbook
import trio

from lagoonlever.decisions.targets.brittle_targets import BrittleReport, BrittleTargets
from lagoonlever.gateway import events_calls as events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.messages import AnswerHead
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_words import (
    BrittleTarget,
    TargetRefused,
    TargetsBrittle,
)
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

LOOK_PERIOD_S = 3.0
"""A multiple of the time between a VM's own words, for one wake-up."""


@attrs.define(kw_only=True, eq=False)
class BrittleWatch:
    """Knows which targets are brittle, by their answers to any VM."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _spread: HubSpread
    _reports: BrittleTargets = attrs.field(factory=BrittleTargets)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    """Of refusals of this VM's own requests."""

    async def run(self) -> None:
        """Take what other VMs tell until cancelled."""
        with self._timers.subscribed(self._look, period_s=LOOK_PERIOD_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_reports)
                nursery.start_soon(self._receive_refusals)

    def borne_by(self, target: str) -> int | None:
        """Return how many refusals a second a target bears, or None if it isn't brittle."""
        return self._reports.borne_by(target)

    def spared(self) -> frozenset[str]:
        """Return the brittle targets that have turned so much away that they get no more."""
        return self._reports.spared(self._timers.now)

    def any_of(self, service: str) -> bool:
        """Check whether a target of a service is brittle."""
        in_force = self._reports.in_force
        if not in_force:
            return False
        return any(target.id in in_force for target in self._beliefs.targets.serving(service))

    def heard(self, target: str, head: AnswerHead, *, sent_at: float) -> None:
        """Take what the head of a target's answer says."""
        if head.tells_brittle:
            self._take_report(target, head, sent_at=sent_at)
        if head.refused and self.borne_by(target) is not None:
            message = TargetRefused(target=target, attempt=f"{self._bus.own}/{next(self._numbers)}")
            self._reports.record_refusal(target, message.attempt, self._timers.now)
            self._spread.tell(message, for_plain=message)

    def started_again(self, target: str) -> None:
        """Record that another process has a target's id: it has said nothing yet."""
        self._reports.forget(target)

    def greet(self, newcomer: Address) -> None:
        """Tell a VM that has just come, or was not heard, which targets are brittle."""
        told = tuple(self._told(target, r) for target, r in self._reports.in_force.items())
        if told:
            self._bus.send(newcomer, TargetsBrittle(targets=told))

    async def _receive_reports(self) -> None:
        async for received in self._bus.subscribe(TargetsBrittle):
            message, source = received.message, received.sender.name
            news = [self._take(told, source) for told in message.targets]
            if any(news):
                self._spread.pass_on(message, source=source, for_plain=message)

    async def _receive_refusals(self) -> None:
        async for received in self._bus.subscribe(TargetRefused):
            message, source = received.message, received.sender.name
            self._reports.record_refusal(message.target, message.attempt, self._timers.now)
            self._spread.pass_on(message, source=source, for_plain=message)

    def _take_report(self, target: str, head: AnswerHead, *, sent_at: float) -> None:
        report = BrittleReport.from_answer(head.brittle, sent_at=sent_at, now=self._timers.now)
        if self._update(target, report, source="its own answer"):
            message = TargetsBrittle(targets=(self._told(target, report),))
            self._spread.tell(message, for_plain=message)

    def _take(self, told: BrittleTarget, source: str) -> bool:
        """Take the word of another VM; return whether it is news."""
        target = self._beliefs.targets.find(told.target)
        if target is None or target.is_later_than(told.started_ms):
            return False
        return self._update(told.target, told.report(self._timers.now), source=source)

    def _update(self, target: str, report: BrittleReport, *, source: str) -> bool:
        if not self._reports.update(target, report):
            return False
        borne = report.refusals_per_s
        events.TARGET_BRITTLE.log(
            log, target=target, borne="any" if borne is None else borne, source=source
        )
        return True

    def _told(self, target: str, report: BrittleReport) -> BrittleTarget:
        started_ms = self._beliefs.targets.process_start(target)
        return BrittleTarget.of(target, report, started_ms=started_ms, now=self._timers.now)

    def _look(self, _tick: Tick) -> None:
        """Forget targets that are gone."""
        self._reports.retain(frozenset(target.id for target in self._beliefs.targets.targets))
