"""The task of one generation: it owns the request's state and runs its attempts."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.streams.generation import GenerationLifecycle
from lagoonlever.decisions.streams.generation_messages import (
    CancelAttempt,
    Decision,
    Dispatch,
    FailureCause,
    Finish,
    GenerationSpec,
    Release,
    Restart,
)
from lagoonlever.entry.callers.chunk_reader import EngineRefused
from lagoonlever.entry.engines.engines import Engines, Placement
from lagoonlever.entry.generations.attempt import EngineAttempt
from lagoonlever.events import event
from lagoonlever.exceptions import ConnectFailed, PeerError
from lagoonlever.http.exchange import Exchange
from lagoonlever.outcomes import Done, NotRun, Reason
from lagoonlever.targets.completions import EngineChunk

log = logbook.Logger(__name__)

GENERATION_FAULT = event(
    201,
    "generation-fault",
    "error",
    "Request {request} met a fault within this VM and was given up.",
    "A fault of the system itself; other requests go on. Report it with the lines around.",
)


@attrs.define(kw_only=True)
class _RunningAttempt:
    dispatch: Dispatch
    scope: trio.CancelScope
    placement: Placement | None = None
    opened: bool = False
    cancelled: bool = False
    left: bool = False
    """Its engine is not to blame for its end."""


@attrs.define(kw_only=True, eq=False)
class GenerationTask:
    """Runs one request to its end, whether or not its caller is there."""

    _life: GenerationLifecycle
    _engines: Engines
    _hedges: bool = True
    """Whether to begin elsewhere at the first suspicion."""
    _priority: int = 0
    """Added to the priority that admission gives; engines run lower ones first."""
    _may_begin: Callable[[], bool] = lambda: True
    """Asked right before each write: whether this VM may still act for the caller."""
    _observe: Callable[[Decision], None] = lambda decision: None
    """Told of each decision, for metrics."""
    _running: dict[int, _RunningAttempt] = attrs.field(factory=dict)
    _changed: trio.lowlevel.ParkingLot = attrs.field(factory=trio.lowlevel.ParkingLot)
    _done: trio.Event = attrs.field(factory=trio.Event)
    _nursery: trio.Nursery | None = None
    reader: Exchange | None = None
    """The exchange that the answer goes to now; a later one supersedes it."""
    reader_left_at: float | None = None
    ended_at: float | None = None

    @property
    def life(self) -> GenerationLifecycle:
        """The state, for reading only."""
        return self._life

    @property
    def spec(self) -> GenerationSpec:
        """What the caller asked for."""
        return self._life.spec

    @property
    def finished(self) -> Finish | None:
        """The end, once it is decided."""
        return self._life.finished

    @property
    def let_go(self) -> bool:
        """Whether this VM stopped before the end, because another one serves the caller."""
        return self.ended_at is not None and self._life.finished is None

    async def wait_change(self) -> None:
        """Wait until more is released, or the request is over."""
        await self._changed.park()

    def wake(self) -> None:
        """Wake whoever reads the answer."""
        self._changed.unpark_all()

    async def run(self) -> None:
        """Run until the request is over."""
        try:
            await self._run()
        except Exception:
            # A fault of ours in one request's task would end the VM's background
            # nursery, and with it every other request.
            GENERATION_FAULT.log(log, request=self.spec.request_id, exc_info=True)
            self.abandon(reason=Reason.INTERNAL, message="a fault within the system")
        finally:
            self.ended_at = trio.current_time()
            self._life.drop_prompt()
            self.wake()

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._carry_out(self._life.start())
            with trio.move_on_after(self.spec.deadline_s or float("inf")) as scope:
                await self._done.wait()
            if scope.cancelled_caught:
                self.abandon(reason=Reason.DEADLINE, message="the caller's time is over")
            nursery.cancel_scope.cancel()

    def suspected(self, attempt: int) -> None:
        """Begin a hedge, where the organisation allows it: an attempt's engine seems dead."""
        if self._hedges:
            self._carry_out(self._life.on_engine_suspected(attempt=attempt))

    def declared_dead(self, attempt: int) -> None:
        """Drop an attempt and resume elsewhere: its engine counts as dead."""
        self._stop_attempt(attempt)
        self._carry_out(self._life.on_engine_dead(attempt=attempt))

    def ends_known(self) -> None:
        """Leave engines that have not begun, where the request is known to end them."""
        if self._life.finished is not None or self._life.released_tokens:
            return
        barred = self._engines.refusal(self.spec)
        if barred is not None:
            self.abandon(reason=barred.reason, message=barred.message)
            return
        for number, running in list(self._running.items()):
            if self._is_misplaced(running):
                running.left = True
                self._carry_out(
                    self._life.on_attempt_failed(attempt=number, cause=FailureCause.WITHDRAWN)
                )

    def hand_over(self) -> None:
        """Stop and cancel nothing at the engines: another VM takes up their streams."""
        self._done.set()

    def taken_over(self, attempt: int) -> None:
        """Stop, as another VM serves the caller; it reads on the stream of ``attempt`` itself."""
        for number in list(self._running):
            if number != attempt:
                self._cancel_attempt(number)
        self._done.set()

    def abandon(self, *, reason: Reason, message: str) -> None:
        """Abandon the request."""
        for running in self._running.values():
            running.left = True
        self._carry_out(self._life.abandon(reason=reason, message=message))

    def _carry_out(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._observe(decision)
            match decision:
                case Dispatch():
                    self._start_attempt(decision)
                case CancelAttempt(attempt=attempt):
                    self._cancel_attempt(attempt)
                case Finish():
                    self._done.set()
                    self.wake()
                case Release() | Restart():
                    self.wake()

    def _start_attempt(self, dispatch: Dispatch) -> None:
        if self._nursery is None:
            return
        running = _RunningAttempt(dispatch=dispatch, scope=trio.CancelScope())
        self._running[dispatch.attempt] = running
        self._nursery.start_soon(self._run_attempt, running)

    def _is_misplaced(self, running: _RunningAttempt) -> bool:
        placement = running.placement
        if placement is None or running.opened or running.cancelled:
            return False
        return self._engines.is_misplaced(self.spec, running.dispatch, placement)

    def _stop_attempt(self, attempt: int) -> None:
        running = self._running.get(attempt)
        if running is not None:
            running.scope.cancel()

    def _cancel_attempt(self, attempt: int) -> None:
        running = self._running.get(attempt)
        if running is None:
            return
        running.cancelled = True
        running.scope.cancel()
        if running.placement is not None:
            self._engines.cancel(self.spec, running.dispatch, running.placement.target)

    async def _run_attempt(self, running: _RunningAttempt) -> None:
        dispatch = running.dispatch
        cause: FailureCause | None = None
        with running.scope:
            await trio.sleep(dispatch.delay_s)
            placement = await self._engines.place(self.spec, dispatch)
            if not isinstance(placement, Placement):
                self._not_placed(dispatch, placement)
                return
            running.placement = placement
            self._life.record_target(attempt=dispatch.attempt, target=placement.target.name)
            try:
                cause = await self._attempt(running, placement)
            finally:
                if running.scope.cancel_called:
                    cause = FailureCause.WITHDRAWN if running.left else FailureCause.SILENT
                self._engines.ended(self.spec, dispatch, placement, cause)
        if cause is not None:
            await self._look_at_end(running, cause)
            self._carry_out(self._life.on_attempt_failed(attempt=dispatch.attempt, cause=cause))
        self._running.pop(dispatch.attempt, None)

    async def _look_at_end(self, running: _RunningAttempt, cause: FailureCause) -> None:
        """Abandon the request where too many engines have ended under it."""
        if running.placement is None:
            return
        barred = await self._engines.look_at_end(self.spec, running.placement, cause)
        if barred is not None:
            self.abandon(reason=barred.reason, message=barred.message)

    def _not_placed(self, dispatch: Dispatch, answer: NotRun | None) -> None:
        del self._running[dispatch.attempt]
        attempt = dispatch.attempt
        if answer is None:
            self._carry_out(
                self._life.on_attempt_failed(attempt=attempt, cause=FailureCause.NO_TARGET)
            )
        else:
            self._carry_out(self._life.on_not_admitted(attempt=attempt, answer=answer))

    async def _attempt(self, running: _RunningAttempt, placement: Placement) -> FailureCause | None:
        dispatch = running.dispatch

        def before_write() -> bool:
            if not (self._may_begin() and self._engines.may_write(dispatch, placement)):
                return False
            self._engines.sent(self, self.spec, dispatch, placement)
            self._life.record_dispatch(attempt=dispatch.attempt)
            return True

        attempt = EngineAttempt(
            spec=self.spec,
            dispatch=dispatch,
            address=placement.target.address,
            priority=placement.grant.priority + self._priority,
            on_chunk=lambda chunk: self._take_chunk(running, placement, chunk),
            before_write=before_write,
        )
        try:
            await attempt.run()
        except ConnectFailed:
            return FailureCause.CONNECT_FAILED
        except EngineRefused:
            return FailureCause.STREAM_NOT_FOUND if dispatch.reattach else FailureCause.REFUSED
        except PeerError:
            return FailureCause.BROKEN
        return FailureCause.BROKEN if self._life.finished is None else None

    def _take_chunk(
        self, running: _RunningAttempt, placement: Placement, chunk: EngineChunk
    ) -> None:
        attempt = running.dispatch.attempt
        for choice in chunk.choices:
            if not running.opened:
                running.opened = True
                self._engines.prompt_tokenised(
                    self.spec,
                    placement,
                    version=chunk.system_fingerprint,
                    token_ids=choice.prompt_token_ids or (),
                )
                self._carry_out(
                    self._life.on_opened(
                        attempt=attempt,
                        model_version=chunk.system_fingerprint,
                        prompt_token_ids=choice.prompt_token_ids or (),
                    )
                )
            if choice.token_ids:
                self._engines.token(running.dispatch, placement, len(choice.token_ids))
            self._carry_out(
                self._life.on_chunk(
                    attempt=attempt,
                    token_ids=choice.token_ids,
                    text=choice.text,
                    finish_reason=choice.finish_reason,
                )
            )
        finished = self._life.finished
        if finished is not None and isinstance(finished.outcome, Done):
            # Also where a stop string ends the answer, and so the attempt, before its engine does.
            self._engines.served(self.spec)
