"""A state machine over the line for calls: places and waits whatever comes, in whatever order."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lagoonlever.decisions.admission.call_line import QUEUED, CallEnd, CallLine, LineAsk
from lagoonlever.decisions.admission.room import (
    RefusedWithReturn,
    RoomAsk,
    RoomGiven,
    WaitInLine,
)
from lagoonlever.decisions.targets.reported_load import ReportedLoad

RUNNERS = ("a", "b", "c")
SLOTS = 2.0
AIM_S = 0.3
TIME_S = 1.5
STEP_S = 0.05


class CallLineMachine(RuleBasedStateMachine):
    """Keeps what was told to whom, and compares it with the line."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.line = CallLine()
        self.asks: dict[str, LineAsk] = {}
        self.waiting: set[str] = set()
        self.given: dict[str, str] = {}
        self.over: set[str] = set()

    @initialize(slowness=st.lists(st.sampled_from([0.8, 1.0, 2.5]), min_size=3, max_size=3))
    def told(self, slowness: list[float]) -> None:
        self.line.retain(dict.fromkeys(RUNNERS, "dc"))
        for name, pace in zip(RUNNERS, slowness, strict=True):
            load = ReportedLoad(running=0, waiting=0, slots=SLOTS, slowness=pace)
            self.line.ended("-", name, CallEnd.ANSWERED, self.now, seconds=0.07, load=load)

    @rule(rank=st.integers(0, 2), repeatable=st.booleans(), aim_s=st.sampled_from([AIM_S, 0.1]))
    def ask(self, rank: int, repeatable: bool, aim_s: float) -> None:
        request = f"r-{len(self.asks)}"
        room = RoomAsk(
            request=request,
            service="apps",
            rank=rank,
            arrived=self.now,
            start_by=self.now + aim_s,
            end_by=self.now + TIME_S,
            repeatable=repeatable,
        )
        self.asks[request] = LineAsk(room=room)
        self.take(request, self.line.ask(self.asks[request], self.now))
        self.tick()

    @precondition(lambda self: self.waiting or self.given)
    @rule(data=st.data())
    def ask_again(self, data: st.DataObject) -> None:
        """Ask again: whoever has a place is told of the same one."""
        request = data.draw(st.sampled_from(sorted({*self.waiting, *self.given})))
        self.take(request, self.line.ask(self.asks[request], self.now))
        self.tick()

    @precondition(lambda self: self.given)
    @rule(
        data=st.data(),
        end=st.sampled_from(CallEnd),
        running=st.integers(0, 4),
        slowness=st.sampled_from([1.0, 2.5]),
    )
    def end(self, data: st.DataObject, end: CallEnd, running: int, slowness: float) -> None:
        request = data.draw(st.sampled_from(sorted(self.given)))
        runner = self.given.pop(request)
        self.over.add(request)
        load = ReportedLoad(running=running, waiting=0, slots=SLOTS, slowness=slowness)
        self.line.ended(request, runner, end, self.now, seconds=0.07, load=load)
        self.tick()

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.discard(request)
        self.over.add(request)
        self.line.leave(request)

    @rule(steps=st.integers(1, 4))
    def wait(self, steps: int) -> None:
        """Let time pass; whoever waits asks again in time."""
        for _ in range(steps):
            self.now += STEP_S
            for request in [r for r in self.given if self.now >= self.asks[r].room.end_by]:
                del self.given[request]
                self.over.add(request)
            for request in sorted(self.waiting):
                if request in self.waiting:
                    self.take(request, self.line.ask(self.asks[request], self.now))
                    self.tick()
            self.tick()

    @rule()
    def tick(self) -> None:
        for news in self.line.tick(self.now):
            assert news.request in self.waiting, "nobody is told twice"
            self.take(news.request, news.outcome)

    def take(self, request: str, outcome: RoomGiven | WaitInLine | RefusedWithReturn) -> None:
        assert request not in self.over, "nobody is served after its end"
        if isinstance(outcome, RoomGiven):
            assert self.given.get(request, outcome.target) == outcome.target, "one place at most"
            self.given[request] = outcome.target
            self.waiting.discard(request)
        elif isinstance(outcome, WaitInLine):
            assert request not in self.given
            self.waiting.add(request)
        else:
            assert outcome.retry_after_s > 0
            self.waiting.discard(request)
            self.over.add(request)

    @invariant()
    def nobody_is_forgotten(self) -> None:
        assert self.line.waiting == len(self.waiting)

    @invariant()
    def nobody_waits_beyond_its_time(self) -> None:
        assert all(self.now <= self.asks[request].room.end_by for request in self.waiting)

    @invariant()
    def no_runner_has_more_places_than_slots(self) -> None:
        for name in RUNNERS:
            runner = self.line.runner(name)
            assert runner is None or len(runner.places) <= SLOTS + QUEUED


TestCallLine = CallLineMachine.TestCase
