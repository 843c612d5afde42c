"""The generations of this VM: new ones, callers that come back, and finished answers."""

from __future__ import annotations

import random
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import attrs
import trio

from lagoonlever.config.options import option
from lagoonlever.decisions.admission.held_memory import MemoryAccount, usual_account
from lagoonlever.decisions.streams.generation import GenerationLifecycle
from lagoonlever.decisions.streams.generation_messages import (
    GenerationLimits,
    GenerationSpec,
    ResumePoint,
)
from lagoonlever.decisions.streams.resume import resume_point_from_held
from lagoonlever.entry.callers.callers import CallerDirectory
from lagoonlever.entry.callers.completion_checks import (
    check_allowed,
    check_event_of,
    check_same_request,
)
from lagoonlever.entry.callers.completion_documents import NoMemoryLeft
from lagoonlever.entry.callers.completion_outcomes import respond_outcome
from lagoonlever.entry.callers.completions_api import (
    CompletionCall,
    may_have_run,
    read_call,
)
from lagoonlever.entry.callers.request_metrics import RequestMetrics
from lagoonlever.entry.callers.stream import (
    HELD_IS_VOID,
    CallerStream,
    stream_while_present,
)
from lagoonlever.entry.engines.engines import Engines
from lagoonlever.entry.generations.held_requests import HeldRequests, RequestKey
from lagoonlever.entry.generations.task import GenerationTask
from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.exchange import Exchange
from lagoonlever.identity import EventId
from lagoonlever.outcomes import NotRun, Outcome, Reason, Unknown
from lagoonlever.timers import Tick

AT_CAPACITY = NotRun(
    reason=Reason.OVERLOADED,
    message="this VM has as many requests as it may",
    retry_after_s=1.0,
    status=HTTPStatus.TOO_MANY_REQUESTS,
)


NO_MEMORY = NotRun(
    reason=Reason.OVERLOADED,
    message="there is no memory left for the request",
    retry_after_s=1.0,
    status=HTTPStatus.SERVICE_UNAVAILABLE,
)


@attrs.frozen(kw_only=True)
class GenerationSettings:
    """Bounds on the generations of one VM."""

    caller_return_s: float = option(
        default=15.0,
        at_least=0,
        doc="How long a generation goes on after its caller's connection was lost.",
    )
    answer_kept_s: float = option(
        default=120.0, at_least=0, doc="How long a finished answer can be fetched again."
    )
    answers_kept: int = option(
        default=2000, at_least=1, doc="How many finished answers are kept at most."
    )
    tokens_kept: int = option(
        default=1_000_000, at_least=0, doc="Tokens of finished answers that are kept at most."
    )
    attempts: int = option(default=8, at_least=1, doc="Attempts at engines for one request.")
    running: int = option(
        default=2000, at_least=1, doc="Generations of this VM at one time, queued ones included."
    )


class Peers(Protocol):
    """The other VMs, as far as generations need them."""

    def taken_over(self, vm: str, *, organisation: str, request_id: str, attempt: int) -> None:
        """Tell the VM that served a caller before that this one does so now."""


class ResumePoints(Protocol):
    """Where else a request's released tokens may be known."""

    async def find(self, spec: GenerationSpec, last: EventId) -> ResumePoint | None:
        """Give what is known of a request that another VM began."""


@attrs.define(kw_only=True)
class GenerationService:
    """Answers the completion requests of callers; owns one task a request."""

    _settings: GenerationSettings
    _callers: CallerDirectory
    _engines: Engines
    _rng: random.Random
    _background: trio.Nursery
    _resume_points: ResumePoints
    _peers: Peers
    _refusal: Callable[[], Outcome | None]
    """Gives why this VM takes no new work now, or None."""
    _moved_to: Callable[[], tuple[str, ...] | None]
    _pause_since_last_tick: Callable[[], float]
    _metrics: RequestMetrics
    _vm: str = ""
    _memory: MemoryAccount = attrs.field(factory=usual_account)
    _tasks: dict[RequestKey, GenerationTask] = attrs.field(factory=dict)
    _held: HeldRequests = attrs.field(init=False)

    @_held.default
    def _make_held(self) -> HeldRequests:
        return HeldRequests(account=self._memory, forget=self._forget)

    @property
    def tasks(self) -> tuple[GenerationTask, ...]:
        """The requests that are running or whose answers are kept."""
        return tuple(self._tasks.values())

    @property
    def running(self) -> int:
        """How many requests are not over."""
        return sum(1 for task in self._tasks.values() if task.finished is None)

    async def refuse_by_head(self, exchange: Exchange) -> bool:
        """Raise ``RequestRefused`` for a caller that nobody knows, before its body is read."""
        self._callers.organisation_of(exchange.request.headers)
        return False

    async def handle(self, exchange: Exchange) -> None:
        """Answer ``POST /v1/completions``; raises ``RequestRefused`` for a wrong request."""
        organisation = self._callers.organisation_of(exchange.request.headers)
        try:
            call = read_call(
                exchange.request, organisation=organisation, rng=self._rng, memory=exchange
            )
        except NoMemoryLeft:
            await respond_outcome(exchange, _no_memory(exchange), rng=self._rng)
            return
        refusal = self._refusal()
        task = self._known(organisation, call.spec.request_id)
        if task is None and refusal is not None:
            await self._refuse(exchange, call, refusal)
            return
        if task is not None:
            check_same_request(task.spec, call.spec)
        else:
            task = await self._begin(exchange, call)
        if task is not None:
            await self._give(exchange, call, task)

    async def handle_models(self, exchange: Exchange) -> None:
        """Answer ``GET /v1/models`` in the format that clients of completions know."""
        models = sorted(self._engines.models())
        data = [{"id": name, "object": "model", "owned_by": "lagoonlever"} for name in models]
        await exchange.respond_json(status=HTTPStatus.OK, payload={"object": "list", "data": data})

    def wake_callers(self) -> None:
        """Have every caller's stream look again whether it should move."""
        for task in self._tasks.values():
            task.wake()

    def ends_known(self) -> None:
        """Have each request look whether it is one that ends engines."""
        for task in list(self._tasks.values()):
            task.ends_known()

    def find(self, organisation: str, request_id: str) -> GenerationTask | None:
        """Give the task of a request, running or kept."""
        return self._tasks.get((organisation, request_id))

    def taken_over(self, *, organisation: str, request_id: str, attempt: int) -> None:
        """Let go of a request whose caller another VM serves now."""
        task = self._drop((organisation, request_id))
        if task is not None:
            task.taken_over(attempt)

    def on_tick(self, tick: Tick) -> None:
        """Give up requests whose caller stayed away, and drop answers kept long enough."""
        if tick.paused_s:
            self._let_go_of_absent()
        for key, task in list(self._tasks.items()):
            if task.ended_at is not None and self._is_old(task, tick.now):
                self._drop(key)
            elif self._is_orphan(task, tick.now):
                task.abandon(reason=Reason.CANCELLED, message="the caller did not come back")
            else:
                self._pay(key, task)
        self._drop_beyond_bound()

    def _known(self, organisation: str, request_id: str) -> GenerationTask | None:
        """Give the task that answers a request, dropping one that was not run.

        Guards against an old refusal: its caller was told when to come back, and
        would get the kept refusal again under its key for as long as answers are kept.
        """
        task = self.find(organisation, request_id)
        if task is None or task.finished is None:
            return task
        if not isinstance(task.finished.outcome, NotRun):
            return task
        self._drop((organisation, request_id))
        return None

    async def _begin(self, exchange: Exchange, call: CompletionCall) -> GenerationTask | None:
        """Give the task of a request that this VM does not know; None where it was refused."""
        check_allowed(
            call.spec,
            settings=self._callers.settings_of(call.spec.organisation),
            served_models=self._engines.models(),
        )
        barred = self._engines.refusal(call.spec)
        if barred is not None:
            await self._refuse(exchange, call, barred)
            return None
        if self.running >= self._settings.running:
            await self._refuse(exchange, call, AT_CAPACITY)
            return None
        if not self._held.can_ever_hold(call.spec):
            raise RequestRefused(
                status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                field="prompt",
                message="takes more memory than this VM has for a request",
            )
        if call.last_event_id is None:
            task = self._start(call.spec)
            if task is None:
                await self._refuse(exchange, call, _no_memory(exchange))
            return task
        last = EventId.parse(call.last_event_id)
        check_event_of(call.spec, last)
        return await self._resume(exchange, call, last)

    async def _resume(
        self, exchange: Exchange, call: CompletionCall, last: EventId
    ) -> GenerationTask | None:
        """Continue a request that another VM began, or refuse it and give None.

        Where its tokens are lost, a new generation begins if the caller can tell
        it from the one it holds.
        """
        point = resume_point_from_held(call.spec, call.held, last)
        if point is None:
            point = await self._resume_points.find(call.spec, last)
        if point is None and last.offset and not call.spec.accepts_restart:
            await self._refuse(exchange, call, HELD_IS_VOID)
            return None
        # While the tokens were fetched, the caller may have connected once more.
        current = self.find(call.spec.organisation, call.spec.request_id)
        if current is not None:
            return current
        first_generation = last.generation + 1 if last.offset else last.generation
        task = self._start(call.spec, point=point, first_generation=first_generation)
        if task is None:
            await self._refuse(exchange, call, _no_memory(exchange))
            return None
        self._peers.taken_over(
            last.vm,
            organisation=call.spec.organisation,
            request_id=call.spec.request_id,
            attempt=last.attempt,
        )
        return task

    async def _refuse(self, exchange: Exchange, call: CompletionCall, outcome: Outcome) -> None:
        """Refuse a request; one that was begun at another VM is never told "not run"."""
        if isinstance(outcome, NotRun) and call.last_event_id is not None:
            outcome = _unknown(outcome)
        self._metrics.refused(call.spec.organisation, outcome)
        await respond_outcome(exchange, outcome, rng=self._rng)

    def _start(
        self,
        spec: GenerationSpec,
        *,
        point: ResumePoint | None = None,
        first_generation: int = 1,
    ) -> GenerationTask | None:
        """Begin a request; None if there is no memory for it."""
        key = (spec.organisation, spec.request_id)
        if not self._held.open(key, spec):
            return None
        options = self._callers.settings_of(spec.organisation)
        allowed_s = options.deadline_s
        spec = attrs.evolve(spec, deadline_s=min(allowed_s, spec.deadline_s or allowed_s))
        life = GenerationLifecycle(
            spec=spec,
            limits=GenerationLimits(attempts=self._settings.attempts),
            rng=self._rng,
            resume_point=point,
            first_generation=first_generation,
            vm=self._vm,
        )
        task = GenerationTask(
            life=life,
            engines=self._engines,
            hedges=options.hedge_resumes,
            priority=options.priority,
            may_begin=lambda: self._may_begin(task),
            observe=self._metrics.observer_of(spec, continues=point is not None),
        )
        self._tasks[key] = task
        self._background.start_soon(task.run)
        return task

    async def _give(self, exchange: Exchange, call: CompletionCall, task: GenerationTask) -> None:
        stream = CallerStream(
            exchange=exchange, task=task, call=call, rng=self._rng, moved_to=self._moved_to
        )
        task.reader_left_at = None
        self._held.resume((task.spec.organisation, task.spec.request_id))
        whole = await stream_while_present(stream, exchange)
        if task.reader is not exchange:
            return
        task.reader = None
        task.reader_left_at = trio.current_time()
        if not whole and not call.resumable and task.finished is None:
            task.abandon(reason=Reason.CANCELLED, message="the caller left")
        self._pay((task.spec.organisation, task.spec.request_id), task)

    def _pay(self, key: RequestKey, task: GenerationTask) -> None:
        """Have a request pay for what it holds now, or give it up if there is no memory."""
        if self._tasks.get(key) is not task:
            return
        if task.finished is not None and task.reader is None:
            self._held.keep(key, task.life)
        elif task.finished is None and not self._held.settle(key, task.life):
            task.abandon(reason=Reason.OVERLOADED, message=NO_MEMORY.message)

    def _drop(self, key: RequestKey) -> GenerationTask | None:
        """Forget a request, and return its task if it was known."""
        self._held.close(key)
        return self._tasks.pop(key, None)

    def _forget(self, key: RequestKey) -> None:
        """Forget a kept answer for which there is no memory any more."""
        self._tasks.pop(key, None)

    def _may_begin(self, task: GenerationTask) -> bool:
        """Tell whether an attempt may still be written.

        Guards against a VM that was paused between a decision and its write: the
        caller has gone to another VM, which has its stream, and a second attempt
        would do its work again for nobody. Its closed connection shows that.
        """
        if not self._pause_since_last_tick():
            return True
        reader = task.reader
        return reader is not None and reader.caller_present()

    def _let_go_of_absent(self) -> None:
        """After a pause: leave the streams of callers that have gone, uncancelled.

        Another VM may read on these very streams. Where none does, the stream ends
        by its length.
        """
        for key, task in list(self._tasks.items()):
            if task.finished is None and (task.reader is None or not task.reader.caller_present()):
                self._drop(key)
                task.hand_over()

    def _is_old(self, task: GenerationTask, now: float) -> bool:
        if task.reader is not None or task.ended_at is None:
            return False
        return now - max(task.ended_at, task.reader_left_at or 0) > self._settings.answer_kept_s

    def _is_orphan(self, task: GenerationTask, now: float) -> bool:
        if task.finished is not None or task.reader is not None or task.reader_left_at is None:
            return False
        return now - task.reader_left_at > self._settings.caller_return_s

    def _drop_beyond_bound(self) -> None:
        """Drop the oldest kept answers, so that few long ones take no more than many short."""
        kept = [key for key, task in self._tasks.items() if task.ended_at is not None]
        tokens = sum(self._tasks[key].life.released_tokens for key in kept)
        for left, key in zip(range(len(kept), 0, -1), kept, strict=True):
            if left <= self._settings.answers_kept and tokens <= self._settings.tokens_kept:
                return
            tokens -= self._tasks[key].life.released_tokens
            self._drop(key)


def _no_memory(exchange: Exchange) -> Outcome:
    """Return the outcome of a request that there is no memory to read.

    One that its caller may have sent before is never told "not run".
    """
    if not may_have_run(exchange.request.headers):
        return NO_MEMORY
    return _unknown(NO_MEMORY)


def _unknown(refusal: NotRun) -> Unknown:
    return Unknown(
        reason=refusal.reason,
        message=refusal.message,
        retry_after_s=refusal.retry_after_s,
        status=refusal.status,
    )
