"""Hears what targets name as their limits, and holds back what is beyond them.

Nothing is written to a target that names a limit without a permit; the permits of one target
are counted by one VM (`lagoonlever/decisions/targets/limit_permits.py`).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable

import attrs
import logbook
import trio

from lagoonlever.decisions.admission.limits import retry_after_s
from lagoonlever.decisions.targets.limit_permits import (
    Denied,
    DeniedTargets,
    Granted,
    PermitOutcome,
)
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.reported_limits import LimitReport, ReportedLimits
from lagoonlever.gateway import events, metrics
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.gateway.messages import AnswerHead
from lagoonlever.gateway.permit_exchange import PermitExchange
from lagoonlever.gateway.tally import Tally
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_limits import LimitsTold
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

TELL_EVERY_S = 1.0
"""Between two lines on what was sent to one target."""
SPREAD_EVERY_S = 0.2
"""Between two words to all VMs on one target, which may name a limit in every other answer."""
LOOK_PERIOD_S = 3.0
"""A multiple of the time between a VM's own words, for one wake-up."""
REFUSALS_S = 1.0
"""In which refusals are counted, to tell callers when to come back."""
HOLD_SPREAD = 0.5
"""Of the wait that was told: work of many VMs doesn't ask again in the same moment."""


@attrs.define(kw_only=True)
class _Sends:
    since: float
    first: int = 0
    later: int = 0


@attrs.define(kw_only=True, eq=False)
class TargetLimits:
    """Hears every answer of a target, and is asked before every request to one."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _tally: Tally
    _rng: random.Random
    _named: ReportedLimits
    _permits: PermitExchange
    _spread: HubSpread
    _held: DeniedTargets = attrs.field(factory=DeniedTargets)
    _sends: dict[str, _Sends] = attrs.field(factory=dict)
    _spread_at: dict[str, float] = attrs.field(factory=dict)
    _refusals: deque[float] = attrs.field(factory=deque)

    async def run(self) -> None:
        """Take what other VMs tell, and answer them, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._permits.run)
            nursery.start_soon(self._receive)
            with self._timers.subscribed(self._look, period_s=LOOK_PERIOD_S):
                await trio.sleep_forever()

    def heard(self, target: str, head: AnswerHead, *, sent_at: float) -> None:
        """Take what the head of a target's answer says of its limit."""
        if not head.tells_limit:
            return
        former, now = self._named.current(target), self._timers.now
        word = LimitReport.from_answer(head.limit_per_s, sent_at=sent_at, now=now)
        if not self._named.update(target, word):
            return
        self._changed(target, former, source="its own answer")
        self._tell(target, word, is_limited_as_before=former is not None and word.per_s is not None)

    def limit_of(self, target: str) -> float | None:
        """Return the requests a second that a target takes now; None where it names no limit."""
        word = self._named.current(target)
        return word.per_s if word is not None else None

    def counter(self, target: str) -> str | None:
        """Return the VM that counts the requests to a target; None while few VMs are known here."""
        return self._permits.counter(target)

    def open(self, targets: Iterable[ListedTarget], *, need: float) -> tuple[ListedTarget, ...]:
        """Return the targets that work of a need was not denied at just now."""
        now = self._timers.now
        return tuple(t for t in targets if not self._held.is_denied(t.id, need=need, now=now))

    def held(self, targets: Iterable[ListedTarget], *, need: float) -> frozenset[str]:
        """Return the targets that work of a need is to go past for now."""
        now = self._timers.now
        return frozenset(t.id for t in targets if self._held.is_denied(t.id, need=need, now=now))

    def unlimited(self, targets: Iterable[ListedTarget]) -> tuple[ListedTarget, ...]:
        """Return the targets that name no limit."""
        return tuple(t for t in targets if self._named.current(t.id) is None)

    async def permit(self, target: str, *, need: float) -> PermitOutcome:
        """Take a permit to send one request to a target, if it names a limit."""
        word, now = self._named.current(target), self._timers.now
        if word is None:
            return Granted(counted=False)
        if self._held.is_denied(target, need=need, now=now):
            return Denied(wait_s=0.0)
        outcome = await self._permits.ask(target, word, need=need)
        if isinstance(outcome, Denied):
            self._tally.add(metrics.LIMITED_SENDS, "held")
            wait_s = outcome.wait_s * self._rng.uniform(1.0, 1.0 + HOLD_SPREAD)
            self._held.record_denial(target, need=need, until=self._timers.now + wait_s)
        return outcome

    def covers(self, target: str, permit: Granted) -> bool:
        """Check whether a permit is still valid, as the target may have named its limit since."""
        return permit.counted or self._named.current(target) is None

    def sent(self, target: str, *, first: bool) -> None:
        """Count a request that is written to a target, if the target names a limit."""
        word = self._named.current(target)
        if word is None:
            return
        self._tally.add(metrics.LIMITED_SENDS, "first" if first else "later")
        now = self._timers.now
        sends = self._sends.setdefault(target, _Sends(since=now))
        if first:
            sends.first += 1
        else:
            sends.later += 1
        if now - sends.since < TELL_EVERY_S:
            return
        events.LIMITED_SENDS.log(
            log,
            target=target,
            limit=_told(word),
            age_s=now - word.at,
            first=sends.first,
            later=sends.later,
            seconds=now - sends.since,
        )
        del self._sends[target]

    def come_back_s(self, service: str) -> float | None:
        """Return when a refused caller is to come back; None where no target names a limit.

        By what the targets take, and what all VMs are likely to refuse: callers that all came
        back as the next permit is free would be refused again.
        """
        able = self._beliefs.targets.serving(service)
        words = [word for word in (self._named.current(target.id) for target in able) if word]
        if not words:
            return None
        now = self._timers.now
        self._refusals.append(now)
        while now - self._refusals[0] > REFUSALS_S:
            self._refusals.popleft()
        waiting = len(self._refusals) * (len(self._beliefs.fellows.present(now)) + 1)
        per_s = sum(word.per_s or 0.0 for word in words)
        return round(retry_after_s(waiting / per_s if per_s else REFUSALS_S, self._rng), 2)

    def started_again(self, target: str) -> None:
        """Record that another process has a target's id: it has said nothing yet."""
        self._named.forget(target)
        self._held.forget(target)
        self._permits.forget(target)

    def greet(self, newcomer: Address) -> None:
        """Tell a VM that has just come, or was not heard, of the limits in force."""
        words = [self._permits.told(t, word) for t, word in self._named.in_force.items()]
        if words:
            self._bus.send(newcomer, LimitsTold(words=tuple(words)))

    def _changed(self, target: str, former: LimitReport | None, *, source: str) -> None:
        word = self._named.current(target)
        if word is None:
            self._held.forget(target)
            self._permits.forget(target)
        else:
            self._permits.begin(target)
        events.TARGET_LIMIT.log(
            log, target=target, limit=_told(word), former=_told(former), source=source
        )

    def _tell(self, target: str, word: LimitReport, *, is_limited_as_before: bool) -> None:
        """Tell all VMs of a limit that begins or ends; of another value, who counts."""
        message = LimitsTold(words=(self._permits.told(target, word),))
        now = self._timers.now
        is_soon = now - self._spread_at.get(target, float("-inf")) < SPREAD_EVERY_S
        if not is_limited_as_before and not is_soon:
            self._spread_at[target] = now
            self._spread.tell(message, for_plain=message)
            return
        counter = self._beliefs.fellows.find(self._permits.counter(target) or "")
        if counter is not None:
            self._bus.send(counter.bus, message)

    async def _receive(self) -> None:
        async for received in self._bus.subscribe(LimitsTold):
            source = received.sender.name
            if self._take(received.message, source):
                self._spread.pass_on(received.message, source=source, for_plain=received.message)

    def _take(self, message: LimitsTold, source: str) -> bool:
        """Record words of another VM; return whether one was news."""
        is_news = False
        for told in message.words:
            former = self._named.current(told.target)
            if self._permits.learn(told):
                is_news = True
                self._changed(told.target, former, source=source)
        return is_news

    def _look(self, _tick: Tick) -> None:
        """Forget what is over, and targets that are gone."""
        listed = frozenset(target.id for target in self._beliefs.targets.targets)
        self._named.retain(listed)
        self._held.expire(self._timers.now)
        self._permits.retain()
        for kept in (self._sends, self._spread_at):
            for target in kept.keys() - listed:
                del kept[target]


def _told(word: LimitReport | None) -> str:
    return "none" if word is None or word.per_s is None else f"{word.per_s:g}/s"
