"""A model of one engine in virtual time: batches, prompts in chunks, memory, preemption.

A step makes one token for every run whose prompt is read, and reads one chunk of the first
prompt that is not; so a run beside a prompt makes tokens at a part of its pace, an eighth
with the figures that stand here as defaults. What does not fit into memory
waits; where running runs outgrow it, the newest is preempted and read again.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator

import attrs

from lagoonlever.config.options import option

PER_THOUSAND = 1000.0


@attrs.frozen(kw_only=True)
class EngineFigures:
    """What engines of one kind do, by the figures that operators give of them."""

    step_s: float = option(doc="Seconds of a step with one run.", default=0.00341, at_least=0.0001)
    step_each_s: float = option(
        doc="Seconds that each further run adds to a step.", default=0.000097, at_least=0.0
    )
    step_context_s: float = option(
        doc="Seconds that each 1,000 tokens in memory add to a step.", default=0.0, at_least=0.0
    )
    chunk_tokens: int = option(
        doc="Tokens of a prompt that are read between two steps.", default=125, at_least=1
    )
    prompt_tokens_per_s: float = option(
        doc="Tokens of a prompt that are read a second.", default=5000.0, at_least=1.0
    )
    slots: int = option(doc="Runs at once.", default=12, at_least=1)
    memory_tokens: int = option(doc="Tokens of all runs and copies.", default=55_000, at_least=1)
    event_tokens: int = option(doc="Tokens in one event of a stream.", default=8, at_least=1)

    def slowed(self, times: float) -> EngineFigures:
        """Give the figures of an engine that takes so many times as long for everything."""
        return attrs.evolve(
            self,
            step_s=self.step_s * times,
            step_each_s=self.step_each_s * times,
            step_context_s=self.step_context_s * times,
            prompt_tokens_per_s=self.prompt_tokens_per_s / times,
        )


@attrs.define(kw_only=True, eq=False)
class ModelRun:
    """One run at an engine; sizes in tokens."""

    request: str
    prompt: int
    to_read: int
    """Of the prompt: less where it is cached, or copied from another engine."""
    to_make: int
    on_tokens: Callable[[float, int], None]
    """Called with the time and the tokens that are still to be made, after each of them."""
    made: int = 0
    resumed: bool = False
    """It goes on from a copy: admitted, and read, before all others."""
    number: int = 0
    open: bool = True

    @property
    def memory(self) -> int:
        """What it takes once its prompt is read."""
        return self.prompt + self.made


@attrs.define(kw_only=True, eq=False)
class ModelEngine:
    """Runs what it is given; ``advance`` does one step."""

    id: str
    data_center: str
    figures: EngineFigures = attrs.field(factory=EngineFigures)
    alive: bool = True
    copies: dict[str, Callable[[], int]] = attrs.field(factory=dict)
    """Memory taken by copies of runs at other engines, by request."""
    read_tokens: int = 0
    preempted: int = 0
    _running: list[ModelRun] = attrs.field(factory=list)
    _waiting: list[ModelRun] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def busy(self) -> bool:
        """Whether there is anything to do."""
        return self.alive and bool(self._running or self._waiting)

    @property
    def runs(self) -> tuple[ModelRun, ...]:
        """Every run, also those that wait."""
        return (*self._running, *self._waiting)

    def take(self, run: ModelRun) -> None:
        """Take a run; it waits until there is a slot and memory."""
        run.number = next(self._numbers)
        self._waiting.insert(0 if run.resumed else len(self._waiting), run)

    def drop(self, run: ModelRun) -> None:
        """End a run that nobody waits for any more."""
        run.open = False
        self._running = [each for each in self._running if each is not run]
        self._waiting = [each for each in self._waiting if each is not run]

    def crash(self) -> tuple[ModelRun, ...]:
        """End the engine; gives the runs that it had."""
        self.alive = False
        lost, self._running, self._waiting = self.runs, [], []
        self.copies.clear()
        return lost

    def advance(self, now: float) -> float:
        """Do one step from ``now`` on; gives when it is over."""
        self._admit()
        unread = [run for run in self._running if run.to_read > 0]
        reading = min(unread, key=lambda run: (not run.resumed, run.number), default=None)
        making = [run for run in self._running if run.to_read == 0]
        figures = self.figures
        step_s = figures.step_s + figures.step_each_s * max(0, len(making) - 1)
        step_s += figures.step_context_s * sum(run.memory for run in making) / PER_THOUSAND
        if reading is not None:
            chunk = min(figures.chunk_tokens, reading.to_read)
            reading.to_read -= chunk
            self.read_tokens += chunk
            step_s += chunk / figures.prompt_tokens_per_s
        for run in making:
            self._make(run, now + step_s)
        self._preempt()
        return now + step_s

    def _make(self, run: ModelRun, at: float) -> None:
        run.made += 1
        run.to_make -= 1
        run.on_tokens(at, run.to_make)
        if run.to_make == 0:
            self.drop(run)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.figures.slots:
            first = self._waiting[0]
            if self._used + first.memory > self.figures.memory_tokens:
                return
            self._running.append(self._waiting.pop(0))

    def _preempt(self) -> None:
        while self._used > self.figures.memory_tokens and len(self._running) > 1:
            newest = max(self._running, key=lambda run: run.number)
            self._running.remove(newest)
            newest.to_read = newest.memory
            self._waiting.insert(0, newest)
            self.preempted += 1

    @property
    def _used(self) -> int:
        running = sum(run.memory for run in self._running)
        return running + sum(size() for size in self.copies.values())
