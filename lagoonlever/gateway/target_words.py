"""Hears what targets say of themselves in their answers: limits, leaves, rests."""

from __future__ import annotations

import attrs
import logbook

from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.learner import Learner
from lagoonlever.gateway.messages import AnswerHead
from lagoonlever.gateway.target_limits import TargetLimits
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_words import LeavingTarget, TargetsLeave
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

MISDIRECTED = 421
"""Another process answers at the target's address."""
MOST_KEPT = 1024
"""Targets of which is kept what was logged; then all is forgotten, and may be logged again."""


@attrs.define(kw_only=True)
class _Said:
    unreadable: tuple[str, ...] = ()
    rests_at: float | None = None
    rests_until: float = 0.0


@attrs.define(kw_only=True, eq=False)
class TargetWords:
    """Hears every head of an answer, and of every request that is sent to a target."""

    _bus: Bus
    _beliefs: Beliefs
    _learner: Learner
    _timers: TimerService
    _spread: HubSpread
    _limits: TargetLimits
    _said: dict[str, _Said] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Take what other VMs tell until cancelled."""
        await self._receive_leaving()

    def heard(self, target: str, head: AnswerHead, *, sent_at: float) -> None:
        """Take what the head of a target's answer says of it."""
        if head.status == MISDIRECTED or head.target_id not in (None, target):
            return
        self._limits.heard(target, head, sent_at=sent_at)
        if not (head.unreadable or head.leaves or head.rest_s):
            return
        said, now = self._of(target), self._timers.now
        if head.unreadable and head.unreadable != said.unreadable:
            said.unreadable = head.unreadable
            events.TARGET_FIELD_UNREADABLE.log(log, target=target, fields=head.unreadable)
        if head.leaves:
            self._says_leaving(target)
        if head.rest_s:
            said.rests_at = now
            said.rests_until = max(said.rests_until, now + head.rest_s)
            events.TARGET_RESTS.log(log, target=target, seconds=head.rest_s)

    def sent(self, target: str, *, first: bool, reason: str) -> None:
        """Count a request that is written to a target."""
        self._limits.sent(target, first=first)
        said, now = self._said.get(target), self._timers.now
        if said is None:
            return
        if said.rests_at is not None and now < said.rests_until:
            events.SENT_TO_RESTING.log(
                log, target=target, age_s=now - said.rests_at, first=first, reason=reason
            )

    def greet(self, newcomer: Address) -> None:
        """Tell a VM that has just come, or was not heard, which targets leave."""
        said = self._beliefs.targets.said_leaving
        leaving = tuple(LeavingTarget(target=t, started_ms=start) for t, start in said.items())
        if leaving:
            self._bus.send(newcomer, TargetsLeave(targets=leaving))

    def _says_leaving(self, target: str) -> None:
        """Take the word of an answer, and tell all VMs if it is news."""
        started_ms = self._beliefs.targets.start_of(target)
        if self._learner.take_leaving(target, started_ms, source="its own answer"):
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

    def _of(self, target: str) -> _Said:
        if len(self._said) >= MOST_KEPT:
            self._said.clear()
        return self._said.setdefault(target, _Said())
