"""Which runs each engine has, on all VMs as far as heard, and where the next one goes.

The load that is answered: prompts of several thousand tokens arrive at many VMs at
once, each VM sees a few of them, and engines' own reports are old when they arrive.
An engine reads one prompt after the other, a second each, and until then the runs
beside it make tokens at an eighth of their pace. So VMs tell each other each placement,
and a run goes where the fewest prompt tokens are still to be read, the fewest runs are
slowed down, and where there is memory for its longest answer. After a loss several VMs
choose within the same milliseconds and take the same engine: each looks once more when
it has heard of the others, and all but one leave.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.configuration import EngineLimits
from lagoonlever.decisions.engine_avoidance import EngineAvoidance
from lagoonlever.decisions.target_registry import ListedTarget
from lagoonlever.http.messages import Address

PREFILL_TOKENS_PER_S = 5000.0
"""How fast an engine reads a prompt: the operators' figure for their engines."""
BEHIND_PROMPT_S = 0.3
"""What each prompt that is being read costs beside its tokens: the pauses it makes."""
FLOWING_COST_S = 0.3
"""What each run that makes tokens adds to the wait of another."""
COPY_COST_S = 0.03
"""What each copy adds: its run comes here if its engine is lost."""
OTHER_DATA_CENTER_S = 0.02
"""Below any real difference in load; it decides between engines that are alike."""
CROWD_S = 0.3
"""How far choices are spread by chance after a loss.

Two VMs that resume at the same moment would both take the idlest engine, and each
prompt then waits for the other.
"""
FULL_S = 5.0
"""What an engine without room costs: beyond any wait that another one may have."""
COPIES_MOST = 0.8
"""How full an engine may get by taking a copy.

An engine that is full of runs and copies preempts its newest run, whose prompt is then
read again, and has no room for the runs of the next crash. By `lagoonlever bench
stream-day` at twelve engines 91.7% of streams are on time, against 89.9% with copies
wherever there is room and 90.1% at 0.6; prompt tokens read again a stream 327, against 417
and 459. At seven engines there is no difference.
"""
NEWS_S = 0.02
"""Other VMs' placements of the same moment have arrived after this: some 2 ms each."""
MOVE_GAIN_S = 0.4
"""What a better place must save: leaving one costs a connection, and what it has read."""
LEAST_LEFT = 0.1
"""The part of a prompt that counts as unread until its run gives an event."""


@attrs.frozen(kw_only=True)
class RunCopy:
    """A copy of a run's memory: the engine that holds it, and what it is called by."""

    holder: str
    address: Address
    """Of the engine that the name belongs to: the holder, or the engine that made the copy."""
    name: str
    holder_started_ms: int | None = None
    """The start of the holder's process that has the copy; None where it wasn't known."""

    def is_void(self, engine: str, started_ms: int | None) -> bool:
        """Tell whether the copy is gone, if its holder is an engine that started then."""
        known = self.holder_started_ms
        return engine == self.holder and None not in (known, started_ms) and known != started_ms


@attrs.frozen(kw_only=True)
class BookedRun:
    """One run at an engine; sizes in tokens."""

    request: str
    vm: str
    """The VM that relays it."""
    engine: str
    prompt_tokens: int
    """What the engine has to read: little for a run that goes on from a copy."""
    memory_tokens: int
    """What the run needs at its longest."""
    part: str | None = None
    """The id of the prompt's own part, by which a caller that returns is known."""
    copy: RunCopy | None = None
    """Of use once the run has given its first event."""
    flowing: bool = False
    """It has given its first event."""
    engine_started_ms: int | None = None
    """The start of the engine's process, as known when the run was sent."""

    @property
    def copy_at(self) -> str | None:
        """The engine that holds the copy."""
        return self.copy.holder if self.copy else None


@attrs.define(kw_only=True)
class _Record:
    run: BookedRun
    since: float
    ended_at: float | None = None
    whole: bool = False


@attrs.define(kw_only=True)
class _Load:
    """What one engine has."""

    to_read_s: float = 0.0
    prompts: int = 0
    flowing: int = 0
    copies: int = 0
    memory: int = 0


@attrs.frozen(kw_only=True)
class Placement:
    """Where a run goes, the wait expected there until its first event, and why."""

    engine: ListedTarget
    expected_s: float


@attrs.define(kw_only=True)
class EngineBook:
    """The known runs by request; times are seconds of the monotonic clock."""

    _rng: random.Random
    data_center: str
    """Where this VM is."""
    news_s: float = NEWS_S
    """How late other VMs' placements may be heard.

    Placements that are closer are ordered by request, alike on every VM.
    """
    _copies_most: float = COPIES_MOST
    _keep_s: float = 10.0
    """How long an ended run is remembered: as long as its prompt may still be cached."""
    _records: dict[str, _Record] = attrs.field(factory=dict)
    _by_part: dict[str, str] = attrs.field(factory=dict)
    avoidance: EngineAvoidance = attrs.field(factory=EngineAvoidance)

    @property
    def open_runs(self) -> tuple[BookedRun, ...]:
        """Every run that is not known to have ended."""
        return tuple(r.run for r in self._records.values() if r.ended_at is None)

    def last_run_of(self, part: str) -> BookedRun | None:
        """Give the last run of a prompt's own part that did not end whole, or None."""
        record = self._records.get(self._by_part.get(part, ""))
        if record is None or record.whole:
            return None
        return record.run

    def place(
        self,
        engines: Iterable[ListedTarget],
        *,
        limits: EngineLimits,
        prompt_tokens: int,
        memory_tokens: int,
        now: float,
        avoid: frozenset[str] = frozenset(),
        prefer: str | None = None,
        crowd: bool = False,
    ) -> Placement | None:
        """Choose an engine for a run, or None where there is none at all.

        One that has read the prompt (``prefer``) is spared that part of the wait. In a
        crowd, as after a loss, many VMs choose before they hear of each other.
        """
        usable = [engine for engine in engines if engine.id not in avoid]
        calm = [engine for engine in usable if not self.avoidance.is_avoided(engine.id, now)]
        candidates = calm or usable
        if not candidates:
            return None
        loads = self._loads(now)
        self._rng.shuffle(candidates)
        costs = {e.id: self._cost_s(e, loads, limits, memory_tokens) for e in candidates}
        own_s = prompt_tokens / PREFILL_TOKENS_PER_S
        for engine in candidates:
            costs[engine.id] += 0.0 if engine.id == prefer else own_s
            costs[engine.id] += self._rng.uniform(0.0, CROWD_S) if crowd else 0.0
        best = min(candidates, key=lambda engine: costs[engine.id])
        return Placement(engine=best, expected_s=costs[best.id])

    def place_copy(
        self,
        engines: Iterable[ListedTarget],
        *,
        limits: EngineLimits,
        beside: ListedTarget,
        memory_tokens: int,
        now: float,
        avoid: frozenset[str] = frozenset(),
    ) -> ListedTarget | None:
        """Choose the engine that holds the copy of a run, in another data centre if there is one.

        Engines of a data centre fail together, so a copy beside its run would go with it.
        """
        others = [
            engine
            for engine in engines
            if engine.id != beside.id
            and engine.id not in avoid
            and not self.avoidance.is_avoided(engine.id, now)
        ]
        apart = [engine for engine in others if engine.data_center != beside.data_center]
        loads = self._loads(now)
        need = memory_tokens + round(limits.memory_tokens * (1.0 - self._copies_most))
        costs = {e.id: self._cost_s(e, loads, limits, need) for e in apart or others}
        roomy = [engine for engine in apart or others if costs[engine.id] < FULL_S]
        if not roomy:
            return None
        self._rng.shuffle(roomy)
        return min(roomy, key=lambda engine: costs[engine.id])

    def has_better(
        self, request: str, engines: Iterable[ListedTarget], *, limits: EngineLimits, now: float
    ) -> bool:
        """Tell whether a run should leave its engine, as others were placed there with it.

        Of the prompts that came together the first by request stays: each VM works out
        the same order, so that one of them stays and the others go.
        """
        record = self._records.get(request)
        if record is None or record.run.flowing:
            return False
        others = [
            e
            for e in engines
            if e.id != record.run.engine and not self.avoidance.is_avoided(e.id, now)
        ]
        if not others:
            return False
        loads = self._loads(now)
        need = record.run.memory_tokens
        best_s = min(self._cost_s(engine, loads, limits, need) for engine in others)
        load = loads.get(record.run.engine, _Load())
        here_s = self._ahead_s(record, now) + FLOWING_COST_S * load.flowing
        return best_s + MOVE_GAIN_S < here_s

    def knows(self, request: str) -> bool:
        """Tell whether a request has been sent to any engine, as far as heard."""
        return request in self._records

    def vm_of(self, request: str) -> str | None:
        """Give the VM that relays a run, or None for one that is not known."""
        record = self._records.get(request)
        return record.run.vm if record is not None else None

    def begin(self, run: BookedRun, now: float) -> None:
        """Book a run; one that goes on elsewhere replaces what was booked before."""
        self._records[run.request] = _Record(run=run, since=now)
        if run.part is not None:
            self._by_part[run.part] = run.request

    def learn(self, run: BookedRun, now: float) -> None:
        """Book a run that another VM tells of, unless its own VM has told more since."""
        if run.request not in self._records:
            self.begin(run, now)

    def copied(self, request: str, copy: RunCopy) -> bool:
        """Note a copy of a run; gives whether it is another one than was known.

        A copy that was only refreshed goes by the same name, and is no news to anybody.
        """
        record = self._records.get(request)
        if record is None or record.run.copy == copy:
            return False
        record.run = attrs.evolve(record.run, copy=copy)
        return True

    def flows(self, request: str) -> None:
        """Note that a run has given its first event: its prompt is read."""
        record = self._records.get(request)
        if record is not None:
            record.run = attrs.evolve(record.run, flowing=True)

    def end(self, request: str, now: float, *, whole: bool) -> None:
        """Note the end of a run."""
        record = self._records.get(request)
        if record is not None and record.ended_at is None:
            record.ended_at = now
            record.whole = whole

    def vm_lost(self, vm: str, now: float) -> None:
        """Note that a VM is gone: engines drop its runs as its connections close."""
        for record in self._records.values():
            if record.run.vm == vm and record.ended_at is None:
                record.ended_at = now

    def started_again(self, engine: str, started_ms: int, now: float) -> None:
        """Note that another process has an engine's id: it holds nothing of before.

        Its runs of before have ended, and copies that it held are gone. A run that was sent
        to the new process is kept, as its VM knew the start.
        """
        self.avoidance.started_again(engine)
        for record in self._records.values():
            run = record.run
            if run.engine == engine and run.engine_started_ms != started_ms:
                record.ended_at = now if record.ended_at is None else record.ended_at
            if run.copy is not None and run.copy.is_void(engine, started_ms):
                record.run = attrs.evolve(run, copy=None)

    def expire(self, now: float) -> None:
        """Forget what ended so long ago that nothing of it can be cached any more."""
        for request, record in list(self._records.items()):
            if record.ended_at is None or now - record.ended_at <= self._keep_s:
                continue
            del self._records[request]
            part = record.run.part
            if part is not None and self._by_part.get(part) == request:
                del self._by_part[part]
        self.avoidance.expire(now)

    def _loads(self, now: float) -> dict[str, _Load]:
        loads: dict[str, _Load] = {}
        for record in self._records.values():
            if record.ended_at is not None:
                continue
            run = record.run
            load = loads.setdefault(run.engine, _Load())
            load.memory += run.memory_tokens
            if run.flowing:
                load.flowing += 1
            else:
                load.prompts += 1
                load.to_read_s += _left_to_read_s(run, now - record.since)
            if run.copy_at is not None:
                holder = loads.setdefault(run.copy_at, _Load())
                holder.copies += 1
                holder.memory += run.memory_tokens
        return loads

    def _ahead_s(self, record: _Record, now: float) -> float:
        """Give what the prompts take that an engine reads before a run's own."""
        ahead_s = 0.0
        for other in self._records.values():
            run = other.run
            if other is record or other.ended_at is not None or run.flowing:
                continue
            if run.engine == record.run.engine and self._is_before(other, record):
                ahead_s += BEHIND_PROMPT_S + _left_to_read_s(run, now - other.since)
        return ahead_s

    def _is_before(self, one: _Record, other: _Record) -> bool:
        if abs(one.since - other.since) > self.news_s:
            return one.since < other.since
        return one.run.request < other.run.request

    def _cost_s(
        self, engine: ListedTarget, loads: dict[str, _Load], limits: EngineLimits, need: int
    ) -> float:
        load = loads.get(engine.id, _Load())
        cost_s = load.to_read_s + BEHIND_PROMPT_S * load.prompts
        cost_s += FLOWING_COST_S * load.flowing + COPY_COST_S * load.copies
        if engine.data_center != self.data_center:
            cost_s += OTHER_DATA_CENTER_S
        full = load.prompts + load.flowing >= limits.slots
        if full or load.memory + need > limits.memory_tokens:
            cost_s += FULL_S
        return cost_s


def _left_to_read_s(run: BookedRun, elapsed_s: float) -> float:
    whole_s = run.prompt_tokens / PREFILL_TOKENS_PER_S
    return max(whole_s * LEAST_LEFT, whole_s - elapsed_s)
