"""Serves requests with one whole answer: repeatable ones, and those that run at most once."""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.hedging import Runners
from lagoonlever.decisions.target_registry import ListedTarget
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.answers import tell
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.messages import Hop
from lagoonlever.gateway.peers import PeerExchange
from lagoonlever.gateway.target_client import (
    Answered,
    AttemptResult,
    Lost,
    NotSent,
    OpenAnswer,
    Refused,
    TargetClient,
)
from lagoonlever.http.server import Exchange
from lagoonlever.nurseries import open_work_nursery
from lagoonlever.outcomes import NotRun, Reason, Unknown
from lagoonlever.platform.headers import to_caller
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

SERVER_ERROR = 500
COME_BACK_S = 0.1
REST_REPEATABLE_S = 4.0
REST_ONCE_S = 1.0
"""How long a kept connection may have rested before a call that must not run twice.

A target closes a connection that rests too long. If the close crosses such a call, the
call may have run and can't be sent again, so it takes a connection used just before.
"""


@attrs.define(kw_only=True)
class _Call:
    """One request and what was tried for it."""

    accepted: Accepted
    sent: int = 0
    """Targets that the request was sent to; a refusal of a target counts too."""
    may_have_run: bool = False
    tried: set[str] = attrs.field(factory=set)
    target: str | None = None
    failure: Answered | None = None
    """A target's own failure, to be passed on if nothing better comes."""
    detail: str = ""


@attrs.define(kw_only=True, eq=False)
class Calls:
    """Sends each call to one target after the other, as far as its route allows."""

    _beliefs: Beliefs
    _peers: PeerExchange
    _timers: TimerService
    _client: TargetClient
    _runners: Runners

    async def serve(self, accepted: Accepted) -> None:
        """Give the caller the answer of a target, or tell why there is none."""
        call = _Call(accepted=accepted)
        async with open_work_nursery() as nursery:
            nursery.start_soon(_cancel_when_gone, accepted.exchange, nursery.cancel_scope)
            await self._serve(call)

    async def _serve(self, call: _Call) -> None:
        accepted = call.accepted
        answered: Answered | None = None
        with trio.move_on_at(accepted.deadline):
            answered = await self._attempts(call)
        if answered is None:
            outcome = self._outcome(call)
            self._log(call, outcome.status, outcome.tag.value, outcome.message)
            await tell(accepted.exchange, outcome)
            return
        response = answered.response
        self._log(call, response.status, "done", call.detail)
        await accepted.exchange.respond(
            status=response.status, headers=to_caller(response.headers), body=response.body
        )

    async def _attempts(self, call: _Call) -> Answered | None:
        route = call.accepted.route
        while call.sent < route.max_attempts:
            target = self._choose(call)
            if target is None:
                break
            result = await self._attempt(call, target)
            if isinstance(result, Answered):
                if result.response.status < SERVER_ERROR or not route.repeatable:
                    return result
                call.failure = result
            call.detail = _describe(result)
            if isinstance(result, Lost):
                call.may_have_run = True
                if not route.repeatable:
                    return None
        return call.failure

    def _choose(self, call: _Call) -> ListedTarget | None:
        serving = self._beliefs.targets.serving(call.accepted.service)
        names = [target.id for target in serving if target.id not in call.tried]
        chosen = self._runners.choose(names, now=self._timers.now)
        return self._beliefs.targets.find(chosen) if chosen else None

    async def _attempt(self, call: _Call, target: ListedTarget) -> AttemptResult:
        """Send the call to one target; nothing awaits between the last check and the write."""
        accepted = call.accepted
        call.tried.add(target.id)
        rest_s = REST_REPEATABLE_S if accepted.route.repeatable else REST_ONCE_S
        connection = await self._client.connect(target, rested_at_most_s=rest_s)
        if isinstance(connection, NotSent):
            self._runners.on_loss(target.id, now=self._timers.now)
            return connection
        head = None
        started = self._timers.now
        self._runners.on_sent(target.id)
        result: AttemptResult = Lost(detail="given up")
        try:
            left_s = accepted.left_s(self._timers.now)
            if left_s <= 0 or not self._beliefs.targets.takes_work(target.id):
                result = NotSent(detail="the target leaves, or the time is over")
                return result
            call.sent += 1
            call.target = target.id
            if not accepted.route.repeatable:
                call.may_have_run = True
            hop = Hop(target_id=target.id, deadline_s=left_s, organisation=accepted.organisation)
            opened = await self._client.open(
                connection, accepted.request, hop, request_id=accepted.request_id
            )
            if not isinstance(opened, OpenAnswer):
                if isinstance(opened, Refused):
                    head = opened.head
                    call.may_have_run = False
                    self._note_replaced(target, opened)
                result = opened
                return result
            result = await self._client.read_whole(opened)
            if isinstance(result, Answered):
                head = result.head
            return result
        finally:
            self._ended(target, result, started)
            await self._client.release(connection, head)

    def _ended(self, target: ListedTarget, result: AttemptResult, started: float) -> None:
        now = self._timers.now
        if isinstance(result, Answered):
            self._runners.on_answer(target.id, now=now, latency_s=now - started)
        else:
            self._runners.on_loss(target.id, now=now)

    def _note_replaced(self, target: ListedTarget, refused: Refused) -> None:
        if refused.head.target_id not in (None, target.id):
            self._peers.engine_lost(target.id, replaced=True)

    def _outcome(self, call: _Call) -> NotRun | Unknown:
        if call.may_have_run:
            late = call.accepted.left_s(self._timers.now) <= 0
            return Unknown(
                reason=Reason.DEADLINE if late else Reason.CONNECTION_LOST,
                message=call.detail or "no whole answer came",
                status=504 if late else 502,
            )
        return NotRun(
            reason=Reason.NO_TARGET,
            message=call.detail or "no target can take it now",
            retry_after_s=COME_BACK_S,
        )

    def _log(self, call: _Call, status: int, outcome: str, detail: str) -> None:
        accepted = call.accepted
        events.REQUEST_ENDED.log(
            log,
            request=accepted.request_id,
            route=accepted.route.name,
            organisation=accepted.organisation,
            status=int(status),
            outcome=outcome,
            seconds=self._timers.now - accepted.arrived,
            attempts=call.sent,
            target=call.target,
            detail=detail,
        )


async def _cancel_when_gone(exchange: Exchange, scope: trio.CancelScope) -> None:
    await exchange.wait_gone()
    scope.cancel()


def _describe(result: AttemptResult) -> str:
    if isinstance(result, Answered):
        return f"answered {result.response.status}"
    if isinstance(result, Refused):
        return f"refused with {result.head.status}"
    return result.detail
