"""A day of streams in virtual time: arrivals, crashes of engines, and a loss of all VMs.

The daemon's own decisions place runs and copies and say what follows a loss; one book
stands for those of all VMs, as they hear of each other within milliseconds. Engines are
those of ``engine_model``. Everything is drawn from one seed, so that two policies meet the
same arrivals and the same crashes.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from functools import partial

import attrs

from lagoonlever.bench.engine_model import EngineFigures, ModelEngine, ModelRun
from lagoonlever.bench.statistics import quantile
from lagoonlever.bench.stream_day_types import (
    DayFigures,
    DayPlan,
    DayPolicy,
    ModelStream,
)
from lagoonlever.decisions.admission.prompt_admission import (
    admits_prompt,
    max_prefill_share,
    random_retry_after_s,
)
from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.stream_lifecycle import (
    GiveUp,
    PlaceAttempt,
    ResumeFromCopy,
    StreamLifecycle,
    WaitForEngine,
)
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.http.messages import Address

DATA_CENTERS = ("dc-a", "dc-b", "dc-c")
SERVICE = "engines"
SILENT_LOSS_S = 0.45
"""Until a silent engine is taken for lost, as measured between the daemon and its stand-ins."""
CLOSED_LOSS_S = 0.002
COPIED_ANEW_S = 0.3
"""From the loss of a copy's holder until the run is copied to another engine."""
RESUMED_TOKENS = 60
"""What a run that goes on from a copy reads: what had not arrived there."""
MAX_ATTEMPTS = 5
NOBODY = Address(host="0.0.0.0", port=1)


@attrs.define(kw_only=True, eq=False)
class StreamDay:
    """Plays one day under one policy."""

    _plan: DayPlan
    _policy: DayPolicy
    _seed: int
    _rng: random.Random = attrs.field(init=False)
    _book: EngineScheduler = attrs.field(init=False)
    _limits: EngineLimits = attrs.field(init=False)
    _engines: dict[str, ModelEngine] = attrs.field(factory=dict)
    _listed: dict[str, ListedTarget] = attrs.field(factory=dict)
    _gone: list[ModelEngine] = attrs.field(factory=list)
    _streams: list[ModelStream] = attrs.field(factory=list)
    _heap: list[tuple[float, int, Callable[[float], None]]] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)
    _stepping: set[str] = attrs.field(factory=set)
    _vms_away_until: float = 0.0

    @_rng.default
    def _make_rng(self) -> random.Random:
        return random.Random(self._seed)

    @_book.default
    def _make_book(self) -> EngineScheduler:
        return EngineScheduler(
            rng=random.Random(self._seed + 1),
            data_center=DATA_CENTERS[0],
            max_copies_share=self._policy.copies_most,
        )

    @_limits.default
    def _make_limits(self) -> EngineLimits:
        figures = self._plan.engine
        return EngineLimits(
            slots=figures.slots,
            memory_tokens=figures.memory_tokens,
            copies=self._policy.copies,
            event_tokens=figures.event_tokens,
        )

    def run(self) -> DayFigures:
        """Play the day and count."""
        plan = self._plan
        for number in range(plan.engines):
            place = DATA_CENTERS[number % len(DATA_CENTERS)]
            slowness = plan.slowness[number // len(DATA_CENTERS) % len(plan.slowness)]
            self._start_engine(f"e-{number}", place, plan.engine.slowed(slowness))
        self._plan_arrivals()
        self._plan_crashes()
        if plan.all_vms_end_at is not None:
            self._at(plan.all_vms_end_at, self._end_all_vms)
        while self._heap:
            now, _, act = heapq.heappop(self._heap)
            act(now)
        return self._figures()

    def _at(self, when: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._order), act))

    def _plan_arrivals(self) -> None:
        plan, rng = self._plan, random.Random(self._seed)
        now, numbers = 0.0, itertools.count()
        while (now := now + rng.expovariate(plan.arrivals_per_s)) < plan.seconds:
            prompt = round(plan.prompt_tokens * max(0.3, rng.gauss(1.0, 0.3)))
            events = max(10, round(plan.events * max(0.3, rng.gauss(1.0, 0.2))))
            stream = ModelStream(
                request=f"r-{next(numbers)}",
                asked_at=now,
                prompt=prompt,
                events=events,
                event_tokens=plan.engine.event_tokens,
                life=_new_life(None),
            )
            self._streams.append(stream)
            self._at(now, partial(self._ask, stream))

    def _plan_crashes(self) -> None:
        plan, rng = self._plan, random.Random(self._seed + 2)
        now = plan.crash_every_s
        for number in itertools.count():
            if now >= plan.seconds:
                return
            place, silent = DATA_CENTERS[number % len(DATA_CENTERS)], number % 2 == 1
            self._at(now, partial(self._crash, place, silent, rng.random()))
            now += plan.crash_every_s

    def _start_engine(
        self, name: str, data_center: str, figures: EngineFigures, _now: float = 0.0
    ) -> None:
        self._engines[name] = ModelEngine(id=name, data_center=data_center, figures=figures)
        self._listed[name] = ListedTarget(
            id=name, service=SERVICE, address=NOBODY, data_center=data_center
        )

    def _crash(self, place: str, silent: bool, seed: float, now: float) -> None:
        rng = random.Random(seed)
        for engine in [e for e in self._engines.values() if e.data_center == place]:
            if rng.random() > self._plan.crash_share:
                continue
            lost = {run.request for run in engine.crash()}
            self._gone.append(self._engines.pop(engine.id))
            seen_at = now + (SILENT_LOSS_S if silent else CLOSED_LOSS_S)
            self._at(seen_at, partial(self._unlist, engine.id))
            back_at = now + self._plan.back_after_s
            self._at(back_at, partial(self._start_engine, f"{engine.id}'", place, engine.figures))
            for stream in self._streams:
                attempt = stream.attempt
                if stream.request in lost and stream.engine is engine:
                    self._at(seen_at, partial(self._lose, stream, attempt))
                elif stream.copy is not None and stream.copy.holder == engine.id:
                    self._at(seen_at + COPIED_ANEW_S, partial(self._copy_anew, stream, attempt))

    def _copy_anew(self, stream: ModelStream, attempt: int, now: float) -> None:
        """Copy a run to another engine after its copy's holder was lost."""
        if stream.attempt != attempt or stream.ended_at is not None or stream.engine is None:
            return
        if stream.run is None or not stream.engine.alive:
            return
        stream.copy = self._copy_of(stream, stream.engine, now)
        if stream.copy is None or not stream.run.made:
            return
        stream.life.record_copy(stream.copy)
        self._hold_copy(stream, stream.run)

    def _unlist(self, name: str, now: float) -> None:
        self._book.avoidance.record_failure(name, now)
        self._listed.pop(name, None)

    def _lose(self, stream: ModelStream, attempt: int, now: float) -> None:
        if stream.attempt != attempt or stream.engine is None or stream.ended_at is not None:
            return
        stream.met_loss = True
        stream.life.record_loss(stream.engine.id, "lost", read=stream.last_at is not None)
        self._ask(stream, now)

    def _ask(self, stream: ModelStream, now: float) -> None:
        """Take the next steps of a stream until an attempt is open, or it has to wait."""
        if stream.ended_at is not None or now < self._vms_away_until:
            return
        if now - stream.asked_at > self._plan.deadline_s:
            return
        step = stream.life.next_step()
        if isinstance(step, GiveUp) or self._refused(stream, now):
            return
        if isinstance(step, WaitForEngine):
            self._at(now + step.seconds, partial(self._ask, stream))
            return
        if isinstance(step, ResumeFromCopy):
            holder = self._engines.get(step.copy.holder)
            if holder is None or step.copy.holder not in self._listed:
                stream.life.discard_copy()
                self._ask(stream, now)
                return
            self._begin(stream, holder, RESUMED_TOKENS, now)
            return
        self._place(stream, step, now)

    def _refused(self, stream: ModelStream, now: float) -> bool:
        """Refuse a new prompt that engines can't bear; its caller may come back later."""
        if stream.life.sent_attempts or stream.life.position or not self._policy.admission:
            return False
        making_s = self._book.timings.usual_decode_s(SERVICE)
        if making_s is None:
            return False
        most = max_prefill_share(
            decode_s=making_s,
            prefill_s=self._book.timings.usual_prefill_s(SERVICE),
            allowed_s=self._plan.deadline_s,
            slowdown=self._book.timings.slowdown(SERVICE),
        )
        load = self._book.prefill_load(SERVICE, engines=len(self._listed), now=now)
        if admits_prompt(load, max_share=most):
            return False
        stream.refused += 1
        if stream.refused <= self._plan.caller_returns:
            self._at(now + random_retry_after_s(self._rng), partial(self._ask, stream))
        return True

    def _place(self, stream: ModelStream, step: PlaceAttempt, now: float) -> None:
        placement = self._book.choose_engine(
            self._listed.values(),
            limits=self._limits,
            prompt_tokens=stream.prompt,
            memory_tokens=stream.most_memory,
            now=now,
            avoid=step.avoid,
            prefer=step.prefer,
            add_jitter=step.after_loss or stream.returned,
        )
        engine = self._engines.get(placement.engine.id) if placement else None
        if placement is None:
            stream.life.record_no_engine()
            self._ask(stream, now)
        elif engine is None:
            # It has crashed silently and is still listed: the connection is refused.
            stream.life.record_unreachable(placement.engine.id, "refused")
            self._at(now + CLOSED_LOSS_S, partial(self._ask, stream))
        else:
            to_read = RESUMED_TOKENS if engine.id == step.prefer else stream.prompt
            self._begin(stream, engine, to_read, now)

    def _begin(self, stream: ModelStream, engine: ModelEngine, to_read: int, now: float) -> None:
        self._leave(stream, now)
        copy = self._copy_of(stream, engine, now)
        made = (stream.life.position or 0) * stream.event_tokens
        stream.attempt += 1
        run = ModelRun(
            request=stream.request,
            prompt=stream.prompt + made,
            to_read=to_read,
            resumed=to_read <= RESUMED_TOKENS,
            to_make=stream.events * stream.event_tokens - made,
            on_tokens=lambda at, left: self._made(stream, left, at),
        )
        stream.run, stream.engine, stream.copy = run, engine, copy
        stream.life.record_sent(copy=copy)
        booked = EngineRun(
            request=stream.request,
            vm="vm",
            engine=engine.id,
            service=SERVICE,
            prompt_tokens=to_read,
            memory_tokens=stream.most_memory,
            part=stream.request,
            copy=copy,
        )
        self._book.record_dispatch(booked, now)
        engine.take(run)
        self._wake(engine, now)

    def _copy_of(self, stream: ModelStream, engine: ModelEngine, now: float) -> RunCopy | None:
        if not self._policy.copies:
            return None
        holder = self._book.choose_copy_holder(
            self._listed.values(),
            limits=self._limits,
            run_engine=self._listed.get(engine.id) or _unlisted(engine),
            memory_tokens=stream.most_memory,
            now=now,
        )
        if holder is None:
            return None
        return RunCopy(holder=holder.id, address=NOBODY, name=stream.request)

    def _made(self, stream: ModelStream, left: int, at: float) -> None:
        made = stream.events * stream.event_tokens - left
        if made % stream.event_tokens and left:
            return
        if stream.last_at is None or stream.life.position is None:
            stream.first_at = at if stream.first_at is None else stream.first_at
        if stream.last_at is not None:
            stream.longest_pause_s = max(stream.longest_pause_s, at - stream.last_at)
        stream.last_at = at
        stream.life.check_event(made // stream.event_tokens)
        stream.life.timing.record_event(at)
        run = stream.run
        if run is not None and run.made <= stream.event_tokens:
            self._first_event(stream, run, at)
        if left == 0:
            stream.ended_at = at
            self._leave(stream, at)
            event_s = stream.life.timing.undisturbed_event_s()
            token_s = None if event_s is None else event_s / stream.event_tokens
            self._book.record_end(
                stream.request,
                at,
                whole=True,
                token_s=token_s,
                slowdown=stream.life.timing.slowdown(),
                tokens=stream.events * stream.event_tokens,
            )

    def _first_event(self, stream: ModelStream, run: ModelRun, at: float) -> None:
        stream.life.record_first_event()
        self._book.record_first_event(stream.request, at)
        self._hold_copy(stream, run)

    def _hold_copy(self, stream: ModelStream, run: ModelRun) -> None:
        holder = self._engines.get(stream.copy.holder) if stream.copy else None
        if holder is not None:
            holder.copies[stream.request] = lambda: run.memory

    def _leave(self, stream: ModelStream, now: float) -> None:
        """Give back what an attempt holds."""
        if stream.engine is not None and stream.run is not None:
            stream.engine.drop(stream.run)
        if stream.copy is not None and stream.copy.holder in self._engines:
            self._engines[stream.copy.holder].copies.pop(stream.request, None)

    def _wake(self, engine: ModelEngine, now: float) -> None:
        if engine.id not in self._stepping:
            self._stepping.add(engine.id)
            self._step(engine, now)

    def _step(self, engine: ModelEngine, now: float) -> None:
        if not engine.busy:
            self._stepping.discard(engine.id)
            return
        self._at(engine.advance(now), partial(self._step, engine))

    def _end_all_vms(self, now: float) -> None:
        """End every VM: their streams break, and their callers come back once VMs are."""
        plan = self._plan
        self._vms_away_until = now + plan.vms_back_after_s
        self._book = self._make_book()
        for stream in self._streams:
            if stream.asked_at > self._vms_away_until or stream.ended_at is not None:
                continue
            stream.met_loss = stream.returned = True
            cached = stream.engine if stream.last_at is not None else None
            self._leave(stream, now)
            stream.attempt += 1
            stream.run = stream.engine = stream.copy = None
            prefer = cached.id if cached is not None and cached.alive else None
            stream.life = _new_life(stream.life.position, prefer=prefer)
            back_at = self._vms_away_until + self._rng.uniform(0.0, 0.25)
            self._at(back_at, partial(self._ask, stream))

    def _figures(self) -> DayFigures:
        plan = self._plan
        done = [stream for stream in self._streams if stream.is_done(plan)]
        on_time = [stream for stream in done if stream.is_on_time(plan)]
        engines = [*self._gone, *self._engines.values()]
        sent = [stream for stream in self._streams if stream.attempt]
        return DayFigures(
            streams=len(self._streams),
            on_time=len(on_time),
            late=len(done) - len(on_time),
            failed=len(self._streams) - len(done),
            read_again=sum(e.read_tokens for e in engines) - sum(s.prompt for s in sent),
            refused=sum(stream.refused for stream in self._streams),
            preempted=sum(engine.preempted for engine in engines),
            life_s=quantile([s.ended_at - s.asked_at for s in done if s.ended_at], 0.5) or 0.0,
            pauses_s=tuple(s.longest_pause_s for s in done if s.met_loss),
        )


def _new_life(position: int | None, prefer: str | None = None) -> StreamLifecycle:
    return StreamLifecycle.for_reconnect(
        repeatable=True,
        max_attempts=MAX_ATTEMPTS,
        position=position,
        copy=None,
        prefer=prefer,
    )


def _unlisted(engine: ModelEngine) -> ListedTarget:
    return ListedTarget(
        id=engine.id, service=SERVICE, address=NOBODY, data_center=engine.data_center
    )
