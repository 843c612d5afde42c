"""Assigns places at runners, for this VM and for all others that ask."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.admission.call_queue import CallEnd, CallQueue, QueueDecision
from lagoonlever.decisions.admission.capacity import (
    CapacityGranted,
    CapacityOutcome,
    RejectedWithRetryAfter,
)
from lagoonlever.decisions.targets.call_coordinators import runner_groups
from lagoonlever.gateway import events_calls as events
from lagoonlever.gateway import metrics
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.brittle_watch import BrittleWatch
from lagoonlever.gateway.tally import Tally
from lagoonlever.identity import Incarnation
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_calls import PlaceAsk, PlaceEnded, PlaceTold
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

LOOK_S = 0.02
"""How often a line with calls in it is looked at beside its news."""
CAPACITY = 1024
"""Messages that wait for a turn of this process."""
IDLE_S = 30.0
"""A line that nobody has asked for so long is forgotten."""

Reply = Callable[[PlaceTold], None]


@attrs.define(kw_only=True)
class _Line:
    service: str
    group: int
    line: CallQueue = attrs.field(factory=CallQueue)
    replies: dict[str, tuple[PlaceAsk, Reply]] = attrs.field(factory=dict)
    """To those that wait."""
    asked_at: float = 0.0


@attrs.define(kw_only=True, eq=False)
class CallDesk:
    """Answers whoever asks: views need not agree on who gives out which places."""

    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _tally: Tally
    _brittle: BrittleWatch
    _rests: Callable[[str], bool]
    """Whether a runner wants nothing now."""
    _lines: dict[tuple[str, int], _Line] = attrs.field(factory=dict)
    _waits: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Answer until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_asks)
            nursery.start_soon(self._receive_ends)
            nursery.start_soon(self._look)

    @property
    def is_asked(self) -> bool:
        """Whether this VM gives out any room."""
        return bool(self._lines)

    def ask(self, vm: Incarnation, asked: PlaceAsk, reply: Reply) -> None:
        """Decide for a VM; of an attempt that waits, ``reply`` is called once more."""
        now = self._timers.now
        kept = self._line(asked.service, asked.group, now)
        kept.asked_at = now
        request = _request(vm, asked.number)
        ask = asked.line_ask(request, now)
        if asked.first is not None:
            outcome: CapacityOutcome = kept.line.request_second_slot(
                ask, first=asked.first, now=now
            )
        else:
            outcome = kept.line.request_slot(ask, now)
        if isinstance(outcome, RejectedWithRetryAfter):
            self._log_refused(kept, asked.rank, outcome, now)
        elif not isinstance(outcome, CapacityGranted) and asked.first is None:
            kept.replies[request] = (asked, reply)
            self._waits.set()
        told = PlaceTold.of(asked.number, asked.service, outcome, work_s=kept.line.work_s)
        reply(told)
        self._tell_news(kept, now)

    def ended(self, vm: Incarnation, ended: PlaceEnded) -> None:
        """Take that an attempt of a VM is over."""
        kept = self._lines.get((ended.service, ended.group))
        if kept is None:
            return
        now, request = self._timers.now, _request(vm, ended.number)
        kept.replies.pop(request, None)
        if ended.target is None:
            kept.line.withdraw(request)
            return
        kept.line.record_end(
            request,
            ended.target,
            ended.end,
            now,
            seconds=ended.seconds,
            load=ended.load,
        )
        self._tell_news(kept, now)

    def started_again(self, target: str) -> None:
        """Record that another process has a runner's id."""
        for kept in self._lines.values():
            kept.line.record_restart(target)

    async def _receive_asks(self) -> None:
        async for received in self._bus.subscribe(PlaceAsk, capacity=CAPACITY):
            asked = received.message
            self.ask(received.sender, asked, self._reply_to(asked))

    def _reply_to(self, asked: PlaceAsk) -> Reply:
        return lambda told: self._bus.send(asked.reply_to, told)

    async def _receive_ends(self) -> None:
        async for received in self._bus.subscribe(PlaceEnded, capacity=CAPACITY):
            self.ended(received.sender, received.message)

    async def _look(self) -> None:
        """Look at the lines as long as somebody waits."""
        while True:
            await self._waits.wait()
            await trio.sleep(LOOK_S)
            now = self._timers.now
            for key, kept in list(self._lines.items()):
                kept.line.set_spared(self._brittle.spared())
                self._tell_news(kept, now)
                if now - kept.asked_at > IDLE_S:
                    del self._lines[key]
            if not any(kept.line.waiting for kept in self._lines.values()):
                self._waits = trio.Event()

    def _line(self, service: str, group: int, now: float) -> _Line:
        """Return a line with the runners of its group, as they are listed now."""
        serving = self._beliefs.targets.serving(service)
        able = {each.id: each.data_center for each in serving if not self._rests(each.id)}
        groups = runner_groups(service, (each.id for each in serving))
        names = groups[group] if group < len(groups) else ()
        kept = self._lines.get((service, group))
        if kept is None:
            kept = self._lines[(service, group)] = _Line(service=service, group=group)
            events.DESK_BEGINS.log(log, service=service, runners=len(names))
        kept.line.retain({name: able[name] for name in names if name in able})
        kept.line.set_brittle({name: self._brittle.borne_by(name) for name in names})
        kept.line.set_spared(self._brittle.spared())
        return kept

    def _tell_news(self, kept: _Line, now: float) -> None:
        for news in kept.line.tick(now):
            asked, reply = kept.replies.pop(news.request_id, (None, None))
            if asked is None or reply is None:
                kept.line.record_end(news.request_id, _target(news), CallEnd.UNUSED, now)
                continue
            self._log_news(kept, asked, news, now)
            work_s = kept.line.work_s
            reply(PlaceTold.of(asked.number, kept.service, news.outcome, work_s=work_s))
        if not kept.line.waiting:
            kept.replies.clear()

    def _log_news(self, kept: _Line, asked: PlaceAsk, news: QueueDecision, now: float) -> None:
        if isinstance(news.outcome, RejectedWithRetryAfter):
            self._log_refused(kept, asked.rank, news.outcome, now)
            return
        self._tally.record(metrics.CALL_PLACE_WAIT, news.waited_s)
        events.PLACE_WAITED.log(
            log,
            service=kept.service,
            seconds=news.waited_s,
            target=news.outcome.target,
            waiting=kept.line.waiting,
            runners=kept.line.describe(now),
        )

    def _log_refused(
        self, kept: _Line, rank: int, refused: RejectedWithRetryAfter, now: float
    ) -> None:
        self._tally.add(metrics.CALLS_REFUSED_FOR_ROOM, str(rank))
        events.CALL_REFUSED.log(
            log,
            service=kept.service,
            rank=rank,
            retry_after_s=refused.retry_after_s,
            detail=refused.detail,
            runners=kept.line.describe(now),
        )


def _request(vm: Incarnation, number: int) -> str:
    return f"{vm.name}/{vm.nonce}/{number}"


def _target(news: QueueDecision) -> str:
    return news.outcome.target if isinstance(news.outcome, CapacityGranted) else ""
