"""Which ranks a full queue serves: few engines, far more prompts, callers that come back once."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import attrs
import pytest

from lagoonlever.decisions.admission.capacity import CapacityRequest
from lagoonlever.decisions.admission.prompt_queue import (
    PromptQueue,
    QueuedPrompt,
    QueuedPromptId,
)
from lagoonlever.soak.served import LEAST_SHARE

STARTS_PER_S = 2.0
SECONDS = 60.0
STEP_S = 0.05
TRIES = 2
PREFILL_S, CALLER_S = 1.0, 25.0


@attrs.frozen(kw_only=True, order=True)
class Try:
    """One request of a caller; a second one comes when the refusal of the first one says."""

    at: float
    number: int
    rank: int
    turn: int = 0

    @property
    def prompt_id(self) -> QueuedPromptId:
        return QueuedPromptId(vm="vm-0", number=TRIES * self.number + self.turn)

    def prompt(self, now: float, objective_s: float) -> QueuedPrompt:
        request = CapacityRequest(
            request_id=f"r{self.number}-{self.turn}",
            service="engines",
            rank=self.rank,
            arrived_at=now,
            start_by=now + objective_s - PREFILL_S,
            end_by=now + CALLER_S - PREFILL_S,
        )
        return QueuedPrompt(
            prompt_id=self.prompt_id, request=request, enqueued_at=now, renewed_at=now
        )


def arrivals(per_s: dict[int, float], rng: random.Random) -> list[Try]:
    """Return the first tries of all callers, by rank at its rate."""
    tries: list[Try] = []
    for rank, rate in per_s.items():
        at = 0.0
        while (at := at + rng.expovariate(rate)) < SECONDS:
            tries.append(Try(at=at, number=len(tries), rank=rank))
    return tries


def shares_served(per_s: dict[int, float], objectives_s: dict[int, float]) -> dict[int, float]:
    """Return the share of the callers of each rank that got an engine, and of all by -1."""
    queue, held = PromptQueue(), dict[QueuedPromptId, Try]()
    coming = arrivals(per_s, random.Random(1))
    asked, served = Counter(each.rank for each in coming), Counter[int]()
    heapq.heapify(coming)
    ready_at = 0.0
    for step in range(round((SECONDS + CALLER_S) / STEP_S)):
        now = step * STEP_S
        while coming and coming[0].at <= now:
            come = heapq.heappop(coming)
            held[come.prompt_id] = come
            queue.enqueue_or_renew(come.prompt(now, objectives_s[come.rank]))
        if len(queue) and now >= ready_at:
            first = queue.order(now, max_per_s=STARTS_PER_S)[0].prompt_id
            queue.record_start(first, now)
            served[held.pop(first).rank] += 1
            ready_at = now + 1.0 / STARTS_PER_S
        for prompt_id, waiting in list(held.items()):
            refused = queue.rejection(prompt_id, now, max_per_s=STARTS_PER_S)
            if refused is None:
                continue
            queue.remove(prompt_id)
            del held[prompt_id]
            if waiting.turn + 1 < TRIES:
                again = attrs.evolve(waiting, at=now + refused.retry_after_s, turn=waiting.turn + 1)
                heapq.heappush(coming, again)
    shares = {rank: served[rank] / asked[rank] for rank in per_s}
    return {**shares, -1: served.total() / asked.total()}


@pytest.mark.parametrize("objectives_s", [{0: 4.5, 2: 4.5}, {0: 4.0, 2: 10.0}])
@pytest.mark.parametrize(
    "per_s", [{0: 5.0, 2: 1.0}, {0: 3.0, 2: 3.0}, {0: 10.0, 2: 0.5}, {0: 4.0, 2: 4.0}]
)
def test_no_rank_is_refused_each_time_behind_more_urgent_ones(
    per_s: dict[int, float], objectives_s: dict[int, float]
) -> None:
    """A refusal by the place in line forgot that one start in four goes to the less urgent."""
    shares = shares_served(per_s, objectives_s)
    assert min(shares.values()) >= LEAST_SHARE * shares[-1]
    assert shares[-1] >= 0.9 * STARTS_PER_S / sum(per_s.values())
