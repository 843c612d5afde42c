"""State machine over the call queue: slots and waits after any sequence of events."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from lagoonlever.decisions.admission.call_queue import (
    MAX_QUEUED_PER_RUNNER,
    CallEnd,
    CallQueue,
    SlotRequest,
)
from lagoonlever.decisions.admission.capacity import (
    CapacityGranted,
    CapacityRequest,
    QueuedForCapacity,
    RejectedWithRetryAfter,
)
from lagoonlever.decisions.targets.reported_load import ReportedLoad

RUNNERS = ("a", "b", "c")
SLOTS = 2.0
OBJECTIVE_S = 0.3
TIME_S = 1.5
STEP_S = 0.05


class CallQueueMachine(RuleBasedStateMachine):
    """Keep the outcome of each attempt, and compare it with the queue."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.queue = CallQueue()
        self.requests: dict[str, SlotRequest] = {}
        self.waiting: set[str] = set()
        self.granted: dict[str, str] = {}
        self.over: set[str] = set()

    @initialize(slowness=st.lists(st.sampled_from([0.8, 1.0, 2.5]), min_size=3, max_size=3))
    def report_load(self, slowness: list[float]) -> None:
        self.queue.retain(dict.fromkeys(RUNNERS, "dc"))
        for name, slowdown in zip(RUNNERS, slowness, strict=True):
            load = ReportedLoad(running=0, waiting=0, slots=SLOTS, slowness=slowdown)
            self.queue.record_end("-", name, CallEnd.ANSWERED, self.now, seconds=0.07, load=load)

    @rule(
        rank=st.integers(0, 2),
        repeatable=st.booleans(),
        objective_s=st.sampled_from([OBJECTIVE_S, 0.1]),
    )
    def request(self, rank: int, repeatable: bool, objective_s: float) -> None:
        request = f"r-{len(self.requests)}"
        capacity = CapacityRequest(
            request_id=request,
            service="apps",
            rank=rank,
            arrived_at=self.now,
            start_by=self.now + objective_s,
            end_by=self.now + TIME_S,
            repeatable=repeatable,
        )
        self.requests[request] = SlotRequest(capacity=capacity)
        self.record(request, self.queue.request_slot(self.requests[request], self.now))
        self.tick()

    @precondition(lambda self: self.waiting or self.granted)
    @rule(data=st.data())
    def renew(self, data: st.DataObject) -> None:
        """Repeat a request: an attempt that holds a slot gets the same one."""
        request = data.draw(st.sampled_from(sorted({*self.waiting, *self.granted})))
        self.record(request, self.queue.request_slot(self.requests[request], self.now))
        self.tick()

    @precondition(lambda self: self.granted)
    @rule(
        data=st.data(),
        end=st.sampled_from(CallEnd),
        running=st.integers(0, 4),
        slowness=st.sampled_from([1.0, 2.5]),
    )
    def end(self, data: st.DataObject, end: CallEnd, running: int, slowness: float) -> None:
        request = data.draw(st.sampled_from(sorted(self.granted)))
        runner = self.granted.pop(request)
        self.over.add(request)
        load = ReportedLoad(running=running, waiting=0, slots=SLOTS, slowness=slowness)
        self.queue.record_end(request, runner, end, self.now, seconds=0.07, load=load)
        self.tick()

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.discard(request)
        self.over.add(request)
        self.queue.withdraw(request)

    @rule(steps=st.integers(1, 4))
    def wait(self, steps: int) -> None:
        """Advance the time; waiting attempts renew their requests in time."""
        for _ in range(steps):
            self.now += STEP_S
            for request in [
                r for r in self.granted if self.now >= self.requests[r].capacity.end_by
            ]:
                del self.granted[request]
                self.over.add(request)
            for request in sorted(self.waiting):
                if request in self.waiting:
                    self.record(request, self.queue.request_slot(self.requests[request], self.now))
                    self.tick()
            self.tick()

    @rule()
    def tick(self) -> None:
        for decision in self.queue.tick(self.now):
            assert decision.request_id in self.waiting, "no attempt is decided twice"
            self.record(decision.request_id, decision.outcome)

    def record(
        self, request: str, outcome: CapacityGranted | QueuedForCapacity | RejectedWithRetryAfter
    ) -> None:
        assert request not in self.over, "no attempt is served after its end"
        if isinstance(outcome, CapacityGranted):
            assert self.granted.get(request, outcome.target) == outcome.target, "one slot at most"
            self.granted[request] = outcome.target
            self.waiting.discard(request)
        elif isinstance(outcome, QueuedForCapacity):
            assert request not in self.granted
            self.waiting.add(request)
        else:
            assert outcome.retry_after_s > 0
            self.waiting.discard(request)
            self.over.add(request)

    @invariant()
    def no_waiting_attempt_is_lost(self) -> None:
        assert self.queue.waiting == len(self.waiting)

    @invariant()
    def no_attempt_waits_past_its_deadline(self) -> None:
        assert all(self.now <= self.requests[request].capacity.end_by for request in self.waiting)

    @invariant()
    def no_runner_has_more_calls_than_slots(self) -> None:
        for name in RUNNERS:
            runner = self.queue.runner(name)
            assert runner is None or len(runner.granted) <= SLOTS + MAX_QUEUED_PER_RUNNER


TestCallQueue = CallQueueMachine.TestCase
