"""Turns the next step of a stream into an attempt: asks for a place and names what it needs."""

from __future__ import annotations

from dataclasses import replace

import attrs

from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.streams.engine_runs import MAX_SHARED, EngineRun, RunCopy
from lagoonlever.decisions.streams.run_placement import (
    NoEngine,
    Overloaded,
    Placed,
    PlacementRequest,
    RetryBudgetExhausted,
    RunOutcome,
)
from lagoonlever.decisions.streams.stream_lifecycle import (
    PlaceAttempt,
    ResumeFromCopy,
    StreamLifecycle,
)
from lagoonlever.decisions.targets.limit_permits import required_permits
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.attempt_tools import AttemptPlan
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.crash_watch import CrashWatch
from lagoonlever.gateway.messages import NO_ASK, GenerationAsk
from lagoonlever.gateway.placer import Placer
from lagoonlever.gateway.room_asker import RoomAsker
from lagoonlever.gateway.target_words import TargetWords
from lagoonlever.peers.messages_line import LineNeed
from lagoonlever.timers import TimerService

RESUMED_PROMPT_TOKENS = 200
"""What an engine reads of a run that goes on from a copy: what had not arrived yet."""


@attrs.define(kw_only=True, eq=False)
class AttemptPlanner:
    """Plans attempts of the streams of one VM."""

    _vm: str
    _beliefs: Beliefs
    _timers: TimerService
    _placer: Placer
    _asker: RoomAsker
    _words: TargetWords
    _crashes: CrashWatch

    async def plan(
        self, accepted: Accepted, life: StreamLifecycle, step: PlaceAttempt | ResumeFromCopy
    ) -> AttemptPlan | RetryBudgetExhausted | Overloaded | RejectedWithRetryAfter | None:
        """Return the attempt, or why there is none; None where the life has another step to try."""
        outcome: RunOutcome | RejectedWithRetryAfter = NoEngine()
        gathering: str | None = None
        version = _version_of(life)
        if not isinstance(step, ResumeFromCopy) or self._holder_of(step.copy, version) is not None:
            copies = self._beliefs.engine_limits(accepted.service).copies
            ask = _run_ask(accepted, life, step, copies=copies)
            held = self._held(accepted, life)
            ask = attrs.evolve(ask, avoid=tuple(sorted({*ask.avoid, *held})))
            gathering = self._gathering(accepted, step, ask)
            outcome = await self._place(accepted, life, step, ask, gathering)
        if isinstance(outcome, RetryBudgetExhausted | Overloaded | RejectedWithRetryAfter):
            return outcome
        found = self._beliefs.targets.find(outcome.engine) if isinstance(outcome, Placed) else None
        if found is None or not isinstance(outcome, Placed):
            _tell_no_place(life, step, outcome)
            return None
        plan = self._attempt(accepted, life, step, found, outcome)
        return attrs.evolve(plan, gathered=found.id == gathering)

    async def _place(
        self,
        accepted: Accepted,
        life: StreamLifecycle,
        step: PlaceAttempt | ResumeFromCopy,
        ask: PlacementRequest,
        gathering: str | None,
    ) -> RunOutcome | RejectedWithRetryAfter:
        """Find a place, by the line if the service has one and the prompt is to be read.

        What goes on where its prompt was read goes at once: its pause is what counts.
        """
        if gathering is not None:
            together = await self._placer.place(attrs.evolve(ask, settled=gathering))
            if not isinstance(together, NoEngine):
                return together
        only_by_line = self._asker.only_by_line(accepted.service)
        reads = isinstance(step, PlaceAttempt) and (step.prefer is None or only_by_line)
        if reads and self._asker.has_line(accepted.service):
            need = _line_need(accepted, life, self._timers.now)
            outcome = await self._asker.place(ask, need)
            if isinstance(outcome, Placed):
                return replace(outcome, by_line=True)
            if outcome is not None:
                return outcome
            if only_by_line:
                return NoEngine()
        return await self._placer.place(ask)

    def _gathering(
        self, accepted: Accepted, step: PlaceAttempt | ResumeFromCopy, ask: PlacementRequest
    ) -> str | None:
        """Return the engine where the returns of a request are together, if it ends engines."""
        if isinstance(step, ResumeFromCopy):
            return None
        return self._crashes.gathering_place(accepted, avoid=ask.avoid, version=ask.version)

    def _held(self, accepted: Accepted, life: StreamLifecycle) -> frozenset[str]:
        """Return the engines that take no more for now."""
        serving = self._beliefs.targets.serving(accepted.service, version=_version_of(life))
        return self._words.held(serving, need=stream_need(accepted, life))

    def _attempt(
        self,
        accepted: Accepted,
        life: StreamLifecycle,
        step: PlaceAttempt | ResumeFromCopy,
        engine: ListedTarget,
        placed: Placed,
    ) -> AttemptPlan:
        ask = generation_ask(accepted)
        copy_from = step.copy if isinstance(step, ResumeFromCopy) else None
        is_read = copy_from is not None or (
            isinstance(step, PlaceAttempt) and engine.id == step.prefer
        )
        copy_to = self._beliefs.targets.find(placed.copy_to) if placed.copy_to else None
        run = EngineRun(
            request=accepted.request_id,
            vm=self._vm,
            engine=engine.id,
            service=accepted.service,
            engine_started_ms=engine.started_ms,
            prompt_tokens=RESUMED_PROMPT_TOKENS if is_read else ask.prompt_tokens,
            memory_tokens=ask.prompt_tokens + ask.output_tokens,
            part=ask.own_part,
            fingerprint=accepted.fingerprint,
            copy=_growing_copy(accepted, copy_to) if copy_to else None,
            version=engine.version,
            model=ask.model,
            shared=ask.shared_parts[:MAX_SHARED],
            begun_by=life.origin.request if life.origin is not None else None,
        )
        expected = f"a first event is expected in {placed.expected_s:.2f} s"
        return AttemptPlan(
            engine=engine,
            run=run,
            copy_to=copy_to,
            copy_from=copy_from,
            limits=self._beliefs.engine_limits(accepted.service),
            by_line=placed.by_line,
            reason=f"copy {copy_from.name} is there" if copy_from else expected,
        )

    def _holder_of(self, copy: RunCopy, version: str | None) -> ListedTarget | None:
        """Return the engine that holds a copy, if it takes work and still has it."""
        targets = self._beliefs.targets
        holder = targets.find(copy.holder)
        if holder is None or not targets.takes_work(copy.holder, version=version):
            return None
        if copy.is_lost(holder.id, holder.started_ms):
            return None
        if self._beliefs.book.avoidance.is_avoided(copy.holder, self._timers.now):
            return None
        if self._words.rests(copy.holder):
            return None
        return holder


def generation_ask(accepted: Accepted) -> GenerationAsk:
    """Return what a request asks of an engine; of one that says nothing, nothing."""
    return accepted.caller.ask or NO_ASK


def stream_need(accepted: Accepted, life: StreamLifecycle) -> float:
    """Return the permits that must be saved at an engine in need before it gets a stream."""
    return required_permits(
        priority=accepted.priority, begun=life.position is not None, first=life.sent_attempts == 0
    )


def _run_ask(
    accepted: Accepted, life: StreamLifecycle, step: PlaceAttempt | ResumeFromCopy, *, copies: bool
) -> PlacementRequest:
    """Return what an attempt needs; ``copies`` tells whether engines copy runs as they grow."""
    ask = generation_ask(accepted)
    is_new = not life.sent_attempts and not life.position
    asked = PlacementRequest(
        request=accepted.request_id,
        service=accepted.service,
        prompt_tokens=ask.prompt_tokens,
        memory_tokens=ask.prompt_tokens + ask.output_tokens,
        part=ask.own_part,
        repeat=life.sent_attempts > 0,
        copies=copies and accepted.route.repeatable,
        on_trial=accepted.on_trial and is_new,
        version=_version_of(life),
        allowed_s=accepted.route.timeout_s if is_new else None,
    )
    if isinstance(step, ResumeFromCopy):
        return attrs.evolve(asked, settled=step.copy.holder)
    return attrs.evolve(
        asked,
        avoid=tuple(sorted(step.avoid)),
        prefer=step.prefer,
        crowd=step.after_loss or accepted.caller.last_event_id is not None,
    )


def _version_of(life: StreamLifecycle) -> str | None:
    """Return the version at which a stream must go on, or None if it may begin anywhere."""
    return life.origin.version if life.origin is not None else None


def _line_need(accepted: Accepted, life: StreamLifecycle, now: float) -> LineNeed:
    return LineNeed(
        rank=accepted.priority,
        waited_s=now - accepted.arrived,
        first_event_in_s=accepted.arrived + accepted.route.objective_s - now,
        end_in_s=accepted.left_s(now),
        broken_off=life.response_started or bool(life.position),
        refusable=not life.possible_runs and not life.position,
    )


def _tell_no_place(
    life: StreamLifecycle, step: PlaceAttempt | ResumeFromCopy, outcome: Placed | NoEngine
) -> None:
    if isinstance(step, ResumeFromCopy):
        life.discard_copy()
    elif isinstance(outcome, Placed):
        life.record_unreachable(outcome.engine, "it is not listed here")
    else:
        life.record_no_engine()


def _growing_copy(accepted: Accepted, holder: ListedTarget) -> RunCopy:
    return RunCopy(
        holder=holder.id,
        address=holder.address,
        name=accepted.request_id,
        holder_started_ms=holder.started_ms,
    )
