"""A model of calls from many VMs at few runners, under three ways to choose a runner.

``own``: each VM by its own few outstanding calls; ``news``: by loads that all VMs are told of
every 0.1 s; ``line``: by a ``CallQueue`` at one of them, with messages that may be lost.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from lagoonlever.decisions.admission.call_queue import CallEnd, CallQueue, SlotRequest
from lagoonlever.decisions.admission.capacity import (
    CapacityGranted,
    CapacityRequest,
    RejectedWithRetryAfter,
)
from lagoonlever.decisions.admission.runners import Runners
from lagoonlever.decisions.targets.reported_load import ReportedLoad

AIM_S = 0.34
DEADLINE_S = 1.5
HOP_S = 0.002
NEWS_S = 0.1
MOMENT_S = 0.6


@attrs.define(kw_only=True)
class ModelCall:
    """One call and what became of it; seconds."""

    number: int
    vm: int
    arrived: float
    repeatable: bool
    began: float | None = None
    ended: float | None = None
    runs: int = 0
    refused_at: float | None = None

    @property
    def wait_s(self) -> float:
        """From its arrival to the begin of its work."""
        return (self.began or self.arrived) - self.arrived

    @property
    def in_aim(self) -> bool:
        """Whether it was answered in time."""
        return self.ended is not None and self.ended - self.arrived <= AIM_S


@attrs.define(kw_only=True)
class ModelRunner:
    """Slots and a queue; ``says`` may tell something else than what is true."""

    slots: int = 6
    running: int = 0
    queue: list[ModelCall] = attrs.field(factory=list)
    leaves_at: float = float("inf")
    says: Callable[[ReportedLoad], ReportedLoad] = lambda load: load


@attrs.define(kw_only=True)
class CallModel:
    """Plays ``way`` for some seconds; ``rate`` gives calls a second at a time."""

    way: str
    rate: Callable[[float], float]
    seconds: float = 20.0
    vms: int = 60
    seed: int = 1
    loss: float = 0.0
    """The part of messages to and from the line that is lost."""
    desk_dies_at: float = float("inf")
    slow_share: float = 0.15
    margin: float = 2.5
    """Times the usual work that must be left of the aim when work begins."""
    work_s: float = 0.068
    runners: dict[str, ModelRunner] = attrs.field(
        factory=lambda: {f"r{number}": ModelRunner() for number in range(4)}
    )
    calls: list[ModelCall] = attrs.field(factory=list)
    messages: int = 0
    line: CallQueue = attrs.field(factory=CallQueue)
    _events: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _order: itertools.count[int] = attrs.field(factory=itertools.count)
    _now: float = 0.0
    _rng: random.Random = attrs.field(init=False)
    _own: dict[int, Runners] = attrs.field(factory=dict)
    _news: dict[str, int] = attrs.field(factory=dict)

    def play(self) -> CallModel:
        """Play to the end."""
        self._rng = random.Random(self.seed)
        self._at(0.0, self._arrive)
        for step in range(int(self.seconds / 0.05)):
            self._at(step * 0.05, self._look)
        self._at(self.desk_dies_at, self._desk_dies)
        while self._events and self._events[0][0] < self.seconds + DEADLINE_S:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self

    def share(self, counts: Callable[[ModelCall], bool]) -> float:
        """Give the part of all calls for which something holds."""
        return sum(map(counts, self.calls)) / len(self.calls)

    def wait_s(self, quantile: float) -> float:
        """Give a quantile of the waits of calls that were answered."""
        waits = sorted(call.wait_s for call in self.calls if call.ended is not None)
        return waits[int(quantile * (len(waits) - 1))]

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def _arrive(self) -> None:
        if self._now >= self.seconds:
            return
        number, vm = len(self.calls), self._rng.randrange(self.vms)
        repeatable = self._rng.random() < 2 / 7
        call = ModelCall(number=number, vm=vm, arrived=self._now, repeatable=repeatable)
        self.calls.append(call)
        choose = self._by_line if self.way == "line" else self._by_itself
        choose(call)
        self._at(self._now + self._rng.expovariate(self.rate(self._now)), self._arrive)

    def _alive(self) -> dict[str, str]:
        return {name: "" for name, each in self.runners.items() if self._now < each.leaves_at}

    def _by_itself(self, call: ModelCall) -> None:
        """Choose as a VM does by what it knows: its own calls, and with ``news`` all loads."""
        new = functools.partial(Runners, rng=self._rng, max_outstanding=64, target_s=1.0)
        own = self._own[call.vm] = self._own.get(call.vm) or new()
        names = list(self._alive())
        if self.way == "own":
            name = own.choose(names, now=self._now, probe=False) or names[0]
        else:
            loads = {n: self._news.get(n, 0) + own.state(n).outstanding for n in names}
            name = min(names, key=lambda n: (loads[n], self._rng.random()))
        own.on_sent(name)
        self._send(call, name)

    def _by_line(self, call: ModelCall) -> None:
        """Ask now, and again until an answer has come; each way may lose its message."""
        if call.runs or call.refused_at is not None or self._now > call.arrived + DEADLINE_S:
            return
        self._at(self._now + 0.1, lambda: self._by_line(call))
        line = self.line
        self.messages += 2
        if self._lost():
            return
        room = CapacityRequest(
            request_id=str(call.number),
            service="apps",
            rank=0,
            arrived_at=call.arrived,
            start_by=call.arrived + AIM_S - self.margin * self.work_s,
            end_by=call.arrived + DEADLINE_S,
            repeatable=call.repeatable,
        )
        line.retain(self._alive())
        outcome = line.request_slot(SlotRequest(capacity=room), self._now)
        self._tell(call, outcome)
        self._look()

    def _tell(self, call: ModelCall, outcome: object) -> None:
        if self._lost() or call.runs or call.refused_at is not None:
            return
        if isinstance(outcome, CapacityGranted):
            self._send(call, outcome.target)
        elif isinstance(outcome, RejectedWithRetryAfter):
            call.refused_at = self._now

    def _look(self) -> None:
        if int(self._now / 0.05) % 2 == 0:
            self._news = {n: each.running + len(each.queue) for n, each in self.runners.items()}
        self.line.retain(self._alive())
        for news in self.line.tick(self._now):
            self.messages += 1
            self._tell(self.calls[int(news.request_id)], news.outcome)

    def _desk_dies(self) -> None:
        self.line = CallQueue()

    def _lost(self) -> bool:
        return self._rng.random() < self.loss

    def _send(self, call: ModelCall, name: str) -> None:
        call.runs += 1
        runner = self.runners[name]
        hops = 3 * HOP_S if self.way == "line" else HOP_S
        self._at(self._now + hops, lambda: self._reach(call, name, runner))

    def _reach(self, call: ModelCall, name: str, runner: ModelRunner) -> None:
        runner.queue.append(call)
        self._begin(name, runner)

    def _begin(self, name: str, runner: ModelRunner) -> None:
        while runner.queue and runner.running < runner.slots:
            call = runner.queue.pop(0)
            call.began = self._now
            runner.running += 1
            seconds = self.work_s * self._rng.uniform(0.5, 1.5) * self._slowness(name)
            self._at(self._now + seconds, functools.partial(self._end, call, name, runner))

    def _slowness(self, name: str) -> float:
        moment = random.Random(f"{name} {int(self._now / MOMENT_S)} {self.seed}")
        return 2.5 if moment.random() < self.slow_share else 1.0

    def _end(self, call: ModelCall, name: str, runner: ModelRunner) -> None:
        runner.running -= 1
        call.ended = self._now + HOP_S
        load = ReportedLoad(
            running=runner.running,
            waiting=len(runner.queue),
            slots=runner.slots,
            slowness=self._slowness(name),
        )
        self._begin(name, runner)
        if self.way != "line":
            self._own[call.vm].on_answer(name, now=self._now, latency_s=self._now - call.arrived)
            return
        seconds = self._now - (call.began or 0.0)
        news = functools.partial(self._hear_end, call, name, seconds, load)
        self._at(self._now + 2 * HOP_S, news)

    def _hear_end(self, call: ModelCall, name: str, seconds: float, load: ReportedLoad) -> None:
        self.messages += 1
        if self._lost():
            return
        told = self.runners[name].says(load)
        end = CallEnd.ANSWERED
        self.line.record_end(str(call.number), name, end, self._now, seconds=seconds, load=told)
        self._look()
