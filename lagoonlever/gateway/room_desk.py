"""Keeps the lines for room at engines, for whoever asks, by the book of runs of this VM.

Any VM answers that hears of all runs, as views need not agree on who keeps a line. A place
goes out as soon as an engine is ready; whoever does not ask again is dropped.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.admission.capacity import (
    CapacityRequest,
    QueuedForCapacity,
    RejectedWithRetryAfter,
)
from lagoonlever.decisions.admission.prompt_queue import (
    MIN_RETRY_AFTER_S,
    RENEWAL_TIMEOUT_S,
    PriorityClass,
    PromptQueue,
    QueuedPrompt,
    QueuedPromptId,
)
from lagoonlever.decisions.streams.run_placement import (
    BEGINS_WITHIN_S,
    NoCapacity,
    Placed,
    PlacementRequest,
    RunOutcome,
    place_on_ready_engine,
    place_run,
    prefills_per_s,
    reserved_run,
)
from lagoonlever.gateway import events, metrics
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.brittle_watch import BrittleWatch
from lagoonlever.gateway.placer import Placer
from lagoonlever.gateway.tally import Tally
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_line import LineAsk, LineLeft, LineTold
from lagoonlever.peers.messages_placement import PlacementTold
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

LOOK_S = 0.04
"""How often it is looked for ready engines while somebody waits."""
LEAD_S = BEGINS_WITHIN_S + 0.05
"""From a place to the begin of reading, with the way to the engine and back to the caller."""
MOST_WAITING = 1024
"""Questions that are read in one turn, as after a loss of many VMs."""
RENEW_S = 0.15
"""How often an asker is to ask again."""
MOST_PASSED_BY = 4
"""Prompts that can't go to every engine, for which others are looked at in one go."""

Reply = Callable[[LineTold], None]


@attrs.define(kw_only=True, eq=False)
class _Open:
    """A question that waits: what it asks for, and where its answer goes."""

    asked: LineAsk
    reply: Reply
    told_late: bool = False


@attrs.frozen(kw_only=True, eq=False)
class _Given:
    """What a question was told; said again if it is asked again, as the answer was lost."""

    told: LineTold
    at: float


@attrs.define(kw_only=True, eq=False)
class RoomDesk:
    """Serves each service's line whenever it is asked, and while anybody waits."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _placer: Placer
    _tally: Tally
    _brittle: BrittleWatch
    _lines: dict[str, PromptQueue] = attrs.field(factory=dict)
    _open: dict[QueuedPromptId, _Open] = attrs.field(factory=dict)
    _given: dict[QueuedPromptId, _Given] = attrs.field(factory=dict)
    _filled: trio.Event = attrs.field(factory=trio.Event)
    _ranks_told: set[int] = attrs.field(factory=set)

    async def run(self) -> None:
        """Answer other VMs and look for ready engines until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_asks)
            nursery.start_soon(self._receive_left)
            nursery.start_soon(self._look)

    def ask(self, asked: LineAsk, *, vm: str, reply: Reply) -> None:
        """Take a question: it is answered at once, and again when it gets a place."""
        if not self._beliefs.known.is_set():
            return
        now, service = self._timers.now, asked.ask.service
        place = QueuedPromptId(vm=vm, number=asked.number)
        given = self._given.get(place)
        if given is not None and now - given.at <= RENEWAL_TIMEOUT_S:
            reply(given.told)
            return
        line = self._lines.setdefault(service, PromptQueue())
        is_new = line.enqueue_or_renew(self._waiting(place, asked, now))
        if not is_new:
            self._tell_waiting(place, line)
            return
        self._open[place] = _Open(asked=asked, reply=reply)
        self._serve(service, line)
        if place in line and not self._refuse(place, line):
            self._tell_waiting(place, line)
            self._log_queued(place, line)

    def left(self, place: QueuedPromptId, service: str) -> None:
        """Drop a question that is open no more."""
        self._open.pop(place, None)
        line = self._lines.get(service)
        if line is not None:
            line.remove(place)

    async def _receive_asks(self) -> None:
        async for received in self._bus.subscribe(LineAsk, capacity=MOST_WAITING):
            asked = received.message
            self.ask(asked, vm=received.sender.name, reply=self._answering(asked))

    def _answering(self, asked: LineAsk) -> Reply:
        return lambda told: self._bus.send(asked.reply_to, told)

    async def _receive_left(self) -> None:
        async for received in self._bus.subscribe(LineLeft):
            place = QueuedPromptId(vm=received.sender.name, number=received.message.number)
            self.left(place, received.message.service)

    async def _look(self) -> None:
        while True:
            for service, line in self._lines.items():
                self._serve(service, line)
                self._tell_late(service, line)
                self._measure(service, line)
            if not self._open:
                self._filled = trio.Event()
                await self._filled.wait()
            await trio.sleep(LOOK_S)

    def _waiting(self, place: QueuedPromptId, asked: LineAsk, now: float) -> QueuedPrompt:
        """Translate a question's durations into times of this VM's clock."""
        need, ask = asked.need, asked.ask
        reading_s = self._beliefs.book.timings.prefill_s(ask.service, "", ask.prompt_tokens, now)
        making_s = self._beliefs.book.timings.usual_decode_s(ask.service) or 0.0
        room = CapacityRequest(
            request_id=ask.request,
            service=ask.service,
            rank=need.rank,
            arrived_at=now - need.waited_s,
            start_by=now + need.first_event_in_s - reading_s - LEAD_S,
            end_by=now + need.end_in_s - reading_s - making_s,
        )
        return QueuedPrompt(
            prompt_id=place,
            request=room,
            enqueued_at=now,
            renewed_at=now,
            interrupted=need.broken_off,
        )

    def _serve(self, service: str, line: PromptQueue) -> None:
        """Assign places to the first in line while engines are ready for them."""
        now = self._timers.now
        for silent in line.expire(now):
            self._open.pop(silent.prompt_id, None)
            events.LINE_LEFT.log(log, request=silent.request.request_id, vm=silent.prompt_id.vm)
        for hopeless in line.unfinishable(now):
            if self._open[hopeless.prompt_id].asked.need.refusable:
                self._turn_away(hopeless.prompt_id, line, _time_over())
        view = self._placer.view(service)
        passed_by = 0
        for waiting in line.order(now, max_per_s=prefills_per_s(service, view, now)):
            asked = self._open[waiting.prompt_id].asked
            if self._beliefs.book.is_dispatched_after(
                waiting.request.request_id, waiting.enqueued_at
            ):
                self.left(waiting.prompt_id, service)
                continue
            outcome = self._decide(asked.ask, line)
            if not isinstance(outcome, NoCapacity):
                self._give(waiting, line, outcome)
                continue
            passed_by += 1
            is_limited = bool(asked.ask.avoid) or asked.ask.version is not None
            if not is_limited or passed_by >= MOST_PASSED_BY:
                break
        if self._open:
            self._filled.set()

    def _decide(self, ask: PlacementRequest, line: PromptQueue) -> RunOutcome | NoCapacity:
        # Chance would only part those who do not know of each other: this VM places them all.
        ask, now = attrs.evolve(ask, crowd=False, allowed_s=None), self._timers.now
        view = attrs.evolve(self._placer.view(ask.service), spared=self._brittle.spared())
        is_stalled = line.is_stalled(now, max_per_s=prefills_per_s(ask.service, view, now))
        if is_stalled and not self._brittle.any_of(ask.service):
            return place_run(ask, view, now)
        return place_on_ready_engine(ask, view, now)

    def _give(self, waiting: QueuedPrompt, line: PromptQueue, outcome: RunOutcome) -> None:
        """Tell a VM what was decided, and keep its place until it tells of the run."""
        now, place = self._timers.now, waiting.prompt_id
        question = self._open.pop(place)
        ask = question.asked.ask
        if isinstance(outcome, Placed):
            self._beliefs.book.reserve(reserved_run(ask, outcome, vm=place.vm), now)
            line.record_start(place, now)
            self._log_begun(waiting, line, outcome)
        else:
            line.remove(place)
        pace = self._beliefs.book.timings.stored_timings().get(ask.service)
        decided = PlacementTold.of(place.number, outcome, pace)
        self._answer(place, question, LineTold(number=place.number, decided=decided))

    def _refuse(self, place: QueuedPromptId, line: PromptQueue) -> bool:
        """PriorityClass away a prompt that the line can't reach in its time."""
        question, now = self._open[place], self._timers.now
        ask = question.asked.ask
        if not question.asked.need.refusable:
            return False
        max_per_s = prefills_per_s(ask.service, self._placer.view(ask.service), now)
        refused = line.rejection(place, now, max_per_s=max_per_s)
        if refused is None:
            return False
        self._turn_away(place, line, refused)
        return True

    def _turn_away(
        self, place: QueuedPromptId, line: PromptQueue, refused: RejectedWithRetryAfter
    ) -> None:
        question, waiting = self._open[place], len(line)
        ask = question.asked.ask
        self._count(ask.service, question.asked.need.rank, "refused")
        self.left(place, ask.service)
        self._answer(place, question, LineTold(number=place.number, refused=refused))
        events.LINE_REFUSED.log(
            log,
            request=ask.request,
            service=ask.service,
            rank=question.asked.need.rank,
            detail=refused.detail,
            waiting=waiting,
            in_time_s=round(question.asked.need.first_event_in_s, 2),
            seconds=round(refused.retry_after_s, 2),
        )

    def _answer(self, place: QueuedPromptId, question: _Open, told: LineTold) -> None:
        """Tell the last of a question, and keep it for as long as it may be asked again."""
        now = self._timers.now
        for former, given in list(self._given.items()):
            if now - given.at <= RENEWAL_TIMEOUT_S:
                break
            del self._given[former]
        self._given[place] = _Given(told=told, at=now)
        question.reply(told)

    def _tell_waiting(self, place: QueuedPromptId, line: PromptQueue) -> None:
        waits = QueuedForCapacity(seconds=RENEW_S, ahead=line.count_ahead(place))
        self._open[place].reply(LineTold(number=place.number, waits=waits))

    def _log_queued(self, place: QueuedPromptId, line: PromptQueue) -> None:
        asked, now = self._open[place].asked, self._timers.now
        view = self._placer.view(asked.ask.service)
        events.LINE_QUEUED.log(
            log,
            request=asked.ask.request,
            service=asked.ask.service,
            rank=asked.need.rank,
            ahead=line.count_ahead(place),
            in_time_s=round(asked.need.first_event_in_s, 2),
            per_s=round(prefills_per_s(asked.ask.service, view, now), 1),
        )

    def _tell_late(self, service: str, line: PromptQueue) -> None:
        """Tell once of each prompt that the line could not reach in its time."""
        now = self._timers.now
        for waiting in line.waiting:
            question = self._open[waiting.prompt_id]
            if question.told_late or waiting.priority_class(now) is not PriorityClass.LATE:
                continue
            question.told_late = True
            events.LINE_PASSED_BY.log(
                log,
                request=waiting.request.request_id,
                service=service,
                rank=waiting.request.rank,
                seconds=round(now - waiting.enqueued_at, 2),
                waiting=len(line),
            )

    def _log_begun(self, waiting: QueuedPrompt, line: PromptQueue, placed: Placed) -> None:
        now = self._timers.now
        at_once = now <= waiting.enqueued_at
        self._count(
            waiting.request.service, waiting.request.rank, "at-once" if at_once else "begun"
        )
        if at_once:
            return
        events.LINE_BEGUN.log(
            log,
            request=waiting.request.request_id,
            service=waiting.request.service,
            rank=waiting.request.rank,
            engine=placed.engine,
            seconds=round(now - waiting.enqueued_at, 3),
            waiting=len(line),
            left_s=round(waiting.request.start_by - now, 2),
        )

    def _count(self, service: str, rank: int, outcome: str) -> None:
        self._tally.add(metrics.LINE_OUTCOMES, service, str(rank), outcome)

    def _measure(self, service: str, line: PromptQueue) -> None:
        """Tell the length and age of a line by rank; ranks that have gone are told as 0."""
        now = self._timers.now
        by_rank: dict[int, list[float]] = {}
        for waiting in line.waiting:
            by_rank.setdefault(waiting.request.rank, []).append(now - waiting.enqueued_at)
        for rank in {*by_rank, *self._ranks_told}:
            ages = by_rank.get(rank, [])
            self._tally.set(metrics.LINE_LENGTH, len(ages), service, str(rank))
            self._tally.set(metrics.LINE_AGE, max(ages, default=0.0), service, str(rank))
        self._ranks_told.update(by_rank)


def _time_over() -> RejectedWithRetryAfter:
    detail = "its answer could not end in its caller's time any more"
    return RejectedWithRetryAfter(detail=detail, retry_after_s=MIN_RETRY_AFTER_S)
