"""Serves streams: events of an engine, resumed at another one when an engine is lost."""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.configuration import Configuration, EngineLimits
from lagoonlever.decisions.engine_book import BookedRun, EngineBook
from lagoonlever.decisions.target_registry import ListedTarget
from lagoonlever.exceptions import BadResponse, ConnectionBroken
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.answers import tell
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.messages import AnswerHead, CopyOfRun, GenerationAsk, Hop
from lagoonlever.gateway.target_client import Lost, NotSent, OpenAnswer, Refused, TargetClient
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.server import CallerGone
from lagoonlever.http.sse import RawEventSplitter
from lagoonlever.outcomes import NotRun, Reason, Unknown
from lagoonlever.platform.headers import to_caller
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

OK = 200
COME_BACK_S = 0.3
SILENCE_S = 0.4
FIRST_EVENT_S = 4.0
NO_ENGINE = EngineLimits(slots=1, memory_tokens=1_000_000)


@attrs.define(kw_only=True, eq=False)
class _Stream:
    """One request and how far its answer is."""

    accepted: Accepted
    ask: GenerationAsk
    limits: EngineLimits
    last_event_id: int | None
    sent: int = 0
    begun: bool = False
    """The head of the answer has gone to the caller."""
    whole: bool = False
    avoid: frozenset[str] = frozenset()
    target: str | None = None
    copy: CopyOfRun | None = None
    copy_target: str | None = None
    detail: str = ""


@attrs.define(kw_only=True, eq=False)
class Streams:
    """Relays each stream, and goes on at another engine after a loss."""

    _beliefs: Beliefs
    _timers: TimerService
    _client: TargetClient
    _book: EngineBook

    async def serve(self, accepted: Accepted) -> None:
        """Give the caller the events of an engine until the last, or tell why there are none."""
        stream = self._new(accepted)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_gone, stream, nursery.cancel_scope)
            try:
                await self._serve(stream)
            finally:
                self._book.end(accepted.request_id)
            nursery.cancel_scope.cancel()

    def _new(self, accepted: Accepted) -> _Stream:
        configuration = self._beliefs.configuration.value or Configuration(version=0)
        service = configuration.services.get(accepted.service)
        limits = service.engine if service and service.engine else NO_ENGINE
        ask = accepted.caller.ask or GenerationAsk(model="", prompt_tokens=0, output_tokens=0)
        return _Stream(
            accepted=accepted,
            ask=ask,
            limits=limits,
            last_event_id=accepted.caller.last_event_id,
        )

    async def _cancel_when_gone(self, stream: _Stream, scope: trio.CancelScope) -> None:
        await stream.accepted.exchange.wait_gone()
        self._log(stream, 0, "caller-gone", stream.detail)
        scope.cancel()

    async def _serve(self, stream: _Stream) -> None:
        with trio.move_on_at(stream.accepted.deadline):
            await self._attempts(stream)
        exchange = stream.accepted.exchange
        if stream.whole:
            self._log(stream, OK, "done", stream.detail)
            return
        if stream.begun:
            self._log(stream, OK, "failed", stream.detail)
            return
        outcome = self._outcome(stream)
        self._log(stream, int(outcome.status), outcome.tag.value, outcome.message)
        await tell(exchange, outcome)

    async def _attempts(self, stream: _Stream) -> None:
        route = stream.accepted.route
        while not stream.whole and stream.sent < route.max_attempts:
            engine = self._choose(stream)
            if engine is None:
                return
            await self._attempt(stream, engine)
            if stream.sent and not route.repeatable and not stream.whole:
                return

    def _choose(self, stream: _Stream) -> ListedTarget | None:
        targets = self._beliefs.targets
        copy_target = stream.copy_target
        if copy_target and targets.takes_work(copy_target) and copy_target not in stream.avoid:
            return targets.find(copy_target)
        stream.copy = stream.copy_target = None
        placement = self._book.place(
            targets.serving(stream.accepted.service),
            limits=stream.limits,
            prompt_tokens=stream.ask.prompt_tokens,
            output_tokens=stream.ask.output_tokens,
            now=self._timers.now,
            avoid=stream.avoid,
        )
        return placement.engine if placement else None

    async def _attempt(self, stream: _Stream, engine: ListedTarget) -> None:
        accepted = stream.accepted
        started = self._timers.now
        connection = await self._client.connect(engine, rested_at_most_s=1.0)
        if isinstance(connection, NotSent):
            self._failed(stream, engine, connection.detail, started)
            return
        head: AnswerHead | None = None
        try:
            left_s = accepted.left_s(self._timers.now)
            if left_s <= 0 or not self._beliefs.targets.takes_work(engine.id):
                return
            hop = self._hop(stream, engine, left_s)
            stream.sent += 1
            stream.target = engine.id
            opened = await self._client.open(
                connection, accepted.request, hop, request_id=accepted.request_id
            )
            if not isinstance(opened, OpenAnswer):
                if isinstance(opened, Refused):
                    head = opened.head
                    if head.target_id not in (None, engine.id):
                        events.TARGET_REPLACED.log(log, target=engine.id)
                        self._beliefs.targets.replaced(engine.id, self._timers.now)
                detail = f"refused {head.status}" if head else getattr(opened, "detail", "")
                self._failed(stream, engine, detail, started)
                return
            if opened.head.status != OK:
                self._failed(stream, engine, f"answered {opened.head.status}", started)
                return
            detail = await self._relay(stream, opened, connection)
            if detail:
                self._failed(stream, engine, detail, started)
            else:
                head = opened.head
        finally:
            await self._client.release(connection, head)

    def _hop(self, stream: _Stream, engine: ListedTarget, left_s: float) -> Hop:
        accepted = stream.accepted
        targets = self._beliefs.targets
        copy_from, stream.copy = stream.copy, None
        copy_to: ListedTarget | None = None
        if stream.limits.copies:
            copy_to = self._book.place_copy(
                targets.serving(accepted.service),
                limits=stream.limits,
                beside=engine,
                memory_tokens=stream.ask.prompt_tokens + stream.ask.output_tokens,
                now=self._timers.now,
            )
        stream.copy_target = copy_to.id if copy_to else None
        if copy_to:
            stream.copy = CopyOfRun(holder=copy_to.address, request_id=accepted.request_id)
        self._book.begin(
            accepted.request_id,
            BookedRun(
                engine=engine.id,
                prompt_tokens=stream.ask.prompt_tokens,
                output_tokens=stream.ask.output_tokens,
                copy_at=stream.copy_target,
                started_at=self._timers.now,
            ),
        )
        events.ATTEMPT_SENT.log(
            log,
            request=accepted.request_id,
            target=engine.id,
            attempt=stream.sent + 1,
            reason=f"after event {stream.last_event_id}, copy at {stream.copy_target}",
        )
        return Hop(
            target_id=engine.id,
            deadline_s=left_s,
            organisation=accepted.organisation,
            last_event_id=stream.last_event_id,
            copy_to=copy_to.address if copy_to else None,
            copy_from=copy_from,
        )

    async def _relay(
        self, stream: _Stream, opened: OpenAnswer, connection: ClientConnection
    ) -> str:
        """Pass events on; gives what broke the stream, or nothing at its end."""
        exchange = stream.accepted.exchange
        splitter = RawEventSplitter()
        if not stream.begun:
            stream.begun = True
            await exchange.start_stream(
                status=opened.head.status, headers=to_caller(opened.response.headers)
            )
        flowing = False
        while True:
            piece = None
            with trio.move_on_after(SILENCE_S if flowing else FIRST_EVENT_S) as scope:
                try:
                    piece = await connection.next_piece()
                except (ConnectionBroken, BadResponse) as error:
                    return error.message
            if scope.cancelled_caught:
                return "silent"
            if piece is None:
                if splitter.partial:
                    return "ended within an event"
                await exchange.finish()
                stream.whole = True
                return ""
            for event in splitter.feed(piece):
                if event.id is not None:
                    expected = (stream.last_event_id or 0) + 1
                    if event.id != expected:
                        stream.detail += f" event {event.id} for {expected};"
                    stream.last_event_id = event.id
                await exchange.write(event.data)
                if not flowing:
                    flowing = True
                    self._book.flows(stream.accepted.request_id)

    def _failed(self, stream: _Stream, engine: ListedTarget, detail: str, started: float) -> None:
        now = self._timers.now
        stream.avoid |= {engine.id}
        stream.detail = detail
        self._book.failed(engine.id, now)
        events.ATTEMPT_ENDED.log(
            log,
            request=stream.accepted.request_id,
            target=engine.id,
            seconds=now - started,
            outcome=detail,
        )

    def _outcome(self, stream: _Stream) -> NotRun | Unknown:
        if not stream.sent:
            return NotRun(
                reason=Reason.NO_TARGET,
                message=stream.detail or "no engine can take it now",
                retry_after_s=COME_BACK_S,
            )
        late = stream.accepted.left_s(self._timers.now) <= 0
        return Unknown(
            reason=Reason.DEADLINE if late else Reason.CONNECTION_LOST,
            message=stream.detail,
            status=504 if late else 502,
        )

    def _log(self, stream: _Stream, status: int, outcome: str, detail: str) -> None:
        accepted = stream.accepted
        events.REQUEST_ENDED.log(
            log,
            request=accepted.request_id,
            route=accepted.route.name,
            organisation=accepted.organisation,
            status=status,
            outcome=outcome,
            seconds=self._timers.now - accepted.arrived,
            attempts=stream.sent,
            target=stream.target,
            detail=detail,
        )


__all__ = ("CallerGone", "Lost", "Streams")
