"""Serves calls that run at most once: one target, and never another after a write that stands."""

from __future__ import annotations

from collections.abc import Collection

import attrs
import trio

from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.call_exchange import SERVER_ERROR, CallExchange, CallRecord, describe
from lagoonlever.gateway.call_places import CallPlace
from lagoonlever.gateway.callers_leaving import cancel_when_gone
from lagoonlever.gateway.target_client import Answered, AttemptResult, Held, NotSent, Refused
from lagoonlever.nurseries import open_work_nursery

REST_S = 1.0
"""How long a kept connection may have rested before a call that must not run twice.

A target closes a connection that rests too long. If the close crosses such a call, the
call may have run and can't be sent again, so it takes a connection used just before.
"""
MOST_ATTEMPTS = 4
"""Also of those that reach no target, before the caller is told."""


@attrs.define(kw_only=True, eq=False)
class OnceCalls:
    """Sends each call to a sound runner; goes on only after a proof that it did not run."""

    _data_center: str
    _exchange: CallExchange
    _runners: Runners

    async def serve(self, accepted: Accepted) -> None:
        """Send the caller the answer of a target, or tell why there is none."""
        call = CallRecord(accepted=accepted)
        async with open_work_nursery() as nursery:
            nursery.start_soon(
                cancel_when_gone,
                accepted.exchange,
                nursery.cancel_scope,
                lambda: self._exchange.is_gone(call),
            )
            answered: Answered | None = None
            with trio.move_on_at(accepted.deadline):
                answered = await self._attempts(call)
            await self._exchange.finish(call, answered)

    async def _attempts(self, call: CallRecord) -> Answered | None:
        tried: list[str] = []
        unreached: set[str] = set()
        while call.sent < call.accepted.route.max_attempts and len(tried) < MOST_ATTEMPTS:
            place = await self._exchange.place(call, tried=tried)
            if isinstance(place, RejectedWithRetryAfter):
                call.no_room = place
                return None
            target = self._target(place) or self._choose(call, tried, unreached)
            if target is None:
                return None
            tried.append(target.id)
            result = await self._attempt(call, target, place)
            call.detail = describe(result)
            if isinstance(result, Held):
                tried.remove(target.id)
                continue
            if isinstance(result, NotSent) and tried.count(target.id) == 1:
                unreached.add(target.id)
            else:
                unreached.discard(target.id)
            if isinstance(result, Answered):
                return result
            if call.may_have_run:
                return None
        return None

    def _target(self, place: CallPlace | None) -> ListedTarget | None:
        return self._exchange.beliefs.targets.find(place.target) if place else None

    def _choose(
        self, call: CallRecord, tried: Collection[str], unreached: Collection[str]
    ) -> ListedTarget | None:
        """Choose a target that was not tried, or else one that was not reached."""
        targets = self._exchange.beliefs.targets
        on_trial = call.accepted.on_trial and not tried
        serving = targets.serving(call.accepted.service, on_trial=on_trial)
        serving = self._exchange.open_to(call, serving)
        names = [target.id for target in serving if target.id not in tried]
        if not names:
            names = [target.id for target in serving if target.id in unreached]
        near = self._exchange.near(serving, self._data_center)
        now = self._exchange.timers.now
        chosen = self._runners.choose(names, now=now, probe=False, near=near)
        if chosen is None:
            # Every runner looks stalled: one of them is still better than a refusal.
            chosen = self._runners.choose(names, now=now, near=near)
        return targets.find(chosen) if chosen else None

    async def _attempt(
        self, call: CallRecord, target: ListedTarget, place: CallPlace | None
    ) -> AttemptResult:
        started = self._exchange.timers.now
        self._runners.on_sent(target.id)
        result: AttemptResult | None = None
        try:
            result = await self._exchange.attempt(
                call, target, rested_at_most_s=REST_S, place=place
            )
        finally:
            self._ended(target.id, result, started)
        return result

    def _ended(self, target: str, result: AttemptResult | None, started: float) -> None:
        """Learn from an attempt; one that was cancelled got no answer in its time."""
        now = self._exchange.timers.now
        if isinstance(result, Answered) and result.response.status < SERVER_ERROR:
            self._runners.on_answer(target, now=now, latency_s=now - started)
        elif isinstance(result, Answered):
            self._runners.on_error(target)
        elif isinstance(result, Held):
            self._runners.on_unsent(target)
        elif isinstance(result, Refused | NotSent):
            self._runners.on_failure(target, now=now)
        else:
            self._runners.on_loss(target, now=now)
