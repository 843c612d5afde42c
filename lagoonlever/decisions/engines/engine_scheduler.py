"""Scheduling of runs on engines, from the runs of all VMs.

Prompts of several thousand tokens arrive at many VMs at once. Each VM sees only a few of them, and
the engines' own load reports are old when they arrive. An engine processes the prefill of one
prompt after the other, and meanwhile the runs beside it decode at a fraction of their speed. So
each VM announces its placements to the others, and a run goes to the engine with the least prefill
left and the fewest runs that it would slow down, if there is memory for its longest answer.

After an engine is lost several VMs choose within the same milliseconds and pick the same engine.
Each checks its choice again once the placements of the others have arrived, and all but one move.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.admission.prompt_admission import PrefillLoad
from lagoonlever.decisions.engines.copy_capacity import loss_probability, max_copies_share
from lagoonlever.decisions.engines.engine_avoidance import LOSSES_WINDOW_S, EngineAvoidance
from lagoonlever.decisions.engines.engine_loads import (
    DECODE_COST,
    FULL_COST,
    OTHER_DATA_CENTER_COST_S,
    PROMPT_COST,
    EngineLoad,
)
from lagoonlever.decisions.engines.engine_timings import EngineTimings
from lagoonlever.decisions.engines.prefill_window import PrefillWindow
from lagoonlever.decisions.engines.uneven_engines import UnevenChoice, UnevenEngines
from lagoonlever.decisions.engines.version_load import VersionLoad
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.run_records import RunRecord, RunRecords
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.decisions.targets.load_view import TargetLoads

RESUME_JITTER = 0.3
"""Random spread of the costs of engines after a loss.

The unit is the time of a usual prefill of the service.

Two VMs that resume streams at the same moment would both choose the least busy engine, and each
prompt would then wait for the other.
"""
MAX_COPIES_SHARE = 0.8
"""Share of an engine's memory up to which it accepts KV-cache copies.

An engine that is full of runs and copies preempts its newest run, whose prefill is then repeated,
and has no capacity for the runs of the next crash. In simulations of 24 days with twelve engines,
95.1% of streams are on time at this share, 93.2% without a limit and 93.5% at a share of 0.6.
Repeated prefills take 342 prompt tokens per stream, 376 without a limit and 388 at 0.6. With seven
engines, and with slow ones, the limit makes no difference.
"""
INITIAL_DECODE_S = 5.0
"""Decode time of a usual answer, until the first answers have ended."""
GOSSIP_DELAY_S = 0.02
"""Time after which other VMs' placements of the same moment have arrived.

One takes some 2 ms; the rest is a margin.
"""
MIN_MOVE_GAIN = 0.4
"""Minimum saving for which a run moves to a better engine, in times of a usual prefill.

Leaving an engine costs a new connection, and the part of the prefill that is done.
"""
UNEVEN_JITTER = 0.4
"""Random spread of the costs of engines that differ in speed, in times of a usual prefill.

All VMs see the same engine as the fastest, and receive each other's placements too late.
"""
MIN_PREFILL_LEFT = 0.1
"""Least share of a prompt that counts as not yet prefilled until its run gives an event."""


@attrs.frozen(kw_only=True)
class Placement:
    """The engine for a run, the expected time there until its first event, and the reason."""

    engine: ListedTarget
    expected_s: float
    choice: UnevenChoice | None = None
    """Set if another engine would have been chosen, had all engines been equally fast."""


@attrs.define(kw_only=True)
class EngineScheduler:
    """The known runs by request, and choices of engines; times are monotonic seconds."""

    _rng: random.Random
    data_center: str
    """The data centre of this VM."""
    news_s: float = GOSSIP_DELAY_S
    """Time in seconds within which this VM receives other VMs' placements.

    Placements that are closer in time are ordered by request id, which is the same on every VM.
    """
    _max_copies_share: float = MAX_COPIES_SHARE
    _keep_s: float = 10.0
    """How long an ended run is remembered: as long as its prompt may still be cached."""
    _records: RunRecords = attrs.field(init=False)
    _prefill_window: PrefillWindow = attrs.field(factory=PrefillWindow)
    _last_prefill_at: dict[str, float] = attrs.field(factory=dict)
    """Time of the last finished prefill, by engine."""
    avoidance: EngineAvoidance = attrs.field(factory=EngineAvoidance)
    timings: EngineTimings = attrs.field(factory=EngineTimings)
    loads: TargetLoads = attrs.field(factory=TargetLoads)
    """The load reports of targets."""

    @_records.default
    def _make_records(self) -> RunRecords:
        return RunRecords(keep_s=self._keep_s)

    @property
    def _uneven(self) -> UnevenEngines:
        return UnevenEngines(timings=self.timings, loads=self.loads)

    @property
    def open_runs(self) -> tuple[EngineRun, ...]:
        """Every run that was sent to an engine and is not known to have ended."""
        return tuple(r.run for r in self._records if r.ended_at is None and r.sent)

    def find_unfinished_run(self, part: str) -> EngineRun | None:
        """Return the last run of a prompt segment unless its answer was whole, or None.

        ``part`` is the id of the segment. The run may be of another request of the same session.
        """
        return _unfinished_run(self._records.find_by_segment(part))

    def find_unfinished_run_for(self, fingerprint: str) -> EngineRun | None:
        """Return the last run of the requests that ask the same unless its answer was whole.

        ``fingerprint`` identifies what a caller that returns has asked. Return None if there is
        no such run.
        """
        return _unfinished_run(self._records.find_by_fingerprint(fingerprint))

    def find_unfinished_run_of(self, begun_by: str) -> EngineRun | None:
        """Return the last run of a stream unless its answer was whole, or None.

        ``begun_by`` is the request that began the stream.
        """
        return _unfinished_run(self._records.find_by_stream(begun_by))

    def load_by_version(self, service: str) -> dict[str | None, VersionLoad]:
        """Return what the open runs of a service hold at the engines of each version."""
        loads: dict[str | None, VersionLoad] = {}
        for record in self._records:
            run = record.run
            if run.service != service or record.ended_at is not None:
                continue
            load = loads.get(run.version, VersionLoad())
            loads[run.version] = load.plus(run.memory_tokens)
        return loads

    def choose_engine(
        self,
        engines: Iterable[ListedTarget],
        *,
        limits: EngineLimits,
        prompt_tokens: int,
        memory_tokens: int,
        now: float,
        avoid: frozenset[str] = frozenset(),
        prefer: str | None = None,
        add_jitter: bool = False,
        begins_within_s: float | None = None,
        spare: frozenset[str] = frozenset(),
    ) -> Placement | None:
        """Choose the engine with the lowest cost for a run, or None if there is none.

        ``prefer`` is an engine that has the prompt cached, so its prefill costs nothing there.
        ``spare`` are engines that are chosen only if the others have no capacity left.
        ``add_jitter`` spreads the costs at random, as after a loss many VMs choose before they
        receive each other's placements. With ``begins_within_s`` only engines count that have
        capacity, and whose prefill backlog takes no longer.
        """
        usable = [engine for engine in engines if engine.id not in avoid]
        healthy = [engine for engine in usable if not self.avoidance.is_avoided(engine.id, now)]
        candidates = healthy or usable
        if not candidates:
            return None
        loads = self._compute_loads(now)
        if begins_within_s is not None:
            need_tokens = min(memory_tokens, limits.memory_tokens)
            unread = self._records.prefilling_by_engine()
            candidates = [
                engine
                for engine in healthy
                if self._load_of(loads, engine).has_capacity(limits, need_tokens)
                and self._prefill_backlog_s(engine.id, unread.get(engine.id, []), now)
                <= begins_within_s
            ]
        if not candidates:
            return None
        self._rng.shuffle(candidates)
        costs: dict[str, float] = {}
        for engine in candidates:
            own_s = self._uneven.prefill_s(engine.service, engine.id, prompt_tokens, now)
            jitter_s = self._jitter(engine, add_jitter=add_jitter) * self.timings.usual_prefill_s(
                engine.service
            )
            costs[engine.id] = self._scaled_cost_s(engine, loads, limits, memory_tokens, now)
            costs[engine.id] += 0.0 if engine.id == prefer else own_s
            costs[engine.id] += self._rng.uniform(0.0, jitter_s) if jitter_s else 0.0
            if engine.id in spare:
                costs[engine.id] += FULL_COST * self.timings.usual_prefill_s(engine.service)
            work_s = self._load_of(loads, engine).prefill_left_s + own_s
            costs[engine.id] += self._uneven.slow_period_delay_s(engine.id, work_s, now)
        best = min(candidates, key=lambda engine: costs[engine.id])
        choice: UnevenChoice | None = None
        if any(self._uneven.uses_own_timings(engine.id) for engine in candidates):
            equal_costs = {e.id: self._cost_s(e, loads, limits, memory_tokens) for e in candidates}
            choice = self._uneven_choice(best, candidates, equal_costs, now)
        return Placement(engine=best, expected_s=costs[best.id], choice=choice)

    @MECHANISMS.register(
        "copies",
        does="the KV cache of a run is copied to an engine of another data centre while it runs",
        without="the prefill is repeated after a loss",
        plain=gives(None),
    )
    def choose_copy_holder(
        self,
        engines: Iterable[ListedTarget],
        *,
        limits: EngineLimits,
        run_engine: ListedTarget,
        memory_tokens: int,
        now: float,
        avoid: frozenset[str] = frozenset(),
        by_losses: bool = False,
    ) -> ListedTarget | None:
        """Choose the engine that holds the copy of a run, in another data centre if there is one.

        Engines of a data centre fail together, so a copy near its run would be lost with it.
        ``run_engine`` is the engine of the run. With ``by_losses`` the share of memory for copies
        depends on how many engines were lost recently.
        """
        others = [
            engine
            for engine in engines
            if engine.id != run_engine.id
            and engine.id not in avoid
            and not self.avoidance.is_avoided(engine.id, now)
        ]
        remote = [engine for engine in others if engine.data_center != run_engine.data_center]
        loads = self._compute_loads(now)
        max_share = self._max_copies_share
        if by_losses:
            max_share = self._max_share_by_losses(
                run_engine.service, engines=len(others) + 1, now=now
            )
        need_tokens = memory_tokens + round(limits.memory_tokens * (1.0 - max_share))
        costs = {e.id: self._cost_s(e, loads, limits, need_tokens) for e in remote or others}
        with_capacity = [
            engine
            for engine in remote or others
            if self._load_of(loads, engine).has_capacity(limits, need_tokens)
        ]
        if not with_capacity:
            return None
        self._rng.shuffle(with_capacity)
        return min(with_capacity, key=lambda engine: costs[engine.id])

    @MECHANISMS.register(
        "second-look",
        does="a run leaves an engine that other VMs chose at the same moment",
        without="it stays where it was placed",
        plain=gives(False),
    )
    def should_move(
        self, request: str, engines: Iterable[ListedTarget], *, limits: EngineLimits, now: float
    ) -> bool:
        """Check whether a run should leave its engine, as others were placed there with it.

        Of the prompts that came at the same time the first by request id stays. Each VM computes
        the same order, so exactly one of them stays and the others move.
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
        loads, run = self._compute_loads(now), record.run
        need_tokens = run.memory_tokens
        load = loads.get(run.engine, EngineLoad())
        usual_s = self.timings.usual_prefill_s(run.service)
        if any(self._uneven.uses_own_timings(engine.id) for engine in others):
            best_s = min(self._first_event_elsewhere_s(e, run, loads, limits, now) for e in others)
            here_s = self._first_event_here_s(record, load, now)
            return best_s + MIN_MOVE_GAIN * usual_s < here_s
        best_s = min(self._cost_s(engine, loads, limits, need_tokens) for engine in others)
        here_s = self._prefill_ahead_s(record, now) + usual_s * DECODE_COST * load.decoding
        return best_s + MIN_MOVE_GAIN * usual_s < here_s

    def prefill_load(self, service: str, *, engines: int, now: float) -> PrefillLoad:
        """Return the prefill load that all VMs recently put on a service.

        ``engines`` is the present number of its engines.
        """
        token_s = self.timings.prefill_s(service, "", 1, now)
        return self._prefill_window.load(service, engines=engines, token_s=token_s, now=now)

    def is_dispatched(self, request: str) -> bool:
        """Check whether any VM is known to have sent a request to an engine."""
        record = self._records.find(request)
        return record is not None and record.sent

    def is_dispatched_after(self, request: str, at: float) -> bool:
        """Check whether a request is known to have been sent to an engine after a time."""
        record = self._records.find(request)
        return record is not None and record.sent and record.recorded_at > at

    def find_relay_vm(self, request: str) -> str | None:
        """Return the VM that relays a run, or None if the run is not known."""
        record = self._records.find(request)
        return record.run.vm if record is not None else None

    def find_run(self, request: str) -> EngineRun | None:
        """Return the last known run of a request, or None."""
        record = self._records.find(request)
        return record.run if record is not None else None

    def reserve(self, run: EngineRun, now: float) -> None:
        """Reserve capacity for a run that another VM is about to send.

        Until that VM announces the run, other requests are not given the same capacity. A
        reservation counts neither as a dispatch nor as a retry, and is removed if the run is
        never sent.
        """
        self._records.reserve(run, now)

    def record_dispatch(self, run: EngineRun, now: float) -> None:
        """Record a run that was sent to an engine, in place of the request's former run."""
        self._prefill_window.record_prompt(
            run.service,
            request=run.request,
            tokens=run.prompt_tokens,
            token_s=self.timings.prompt_token_s(run.service),
            now=now,
        )
        self._records.record_sent(run, now)

    def record_reported_run(self, run: EngineRun, now: float) -> None:
        """Record a run that another VM reports, unless there is a record of it already.

        An existing record comes from the VM that relays the run, and is more complete. The run
        started before, so it doesn't count as a prompt that engines receive now.
        """
        if self._records.find(run.request) is None:
            self._records.record_sent(run, now)

    def record_copy(self, request: str, copy: RunCopy) -> bool:
        """Record the copy of a run; return whether it differs from the one that was known.

        A copy that was only refreshed keeps its name, and needs no update to other VMs.
        """
        record = self._records.find(request)
        if record is None or record.run.copy == copy:
            return False
        record.run = attrs.evolve(record.run, copy=copy)
        return True

    def record_first_event(self, request: str, now: float) -> None:
        """Record that a run has given its first event, so its prefill is finished."""
        record = self._records.find(request)
        if record is None or record.run.flowing:
            return
        run = record.run
        record.run = attrs.evolve(run, flowing=True)
        self._prefill_window.record_read(request)
        self._last_prefill_at[run.engine] = now
        if not record.shared_prefill:
            seconds = now - record.recorded_at
            self.timings.observe_prefill(
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
        """Record the end of a run, and the timings that were measured of its engine.

        ``whole`` is true if the answer of ``tokens`` tokens was completed. ``token_s`` is the
        undisturbed time per answer token, ``slowdown`` how many times as long a token took
        beside a prefill.
        """
        record = self._records.find(request)
        if record is None or record.ended_at is not None:
            return
        record.ended_at = now
        record.complete = whole
        run = record.run
        if whole:
            self.timings.observe_answer(run.service, tokens=tokens, now=now)
        if token_s is not None:
            self.timings.observe_decode(
                run.service, run.engine, token_s=token_s, slowdown=slowdown, now=now
            )

    def record_vm_loss(self, vm: str, now: float) -> None:
        """End the runs of a lost VM, as engines abort them when its connections close."""
        for record in self._records:
            if record.run.vm == vm and record.ended_at is None:
                record.ended_at = now

    def forget_other_vms(self, vm: str) -> None:
        """Remove the runs of all VMs but ``vm``, which no longer receives their updates.

        The ends of these runs would never be recorded, and engines that were busy once would
        appear busy for good.
        """
        self._records.discard_others(vm)

    def record_restart(self, engine: str, started_ms: int, now: float) -> None:
        """End the runs and drop the copies of an engine's former process after a restart.

        A run that was sent to the new process is kept, as its VM knew of the restart.
        """
        self.avoidance.record_restart(engine)
        for record in self._records:
            run = record.run
            if run.engine == engine and run.engine_started_ms != started_ms:
                record.ended_at = now if record.ended_at is None else record.ended_at
            if run.copy is not None and run.copy.is_lost(engine, started_ms):
                record.run = attrs.evolve(run, copy=None)

    def expire(self, now: float) -> None:
        """Remove what has lapsed: ended runs, prefill times, avoidance and timings.

        A run lapses when nothing of it can be cached at its engine any more.
        """
        self._records.expire(now)
        for engine in [e for e, at in self._last_prefill_at.items() if now - at > self._keep_s]:
            del self._last_prefill_at[engine]
        self.avoidance.expire(now)
        self.timings.expire(now)

    def _max_share_by_losses(self, service: str, *, engines: int, now: float) -> float:
        """Return the share of memory for copies at the present rate of lost engines."""
        decode_s = self.timings.usual_decode_s(service) or INITIAL_DECODE_S
        run_s = self.timings.usual_prefill_s(service) + decode_s
        risk = loss_probability(
            self.avoidance.count_losses(now), engines=engines, window_s=LOSSES_WINDOW_S, run_s=run_s
        )
        return max_copies_share(risk, usual=self._max_copies_share)

    def _compute_loads(self, now: float) -> dict[str, EngineLoad]:
        """Return the load of each engine that has runs or copies, by engine id."""
        loads: dict[str, EngineLoad] = {}
        for record in self._records:
            if record.ended_at is not None:
                continue
            run = record.run
            load = loads.setdefault(run.engine, EngineLoad())
            load.runs_memory_tokens += run.memory_tokens
            if run.flowing:
                load.decoding += 1
            else:
                load.prefilling += 1
                load.prefill_left_s += self._prefill_left_s(record, now)
            if run.copy_holder is not None:
                holder = loads.setdefault(run.copy_holder, EngineLoad())
                holder.copies += 1
                holder.copies_memory_tokens += run.memory_tokens
        return loads

    def _load_of(self, loads: dict[str, EngineLoad], engine: ListedTarget) -> EngineLoad:
        return loads.get(engine.id, EngineLoad())

    def _prefill_ahead_s(self, record: RunRecord, now: float) -> float:
        """Return the time of the prefills that an engine does before that of a run."""
        per_prompt_s = PROMPT_COST * self.timings.usual_prefill_s(record.run.service)
        return sum(
            per_prompt_s + self._prefill_left_s(other, now)
            for other in self._records.prefilling_at(record.run.engine)
            if other is not record and self._is_before(other, record)
        )

    def _prefill_backlog_s(self, engine: str, unread: list[RunRecord], now: float) -> float:
        """Return how long an engine needs for the prefills of its runs, one after the other."""
        if not unread:
            return 0.0
        whole_s = [
            self._uneven.prefill_s(record.run.service, engine, record.run.prompt_tokens, now)
            for record in unread
        ]
        first_at = min(record.recorded_at for record in unread)
        began_at = max(first_at, self._last_prefill_at.get(engine, first_at))
        return max(
            sum(whole_s) - (now - began_at), sum(whole_s[1:]) + MIN_PREFILL_LEFT * whole_s[0]
        )

    def _is_before(self, one: RunRecord, other: RunRecord) -> bool:
        """Check whether a run comes before another one, in an order that all VMs agree on."""
        if abs(one.recorded_at - other.recorded_at) > self.news_s:
            return one.recorded_at < other.recorded_at
        return one.run.request < other.run.request

    def _prefill_left_s(self, record: RunRecord, now: float) -> float:
        """Return the remaining prefill time of a run, as if its prefill began at its dispatch."""
        run = record.run
        whole_s = self._uneven.prefill_s(run.service, run.engine, run.prompt_tokens, now)
        return max(whole_s * MIN_PREFILL_LEFT, whole_s - (now - record.recorded_at))

    def _uneven_choice(
        self,
        best: ListedTarget,
        candidates: list[ListedTarget],
        equal_costs: dict[str, float],
        now: float,
    ) -> UnevenChoice | None:
        """Return how a choice differs from that among equally fast engines, or None if it doesn't.

        ``equal_costs`` has the cost of each candidate if all engines were equally fast.
        """
        other = min(candidates, key=lambda engine: equal_costs[engine.id])
        if equal_costs[best.id] <= equal_costs[other.id]:
            return None
        return UnevenChoice(
            taken=self._uneven.snapshot(best.service, best.id, now),
            passed_over=self._uneven.snapshot(other.service, other.id, now),
        )

    def _scaled_cost_s(
        self,
        engine: ListedTarget,
        loads: dict[str, EngineLoad],
        limits: EngineLimits,
        need_tokens: int,
        now: float,
    ) -> float:
        """Return the cost of an engine by its own timings."""
        relative_time = self._uneven.relative_time(engine.service, engine.id, now)
        return self._cost_s(engine, loads, limits, need_tokens, relative_time=relative_time)

    def _jitter(self, engine: ListedTarget, *, add_jitter: bool) -> float:
        """Return the random spread of an engine's cost, in usual prefills.

        It keeps VMs apart that see the same engine as the best.
        """
        if add_jitter:
            return RESUME_JITTER
        return UNEVEN_JITTER if self._uneven.uses_own_timings(engine.id) else 0.0

    def _first_event_elsewhere_s(
        self,
        engine: ListedTarget,
        run: EngineRun,
        loads: dict[str, EngineLoad],
        limits: EngineLimits,
        now: float,
    ) -> float:
        """Return the time until the end of a run's prefill if it moves to another engine."""
        own_s = self._uneven.prefill_s(run.service, engine.id, run.prompt_tokens, now)
        work_s = self._load_of(loads, engine).prefill_left_s + own_s
        cost_s = self._scaled_cost_s(engine, loads, limits, run.memory_tokens, now)
        return cost_s + own_s + self._uneven.slow_period_delay_s(engine.id, work_s, now)

    def _first_event_here_s(self, record: RunRecord, load: EngineLoad, now: float) -> float:
        """Return the time until the end of a run's prefill at its present engine."""
        run = record.run
        work_s = self._prefill_ahead_s(record, now) + self._prefill_left_s(record, now)
        usual_s = self.timings.usual_prefill_s(run.service)
        usual_s *= self._uneven.relative_time(run.service, run.engine, now)
        delay_s = self._uneven.slow_period_delay_s(run.engine, work_s, now)
        return work_s + usual_s * DECODE_COST * load.decoding + delay_s

    def _cost_s(
        self,
        engine: ListedTarget,
        loads: dict[str, EngineLoad],
        limits: EngineLimits,
        need_tokens: int,
        *,
        relative_time: float = 1.0,
    ) -> float:
        """Return the cost of placing a run that needs so much memory at an engine.

        The run's own prefill is not included. ``relative_time`` is how many times as long as its
        service the engine takes.
        """
        load = self._load_of(loads, engine)
        usual_s = self.timings.usual_prefill_s(engine.service)
        cost_s = load.waiting_cost_s(relative_time * usual_s)
        if engine.data_center != self.data_center:
            cost_s += OTHER_DATA_CENTER_COST_S
        if not load.has_capacity(limits, need_tokens):
            cost_s += FULL_COST * usual_s
        return cost_s


def _unfinished_run(record: RunRecord | None) -> EngineRun | None:
    """Return the run of a record unless its answer was whole, or None."""
    return None if record is None or record.complete else record.run
