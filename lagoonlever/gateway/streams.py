"""Serves streams: events of an engine, resumed at another one when an engine is lost."""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.booked_runs import BookedRun, RunCopy
from lagoonlever.decisions.configuration import EngineLimits
from lagoonlever.decisions.stream_life import (
    GiveUp,
    Place,
    ResumeFrom,
    StreamLife,
    WaitForEngine,
)
from lagoonlever.decisions.target_registry import ListedTarget
from lagoonlever.gateway import events
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.answers import tell
from lagoonlever.gateway.attempt_tools import AttemptPlan, AttemptTools
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.cache_locator import CacheLocator
from lagoonlever.gateway.callers_leaving import cancel_when_gone
from lagoonlever.gateway.messages import NO_ASK, GenerationAsk
from lagoonlever.gateway.peers import PeerExchange
from lagoonlever.gateway.reporter import Ending
from lagoonlever.gateway.stream_admission import StreamAdmission
from lagoonlever.gateway.stream_attempt import StreamAttempt
from lagoonlever.http.server import CallerGone
from lagoonlever.nurseries import open_work_nursery
from lagoonlever.outcomes import NotRun, Reason, Unknown
from lagoonlever.peers.messages_gateway import RunEnded

log = logbook.Logger(__name__)

OK = 200
COME_BACK_S = 0.3
BUDGET_RETRY_S = 0.1
"""While the budget of repeats is spent: the window slides, and each request adds to it."""
RESUMED_PROMPT_TOKENS = 200
"""What an engine reads of a run that goes on from a copy: what had not arrived yet."""


@attrs.define(kw_only=True, eq=False)
class Streams:
    """Relays each stream, and goes on at another engine after a loss."""

    _vm: str
    _beliefs: Beliefs
    _peers: PeerExchange
    _tools: AttemptTools
    _admission: StreamAdmission
    _locator: CacheLocator = attrs.field(factory=CacheLocator)

    async def serve(self, accepted: Accepted) -> None:
        """Give the caller the events of an engine until the last, or tell why there are none."""
        life = await self._new_life(accepted)
        whole = False
        async with open_work_nursery() as nursery:
            nursery.start_soon(
                cancel_when_gone,
                accepted.exchange,
                nursery.cancel_scope,
                lambda: self._is_gone(accepted, life),
            )
            try:
                await self._serve(accepted, life)
                whole = life.whole
            except CallerGone:
                self._ended(accepted, life, 0, "caller-gone", life.detail)
                raise
            finally:
                if life.sent:
                    self._peers.end(self._ended_run(accepted, life, whole=whole))

    def _ended_run(self, accepted: Accepted, life: StreamLife, *, whole: bool) -> RunEnded:
        """Give the end of a run, with the pace that its last engine has shown."""
        event_s = life.pace.event_s()
        event_tokens = self._beliefs.engine_limits(accepted.service).event_tokens
        return RunEnded(
            request=accepted.request_id,
            whole=whole,
            token_s=None if event_s is None else event_s / event_tokens,
            slowdown=life.pace.slowdown(),
            tokens=(life.position or 0) * event_tokens,
        )

    def _is_gone(self, accepted: Accepted, life: StreamLife) -> bool:
        if life.whole:
            return False
        self._ended(accepted, life, 0, "caller-gone", life.detail)
        return True

    async def _new_life(self, accepted: Accepted) -> StreamLife:
        """Begin a stream; a caller that returns goes on where its last run left a copy."""
        part = _ask(accepted).own_part
        former = self._beliefs.book.last_run_of(part) if part else None
        copy: RunCopy | None = None
        prefer: str | None = None
        if former is not None and former.flowing:
            copy = former.copy
            prefer = former.engine if self._is_same_process(former) else None
        elif part is not None and accepted.caller.last_event_id is not None:
            prefer = await self._locator.find(part, self._serving(accepted.service))
        return StreamLife.returning(
            repeatable=accepted.route.repeatable,
            max_attempts=accepted.route.max_attempts,
            position=accepted.caller.last_event_id,
            copy=copy,
            prefer=prefer,
        )

    def _is_same_process(self, run: BookedRun) -> bool:
        """Tell whether the engine of a run is still the process that read its prompt."""
        engine = self._beliefs.targets.find(run.engine)
        return engine is not None and not engine.has_started_again(run.engine_started_ms)

    async def _serve(self, accepted: Accepted, life: StreamLife) -> None:
        gave_up: GiveUp | None = None
        with trio.move_on_at(accepted.deadline):
            gave_up = await self._steps(accepted, life)
        if life.whole:
            self._ended(accepted, life, OK, "done", life.detail)
            return
        if life.begun:
            self._ended(accepted, life, OK, "failed", gave_up.detail if gave_up else "time is over")
            return
        outcome = self._outcome(life, gave_up)
        self._ended(accepted, life, int(outcome.status), outcome.tag.value, outcome.message)
        await tell(accepted.exchange, outcome)

    async def _steps(self, accepted: Accepted, life: StreamLife) -> GiveUp | None:
        while not life.whole:
            step = life.next_step()
            if isinstance(step, GiveUp):
                return step
            refusal = self._admission.refusal(accepted, life, step)
            if refusal is not None:
                return refusal
            if isinstance(step, WaitForEngine):
                await trio.sleep(step.seconds)
                continue
            if not self._may_send(accepted, life):
                await trio.sleep(BUDGET_RETRY_S)
                continue
            plan = self._plan(accepted, life, step)
            if plan is None:
                continue
            await StreamAttempt(
                accepted=accepted, life=life, plan=plan, tools=self._tools, peers=self._peers
            ).run()
        return None

    def _may_send(self, accepted: Accepted, life: StreamLife) -> bool:
        """Tell whether an attempt is within the budget of repeats that all VMs share."""
        if not life.sent:
            return True
        window = self._tools.budgets.of_runs(accepted.service)
        if window.allows(self._now, vms=1):
            return True
        events.REPEAT_WAITS.log(log, request=accepted.request_id, service=accepted.service)
        return False

    def _plan(
        self, accepted: Accepted, life: StreamLife, step: Place | ResumeFrom
    ) -> AttemptPlan | None:
        """Choose the engine of an attempt, and the engine that is to hold its copy."""
        limits = self._beliefs.engine_limits(accepted.service)
        ask = _ask(accepted)
        if isinstance(step, ResumeFrom):
            engine = self._copy_holder(step.copy)
            if engine is None:
                life.copy_unusable()
                return None
            reason, prompt_tokens = f"copy {step.copy.name} is there", RESUMED_PROMPT_TOKENS
        else:
            placement = self._beliefs.book.place(
                self._serving(accepted.service),
                limits=limits,
                prompt_tokens=ask.prompt_tokens,
                memory_tokens=ask.prompt_tokens + ask.output_tokens,
                now=self._now,
                avoid=step.avoid,
                prefer=step.prefer,
                crowd=step.after_loss or accepted.caller.last_event_id is not None,
            )
            if placement is None:
                life.no_engine()
                return None
            engine, prompt_tokens = placement.engine, ask.prompt_tokens
            if engine.id == step.prefer:
                prompt_tokens = RESUMED_PROMPT_TOKENS
            reason = f"a first event is expected in {placement.expected_s:.2f} s"
        copy_to = self._copy_to(accepted, engine, limits, ask)
        run = BookedRun(
            request=accepted.request_id,
            vm=self._vm,
            engine=engine.id,
            service=accepted.service,
            engine_started_ms=engine.started_ms,
            prompt_tokens=prompt_tokens,
            memory_tokens=ask.prompt_tokens + ask.output_tokens,
            part=ask.own_part,
            copy=_growing_copy(accepted, copy_to) if copy_to else None,
        )
        return AttemptPlan(
            engine=engine,
            run=run,
            copy_to=copy_to,
            copy_from=step.copy if isinstance(step, ResumeFrom) else None,
            limits=limits,
            reason=reason,
        )

    def _copy_holder(self, copy: RunCopy) -> ListedTarget | None:
        targets = self._beliefs.targets
        holder = targets.find(copy.holder)
        if holder is None or not targets.takes_work(copy.holder):
            return None
        if copy.is_void(holder.id, holder.started_ms):
            return None
        if self._beliefs.book.avoidance.is_avoided(copy.holder, self._now):
            return None
        return holder

    def _copy_to(
        self, accepted: Accepted, engine: ListedTarget, limits: EngineLimits, ask: GenerationAsk
    ) -> ListedTarget | None:
        if not limits.copies or not accepted.route.repeatable:
            return None
        return self._beliefs.book.place_copy(
            self._serving(accepted.service),
            limits=limits,
            beside=engine,
            memory_tokens=ask.prompt_tokens + ask.output_tokens,
            now=self._now,
        )

    def _serving(self, service: str) -> list[ListedTarget]:
        return list(self._beliefs.targets.serving(service))

    @property
    def _now(self) -> float:
        return self._tools.timers.now

    def _outcome(self, life: StreamLife, gave_up: GiveUp | None) -> NotRun | Unknown:
        if gave_up is None and life.runs:
            return Unknown(reason=Reason.DEADLINE, message=life.detail or "time is over")
        if gave_up is not None and gave_up.may_have_run:
            return Unknown(reason=Reason.CONNECTION_LOST, message=gave_up.detail, status=502)
        detail = gave_up.detail if gave_up else "its time was over before it was sent"
        told_s = gave_up.retry_after_s if gave_up else None
        return NotRun(reason=Reason.NO_TARGET, message=detail, retry_after_s=told_s or COME_BACK_S)

    def _ended(
        self, accepted: Accepted, life: StreamLife, status: int, outcome: str, detail: str
    ) -> None:
        ending = Ending(status=status, outcome=outcome, detail=detail)
        self._tools.reporter.stream_ended(accepted, ending, life)


def _growing_copy(accepted: Accepted, holder: ListedTarget) -> RunCopy:
    return RunCopy(
        holder=holder.id,
        address=holder.address,
        name=accepted.request_id,
        holder_started_ms=holder.started_ms,
    )


def _ask(accepted: Accepted) -> GenerationAsk:
    return accepted.caller.ask or NO_ASK
