"""Serves streams: events of an engine, resumed at another one when an engine is lost."""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.run_placement import Overloaded, RetryBudgetExhausted
from lagoonlever.decisions.streams.stream_lifecycle import GiveUp, StreamLifecycle, WaitForEngine
from lagoonlever.gateway import events, events_streams
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.answers import tell
from lagoonlever.gateway.attempt_planner import AttemptPlanner, generation_ask
from lagoonlever.gateway.attempt_tools import AttemptTools
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.callers_leaving import cancel_when_gone
from lagoonlever.gateway.peers import PeerExchange
from lagoonlever.gateway.placer import Placer
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


@attrs.define(kw_only=True, eq=False)
class Streams:
    """Relays each stream, and goes on at another engine after a loss."""

    _beliefs: Beliefs
    _peers: PeerExchange
    _tools: AttemptTools
    _admission: StreamAdmission
    _placer: Placer
    _planner: AttemptPlanner

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
                whole = life.complete
            except CallerGone:
                self._ended(accepted, life, 0, "caller-gone", life.detail)
                raise
            finally:
                if life.sent_attempts:
                    self._peers.end(self._ended_run(accepted, life, whole=whole))

    def _ended_run(self, accepted: Accepted, life: StreamLifecycle, *, whole: bool) -> RunEnded:
        """Give the end of a run, with the pace that its last engine has shown."""
        event_s = life.timing.undisturbed_event_s()
        event_tokens = self._beliefs.engine_limits(accepted.service).event_tokens
        return RunEnded(
            request=accepted.request_id,
            whole=whole,
            token_s=None if event_s is None else event_s / event_tokens,
            slowdown=life.timing.slowdown(),
            tokens=(life.position or 0) * event_tokens,
        )

    def _is_gone(self, accepted: Accepted, life: StreamLifecycle) -> bool:
        if life.complete:
            return False
        self._ended(accepted, life, 0, "caller-gone", life.detail)
        return True

    async def _new_life(self, accepted: Accepted) -> StreamLifecycle:
        """Begin a stream; a caller that returns goes on where its last run left a copy."""
        part = generation_ask(accepted).own_part
        copy: RunCopy | None = None
        prefer: str | None = None
        if part is not None:
            returning = accepted.caller.last_event_id is not None
            former = await self._placer.former_run(part, accepted.service, returning=returning)
            prefer = former.kept_at
            if former.run is not None:
                copy = former.run.copy
                prefer = former.run.engine if self._is_same_process(former.run) else None
        if accepted.caller.last_event_id:
            self._log_taken_up(accepted)
        return StreamLifecycle.for_reconnect(
            repeatable=accepted.route.repeatable,
            max_attempts=accepted.route.max_attempts,
            position=accepted.caller.last_event_id,
            copy=copy,
            prefer=prefer,
        )

    def _log_taken_up(self, accepted: Accepted) -> None:
        began = self._beliefs.book.find_run(accepted.caller.resumes or "")
        engine = self._beliefs.targets.find(began.engine) if began is not None else None
        events_streams.STREAM_TAKEN_UP.log(
            log,
            request=accepted.request_id,
            resumes=accepted.caller.resumes,
            position=accepted.caller.last_event_id,
            version=engine.version if engine is not None else None,
            source="the book of runs" if engine is not None else "nobody",
        )

    def _is_same_process(self, run: EngineRun) -> bool:
        """Tell whether the engine of a run is still the process that read its prompt."""
        engine = self._beliefs.targets.find(run.engine)
        return engine is not None and not engine.is_later_than(run.engine_started_ms)

    async def _serve(self, accepted: Accepted, life: StreamLifecycle) -> None:
        gave_up: GiveUp | None = None
        with trio.move_on_at(accepted.deadline):
            gave_up = await self._steps(accepted, life)
        if life.complete:
            self._ended(accepted, life, OK, "done", life.detail)
            return
        if life.response_started:
            self._ended(accepted, life, OK, "failed", gave_up.detail if gave_up else "time is over")
            return
        outcome = self._outcome(accepted, life, gave_up)
        self._ended(accepted, life, int(outcome.status), outcome.tag.value, outcome.message)
        await tell(accepted.exchange, outcome)

    async def _steps(self, accepted: Accepted, life: StreamLifecycle) -> GiveUp | None:
        while not life.complete:
            step = life.next_step()
            if isinstance(step, GiveUp):
                return step
            refusal = self._admission.refusal(accepted, life, step)
            if refusal is not None:
                return refusal
            if not life.possible_runs and self._tools.words.all_rest(accepted.service):
                return GiveUp(may_have_run=False, detail="all engines have asked for rest")
            if isinstance(step, WaitForEngine):
                await trio.sleep(step.seconds)
                continue
            plan = await self._planner.plan(accepted, life, step)
            if isinstance(plan, Overloaded):
                return self._admission.overloaded(accepted, plan)
            if isinstance(plan, RejectedWithRetryAfter):
                return self._admission.turned_away(plan)
            if isinstance(plan, RetryBudgetExhausted):
                events.REPEAT_WAITS.log(log, request=accepted.request_id, service=accepted.service)
                await trio.sleep(BUDGET_RETRY_S)
                continue
            if plan is None:
                continue
            await StreamAttempt(
                accepted=accepted,
                life=life,
                plan=plan,
                tools=self._tools,
                peers=self._peers,
                placer=self._placer,
            ).run()
            barred = self._tools.crashes.refusal(accepted)
            if barred is not None and not life.complete:
                return GiveUp(
                    may_have_run=life.possible_runs > 0,
                    detail=barred.message,
                    retry_after_s=barred.retry_after_s,
                )
        return None

    def _outcome(
        self, accepted: Accepted, life: StreamLifecycle, gave_up: GiveUp | None
    ) -> NotRun | Unknown:
        if gave_up is None and life.possible_runs:
            return Unknown(reason=Reason.DEADLINE, message=life.detail or "time is over")
        if gave_up is not None and gave_up.may_have_run:
            return Unknown(reason=Reason.CONNECTION_LOST, message=gave_up.detail, status=502)
        detail = gave_up.detail if gave_up else "its time was over before it was sent"
        told_s = gave_up.retry_after_s if gave_up else None
        told_s = told_s or self._tools.words.come_back_s(accepted.service)
        return NotRun(reason=Reason.NO_TARGET, message=detail, retry_after_s=told_s or COME_BACK_S)

    def _ended(
        self, accepted: Accepted, life: StreamLifecycle, status: int, outcome: str, detail: str
    ) -> None:
        ending = Ending(status=status, outcome=outcome, detail=detail)
        self._tools.reporter.stream_ended(accepted, ending, life)
