"""Gets a place at a runner for each attempt of a call, from the VM that gives them out.

On only for services whose runners say how slow their machines are, or that they are brittle.
Where nobody answers, the VM chooses by itself as it does for all others, but of brittle runners.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Iterator
from functools import partial

import attrs
import logbook
import trio

from lagoonlever.decisions.admission.call_queue import RENEW_INTERVAL_S, CallEnd
from lagoonlever.decisions.admission.capacity import (
    CapacityGranted,
    QueuedForCapacity,
    RejectedWithRetryAfter,
)
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.targets.call_coordinators import ranked_coordinators, runner_groups
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway import events_calls as events
from lagoonlever.gateway import metrics
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.brittle_watch import BrittleWatch
from lagoonlever.gateway.call_desk import CallDesk
from lagoonlever.gateway.own_turns import receive_within
from lagoonlever.gateway.tally import Tally
from lagoonlever.gateway.target_client import (
    Answered,
    AttemptResult,
    Held,
    Refused,
)
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_calls import PlaceAsk, PlaceEnded, PlaceTold
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

ANSWER_S = 0.05
"""Another VM answers within some milliseconds; one that takes longer is starting, busy or gone."""
SILENT_S = 1.0
"""How long a VM that did not answer is passed over."""
MOST_DESKS = 3
"""VMs that are asked for one attempt."""
TRAVEL_S = 0.01
"""Of an answer to its caller, and of the question and the request before it."""
WORK_MARGIN = 2.5
"""Times the usual work that is left for it, so that a machine that turns slow is borne."""
SERVER_ERROR = 500
ANSWERS = 16
"""Messages that one question may have unread."""


@attrs.frozen(kw_only=True)
class CallPlace:
    """A place at a runner; it is to be ended once, whatever becomes of the attempt."""

    target: str
    number: int
    service: str
    group: int
    desk: str
    """The VM that gave it."""


PlaceOutcome = CallPlace | RejectedWithRetryAfter | None
"""None where the VM chooses by itself."""


@attrs.frozen(kw_only=True)
class _Question:
    """What is asked again of each desk under one number."""

    number: int
    accepted: Accepted
    group: int
    avoid: tuple[str, ...]
    first: str | None


@attrs.define(kw_only=True, eq=False)
class CallPlaces:
    """Asks for places; soft on both sides: a lost message costs time, never a second run."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _tally: Tally
    _desk: CallDesk
    """Of this VM."""
    _brittle: BrittleWatch
    _data_center: str
    _leaving: Callable[[], bool]
    _numbers: Iterator[int] = attrs.field(init=False)
    """Begun by the start of this process, so that none is that of a former one."""
    _open: dict[int, trio.MemorySendChannel[PlaceTold]] = attrs.field(factory=dict)
    _held: set[int] = attrs.field(factory=set)
    """Numbers of attempts that have a place."""
    _silent_until: dict[str, float] = attrs.field(factory=dict)
    _work_s: dict[str, float] = attrs.field(factory=dict)
    """What a call usually takes, by service, as the desks have told."""

    @_numbers.default
    def _make_numbers(self) -> Iterator[int]:
        return itertools.count(self._bus.own.started_ms)

    async def run(self) -> None:
        """Take answers until cancelled."""
        async for received in self._bus.subscribe(PlaceTold):
            self._take(received.message, received.sender.name)

    @MECHANISMS.register(
        "call-places",
        does="one VM gives out the places at runners that tell how slow their machines are",
        without="each VM chooses by its own calls",
        plain=gives(False),
    )
    def serves(self, service: str) -> bool:
        """Check whether places at the runners of a service are given out."""
        loads = self._beliefs.loads
        if self._brittle.any_of(service):
            return True
        return any(loads.reports_slowness(each.id) for each in self._serving(service))

    def only_by_places(self, service: str) -> bool:
        """Check whether calls may not go to the runners of a service without a place."""
        return self._brittle.any_of(service)

    async def take(self, accepted: Accepted, *, avoid: Collection[str] = ()) -> PlaceOutcome:
        """Get a place, once there is one."""
        return await self._get(accepted, avoid=avoid, first=None)

    async def second(self, accepted: Accepted, *, first: str) -> PlaceOutcome:
        """Get a free slot elsewhere if the runner of the first attempt is in a bad state.

        Refused where it is not, or no slot is free.
        """
        return await self._get(accepted, avoid=(first,), first=first)

    def ended(self, place: CallPlace, result: AttemptResult | None, *, seconds: float) -> None:
        """Tell that the attempt is over; no result is one that was broken off."""
        self._held.discard(place.number)
        load = result.head.load if isinstance(result, Answered | Refused) else None
        end = _end_of(result)
        if isinstance(result, Refused) and self._brittle.borne_by(place.target) is not None:
            end = CallEnd.REFUSED
        message = PlaceEnded(
            number=place.number,
            service=place.service,
            group=place.group,
            target=place.target,
            end=end,
            seconds=seconds,
            load=load,
        )
        self._tell_desk(place.desk, message)

    def unused(self, place: CallPlace) -> None:
        """Return a place that is not used any more."""
        self._held.discard(place.number)
        self._tell_desk(place.desk, self._left(place.service, place.group, place))

    async def _get(
        self, accepted: Accepted, *, avoid: Collection[str], first: str | None
    ) -> PlaceOutcome:
        service = accepted.service
        names = [each.id for each in self._serving(service)]
        groups = runner_groups(service, names)
        if set(avoid).issuperset(names):
            return None
        number = next(self._numbers)
        question = _Question(
            number=number,
            accepted=accepted,
            group=self._group_of(groups, number, first),
            avoid=tuple(avoid),
            first=first,
        )
        for desk in self._desks(service, question.group):
            told = await self._ask(desk, question)
            if told is not None:
                return self._outcome(told, question, desk)
            self._silent_until[desk] = self._timers.now + SILENT_S
            self._tally.add(metrics.CALL_DESKS_SILENT)
            events.DESK_SILENT.log(log, vm=desk, service=service, seconds=ANSWER_S)
        return None

    def _group_of(self, groups: tuple[tuple[str, ...], ...], number: int, first: str | None) -> int:
        """Take the groups in turn; for a second attempt that of the first, whose state it knows."""
        if first is not None:
            return next((i for i, names in enumerate(groups) if first in names), 0)
        return number % len(groups)

    def _outcome(self, told: PlaceTold, question: _Question, desk: str) -> PlaceOutcome:
        outcome = told.outcome
        if isinstance(outcome, RejectedWithRetryAfter):
            return outcome
        if not isinstance(outcome, CapacityGranted):
            return RejectedWithRetryAfter(detail="no slot is free", retry_after_s=RENEW_INTERVAL_S)
        place = CallPlace(
            target=outcome.target,
            number=question.number,
            service=question.accepted.service,
            group=question.group,
            desk=desk,
        )
        if self._beliefs.targets.takes_work(place.target):
            return place
        self.unused(place)
        return None

    async def _ask(self, desk: str, question: _Question) -> PlaceTold | None:
        """Ask one VM until it has decided; None where it does not answer, also while it waits."""
        send, receive = trio.open_memory_channel[PlaceTold](ANSWERS)
        self._open[question.number] = send
        told: PlaceTold | None = None
        try:
            while True:
                self._send(desk, question)
                told = await receive_within(
                    receive, ANSWER_S, ask_again=partial(self._send, desk, question)
                )
                if told is None or not self._waits(told, question):
                    return told
                with trio.move_on_after(RENEW_INTERVAL_S):
                    while self._waits(told, question):
                        told = await receive.receive()
                if not self._waits(told, question):
                    return told
        finally:
            del self._open[question.number]
            self._leave_unless_given(desk, question, told)

    def _waits(self, told: PlaceTold, question: _Question) -> bool:
        return question.first is None and isinstance(told.outcome, QueuedForCapacity)

    def _leave_unless_given(self, desk: str, question: _Question, told: PlaceTold | None) -> None:
        """Tell a desk that an attempt waits there no longer, whether its answer was lost or not."""
        if told is not None and told.target is not None:
            self._held.add(question.number)
        elif told is None or self._waits(told, question):
            service, group = question.accepted.service, question.group
            message = PlaceEnded(number=question.number, service=service, group=group)
            self._tell_desk(desk, message)

    def _send(self, desk: str, question: _Question) -> None:
        accepted, now = question.accepted, self._timers.now
        work_s = self._work_s.get(accepted.service, 0.0)
        start_by = accepted.arrived + accepted.route.objective_s - TRAVEL_S - WORK_MARGIN * work_s
        asked = PlaceAsk(
            number=question.number,
            reply_to=self._bus.address,
            service=accepted.service,
            group=question.group,
            rank=accepted.priority,
            start_in_s=start_by - now,
            end_in_s=accepted.left_s(now),
            repeatable=accepted.route.repeatable,
            data_center=self._data_center,
            avoid=question.avoid,
            first=question.first,
        )
        if desk == self._bus.own.name:
            self._desk.ask(self._bus.own, asked, lambda told: self._take(told, desk))
            return
        state = self._beliefs.fellows.find(desk)
        if state is not None:
            self._bus.send(state.bus, asked, ttl_s=ANSWER_S)

    def _take(self, told: PlaceTold, desk: str) -> None:
        """Hand an answer over; a place that nobody waits for any more goes back."""
        self._work_s[told.service] = told.work_s
        if self._hand_over(told):
            return
        if told.target is not None and told.number not in self._held:
            self._give_back(told, desk)

    def _hand_over(self, told: PlaceTold) -> bool:
        """Deliver an answer; return False where its question is closed or has too many unread."""
        channel = self._open.get(told.number)
        if channel is None:
            return False
        try:
            channel.send_nowait(told)
        except trio.WouldBlock:
            return False
        return True

    def _give_back(self, told: PlaceTold, desk: str) -> None:
        groups = runner_groups(told.service, (each.id for each in self._serving(told.service)))
        for group in range(len(groups)):
            message = PlaceEnded(
                number=told.number, service=told.service, group=group, target=told.target
            )
            self._tell_desk(desk, message)

    def _left(self, service: str, group: int, place: CallPlace) -> PlaceEnded:
        return PlaceEnded(number=place.number, service=service, group=group, target=place.target)

    def _tell_desk(self, desk: str, message: PlaceEnded) -> None:
        if desk == self._bus.own.name:
            self._desk.ended(self._bus.own, message)
            return
        state = self._beliefs.fellows.find(desk)
        if state is not None:
            self._bus.send(state.bus, message)

    def _desks(self, service: str, group: int) -> list[str]:
        """Return the VMs to ask, in turn: without those that have not answered just now."""
        now = self._timers.now
        present = self._beliefs.fellows.present(now)
        names = [fellow.life.name for fellow in present if not fellow.leaving]
        if not names or not self._leaving():
            names.append(self._bus.own.name)
        able = [name for name in names if self._silent_until.get(name, 0.0) <= now]
        return ranked_coordinators(service, group, able)[:MOST_DESKS]

    def _serving(self, service: str) -> tuple[ListedTarget, ...]:
        return self._beliefs.targets.serving(service)


def _end_of(result: AttemptResult | None) -> CallEnd:
    """Return what an attempt tells of its runner."""
    if isinstance(result, Answered):
        failed = result.response.status >= SERVER_ERROR
        return CallEnd.FAILED if failed else CallEnd.ANSWERED
    if result is None or isinstance(result, Held):
        return CallEnd.UNUSED
    return CallEnd.LOST
