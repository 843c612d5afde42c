"""Which runs each engine has, on all VMs as far as heard, and where the next one goes.

The load that is answered: prompts of several thousand tokens arrive at many VMs at
once, each VM sees a few of them, and engines' own reports are old when they arrive.
An engine reads one prompt after the other, and until then the runs beside it make tokens
at a fraction of their pace. So VMs tell each other each placement,
and a run goes where the fewest prompt tokens are still to be read, the fewest runs are
slowed down, and where there is memory for its longest answer. After a loss several VMs
choose within the same milliseconds and take the same engine: each looks once more when
it has heard of the others, and all but one leave.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.admission.prompt_admission import ReadingLoad
from lagoonlever.decisions.engines.copy_room import copies_most, risk_of_loss
from lagoonlever.decisions.engines.engine_avoidance import LOSSES_WINDOW_S, EngineAvoidance
from lagoonlever.decisions.engines.engine_loads import (
    BEHIND_PROMPT,
    FLOWING_COST,
    FULL,
    OTHER_DATA_CENTER_S,
    EngineLoad,
)
from lagoonlever.decisions.engines.engine_timings import EngineTimings
from lagoonlever.decisions.engines.reading_window import ReadingWindow
from lagoonlever.decisions.engines.uneven_engines import UnevenChoice, UnevenEngines
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.streams.booked_runs import BookedRun, RunCopy
from lagoonlever.decisions.streams.run_records import RunRecord, RunRecords
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.load_view import TargetLoads

CROWD = 0.3
"""How far choices are spread by chance after a loss, in usual readings.

Two VMs that resume at the same moment would both take the idlest engine, and each
prompt then waits for the other.
"""
MAX_COPIES_SHARE = 0.8
"""How full an engine may get by taking a copy.

An engine that is full of runs and copies preempts its newest run, whose prompt is then
read again, and has no room for the runs of the next crash. By `lagoonlever bench
stream-day`, 24 days, at twelve engines 95.1% of streams are on time, against 93.2% with
copies wherever there is room and 93.5% at 0.6; prompt tokens read again a stream 342, against
376 and 388. At seven engines, and on slow ones, there is no difference to the first.
"""
FIRST_MAKING_S = 5.0
"""Of an answer, until the first ones have ended."""
NEWS_S = 0.02
"""Other VMs' placements of the same moment have arrived after this: some 2 ms each."""
MOVE_GAIN = 0.4
"""What a better place must save, in usual readings: leaving one costs a connection, and what
it has read."""
CLOSE = 0.4
"""How far choices between uneven engines are spread by chance, in usual readings.

All VMs see the same engine as the fastest, and are told of each other's choice too late.
"""
LEAST_LEFT = 0.1
"""The part of a prompt that counts as unread until its run gives an event."""


@attrs.frozen(kw_only=True)
class Placement:
    """Where a run goes, the wait expected there until its first event, and why."""

    engine: ListedTarget
    expected_s: float
    choice: UnevenChoice | None = None
    """Set where another engine would have been taken, were all alike."""


@attrs.define(kw_only=True)
class EngineScheduler:
    """The known runs by request; times are seconds of the monotonic clock."""

    _rng: random.Random
    data_center: str
    """Where this VM is."""
    news_s: float = NEWS_S
    """How late other VMs' placements may be heard.

    Placements that are closer are ordered by request, alike on every VM.
    """
    _copies_most: float = MAX_COPIES_SHARE
    _keep_s: float = 10.0
    """How long an ended run is remembered: as long as its prompt may still be cached."""
    _records: RunRecords = attrs.field(init=False)
    _reading: ReadingWindow = attrs.field(factory=ReadingWindow)
    _read_at: dict[str, float] = attrs.field(factory=dict)
    """By engine: when it had last read a prompt."""
    avoidance: EngineAvoidance = attrs.field(factory=EngineAvoidance)
    paces: EngineTimings = attrs.field(factory=EngineTimings)
    loads: TargetLoads = attrs.field(factory=TargetLoads)
    """What targets have told of themselves."""

    @_records.default
    def _make_records(self) -> RunRecords:
        return RunRecords(keep_s=self._keep_s)

    @property
    def _uneven(self) -> UnevenEngines:
        return UnevenEngines(paces=self.paces, loads=self.loads)

    @property
    def open_runs(self) -> tuple[BookedRun, ...]:
        """Every run that is not known to have ended."""
        return tuple(r.run for r in self._records if r.ended_at is None and r.sent)

    def last_run_of(self, part: str) -> BookedRun | None:
        """Give the last run of a prompt's own part that did not end whole, or None."""
        record = self._records.last_of(part)
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
        begins_within_s: float | None = None,
    ) -> Placement | None:
        """Choose an engine for a run, or None where there is none at all.

        One that has read the prompt (``prefer``) is spared that part of the wait. In a
        crowd, as after a loss, many VMs choose before they hear of each other. With
        ``begins_within_s`` only engines count that have room, and read for no longer.
        """
        usable = [engine for engine in engines if engine.id not in avoid]
        calm = [engine for engine in usable if not self.avoidance.is_avoided(engine.id, now)]
        candidates = calm or usable
        if not candidates:
            return None
        loads = self._loads(now)
        if begins_within_s is not None:
            need = min(memory_tokens, limits.memory_tokens)
            unread = self._records.unread()
            candidates = [
                engine
                for engine in calm
                if self._load(loads, engine).has_room(limits, need)
                and self._reads_on_s(engine.id, unread.get(engine.id, []), now) <= begins_within_s
            ]
        if not candidates:
            return None
        self._rng.shuffle(candidates)
        costs: dict[str, float] = {}
        for engine in candidates:
            own_s = self._uneven.reading_s(engine.service, engine.id, prompt_tokens, now)
            spread_s = self._spread(engine, crowd=crowd) * self.paces.usual_reading_s(
                engine.service
            )
            costs[engine.id] = self._paced_cost_s(engine, loads, limits, memory_tokens, now)
            costs[engine.id] += 0.0 if engine.id == prefer else own_s
            costs[engine.id] += self._rng.uniform(0.0, spread_s) if spread_s else 0.0
            work_s = self._load(loads, engine).to_read_s + own_s
            costs[engine.id] += self._uneven.moment_s(engine.id, work_s, now)
        best = min(candidates, key=lambda engine: costs[engine.id])
        choice: UnevenChoice | None = None
        if any(self._uneven.counts(engine.id) for engine in candidates):
            plain_costs = {e.id: self._cost_s(e, loads, limits, memory_tokens) for e in candidates}
            choice = self._uneven_choice(best, candidates, plain_costs, now)
        return Placement(engine=best, expected_s=costs[best.id], choice=choice)

    @MECHANISMS.register(
        "copies",
        does="a run's memory is copied to an engine of another data centre while it goes on",
        without="its prompt is read again after a loss",
        plain=gives(None),
    )
    def place_copy(
        self,
        engines: Iterable[ListedTarget],
        *,
        limits: EngineLimits,
        beside: ListedTarget,
        memory_tokens: int,
        now: float,
        avoid: frozenset[str] = frozenset(),
        by_losses: bool = False,
    ) -> ListedTarget | None:
        """Choose the engine that holds the copy of a run, in another data centre if there is one.

        Engines of a data centre fail together, so a copy beside its run would go with it.
        With ``by_losses`` an engine gets as full of copies as the losses of late call for.
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
        most = self._copies_most
        if by_losses:
            most = self._most_by_losses(beside.service, engines=len(others) + 1, now=now)
        need = memory_tokens + round(limits.memory_tokens * (1.0 - most))
        costs = {e.id: self._cost_s(e, loads, limits, need) for e in apart or others}
        roomy = [
            engine for engine in apart or others if self._load(loads, engine).has_room(limits, need)
        ]
        if not roomy:
            return None
        self._rng.shuffle(roomy)
        return min(roomy, key=lambda engine: costs[engine.id])

    @MECHANISMS.register(
        "second-look",
        does="a run leaves an engine that other VMs chose at the same moment",
        without="it stays where it was placed",
        plain=gives(False),
    )
    def has_better(
        self, request: str, engines: Iterable[ListedTarget], *, limits: EngineLimits, now: float
    ) -> bool:
        """Tell whether a run should leave its engine, as others were placed there with it.

        Of the prompts that came together the first by request stays: each VM works out
        the same order, so that one of them stays and the others go.
        """
        record = self._records.find(request)
        if record is None or record.run.flowing:
            return False
        others = [
            e
            for e in engines
            if e.id != record.run.engine and not self.avoidance.is_avoided(e.id, now)
        ]
        if not others:
            return False
        loads, run = self._loads(now), record.run
        need = run.memory_tokens
        load = loads.get(run.engine, EngineLoad())
        usual_s = self.paces.usual_reading_s(run.service)
        if any(self._uneven.counts(engine.id) for engine in others):
            best_s = min(self._ready_s(e, run, loads, limits, now) for e in others)
            here_s = self._ready_here_s(record, load, now)
            return best_s + MOVE_GAIN * usual_s < here_s
        best_s = min(self._cost_s(engine, loads, limits, need) for engine in others)
        here_s = self._ahead_s(record, now) + usual_s * FLOWING_COST * load.flowing
        return best_s + MOVE_GAIN * usual_s < here_s

    def reading_load(self, service: str, *, engines: int, now: float) -> ReadingLoad:
        """Give what a service's engines, so many now, were given to read of late by all VMs."""
        token_s = self.paces.reading_s(service, "", 1, now)
        return self._reading.load(service, engines=engines, token_s=token_s, now=now)

    def is_dispatched(self, request: str) -> bool:
        """Tell whether a request has been sent to any engine, as far as heard."""
        record = self._records.find(request)
        return record is not None and record.sent

    def is_dispatched_after(self, request: str, at: float) -> bool:
        """Tell whether a request has been sent to an engine since a time."""
        record = self._records.find(request)
        return record is not None and record.sent and record.since > at

    def find_relay_vm(self, request: str) -> str | None:
        """Give the VM that relays a run, or None for one that is not known."""
        record = self._records.find(request)
        return record.run.vm if record is not None else None

    def find_run(self, request: str) -> BookedRun | None:
        """Give the run of a request as last heard of, or None."""
        record = self._records.find(request)
        return record.run if record is not None else None

    def reserve(self, run: BookedRun, now: float) -> None:
        """Keep a place for a run that another VM is about to send.

        Those who ask until its VM tells of it are not given the same place. It counts as no
        request and as no repeat, and is forgotten if it is never sent.
        """
        self._records.reserve(run, now)

    def record_dispatch(self, run: BookedRun, now: float) -> None:
        """Book a run; one that goes on elsewhere replaces what was booked before."""
        self._reading.given(run.service, tokens=run.prompt_tokens, now=now)
        self._records.enter(run, now)

    def record_reported_run(self, run: BookedRun, now: float) -> None:
        """Book a run that another VM tells of, unless its own VM has told more since.

        It began before, so it is no prompt that engines are given now.
        """
        if self._records.find(run.request) is None:
            self._records.enter(run, now)

    def record_copy(self, request: str, copy: RunCopy) -> bool:
        """Note a copy of a run; gives whether it is another one than was known.

        A copy that was only refreshed goes by the same name, and is no news to anybody.
        """
        record = self._records.find(request)
        if record is None or record.run.copy == copy:
            return False
        record.run = attrs.evolve(record.run, copy=copy)
        return True

    def record_first_event(self, request: str, now: float) -> None:
        """Note that a run has given its first event: its prompt is read."""
        record = self._records.find(request)
        if record is None or record.run.flowing:
            return
        run = record.run
        record.run = attrs.evolve(run, flowing=True)
        self._read_at[run.engine] = now
        if not record.beside_prompts:
            seconds = now - record.since
            self.paces.read(
                run.service, run.engine, tokens=run.prompt_tokens, seconds=seconds, now=now
            )

    def record_end(
        self,
        request: str,
        now: float,
        *,
        whole: bool,
        token_s: float | None = None,
        slowdown: float | None = None,
        tokens: int = 0,
    ) -> None:
        """Note the end of a run, and the pace that its engine showed."""
        record = self._records.find(request)
        if record is None or record.ended_at is not None:
            return
        record.ended_at = now
        record.whole = whole
        run = record.run
        if whole:
            self.paces.answered(run.service, tokens=tokens, now=now)
        if token_s is not None:
            self.paces.made(run.service, run.engine, token_s=token_s, slowdown=slowdown, now=now)

    def record_vm_loss(self, vm: str, now: float) -> None:
        """Note that a VM is gone: engines drop its runs as its connections close."""
        for record in self._records:
            if record.run.vm == vm and record.ended_at is None:
                record.ended_at = now

    def forget_others(self, vm: str) -> None:
        """Forget the runs of all VMs but one, as that VM hears of theirs no longer.

        Their ends would never be heard: engines that were busy once would look busy for good.
        """
        self._records.forget_others(vm)

    def started_again(self, engine: str, started_ms: int, now: float) -> None:
        """Note that another process has an engine's id: it holds nothing of before.

        Its runs of before have ended, and copies that it held are gone. A run that was sent
        to the new process is kept, as its VM knew the start.
        """
        self.avoidance.started_again(engine)
        for record in self._records:
            run = record.run
            if run.engine == engine and run.engine_started_ms != started_ms:
                record.ended_at = now if record.ended_at is None else record.ended_at
            if run.copy is not None and run.copy.is_void(engine, started_ms):
                record.run = attrs.evolve(run, copy=None)

    def expire(self, now: float) -> None:
        """Forget what ended so long ago that nothing of it can be cached any more."""
        self._records.expire(now)
        for engine in [e for e, at in self._read_at.items() if now - at > self._keep_s]:
            del self._read_at[engine]
        self.avoidance.expire(now)
        self.paces.expire(now)

    def _most_by_losses(self, service: str, *, engines: int, now: float) -> float:
        making_s = self.paces.usual_making_s(service) or FIRST_MAKING_S
        run_s = self.paces.usual_reading_s(service) + making_s
        risk = risk_of_loss(
            self.avoidance.losses(now), engines=engines, window_s=LOSSES_WINDOW_S, run_s=run_s
        )
        return copies_most(risk, usual=self._copies_most)

    def _loads(self, now: float) -> dict[str, EngineLoad]:
        loads: dict[str, EngineLoad] = {}
        for record in self._records:
            if record.ended_at is not None:
                continue
            run = record.run
            load = loads.setdefault(run.engine, EngineLoad())
            load.runs_memory += run.memory_tokens
            if run.flowing:
                load.flowing += 1
            else:
                load.prompts += 1
                load.to_read_s += self._left_to_read_s(record, now)
            if run.copy_at is not None:
                holder = loads.setdefault(run.copy_at, EngineLoad())
                holder.copies += 1
                holder.copies_memory += run.memory_tokens
        return loads

    def _load(self, loads: dict[str, EngineLoad], engine: ListedTarget) -> EngineLoad:
        return loads.get(engine.id, EngineLoad())

    def _ahead_s(self, record: RunRecord, now: float) -> float:
        """Give what the prompts take that an engine reads before a run's own."""
        behind_s = BEHIND_PROMPT * self.paces.usual_reading_s(record.run.service)
        return sum(
            behind_s + self._left_to_read_s(other, now)
            for other in self._records.unread_at(record.run.engine)
            if other is not record and self._is_before(other, record)
        )

    def _reads_on_s(self, engine: str, unread: list[RunRecord], now: float) -> float:
        """Give how long an engine reads on, one prompt after the other."""
        if not unread:
            return 0.0
        whole_s = [
            self._uneven.reading_s(record.run.service, engine, record.run.prompt_tokens, now)
            for record in unread
        ]
        first = min(record.since for record in unread)
        began = max(first, self._read_at.get(engine, first))
        return max(sum(whole_s) - (now - began), sum(whole_s[1:]) + LEAST_LEFT * whole_s[0])

    def _is_before(self, one: RunRecord, other: RunRecord) -> bool:
        if abs(one.since - other.since) > self.news_s:
            return one.since < other.since
        return one.run.request < other.run.request

    def _left_to_read_s(self, record: RunRecord, now: float) -> float:
        run = record.run
        whole_s = self._uneven.reading_s(run.service, run.engine, run.prompt_tokens, now)
        return max(whole_s * LEAST_LEFT, whole_s - (now - record.since))

    def _uneven_choice(
        self,
        best: ListedTarget,
        candidates: list[ListedTarget],
        plain_costs: dict[str, float],
        now: float,
    ) -> UnevenChoice | None:
        plain = min(candidates, key=lambda engine: plain_costs[engine.id])
        if plain_costs[best.id] <= plain_costs[plain.id]:
            return None
        return UnevenChoice(
            taken=self._uneven.seen(best.service, best.id, now),
            passed_over=self._uneven.seen(plain.service, plain.id, now),
        )

    def _paced_cost_s(
        self,
        engine: ListedTarget,
        loads: dict[str, EngineLoad],
        limits: EngineLimits,
        need: int,
        now: float,
    ) -> float:
        pace = self._uneven.relative(engine.service, engine.id, now)
        return self._cost_s(engine, loads, limits, need, pace=pace)

    def _spread(self, engine: ListedTarget, *, crowd: bool) -> float:
        """Give how far chance keeps VMs apart that see the same engine as the best."""
        if crowd:
            return CROWD
        return CLOSE if self._uneven.counts(engine.id) else 0.0

    def _ready_s(
        self,
        engine: ListedTarget,
        run: BookedRun,
        loads: dict[str, EngineLoad],
        limits: EngineLimits,
        now: float,
    ) -> float:
        """Give what a run's prompt takes at another engine until it is read."""
        own_s = self._uneven.reading_s(run.service, engine.id, run.prompt_tokens, now)
        work_s = self._load(loads, engine).to_read_s + own_s
        cost_s = self._paced_cost_s(engine, loads, limits, run.memory_tokens, now)
        return cost_s + own_s + self._uneven.moment_s(engine.id, work_s, now)

    def _ready_here_s(self, record: RunRecord, load: EngineLoad, now: float) -> float:
        """Give what a run's prompt takes yet at the engine that it is at."""
        run = record.run
        work_s = self._ahead_s(record, now) + self._left_to_read_s(record, now)
        usual_s = self.paces.usual_reading_s(run.service)
        usual_s *= self._uneven.relative(run.service, run.engine, now)
        moment_s = self._uneven.moment_s(run.engine, work_s, now)
        return work_s + usual_s * FLOWING_COST * load.flowing + moment_s

    def _cost_s(
        self,
        engine: ListedTarget,
        loads: dict[str, EngineLoad],
        limits: EngineLimits,
        need: int,
        *,
        pace: float = 1.0,
    ) -> float:
        load = self._load(loads, engine)
        usual_s = self.paces.usual_reading_s(engine.service)
        cost_s = load.prefill_cost_s(pace * usual_s)
        if engine.data_center != self.data_center:
            cost_s += OTHER_DATA_CENTER_S
        if not load.has_room(limits, need):
            cost_s += FULL * usual_s
        return cost_s
