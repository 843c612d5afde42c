"""Hears what targets say of themselves in their answers: limits, leaves, rests."""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs
import logbook

from lagoonlever.decisions.admission.limits import retry_after_pause_s
from lagoonlever.decisions.targets.backoffs import BackoffTargets
from lagoonlever.decisions.targets.limit_permits import Denied, Granted, PermitOutcome
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.load_view import SentTicket
from lagoonlever.decisions.targets.reported_load import LoadReport
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.brittle_watch import BrittleWatch
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.learner import Learner
from lagoonlever.gateway.messages import AnswerHead
from lagoonlever.gateway.target_limits import TargetLimits
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_words import LeavingTarget, TargetsLeave
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

MISDIRECTED = 421
"""Another process answers at the target's address."""
LOOK_PERIOD_S = 3.0
"""A multiple of the time between a VM's own words, for one wake-up."""


@attrs.define(kw_only=True, eq=False)
class TargetWords:
    """Hears every head of an answer, and is asked before every request to a target."""

    _bus: Bus
    _beliefs: Beliefs
    _learner: Learner
    _timers: TimerService
    _spread: HubSpread
    _limits: TargetLimits
    _brittle: BrittleWatch
    _rng: random.Random
    _rests: BackoffTargets = attrs.field(factory=BackoffTargets)
    _unreadable: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    """The fields of each target that were logged last."""

    async def run(self) -> None:
        """Take what other VMs tell until cancelled."""
        with self._timers.subscribed(self._look, period_s=LOOK_PERIOD_S):
            await self._receive_leaving()

    def heard(self, target: str, head: AnswerHead, *, sent_at: float) -> None:
        """Take what the head of a target's answer says of it."""
        if head.status == MISDIRECTED or head.target_id not in (None, target):
            return
        self._limits.heard(target, head, sent_at=sent_at)
        self._brittle.heard(target, head, sent_at=sent_at)
        if head.load is not None:
            word = LoadReport(
                target=target,
                load=head.load,
                at=self._timers.now,
                started_ms=self._beliefs.targets.process_start(target),
            )
            self._beliefs.loads.record_report(word, asked_at=sent_at)
        if head.unreadable and self._unreadable.get(target) != head.unreadable:
            self._unreadable[target] = head.unreadable
            events.TARGET_FIELD_UNREADABLE.log(log, target=target, fields=head.unreadable)
        if head.leaves:
            self._says_leaving(
                target, self._beliefs.targets.process_start(target), "its own answer"
            )
        if head.rest_s:
            self._rests.record(target, head.rest_s, self._timers.now)
            events.TARGET_RESTS.log(log, target=target, seconds=head.rest_s)

    def open(self, targets: Iterable[ListedTarget], *, need: float) -> tuple[ListedTarget, ...]:
        """Return the targets that take work of a need now, as far as they have said."""
        now = self._timers.now
        awake = (target for target in targets if not self._rests.remaining_s(target.id, now))
        return self._limits.open(awake, need=need)

    def held(self, targets: Iterable[ListedTarget], *, need: float) -> frozenset[str]:
        """Return the targets that work of a need is to go past for now."""
        listed = tuple(targets)
        able = {target.id for target in self.open(listed, need=need)}
        return frozenset(target.id for target in listed) - able

    def unlimited(self, targets: Iterable[ListedTarget]) -> tuple[ListedTarget, ...]:
        """Return the targets that work may be moved to without need: none in need themselves."""
        now = self._timers.now
        awake = (target for target in targets if not self._rests.remaining_s(target.id, now))
        return self._limits.unlimited(awake)

    def rests(self, target: str) -> bool:
        """Check whether a target wants nothing from this VM now."""
        return self._rests.remaining_s(target, self._timers.now) > 0

    async def permit(self, target: str, *, need: float) -> PermitOutcome:
        """Take a permit to send one request to a target, as far as it takes any."""
        left_s = self._rests.remaining_s(target, self._timers.now)
        if left_s:
            return Denied(wait_s=left_s)
        return await self._limits.permit(target, need=need)

    def covers(self, target: str, permit: Granted) -> bool:
        """Check whether a permit is still valid, by what the target has said since."""
        return not self.rests(target) and self._limits.covers(target, permit)

    def sent(self, target: str, *, first: bool) -> SentTicket:
        """Count a request that is written to a target; return what ends it."""
        self._limits.sent(target, first=first)
        return self._beliefs.loads.record_sent(target, self._timers.now)

    def ended(self, ticket: SentTicket) -> None:
        """Record that a request is over, whatever became of it."""
        self._beliefs.loads.record_ended(ticket, self._timers.now)

    def come_back_s(self, service: str) -> float | None:
        """Return when a refused caller is to come back; None where no target has said anything.

        Where some targets rest and others name limits, by the limits: they take some meanwhile.
        """
        rest_s = self._all_rest_s(service)
        if rest_s:
            return round(retry_after_pause_s(rest_s, self._rng), 2)
        return self._limits.come_back_s(service)

    def all_rest(self, service: str, *, version: str | None = None) -> bool:
        """Check whether no target of a service, or of its ``version``, wants anything now."""
        return self._all_rest_s(service, version) > 0

    def _all_rest_s(self, service: str, version: str | None = None) -> float:
        """Return how long all targets of a service are to rest yet; 0 where one does not."""
        now = self._timers.now
        able = self._beliefs.targets.serving(service, version=version)
        return min((self._rests.remaining_s(target.id, now) for target in able), default=0.0)

    def started_again(self, target: str) -> None:
        """Record that another process has a target's id: it has asked for no rest yet."""
        self._rests.forget(target)
        self._beliefs.loads.record_restart(target, self._timers.now)

    def greet(self, newcomer: Address) -> None:
        """Tell a VM that has just come, or was not heard, which targets leave."""
        said = self._beliefs.targets.leave_announcements
        leaving = tuple(LeavingTarget(target=t, started_ms=start) for t, start in said.items())
        if leaving:
            self._bus.send(newcomer, TargetsLeave(targets=leaving))

    def reports_leaving(self, target: str, started_ms: int | None) -> None:
        """Take that an engine's report says that it leaves."""
        self._says_leaving(target, started_ms, "its own report")

    def _says_leaving(self, target: str, started_ms: int | None, source: str) -> None:
        """Take a target's own word, and tell all VMs if it is news."""
        if self._learner.take_leaving(target, started_ms, source=source):
            leaving = LeavingTarget(target=target, started_ms=started_ms)
            message = TargetsLeave(targets=(leaving,))
            self._spread.tell(message, for_plain=message)

    async def _receive_leaving(self) -> None:
        async for received in self._bus.subscribe(TargetsLeave):
            message, source = received.message, received.sender.name
            news = [
                self._learner.take_leaving(told.target, told.started_ms, source=source)
                for told in message.targets
            ]
            if any(news):
                self._spread.pass_on(message, source=source, for_plain=message)

    def _look(self, tick: Tick) -> None:
        """Forget what is over, and targets that are gone."""
        self._rests.expire(tick.now)
        listed = frozenset(target.id for target in self._beliefs.targets.targets)
        for target in self._unreadable.keys() - listed:
            del self._unreadable[target]
        self._beliefs.loads.retain(listed)
