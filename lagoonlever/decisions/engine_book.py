"""Which runs each engine has, as far as this VM knows, and where the next one goes.

The load that is answered: prompts of several thousand tokens arrive at many VMs at
once, and an engine reads one prompt after the other while the runs beside it slow
down. So a run goes where the fewest prompt tokens are still to be read, and where
there is memory for its prompt and its longest answer.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.configuration import EngineLimits
from lagoonlever.decisions.target_registry import ListedTarget

PREFILL_TOKENS_PER_S = 5000.0
"""How fast an engine reads a prompt; until it is learnt, the operators' figure."""
RUN_COST_S = 0.05
"""What each running request adds to the wait: its tokens are made between the chunks."""
OTHER_DATA_CENTER_S = 0.02
"""Below any real difference in load; it decides between engines that are alike."""
FULL_S = 5.0
"""What an engine without room costs: beyond any wait that another one may have."""
AVOID_S = 1.0
"""How long an engine is passed over after an attempt on it failed."""


@attrs.define(kw_only=True)
class BookedRun:
    """One run at an engine; sizes in tokens."""

    engine: str
    prompt_tokens: int
    output_tokens: int
    copy_at: str | None = None
    started_at: float = 0.0
    flowing: bool = False
    """It has given its first event."""

    @property
    def memory_tokens(self) -> int:
        """What the run needs at its longest."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen(kw_only=True)
class Placement:
    """Where a run goes, and the wait that was expected there."""

    engine: ListedTarget
    expected_s: float


@attrs.define(kw_only=True)
class EngineBook:
    """The known runs by request; times are seconds of the monotonic clock."""

    _rng: random.Random
    _data_center: str
    _runs: dict[str, BookedRun] = attrs.field(factory=dict)
    _avoid: dict[str, float] = attrs.field(factory=dict)

    def run(self, key: str) -> BookedRun | None:
        """Give a known run, or None."""
        return self._runs.get(key)

    def place(
        self,
        engines: Iterable[ListedTarget],
        *,
        limits: EngineLimits,
        prompt_tokens: int,
        output_tokens: int,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> Placement | None:
        """Choose an engine for a run, or None where there is none at all."""
        usable = [engine for engine in engines if engine.id not in avoid]
        calm = [engine for engine in usable if now >= self._avoid.get(engine.id, 0.0)]
        need = prompt_tokens + output_tokens
        costs = [
            Placement(engine=engine, expected_s=self._cost_s(engine, limits, need))
            for engine in calm or usable
        ]
        if not costs:
            return None
        self._rng.shuffle(costs)
        best = min(costs, key=lambda placement: placement.expected_s)
        own_s = prompt_tokens / PREFILL_TOKENS_PER_S
        return attrs.evolve(best, expected_s=best.expected_s + own_s)

    def place_copy(
        self,
        engines: Iterable[ListedTarget],
        *,
        limits: EngineLimits,
        beside: ListedTarget,
        memory_tokens: int,
        now: float,
    ) -> ListedTarget | None:
        """Choose the engine that holds the copy of a run, in another data centre if there is one.

        Engines of a data centre fail together, so a copy beside its run would go with it.
        """
        others = [e for e in engines if e.id != beside.id and now >= self._avoid.get(e.id, 0.0)]
        apart = [engine for engine in others if engine.data_center != beside.data_center]
        costs = [(self._cost_s(e, limits, memory_tokens), e) for e in apart or others]
        roomy = [(cost, engine) for cost, engine in costs if cost < FULL_S]
        if not roomy:
            return None
        self._rng.shuffle(roomy)
        return min(roomy, key=lambda each: each[0])[1]

    def begin(self, key: str, run: BookedRun) -> None:
        """Book a run; one that goes on elsewhere replaces what was booked before."""
        self._runs[key] = run

    def flows(self, key: str) -> None:
        """Note that a run has given its first event: its prompt is read."""
        if key in self._runs:
            self._runs[key].flowing = True

    def end(self, key: str) -> None:
        """Note the end of a run."""
        self._runs.pop(key, None)

    def failed(self, engine: str, now: float) -> None:
        """Pass an engine over for a while after an attempt on it failed."""
        self._avoid[engine] = now + AVOID_S

    def served(self, engine: str) -> None:
        """Note that an engine works: it is passed over no longer."""
        self._avoid.pop(engine, None)

    def _cost_s(self, engine: ListedTarget, limits: EngineLimits, need: int) -> float:
        runs = [run for run in self._runs.values() if run.engine == engine.id]
        copies = [run for run in self._runs.values() if run.copy_at == engine.id]
        to_read = sum(run.prompt_tokens for run in runs if not run.flowing)
        memory = sum(run.memory_tokens for run in (*runs, *copies))
        cost_s = to_read / PREFILL_TOKENS_PER_S + RUN_COST_S * len(runs)
        if engine.data_center != self._data_center:
            cost_s += OTHER_DATA_CENTER_S
        if len(runs) >= limits.slots or memory + need > limits.memory_tokens:
            cost_s += FULL_S
        return cost_s
