"""Serves calls that may be repeated: hedged and retried, as far as route and budgets allow."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.admission.hedging import HedgedCall, HedgeDelay, Send, Stop, Wait
from lagoonlever.decisions.admission.retry_window import RetryWindow
from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.shares.budgets import RetryBudget
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.call_exchange import SERVER_ERROR, CallExchange, CallRecord, describe
from lagoonlever.gateway.call_places import CallPlace, PlaceOutcome
from lagoonlever.gateway.callers_leaving import cancel_when_gone
from lagoonlever.gateway.retry_budgets import RetryBudgets
from lagoonlever.gateway.target_client import (
    Answered,
    AttemptResult,
    Held,
    Lost,
    NotSent,
    Refused,
)
from lagoonlever.nurseries import open_work_nursery

REST_S = 4.0
"""A repeatable call whose kept connection turns out closed is sent again."""
EXTRA_RATIO = 0.6
"""Of the answers that a runner or a service gave: extra attempts allowed for each."""


@MECHANISMS.register(
    "hedges",
    does="a call that is late is sent to a second runner as well",
    without="each attempt is waited for",
    plain=gives(False),
)
def _hedges() -> bool:
    return True


@MECHANISMS.register(
    "repeats-of-failures",
    does="a call that a runner failed is sent to another one",
    without="its caller gets the failure",
    plain=gives(False),
)
def _repeats_failures() -> bool:
    return True


@attrs.frozen(kw_only=True)
class _Ended:
    runner: str
    result: AttemptResult
    counted_at: float | None
    """When it was counted as a repeat; None for a first attempt."""


@attrs.define(kw_only=True, eq=False)
class _Places:
    """The place that the next attempt of a call has, where places are given out."""

    _exchange: CallExchange
    _call: CallRecord
    is_on: bool
    _next: CallPlace | None = None
    _first: str | None = None

    @property
    def names(self) -> tuple[str, ...]:
        """The runner of the place."""
        return (self._next.target,) if self._next else ()

    async def first(self) -> RejectedWithRetryAfter | None:
        """Get a place for the first attempt, or be refused."""
        return self._got(await self._exchange.place(self._call)) if self.is_on else None

    async def extra(self, *, beside: bool, tried: tuple[str, ...]) -> RejectedWithRetryAfter | None:
        """Get a place for a further attempt: ``beside`` an open one only if that is in trouble."""
        if not self.is_on:
            return None
        if beside and self._first is not None:
            places, accepted = self._exchange.places, self._call.accepted
            return self._got(await places.second(accepted, first=self._first))
        return self._got(await self._exchange.place(self._call, tried=tried))

    def use(self, runner: str) -> CallPlace | None:
        """Hand the place over to the attempt at its runner."""
        place, self._next = self._next, None
        self._first = runner
        return place

    def give_back(self) -> None:
        """Return a place back that no attempt has used."""
        place, self._next = self._next, None
        if place is not None:
            self._exchange.places.unused(place)

    def _got(self, outcome: PlaceOutcome) -> RejectedWithRetryAfter | None:
        if isinstance(outcome, RejectedWithRetryAfter):
            return outcome
        self._next = outcome
        # Nobody gives out places now: the VM chooses by itself.
        self.is_on = outcome is not None
        return None


@attrs.define(kw_only=True, eq=False)
class RepeatableCalls:
    """Sends each caller the first good answer of any runner."""

    _data_center: str
    _exchange: CallExchange
    _runners: Runners
    _budgets: RetryBudgets
    _delays: dict[str, HedgeDelay] = attrs.field(factory=dict)
    _extra: dict[str, RetryBudget] = attrs.field(factory=dict)

    async def serve(self, accepted: Accepted) -> None:
        """Send the caller the answer of a target, or tell why there is none."""
        call = CallRecord(accepted=accepted)
        window = self._budgets.of_calls(accepted.service)
        window.record_request(self._exchange.timers.now)
        async with open_work_nursery() as nursery:
            nursery.start_soon(
                cancel_when_gone,
                accepted.exchange,
                nursery.cancel_scope,
                lambda: self._exchange.is_gone(call),
            )
            answered: Answered | None = None
            with (
                trio.move_on_at(accepted.deadline),
                self._exchange.crashes.until_barred(accepted),
            ):
                answered = await self._drive(call, window)
            await self._exchange.finish(call, answered)

    async def _drive(self, call: CallRecord, window: RetryWindow) -> Answered | None:
        accepted = call.accepted
        is_on = not accepted.on_trial and self._exchange.places.serves(accepted.service)
        place = _Places(exchange=self._exchange, call=call, is_on=is_on)
        hedged = self._hedged(call, window, place)
        try:
            call.no_room = await place.first()
            if call.no_room is not None:
                return None
            return await self._attempts(call, hedged, window, place)
        finally:
            place.give_back()
            # Also where the caller left or its time is over: what is open then would take room at
            # its runner for good, until this VM sends it nothing more.
            hedged.give_up(self._exchange.timers.now)

    async def _attempts(
        self, call: CallRecord, hedged: HedgedCall, window: RetryWindow, place: _Places
    ) -> Answered | None:
        send, receive = trio.open_memory_channel[_Ended](0)
        async with open_work_nursery() as nursery:
            while True:
                if hedged.wants_extra(self._exchange.timers.now):
                    refused = await place.extra(beside=hedged.has_open, tried=hedged.tried)
                    call.no_room = None if hedged.attempts else refused
                decision = hedged.decide(self._exchange.timers.now)
                if not isinstance(decision, Send):
                    place.give_back()
                if isinstance(decision, Stop):
                    if decision.timed_out:
                        hedged.on_timeout(self._exchange.timers.now)
                    return call.failure
                if isinstance(decision, Send):
                    counted_at = self._count(decision, window)
                    used = place.use(decision.runner)
                    nursery.start_soon(self._attempt, call, decision.runner, used, counted_at, send)
                    continue
                answered = await self._wait(call, hedged, decision, window, receive)
                if answered is not None:
                    return answered

    def _count(self, send: Send, window: RetryWindow) -> float | None:
        """Count a repeat; gives when, or None for a first attempt."""
        if send.number == 1:
            return None
        now = self._exchange.timers.now
        window.record_retry(now)
        return now

    def _hedged(self, call: CallRecord, window: RetryWindow, place: _Places) -> HedgedCall:
        accepted = call.accepted
        targets = self._exchange.beliefs.targets
        service = accepted.service

        def live_names() -> tuple[str, ...]:
            """Return the runners; none for an extra attempt that the shared budget forbids."""
            is_first = hedged.attempts == 0
            if place.is_on and not place.names:
                return ()
            serving = targets.serving(service, on_trial=accepted.on_trial and is_first)
            open_to = self._exchange.open_to(call, serving)
            if not is_first and open_to:
                now = self._exchange.timers.now
                if not window.allows(now, vms=self._exchange.beliefs.fellows.max_fleet_size(now)):
                    return ()
            if place.is_on:
                return place.names
            return tuple(target.id for target in open_to)

        hedged = HedgedCall(
            live_names=live_names,
            runners=self._runners,
            delay=self._delays.setdefault(service, HedgeDelay()),
            budget=self._extra.setdefault(service, RetryBudget.of_ratio(EXTRA_RATIO)),
            deadline=accepted.deadline,
            max_attempts=accepted.route.max_attempts,
            near=self._exchange.near(targets.serving(service), self._data_center),
            # A call that may end its runners is tried at one of them at a time.
            hedge=_hedges() and not self._exchange.crashes.is_suspect(accepted),
        )
        return hedged

    async def _wait(
        self,
        call: CallRecord,
        hedged: HedgedCall,
        wait: Wait,
        window: RetryWindow,
        receive: trio.MemoryReceiveChannel[_Ended],
    ) -> Answered | None:
        ended: _Ended | None = None
        with trio.move_on_at(wait.until):
            ended = await receive.receive()
        if ended is None:
            return None
        now = self._exchange.timers.now
        call.detail = describe(ended.result)
        if isinstance(ended.result, Held | NotSent) and ended.counted_at is not None:
            window.cancel_retry(ended.counted_at)
        if isinstance(ended.result, Held):
            hedged.on_unsent(ended.runner)
            return None
        if isinstance(ended.result, NotSent):
            hedged.on_unreached(ended.runner, now)
            return None
        if isinstance(ended.result, Refused | Lost):
            hedged.on_failure(ended.runner, now, overloaded=isinstance(ended.result, Refused))
            return None
        if ended.result.response.status >= SERVER_ERROR:
            call.failure = ended.result
            hedged.on_error(ended.runner)
            return None if _repeats_failures() else ended.result
        hedged.on_answer(ended.runner, now)
        return ended.result

    async def _attempt(
        self,
        call: CallRecord,
        runner: str,
        place: CallPlace | None,
        counted_at: float | None,
        send: trio.MemorySendChannel[_Ended],
    ) -> None:
        target = self._exchange.beliefs.targets.find(runner)
        result: AttemptResult = NotSent(detail="the target is gone")
        if target is not None:
            result = await self._exchange.attempt(
                call, target, rested_at_most_s=REST_S, place=place
            )
        await send.send(_Ended(runner=runner, result=result, counted_at=counted_at))
