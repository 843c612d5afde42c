"""Serves streams: events of an engine, resumed at another one when an engine is lost."""

from __future__ import annotations

import attrs
import logbook
import trio

from lagoonlever.decisions.admission.capacity import RejectedWithRetryAfter
from lagoonlever.decisions.streams.engine_runs import EngineRun, RunCopy
from lagoonlever.decisions.streams.run_placement import Overloaded, RetryBudgetExhausted
from lagoonlever.decisions.streams.stream_lifecycle import GiveUp, StreamLifecycle, WaitForEngine
from lagoonlever.decisions.streams.stream_origins import StreamOrigin
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.gateway import events, events_streams, metrics
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.answers import tell
from lagoonlever.gateway.attempt_planner import AttemptPlanner, generation_ask
from lagoonlever.gateway.attempt_tools import AttemptTools
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.callers_leaving import cancel_when_gone
from lagoonlever.gateway.origin_finder import FoundOrigin, OriginFinder
from lagoonlever.gateway.peers import PeerExchange
from lagoonlever.gateway.placer import Placer
from lagoonlever.gateway.reporter import Ending
from lagoonlever.gateway.stream_admission import StreamAdmission
from lagoonlever.gateway.stream_attempt import StreamAttempt
from lagoonlever.gateway.version_record import VersionRecord
from lagoonlever.http.exchange import CallerGone
from lagoonlever.nurseries import open_work_nursery
from lagoonlever.outcomes import NotRun, Reason, Unknown
from lagoonlever.peers.messages_gateway import RunEnded
from lagoonlever.peers.messages_placement import FormerRun

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
    _origins: OriginFinder
    _versions: VersionRecord

    async def serve(self, accepted: Accepted) -> None:
        """Send the caller the events of an engine until the last, or tell why there are none."""
        found: FoundOrigin | None = None
        if accepted.caller.last_event_id:
            found = await self._origins.find(accepted)
            self._tell_taken_up(accepted, found)
        if found is not None and found.origin.service != accepted.service:
            accepted = _at_service(accepted, found.origin.service)
        life = await self._new_life(accepted, found.origin if found is not None else None)
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
        """Return the end of a run, with the pace that its last engine has shown."""
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

    async def _new_life(self, accepted: Accepted, origin: StreamOrigin | None) -> StreamLifecycle:
        """Create the state of a stream; a caller that returns may resume from its own copy.

        A new request never does, whatever its session left: only what the same request has
        read and written is its own.
        """
        ask = generation_ask(accepted)
        part = ask.own_part
        returning = accepted.caller.last_event_id is not None
        begun_by = accepted.caller.resumes if returning else None
        copy: RunCopy | None = None
        prefer: str | None = None
        if part is not None or begun_by is not None:
            wanted = FormerRun(
                service=accepted.service,
                part=part,
                returning=returning,
                begun_by=begun_by,
                version=origin.version if origin is not None else None,
                fingerprint=accepted.fingerprint if returning else None,
            )
            former = await self._placer.former_run(wanted)
            prefer = former.kept_at
            if former.run is not None:
                if returning:
                    copy = former.run.copy_for(accepted.fingerprint, model=ask.model)
                    self._end_former(former.run, accepted)
                self._log_former(accepted, former.run, copy)
                prefer = former.run.engine if self._is_same_process(former.run) else None
        return StreamLifecycle.for_reconnect(
            repeatable=accepted.route.repeatable,
            max_attempts=accepted.route.max_attempts,
            position=accepted.caller.last_event_id,
            copy=copy,
            prefer=prefer,
            origin=origin,
        )

    def _end_former(self, run: EngineRun, accepted: Accepted) -> None:
        """Have the run of a stream ended whose caller is back here, if its engine goes on with it.

        Guards against two engines that write one stream where the VM before lost its power or
        stands still, so that its connection to the engine stays open.
        """
        engine = self._beliefs.targets.find(run.engine)
        is_same_question = run.fingerprint == accepted.fingerprint
        if engine is not None and is_same_question and self._is_same_process(run):
            self._tools.ender.end_later(run, engine)

    def _tell_taken_up(self, accepted: Accepted, found: FoundOrigin | None) -> None:
        source = found.source.value if found is not None else "nobody"
        self._tools.reporter.tally.add(metrics.STREAMS_TAKEN_UP, source)
        events_streams.STREAM_TAKEN_UP.log(
            log,
            request=accepted.request_id,
            resumes=accepted.caller.resumes,
            position=accepted.caller.last_event_id,
            version=found.origin.version if found is not None else None,
            source=source,
        )

    def _log_former(self, accepted: Accepted, run: EngineRun, copy: RunCopy | None) -> None:
        events_streams.FORMER_RUN.log(
            log,
            request=accepted.request_id,
            former=run.request,
            target=run.engine,
            same=run.fingerprint == accepted.fingerprint,
            position=accepted.caller.last_event_id,
            copy=copy.name if copy is not None else None,
        )

    def _is_same_process(self, run: EngineRun) -> bool:
        """Check whether the engine of a run is still the process that read its prompt."""
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
            reason = Reason.CONNECTION_LOST if gave_up else Reason.DEADLINE
            detail = gave_up.detail if gave_up else "time is over"
            self._ended(accepted, life, OK, "failed", detail, reason=reason)
            return
        outcome = self._outcome(accepted, life, gave_up)
        tag, status = outcome.tag.value, int(outcome.status)
        self._ended(accepted, life, status, tag, outcome.message, reason=outcome.reason)
        await tell(accepted.exchange, outcome)

    async def _steps(self, accepted: Accepted, life: StreamLifecycle) -> GiveUp | None:
        while not life.complete:
            step = life.next_step()
            if isinstance(step, GiveUp):
                return step
            await self._tools.crashes.until_decided(accepted)
            refusal = self._cannot_resume(accepted, life)
            if refusal is None:
                refusal = self._admission.refusal(accepted, life, step)
            if refusal is not None:
                return refusal
            version = life.origin.version if life.origin is not None else None
            all_rest = self._tools.words.all_rest(accepted.service, version=version)
            if not life.possible_runs and all_rest:
                return GiveUp(detail="all engines have asked for rest")
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
            if life.origin is None and await self._versions.until_recorded(plan.engine):
                # Its place may have been taken meanwhile.
                continue
            if life.origin is None and self._beliefs.versions.bars(plan.engine):
                return self._unrecorded(accepted, plan.engine)
            refusal = self._admission.refusal_as_vm_leaves(accepted, life, step)
            if refusal is not None:
                # The wait for a place took the time that this VM had left.
                return refusal
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
                    detail=barred.message,
                    retry_after_s=barred.retry_after_s,
                )
        return None

    def _unrecorded(self, accepted: Accepted, engine: ListedTarget) -> GiveUp:
        """Return why a new stream begins nowhere while the store takes no record of a version."""
        events_streams.VERSION_UNRECORDED.log(
            log, request=accepted.request_id, target=engine.id, version=engine.version
        )
        detail = f"the store takes no record of the software version {engine.version}"
        return GiveUp(detail=detail, retry_after_s=COME_BACK_S)

    def _cannot_resume(self, accepted: Accepted, life: StreamLifecycle) -> GiveUp | None:
        """Return why no engine can go on with a stream, or None if one can or the stream is new."""
        if not life.position and life.origin is None:
            return None
        if life.origin is not None:
            life.origin = life.origin.resolve(self._beliefs.targets)
        detail = self._why_gone(accepted, life.origin)
        if detail is None:
            return None
        events_streams.STREAM_NOT_TAKEN_UP.log(log, request=accepted.request_id, detail=detail)
        may_know_soon = life.origin is None and self._origins.is_starting
        return GiveUp(
            detail=detail,
            retry_after_s=COME_BACK_S if may_know_soon else None,
            begin_anew=not may_know_soon,
        )

    def _why_gone(self, accepted: Accepted, origin: StreamOrigin | None) -> str | None:
        if origin is None or origin.version is None:
            return "nobody knows which software version began the stream"
        if origin.service not in {service.name for service in accepted.route.services}:
            return f"its route does not lead to the service {origin.service} that began it"
        if not self._beliefs.targets.has_version(origin.service, origin.version):
            return f"no engine is left of the software version {origin.version} that began it"
        return None

    def _outcome(
        self, accepted: Accepted, life: StreamLifecycle, gave_up: GiveUp | None
    ) -> NotRun | Unknown:
        if life.possible_runs and gave_up is None:
            return Unknown(reason=Reason.DEADLINE, message=life.detail or "time is over")
        if life.possible_runs and gave_up is not None:
            return Unknown(reason=Reason.CONNECTION_LOST, message=gave_up.detail, status=502)
        detail = gave_up.detail if gave_up else "its time was over before it was sent"
        if gave_up is not None and gave_up.begin_anew:
            return NotRun(reason=Reason.CANNOT_RESUME, message=f"{detail}; begin it anew")
        told_s = gave_up.retry_after_s if gave_up else None
        if gave_up is not None and gave_up.leaving:
            return NotRun(reason=Reason.LEAVING, message=detail, retry_after_s=told_s)
        told_s = told_s or self._tools.words.come_back_s(accepted.service)
        return NotRun(reason=Reason.NO_TARGET, message=detail, retry_after_s=told_s or COME_BACK_S)

    def _ended(
        self,
        accepted: Accepted,
        life: StreamLifecycle,
        status: int,
        outcome: str,
        detail: str,
        *,
        reason: Reason | None = None,
    ) -> None:
        ending = Ending(status=status, outcome=outcome, detail=detail, reason=reason)
        self._tools.reporter.stream_ended(accepted, ending, life)


def _at_service(accepted: Accepted, service: str) -> Accepted:
    """Return a request that goes on at the service that began its stream, if its route allows."""
    allowed = any(each.name == service for each in accepted.route.services)
    return attrs.evolve(accepted, service=service) if allowed else accepted
