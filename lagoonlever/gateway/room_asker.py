"""Asks for a place at an engine where prompts of a service wait in line, and waits for it.

The VM that keeps the line is asked again all the time. One that is silent is passed over, and
the next is asked; with no answer from either the place is found by this VM's own book, as if
there were no line.
"""

from __future__ import annotations

import contextlib
import itertools
from collections.abc import Callable, Iterator
from functools import partial

import attrs
import logbook
import trio

from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.admission.prompt_queue import QueuedPromptId
from lagoonlever.decisions.fleet.queue_coordinators import (
    MAX_COORDINATORS_ASKED,
    queue_coordinators,
)
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.settings.configuration import Configuration, RouteKind
from lagoonlever.decisions.settings.load_parts import has_ranks
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.streams.run_placement import PlacementRequest, RunOutcome
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.brittle_watch import BrittleWatch
from lagoonlever.gateway.own_turns import receive_within
from lagoonlever.gateway.room_desk import RENEW_S, RoomDesk
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_line import LineAsk, LineLeft, LineNeed, LineTold
from lagoonlever.published import Published
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

ANSWER_S = 0.05
"""A keeper answers within some milliseconds; one that takes longer is starting, busy or gone."""
MOST_UNANSWERED = 2
"""Questions of one that waits, before its keeper counts as silent."""
PASSED_OVER_S = 1.0
"""How long a keeper that did not answer is not asked."""
PLACE_HOLDS_S = 0.5
"""After its last question an asker that was paused takes no place: it may be another's."""
TOLD_MOST = 8

LineOutcome = RunOutcome | RejectedWithRetryAfter


@MECHANISMS.register(
    "room-line",
    does="prompts of a service whose routes differ in rank wait in one line for ready engines",
    without="each is sent to an engine at once, or refused",
    plain=gives(False),
)
def has_line(configuration: Configuration | None, service: str) -> bool:
    """Check whether new prompts of a service wait in line."""
    return has_ranks(configuration, service, RouteKind.STREAM)


@attrs.define(kw_only=True, eq=False)
class RoomAsker:
    """Holds this VM's open questions by number."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _roles: Published[Roles | None]
    _vm: str
    """This VM's name."""
    _leaving: Callable[[], bool]
    _desk: RoomDesk
    """This VM's own, which keeps some of the lines."""
    _brittle: BrittleWatch
    _numbers: Iterator[int] = attrs.field(init=False)
    """Begun by the start of this process, so that none is that of a former one."""
    _open: dict[int, trio.MemorySendChannel[LineTold]] = attrs.field(factory=dict)
    _silent_until: dict[str, float] = attrs.field(factory=dict)

    @_numbers.default
    def _make_numbers(self) -> Iterator[int]:
        return itertools.count(self._bus.own.started_ms)

    async def run(self) -> None:
        """Take the answers of keepers until cancelled."""
        async for received in self._bus.subscribe(LineTold):
            self._take(received.message)

    def has_line(self, service: str) -> bool:
        """Check whether new prompts of a service wait in line."""
        if self._brittle.any_of(service):
            return True
        return has_line(self._beliefs.configuration.value, service)

    def only_by_line(self, service: str) -> bool:
        """Check whether no prompt may go to the engines of a service but by the line."""
        return self._brittle.any_of(service)

    async def place(self, ask: PlacementRequest, need: LineNeed) -> LineOutcome | None:
        """Wait for a place, or a refusal; None where nobody keeps the line."""
        began = self._timers.now
        for _ in range(MAX_COORDINATORS_ASKED):
            while (keeper := self._keeper(ask.service)) is not None:
                waited_s = self._timers.now - began
                question = _Question(ask=ask, need=_later(need, waited_s), keeper=keeper)
                outcome = await self._wait_at(question)
                if outcome is not None:
                    return outcome
                if self._is_silent(keeper):
                    break
        return None

    async def _wait_at(self, question: _Question) -> LineOutcome | None:
        """Keep a question open at one keeper; None where it is silent, or is the keeper no more."""
        number = next(self._numbers)
        send, receive = trio.open_memory_channel[LineTold](TOLD_MOST)
        self._open[number] = send
        closed = False
        try:
            outcome = await self._ask_again(question, number, receive)
            closed = outcome is not None
            return outcome
        finally:
            del self._open[number]
            if not closed:
                self._leave(question, number)

    async def _ask_again(
        self, question: _Question, number: int, receive: trio.MemoryReceiveChannel[LineTold]
    ) -> LineOutcome | None:
        began = asked = self._timers.now
        answer_s, unanswered = ANSWER_S, 0
        self._send(question, number, waited_s=0.0)
        while True:
            told = await receive_within(
                receive,
                answer_s,
                ask_again=partial(self._send_again, question, number, began=began),
            )
            now = self._timers.now
            is_old = now - asked > PLACE_HOLDS_S
            if told is not None and told.waits is None and not is_old:
                return self._outcome(question.ask.service, told)
            unanswered = unanswered + 1 if told is None else 0
            if unanswered > (0 if answer_s == ANSWER_S else MOST_UNANSWERED):
                self._pass_over(question.keeper, now - began)
                return None
            if self._keeper(question.ask.service) != question.keeper:
                return None
            if told is None or is_old:
                asked = now
                self._send(question, number, waited_s=now - began)
            answer_s = RENEW_S

    def _outcome(self, service: str, told: LineTold) -> LineOutcome | None:
        """Return what was decided, and take what the keeper knows of the engines."""
        if told.refused is not None:
            return told.refused
        if told.decided is None:
            return None
        pace = told.decided.pace
        if pace is not None:
            self._beliefs.book.timings.restore(service, pace, self._timers.now)
        return told.decided.outcome

    def _keeper(self, service: str) -> str | None:
        """Return the VM to ask, or None while this one hardly knows the others."""
        roles = self._roles.value
        if roles is None:
            return None
        present = self._beliefs.fellows.present(self._timers.now)
        leaving = self._leaving()
        keepers = queue_coordinators(
            service, roles=roles, own=self._vm, leaving=leaving, present=present
        )
        return next(
            (vm for vm in keepers[: MAX_COORDINATORS_ASKED + 1] if not self._is_silent(vm)), None
        )

    def _is_silent(self, vm: str) -> bool:
        return self._silent_until.get(vm, 0.0) > self._timers.now

    def _pass_over(self, vm: str, seconds: float) -> None:
        events.LINE_KEEPER_SILENT.log(log, vm=vm, seconds=seconds)
        self._silent_until[vm] = self._timers.now + PASSED_OVER_S

    def _send_again(self, question: _Question, number: int, *, began: float) -> None:
        self._send(question, number, waited_s=self._timers.now - began)

    def _send(self, question: _Question, number: int, *, waited_s: float) -> None:
        asked = LineAsk(
            number=number,
            reply_to=self._bus.address,
            ask=question.ask,
            need=_later(question.need, waited_s),
        )
        if question.keeper == self._vm:
            self._desk.ask(asked, vm=self._vm, reply=self._take)
            return
        state = self._beliefs.fellows.find(question.keeper)
        if state is not None:
            self._bus.send(state.bus, asked, ttl_s=RENEW_S)

    def _leave(self, question: _Question, number: int) -> None:
        """Tell the keeper that the question is open no more, as its caller has gone."""
        service = question.ask.service
        if question.keeper == self._vm:
            self._desk.left(QueuedPromptId(vm=self._vm, number=number), service)
            return
        state = self._beliefs.fellows.find(question.keeper)
        if state is not None:
            self._bus.send(state.bus, LineLeft(number=number, service=service))

    def _take(self, told: LineTold) -> None:
        """Hand an answer to its question; one that is open no more makes no use of it."""
        waiting = self._open.get(told.number)
        if waiting is None:
            return
        with contextlib.suppress(trio.WouldBlock):
            waiting.send_nowait(told)


@attrs.frozen(kw_only=True)
class _Question:
    """What is asked of whom; the need is as of when it was first asked."""

    ask: PlacementRequest
    need: LineNeed
    keeper: str


def _later(need: LineNeed, seconds: float) -> LineNeed:
    return attrs.evolve(
        need,
        waited_s=need.waited_s + seconds,
        first_event_in_s=need.first_event_in_s - seconds,
        end_in_s=need.end_in_s - seconds,
    )
