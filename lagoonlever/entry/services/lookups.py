"""Runs idempotent calls: hedged and retried out of budgets, over pooled connections."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from lagoonlever.decisions.admission.hedging import HedgedCall, HedgeDelay, Send, Stop, Wait
from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.claims.key_table import StoredAnswer
from lagoonlever.decisions.shares.budgets import FULL_RATIO, RetryBudget
from lagoonlever.decisions.targets.targets import Target
from lagoonlever.entry.engines.engines import TargetGuard
from lagoonlever.entry.services.answers import ComeBack, not_run, unknown
from lagoonlever.entry.services.call import ServiceCall, service_answer
from lagoonlever.entry.services.dispatch import absence_reason, runners_of
from lagoonlever.entry.services.exchange import exchange_on
from lagoonlever.entry.services.rests import REFUSED_FOR_LOAD, ServiceRests
from lagoonlever.entry.services.settings import Service, ServiceSettings
from lagoonlever.exceptions import ConnectFailed, PeerError
from lagoonlever.http.client import Pool, Response
from lagoonlever.outcomes import Reason
from lagoonlever.timers import TimerService

MAX_ORGANISATIONS = 1024


@attrs.frozen(kw_only=True)
class AttemptEnded:
    """What became of one attempt: a response, or None for a failure."""

    runner: str
    response: Response | None
    reached: bool = True
    """Whether its runner may have got the request."""


@attrs.define(kw_only=True)
class LookupCounts:
    """What lookups cost: calls, those sent at all, attempts beyond the first, unanswered."""

    calls: int = 0
    sent: int = 0
    extra_attempts: int = 0
    unanswered: int = 0


@attrs.frozen(kw_only=True)
class _BudgetKey:
    """A change of an organisation's ratio begins a new budget."""

    organisation: str
    ratio: float


@attrs.define(kw_only=True)
class Lookups:
    """Runs idempotent calls; owns the pool of connections to the runners."""

    _guard: TargetGuard
    _runners: Runners
    _timers: TimerService
    _settings: ServiceSettings
    _come_back: ComeBack
    _rests: ServiceRests
    _retry_ratio_of: Callable[[str], float] = lambda organisation: FULL_RATIO
    """Gives an organisation's extra attempts for each success, as settings allow now."""
    _pool: Pool = attrs.field(factory=Pool)
    _delays: dict[str, HedgeDelay] = attrs.field(factory=dict)
    _budgets: dict[_BudgetKey, RetryBudget] = attrs.field(factory=dict)
    counts: LookupCounts = attrs.field(factory=LookupCounts)

    async def call(self, call: ServiceCall) -> StoredAnswer:
        """Give the first whole answer of any runner, or tell at once that there is none."""
        hedged = self._hedged(call)
        send, receive = trio.open_memory_channel[AttemptEnded](0)
        async with trio.open_nursery() as nursery:
            answer = await self._drive(call, hedged, nursery, send, receive)
            nursery.cancel_scope.cancel()
        self.counts.calls += 1
        self.counts.sent += min(1, hedged.attempts)
        self.counts.extra_attempts += max(0, hedged.attempts - 1)
        return answer

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._pool.aclose()

    def _hedged(self, call: ServiceCall) -> HedgedCall:
        now = self._timers.now
        deadline = now + self._settings.lookup_timeout_s
        if call.deadline is not None:
            deadline = min(deadline, call.deadline)

        def live_names() -> tuple[str, ...]:
            live = runners_of(call.service, self._guard.view.value)
            return self._rests.awake(target.name for target in live)

        return HedgedCall(
            live_names=live_names,
            runners=self._runners,
            delay=self._delays.setdefault(call.service.name, HedgeDelay()),
            budget=self._budget(call.organisation),
            deadline=deadline,
            hedge=self._settings.hedge,
        )

    def _budget(self, organisation: str) -> RetryBudget:
        ratio = self._retry_ratio_of(organisation)
        key = _BudgetKey(organisation=organisation, ratio=ratio)
        if key not in self._budgets and len(self._budgets) >= MAX_ORGANISATIONS:
            self._budgets.pop(next(iter(self._budgets)))
        if key not in self._budgets:
            self._budgets[key] = RetryBudget.of_ratio(ratio)
        return self._budgets[key]

    async def _drive(
        self,
        call: ServiceCall,
        hedged: HedgedCall,
        nursery: trio.Nursery,
        send: trio.MemorySendChannel[AttemptEnded],
        receive: trio.MemoryReceiveChannel[AttemptEnded],
    ) -> StoredAnswer:
        while True:
            decision = hedged.decide(self._timers.now)
            if isinstance(decision, Stop):
                return self._stopped(call.service, hedged, decision)
            if isinstance(decision, Send):
                nursery.start_soon(self._attempt, call, decision.runner, send)
                continue
            answer = await self._wait(call, hedged, decision, receive)
            if answer is not None:
                return answer

    async def _wait(
        self,
        call: ServiceCall,
        hedged: HedgedCall,
        wait: Wait,
        receive: trio.MemoryReceiveChannel[AttemptEnded],
    ) -> StoredAnswer | None:
        ended: AttemptEnded | None = None
        with trio.move_on_after(max(0.0, wait.until - self._timers.now)):
            ended = await receive.receive()
        if ended is None:
            return None
        now = self._timers.now
        if not ended.reached:
            hedged.on_unreached(ended.runner, now)
            return None
        if ended.response is None:
            hedged.on_failure(ended.runner, now, overloaded=False)
            return None
        self._rests.note(ended.runner, ended.response)
        if ended.response.status in REFUSED_FOR_LOAD:
            hedged.on_failure(ended.runner, now, overloaded=True)
            return None
        hedged.on_answer(ended.runner, now)
        return service_answer(ended.response, service=call.service, idempotent=True)

    async def _attempt(
        self,
        call: ServiceCall,
        runner: str,
        send: trio.MemorySendChannel[AttemptEnded],
    ) -> None:
        ended = AttemptEnded(runner=runner, response=None, reached=False)
        target = self._guard.view.value.find(runner)
        if target is not None:
            ended = await self._exchange(call, target)
        await send.send(ended)

    async def _exchange(self, call: ServiceCall, target: Target) -> AttemptEnded:
        """Send one attempt, unless its runner began to leave since it was chosen."""
        runner = target.name
        try:
            connection = await self._pool.take(target.address)
        except ConnectFailed:
            self._guard.connect_failed(target)
            return AttemptEnded(runner=runner, response=None, reached=False)
        try:
            is_awake = self._rests.is_awake(runner)
            if not is_awake or not self._guard.check_before_dispatch(target):
                return AttemptEnded(runner=runner, response=None, reached=False)
            response = await exchange_on(
                connection,
                method=call.request.method,
                target=call.target,
                headers=call.target_headers(),
                body=call.request.body,
                step="look up",
                max_bytes=self._settings.max_answer_bytes,
            )
        except PeerError:
            # The answer is lost, which is what the result says.
            return AttemptEnded(runner=runner, response=None)
        finally:
            with trio.CancelScope(shield=True):
                await self._pool.put_back(connection)
        return AttemptEnded(runner=runner, response=response)

    def _stopped(self, service: Service, hedged: HedgedCall, stop: Stop) -> StoredAnswer:
        self.counts.unanswered += 1
        after_s = self._come_back.after_s()
        if stop.timed_out:
            hedged.on_timeout(self._timers.now)
        if stop.sent:
            return unknown(
                Reason.ATTEMPTS_EXHAUSTED,
                "no runner answered; the call changes nothing and may be sent again",
                retry_after_s=after_s,
            )
        if stop.timed_out:
            return not_run(Reason.DEADLINE, "its deadline passed before it was sent")
        if hedged.tried:
            return not_run(Reason.NO_TARGET, "no runner accepted it", retry_after_s=after_s)
        reason = absence_reason(service, self._guard.view.value)
        return not_run(reason, "no runner can take it now", retry_after_s=after_s)
