"""The engines as the generations of this VM use them: placing, watching, cancelling."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs
import trio

from lagoonlever.decisions.admission.admission import AdmissionRequest
from lagoonlever.decisions.engines.answer_stages import AnswerProgress, AnswerStage
from lagoonlever.decisions.engines.target_crashes import WEIGHT_QUEUED, WEIGHT_STARTED
from lagoonlever.decisions.routing.routing import Choice, ModelQuery, RequestFeatures, Router
from lagoonlever.decisions.shares.shares import work_of
from lagoonlever.decisions.streams.generation_messages import Dispatch, FailureCause, GenerationSpec
from lagoonlever.decisions.targets.targets import ModelKey, Target, TargetState, TargetView
from lagoonlever.entry.engines.crashes import EngineCrashes
from lagoonlever.entry.engines.watch import EngineWatch, SuspicionListener
from lagoonlever.entry.generations.admission import Admitted
from lagoonlever.entry.generations.attempt import cancel_stream
from lagoonlever.http.messages import Address
from lagoonlever.outcomes import NotRun
from lagoonlever.published import Published
from lagoonlever.targets.completions import stream_id
from lagoonlever.timers import TimerService

CHARGE_TOKENS = 8
"""Decoded tokens are charged in lots: a charge for each would cost more than it tells."""
DEFAULT_DEADLINE_S = 900.0
UNSURE_WAIT_S = 10.0
"""How long a resume waits for engines that this VM knows of and may not use just now."""


class TargetGuard(Protocol):
    """What is known of the targets, and the last check before a write."""

    @property
    def view(self) -> Published[TargetView]:
        """The latest view."""

    def check_before_dispatch(self, target: Target) -> bool:
        """Check whether work may be written to a target now."""

    def connected(self, target: Target) -> None:
        """Note that a target answered."""

    def connect_failed(self, target: Target) -> None:
        """Note that a target was not reached or stayed silent."""


class AdmissionControl(Protocol):
    """Admits requests to the pool of engines, each organisation up to its share."""

    async def admit(self, ask: AdmissionRequest) -> Admitted | NotRun:
        """Wait for a slot; gives ``NotRun`` where none is free in the request's time."""

    def charge(self, grant: Admitted, work: float) -> None:
        """Charge engine work as it is used, in weighted tokens."""

    def release(self, grant: Admitted) -> None:
        """Return a slot."""


@attrs.define(kw_only=True, eq=False)
class Placement:
    """An engine chosen for a dispatch, with the slot that was granted for it."""

    target: Target
    grant: Admitted
    features: RequestFeatures
    started_at: float
    is_taken_up: bool = False
    """The stream was running there before."""
    uncharged_tokens: int = 0
    tokens: int = 0
    first_token_at: float | None = None
    last_token_at: float = 0.0

    def record_tokens(self, count: int, now: float) -> None:
        """Record that tokens came."""
        if self.first_token_at is None:
            self.first_token_at = now
        self.last_token_at = now
        self.tokens += count
        self.uncharged_tokens += count

    @property
    def progress(self) -> AnswerProgress:
        """How far the engine's answer has come."""
        first_at = self.first_token_at
        return AnswerProgress(
            events_for_s=None if first_at is None else self.last_token_at - first_at
        )


@attrs.frozen(kw_only=True)
class OpenStream:
    """A stream at an engine that this VM reads, for the peer that would cancel it."""

    request_id: str
    engine: Address
    since: float


@attrs.define(kw_only=True)
class Engines:
    """Finds a slot and an engine for each dispatch, and follows the attempt to its end."""

    _guard: TargetGuard
    _router: Router
    _admission: AdmissionControl
    _timers: TimerService
    _watch: EngineWatch
    _background: trio.Nursery
    _crashes: EngineCrashes
    _observe: Callable[[GenerationSpec, Dispatch, Target], None] = lambda *_: None
    """Told of each dispatch right before it is written, for histories."""
    _open: dict[str, OpenStream] = attrs.field(factory=dict)

    @property
    def watch(self) -> EngineWatch:
        """The watch over the streams, to be subscribed to the timer service."""
        return self._watch

    @property
    def open_streams(self) -> dict[str, OpenStream]:
        """The streams that this VM reads now, by the engines' ids of them."""
        return self._open

    def models(self) -> frozenset[str]:
        """Return the models that callers can ask for now, as a request names them."""
        return frozenset(key.model_field for key in self._guard.view.value.models())

    async def place(self, spec: GenerationSpec, dispatch: Dispatch) -> Placement | NotRun | None:
        """Wait for a slot and choose an engine; None if no engine serves the request.

        The engine is chosen after the wait: one chosen before it may be leaving
        or dead by the time that the slot is granted.
        """
        query = ModelQuery.parse(spec.model, version=dispatch.model_version)
        if not await self._wait_serving(query, dispatch):
            return None
        grant = await self._admission.admit(self._ask(spec, dispatch, query))
        if isinstance(grant, NotRun):
            return grant
        barred = self._crashes.refusal(spec)
        if barred is not None:
            # Other VMs may have told of more ends while this one waited for the slot.
            self._admission.release(grant)
            return barred
        placement = self._choose(spec, dispatch, query, grant)
        if placement is None:
            self._admission.release(grant)
        return placement

    def may_write(self, dispatch: Dispatch, placement: Placement) -> bool:
        """Check whether the request may be written to its engine now.

        Taking up a stream that runs there already is no new work: an engine that
        is leaving ends it.
        """
        return dispatch.reattach or self._guard.check_before_dispatch(placement.target)

    def sent(
        self,
        listener: SuspicionListener,
        spec: GenerationSpec,
        dispatch: Dispatch,
        placement: Placement,
    ) -> None:
        """Note that a request is being written."""
        self._observe(spec, dispatch, placement.target)
        self._open[stream_id(spec, dispatch.attempt)] = OpenStream(
            request_id=spec.request_id,
            engine=placement.target.address,
            since=self._timers.now,
        )
        self._watch.opened(
            listener=listener,
            engine=placement.target.name,
            attempt=dispatch.attempt,
            prompt_tokens=placement.features.prompt_tokens,
        )
        if not dispatch.reattach:
            work = work_of(prefill_tokens=placement.features.prompt_tokens)
            self._admission.charge(placement.grant, work)

    def prompt_tokenised(
        self,
        spec: GenerationSpec,
        placement: Placement,
        *,
        version: str,
        token_ids: tuple[int, ...],
    ) -> None:
        """Record the tokens of a text prompt, by which routing reads the engines' cache events."""
        if not isinstance(spec.prompt, str) or not token_ids:
            return
        query = ModelQuery.parse(spec.model)
        self._router.prompt_tokenised(
            model=ModelKey(name=query.name, version=version, adapter=query.adapter),
            text=spec.prompt,
            token_ids=token_ids,
            target=placement.target.name,
        )

    def token(self, dispatch: Dispatch, placement: Placement, count: int) -> None:
        """Note that tokens came."""
        if not placement.tokens:
            self._guard.connected(placement.target)
        placement.record_tokens(count, self._timers.now)
        self._watch.token(engine=placement.target.name, attempt=dispatch.attempt)
        if placement.uncharged_tokens >= CHARGE_TOKENS:
            self._charge(placement)

    def ended(
        self,
        spec: GenerationSpec,
        dispatch: Dispatch,
        placement: Placement,
        cause: FailureCause | None,
    ) -> None:
        """Note that an attempt is over; ``cause`` is None at an answer's proper end."""
        now = self._timers.now
        target = placement.target
        self._open.pop(stream_id(spec, dispatch.attempt), None)
        self._watch.closed(engine=target.name, attempt=dispatch.attempt)
        self._charge(placement)
        self._admission.release(placement.grant)
        took_s = now - placement.started_at if cause is None else None
        self._router.ended(target.name, now=now, took_s=took_s)
        if cause in (FailureCause.CONNECT_FAILED, FailureCause.SILENT):
            self._guard.connect_failed(target)

    def served(self, spec: GenerationSpec) -> None:
        """Record that the answer to a request is whole: its prompt ends no engine."""
        self._crashes.served(spec)

    def refusal(self, spec: GenerationSpec) -> NotRun | None:
        """Return why a prompt may not run as it ends engines, or None."""
        return self._crashes.refusal(spec)

    def is_misplaced(self, spec: GenerationSpec, dispatch: Dispatch, placement: Placement) -> bool:
        """Check whether an attempt waits at an engine that its request's returns don't go to."""
        if placement.tokens or dispatch.reattach:
            return False
        query = ModelQuery.parse(spec.model, version=dispatch.model_version)
        place = self._gathering_place(spec, dispatch, query)
        return place is not None and place.name != placement.target.name

    async def look_at_end(
        self, spec: GenerationSpec, placement: Placement, cause: FailureCause
    ) -> NotRun | None:
        """Look whether an engine ended under an attempt; gives why there is to be no other.

        Not where tokens had come for a while: what was running beside a prompt that ends its
        engine is no cause of it.
        """
        stage = placement.progress.stage
        has_flowed = stage is AnswerStage.FLOWING or (placement.is_taken_up and placement.tokens)
        if cause is FailureCause.BROKEN and not has_flowed:
            await self._crashes.look(
                spec,
                placement.target,
                sent_at=placement.started_at,
                weight=WEIGHT_QUEUED if stage is AnswerStage.BEGUN else WEIGHT_STARTED,
            )
        return self._crashes.refusal(spec)

    def cancel(self, spec: GenerationSpec, dispatch: Dispatch, target: Target) -> None:
        """Have an attempt cancelled at its engine, in the background."""
        name = stream_id(spec, dispatch.attempt)
        self._background.start_soon(cancel_stream, target.address, name)

    async def _wait_serving(self, query: ModelQuery, dispatch: Dispatch) -> bool:
        """Check whether an engine serves the request; a resume waits for the list of them.

        Guards against an answer that is given up because its engine died while this
        VM could not tell for a moment which targets leave: the engines are there,
        and work may be given to them again once the list is read in time. A new
        request does not wait: nothing of it is lost, and another VM may take it.
        """
        state = self._serving(query)
        with trio.move_on_after(UNSURE_WAIT_S if dispatch.resume else 0):
            while state is TargetState.UNSURE:
                await self._guard.view.wait_change()
                state = self._serving(query)
        return state is TargetState.LIVE

    def _serving(self, query: ModelQuery) -> TargetState:
        """Return the best state of an engine that has the model: ``GONE`` where none has it."""
        view = self._guard.view.value
        states = {target.state for target in view.targets if query.key_at(target)}
        known = (TargetState.LIVE, TargetState.UNSURE)
        return next((state for state in known if state in states), TargetState.GONE)

    def _ask(self, spec: GenerationSpec, dispatch: Dispatch, query: ModelQuery) -> AdmissionRequest:
        return AdmissionRequest(
            path=spec.organisation,
            pool=query.name,
            prompt_tokens=self._features(spec, dispatch, query).prompt_tokens,
            max_tokens=dispatch.max_tokens,
            deadline_s=spec.deadline_s or DEFAULT_DEADLINE_S,
            resume=dispatch.resume,
        )

    def _choose(
        self, spec: GenerationSpec, dispatch: Dispatch, query: ModelQuery, grant: Admitted
    ) -> Placement | None:
        view = self._guard.view.value
        features = self._features(spec, dispatch, query)
        target = view.find(dispatch.reattach_target) if dispatch.reattach_target else None
        if target is None:
            target = self._gathering_place(spec, dispatch, query)
        if target is None:
            choice = self._router.choose(features, view)
            if not isinstance(choice, Choice):
                return None
            target = choice.target
        return Placement(
            target=target,
            grant=grant,
            features=features,
            started_at=self._timers.now,
            is_taken_up=dispatch.reattach,
        )

    def _gathering_place(
        self, spec: GenerationSpec, dispatch: Dispatch, query: ModelQuery
    ) -> Target | None:
        """Return where all returns of a request go that ends engines; None for any engine.

        One that has told tokens went on at other engines: it ends none.
        """
        if dispatch.prefix:
            return None
        view = self._guard.view.value
        able = [
            target
            for target in view.targets
            if target.takes_work and query.key_at(target) and target.name not in dispatch.avoid
        ]
        place = self._crashes.gathering_place(spec, able)
        return view.find(place) if place is not None else None

    def _features(
        self, spec: GenerationSpec, dispatch: Dispatch, query: ModelQuery
    ) -> RequestFeatures:
        prompt: str | tuple[int, ...] = spec.prompt
        if dispatch.prompt_token_ids is not None:
            prompt = dispatch.prompt_token_ids + dispatch.prefix
        return self._router.features(
            query=query,
            prompt=prompt,
            view=self._guard.view.value,
            now=self._timers.now,
            output_tokens=dispatch.max_tokens,
            avoid=dispatch.avoid,
        )

    def _charge(self, placement: Placement) -> None:
        if placement.uncharged_tokens:
            work = work_of(decode_tokens=placement.uncharged_tokens)
            self._admission.charge(placement.grant, work)
            placement.uncharged_tokens = 0
