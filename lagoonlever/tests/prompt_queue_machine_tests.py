"""State machine over two prompt queues and the VMs that use them, with lost messages and pauses."""

from __future__ import annotations

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonlever.decisions.admission.capacity import CapacityRequest
from lagoonlever.decisions.admission.prompt_queue import (
    MAX_CONSECUTIVE_URGENT_STARTS,
    RENEWAL_TIMEOUT_S,
    PromptQueue,
    QueuedPrompt,
    QueuedPromptId,
)

PER_S = 2.0
OBJECTIVES_S = {0: 4.0, 2: 10.0}
CALLER_S = 25.0


@attrs.define(kw_only=True)
class PromptAtVm:
    """Prompt at its VM: its open request for capacity, and the coordinator it was sent to."""

    request: str
    rank: int
    arrived: float
    coordinator: int
    number: int = 0
    placed: int = 0
    renewed_at: float | None = None
    """Time at which its coordinator last received the open request."""


class PromptQueueMachine(RuleBasedStateMachine):
    """Coordinators are 0 and 1; a message is lost or delivered as the rule says."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.queues = [PromptQueue(), PromptQueue()]
        self.prompts: list[PromptAtVm] = []
        self.times_passed: dict[str, int] = {}

    def id_of(self, prompt: PromptAtVm) -> QueuedPromptId:
        return QueuedPromptId(vm=prompt.request, number=prompt.number)

    @property
    def waiting(self) -> list[PromptAtVm]:
        return [each for each in self.prompts if not each.placed]

    @rule(rank=st.sampled_from([0, 2]), coordinator=st.integers(0, 1), is_lost=st.booleans())
    def arrive(self, rank: int, coordinator: int, is_lost: bool) -> None:
        request = f"r{len(self.prompts)}"
        prompt = PromptAtVm(request=request, rank=rank, arrived=self.now, coordinator=coordinator)
        self.prompts.append(prompt)
        self._request(prompt, is_lost=is_lost)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data(), is_lost=st.booleans())
    def renew(self, data: st.DataObject, is_lost: bool) -> None:
        self._request(data.draw(st.sampled_from(self.waiting)), is_lost=is_lost)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data(), is_lost=st.booleans())
    def switch_coordinator(self, data: st.DataObject, is_lost: bool) -> None:
        """Close the request at the former coordinator, even if the message about it is lost."""
        prompt = data.draw(st.sampled_from(self.waiting))
        if not is_lost:
            self.queues[prompt.coordinator].remove(self.id_of(prompt))
        prompt.coordinator, prompt.number, prompt.renewed_at = (
            1 - prompt.coordinator,
            prompt.number + 1,
            None,
        )
        self._request(prompt, is_lost=False)

    @rule(seconds=st.floats(0.01, 2.0))
    def time_passes(self, seconds: float) -> None:
        """Advance the time, as a pause of a coordinator would."""
        self.now += seconds

    @rule(coordinator=st.integers(0, 1))
    def coordinator_dies(self, coordinator: int) -> None:
        self.queues[coordinator] = PromptQueue()
        for prompt in self.waiting:
            if prompt.coordinator == coordinator:
                prompt.renewed_at = None

    @rule(coordinator=st.integers(0, 1), is_lost=st.booleans())
    def engine_is_ready(self, coordinator: int, is_lost: bool) -> None:
        queue = self.queues[coordinator]
        queue.expire(self.now)
        ordered = queue.order(self.now, max_per_s=PER_S)
        if not ordered:
            return
        first = ordered[0]
        self._check_order(ordered)
        queue.record_start(first.prompt_id, self.now)
        prompt = next(each for each in self.prompts if each.request == first.prompt_id.vm)
        is_open = prompt.number == first.prompt_id.number and not prompt.placed
        if is_lost or not is_open:
            prompt.renewed_at = None if is_open else prompt.renewed_at
            return
        prompt.placed += 1

    @invariant()
    def no_prompt_is_placed_twice(self) -> None:
        assert all(prompt.placed <= 1 for prompt in self.prompts)

    @invariant()
    def no_renewed_prompt_is_lost(self) -> None:
        for prompt in self.waiting:
            if prompt.renewed_at is not None and self.now - prompt.renewed_at <= RENEWAL_TIMEOUT_S:
                assert self.id_of(prompt) in self.queues[prompt.coordinator]

    @invariant()
    def silent_prompts_are_dropped(self) -> None:
        for queue in self.queues:
            queue.expire(self.now)
            assert all(self.now - w.renewed_at <= RENEWAL_TIMEOUT_S for w in queue.waiting)

    def _check_order(self, ordered: list[QueuedPrompt]) -> None:
        """Within a class and rank, check that the prompt that arrived first goes first."""
        first = ordered[0]
        kind = (first.priority_class(self.now), first.request.rank)
        peers = [w for w in ordered if (w.priority_class(self.now), w.request.rank) == kind]
        assert first.request.arrived_at == min(w.request.arrived_at for w in peers)
        behind = [
            w
            for w in ordered
            if w.request.rank > first.request.rank and w.priority_class(self.now) == 0
        ]
        for w in behind:
            self.times_passed[w.request.request_id] = (
                self.times_passed.get(w.request.request_id, 0) + 1
            )

    def _request(self, prompt: PromptAtVm, *, is_lost: bool) -> None:
        if is_lost:
            return
        request = CapacityRequest(
            request_id=prompt.request,
            service="engines",
            rank=prompt.rank,
            arrived_at=prompt.arrived,
            start_by=prompt.arrived + OBJECTIVES_S[prompt.rank],
            end_by=prompt.arrived + CALLER_S,
        )
        prompt_id = self.id_of(prompt)
        queue = self.queues[prompt.coordinator]
        queue.enqueue_or_renew(
            QueuedPrompt(
                prompt_id=prompt_id, request=request, enqueued_at=self.now, renewed_at=self.now
            )
        )
        prompt.renewed_at = self.now


class WaitMachine(RuleBasedStateMachine):
    """One queue with endless urgent prompts: patient ones wait for a bounded number of starts."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = PromptQueue()
        self.numbers = 0
        self.since_patient = 0

    @rule(rank=st.sampled_from([0, 0, 0, 2]))
    def arrive(self, rank: int) -> None:
        self.numbers += 1
        prompt_id = QueuedPromptId(vm="vm", number=self.numbers)
        objective_s = OBJECTIVES_S[rank]
        request = CapacityRequest(
            request_id=f"r{self.numbers:05}",
            service="engines",
            rank=rank,
            arrived_at=float(self.numbers) / 1_000,
            start_by=objective_s,
            end_by=CALLER_S,
        )
        self.queue.enqueue_or_renew(
            QueuedPrompt(prompt_id=prompt_id, request=request, enqueued_at=0.0, renewed_at=0.0)
        )

    @rule()
    def engine_is_ready(self) -> None:
        ordered = self.queue.order(0.0, max_per_s=PER_S)
        if not ordered:
            return
        ranks = {w.request.rank for w in ordered}
        first = ordered[0]
        self.queue.record_start(first.prompt_id, 0.0)
        self.since_patient = self.since_patient + 1 if ranks == {0, 2} else 0
        if first.request.rank == 2:
            self.since_patient = 0
        assert self.since_patient <= MAX_CONSECUTIVE_URGENT_STARTS


TestPromptQueue = PromptQueueMachine.TestCase
TestBoundedWait = WaitMachine.TestCase
