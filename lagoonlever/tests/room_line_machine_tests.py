"""State machine over two lines, the VMs that ask them, lost messages, delays and pauses."""

from __future__ import annotations

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonlever.decisions.admission.capacity import CapacityRequest
from lagoonlever.decisions.admission.prompt_queue import (
    OTHERS_FIRST,
    RENEWAL_TIMEOUT_S,
    PromptQueue,
    QueuedPrompt,
    QueuedPromptId,
)

PER_S = 2.0
AIMS_S = {0: 4.0, 2: 10.0}
CALLER_S = 25.0


@attrs.define(kw_only=True)
class Asker:
    """A prompt at its VM: the question that is open, and where it is asked."""

    request: str
    rank: int
    arrived: float
    keeper: int
    question: int = 0
    placed: int = 0
    heard_at: float | None = None
    """When its keeper last heard of the question that is open."""


class RoomLineMachine(RuleBasedStateMachine):
    """Keepers are 0 and 1; a message is lost or delivered as the rule says."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.lines = [PromptQueue(), PromptQueue()]
        self.askers: list[Asker] = []
        self.passed: dict[str, int] = {}

    def place_of(self, asker: Asker) -> QueuedPromptId:
        return QueuedPromptId(vm=asker.request, number=asker.question)

    @property
    def waiting(self) -> list[Asker]:
        return [each for each in self.askers if not each.placed]

    @rule(rank=st.sampled_from([0, 2]), keeper=st.integers(0, 1), is_lost=st.booleans())
    def arrive(self, rank: int, keeper: int, is_lost: bool) -> None:
        request = f"r{len(self.askers)}"
        asker = Asker(request=request, rank=rank, arrived=self.now, keeper=keeper)
        self.askers.append(asker)
        self._ask(asker, is_lost=is_lost)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data(), is_lost=st.booleans())
    def ask_again(self, data: st.DataObject, is_lost: bool) -> None:
        self._ask(data.draw(st.sampled_from(self.waiting)), is_lost=is_lost)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data(), is_lost=st.booleans())
    def turn_to_the_other_keeper(self, data: st.DataObject, is_lost: bool) -> None:
        """Its question at the first one is closed, whether that one hears of it or not."""
        asker = data.draw(st.sampled_from(self.waiting))
        if not is_lost:
            self.lines[asker.keeper].remove(self.place_of(asker))
        asker.keeper, asker.question, asker.heard_at = 1 - asker.keeper, asker.question + 1, None
        self._ask(asker, is_lost=False)

    @rule(seconds=st.floats(0.01, 2.0))
    def time_passes(self, seconds: float) -> None:
        """Also the pause of a keeper: whatever it believes is as old."""
        self.now += seconds

    @rule(keeper=st.integers(0, 1))
    def keeper_dies(self, keeper: int) -> None:
        self.lines[keeper] = PromptQueue()
        for asker in self.waiting:
            if asker.keeper == keeper:
                asker.heard_at = None

    @rule(keeper=st.integers(0, 1), is_lost=st.booleans())
    def engine_is_ready(self, keeper: int, is_lost: bool) -> None:
        line = self.lines[keeper]
        line.expire(self.now)
        ordered = line.order(self.now, most_per_s=PER_S)
        if not ordered:
            return
        first = ordered[0]
        self._check_order(ordered)
        line.record_start(first.prompt_id, self.now)
        asker = next(each for each in self.askers if each.request == first.prompt_id.vm)
        is_open = asker.question == first.prompt_id.number and not asker.placed
        if is_lost or not is_open:
            asker.heard_at = None if is_open else asker.heard_at
            return
        asker.placed += 1

    @invariant()
    def nobody_is_placed_twice(self) -> None:
        assert all(asker.placed <= 1 for asker in self.askers)

    @invariant()
    def nobody_who_asks_is_forgotten(self) -> None:
        for asker in self.waiting:
            if asker.heard_at is not None and self.now - asker.heard_at <= RENEWAL_TIMEOUT_S:
                assert self.place_of(asker) in self.lines[asker.keeper]

    @invariant()
    def who_is_silent_is_dropped(self) -> None:
        for line in self.lines:
            line.expire(self.now)
            assert all(self.now - w.renewed_at <= RENEWAL_TIMEOUT_S for w in line.waiting)

    def _check_order(self, ordered: list[QueuedPrompt]) -> None:
        """Within a rank, of those that can be on time, who must start sooner goes first."""
        first = ordered[0]
        kind = (first.priority_class(self.now), first.request.rank)
        peers = [w for w in ordered if (w.priority_class(self.now), w.request.rank) == kind]
        assert first.request.arrived_at == min(w.request.arrived for w in peers)
        behind = [
            w
            for w in ordered
            if w.request.rank > first.request.rank and w.priority_class(self.now) == 0
        ]
        for w in behind:
            self.passed[w.request_id.request] = self.passed.get(w.request.request, 0) + 1

    def _ask(self, asker: Asker, *, is_lost: bool) -> None:
        if is_lost:
            return
        room = CapacityRequest(
            request_id=asker.request,
            service="engines",
            rank=asker.rank,
            arrived_at=asker.arrived,
            start_by=asker.arrived + AIMS_S[asker.rank],
            end_by=asker.arrived + CALLER_S,
        )
        place = self.place_of(asker)
        line = self.lines[asker.keeper]
        line.enqueue_or_renew(
            QueuedPrompt(prompt_id=place, request=room, enqueued_at=self.now, renewed_at=self.now)
        )
        asker.heard_at = self.now


class WaitMachine(RuleBasedStateMachine):
    """One line, where urgent prompts never end: the patient wait for a bounded number of places."""

    def __init__(self) -> None:
        super().__init__()
        self.line = PromptQueue()
        self.numbers = 0
        self.since_patient = 0

    @rule(rank=st.sampled_from([0, 0, 0, 2]))
    def arrive(self, rank: int) -> None:
        self.numbers += 1
        place = QueuedPromptId(vm="vm", number=self.numbers)
        aim_s = AIMS_S[rank]
        ask = CapacityRequest(
            request_id=f"r{self.numbers:05}",
            service="engines",
            rank=rank,
            arrived_at=float(self.numbers) / 1_000,
            start_by=aim_s,
            end_by=CALLER_S,
        )
        self.line.enqueue_or_renew(
            QueuedPrompt(prompt_id=place, request=ask, enqueued_at=0.0, renewed_at=0.0)
        )

    @rule()
    def engine_is_ready(self) -> None:
        ordered = self.line.order(0.0, most_per_s=PER_S)
        if not ordered:
            return
        ranks = {w.request.rank for w in ordered}
        first = ordered[0]
        self.line.record_start(first.prompt_id, 0.0)
        self.since_patient = self.since_patient + 1 if ranks == {0, 2} else 0
        if first.request.rank == 2:
            self.since_patient = 0
        assert self.since_patient <= OTHERS_FIRST


TestRoomLine = RoomLineMachine.TestCase
TestBoundedWait = WaitMachine.TestCase
