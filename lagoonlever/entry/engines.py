"""The engines as the generations of this VM use them: placing, watching, cancelling."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import trio

from lagoonlever.decisions.generation import BreakCause, Dispatch, GenerationSpec
from lagoonlever.decisions.suspicion import SuspicionLevel
from lagoonlever.decisions.suspicion_settings import DetectionSettings
from lagoonlever.decisions.targets import Target, TargetView
from lagoonlever.entry.attempt import cancel_at_engine
from lagoonlever.entry.engine_watch import EngineWatch
from lagoonlever.entry.generation_task import GenerationTask
from lagoonlever.entry.published import Published
from lagoonlever.timers import TimerService

CHARACTERS_A_TOKEN = 4
"""A rough measure of a text's tokens, for the time that a prefill may take."""


def prompt_tokens(spec: GenerationSpec, dispatch: Dispatch) -> int:
    """Give about how many tokens the engine must take in before its first own."""
    if dispatch.prompt_token_ids is not None:
        return len(dispatch.prompt_token_ids) + len(dispatch.prefix)
    if isinstance(spec.prompt, tuple):
        return len(spec.prompt)
    return len(spec.prompt) // CHARACTERS_A_TOKEN + 1


def serves(target: Target, *, model: str, version: str | None) -> bool:
    """Tell whether a target serves a request's model, at the version it is bound to."""
    return any(key.model_field == model and version in (None, key.version) for key in target.models)


@attrs.define(kw_only=True)
class Engines:
    """Chooses an engine for each dispatch and knows which task each attempt belongs to."""

    _view: Published[TargetView]
    _timers: TimerService
    _rng: random.Random
    _detection: DetectionSettings
    _background: trio.Nursery
    _tasks: dict[int, GenerationTask] = attrs.field(factory=dict)
    _watch: EngineWatch = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._watch = EngineWatch(
            settings=self._detection, on_verdict=self._on_verdict, now=lambda: self._timers.now
        )

    @property
    def watch(self) -> EngineWatch:
        """The watch, to be subscribed to the timer service."""
        return self._watch

    def side_of(self, task_of: Callable[[], GenerationTask]) -> TaskEngines:
        """Give one task's view of the engines."""
        return TaskEngines(engines=self, task_of=task_of)

    def models(self) -> frozenset[str]:
        """Give the models that callers can ask for now, as a request names them."""
        return frozenset(key.model_field for key in self._view.value.models())

    async def place(self, spec: GenerationSpec, dispatch: Dispatch) -> Target | None:
        """Choose an engine; None if none serves the request."""
        view = self._view.value
        if dispatch.reattach_target is not None:
            return view.find(dispatch.reattach_target) or self._choose(spec, dispatch)
        return self._choose(spec, dispatch)

    def _choose(self, spec: GenerationSpec, dispatch: Dispatch) -> Target | None:
        candidates = [
            target
            for target in self._view.value.targets
            if target.takes_work
            and target.name not in dispatch.avoid
            and serves(target, model=spec.model, version=dispatch.model_version)
        ]
        return self._rng.choice(candidates) if candidates else None

    def sent(
        self, task: GenerationTask, spec: GenerationSpec, dispatch: Dispatch, target: Target
    ) -> None:
        """Note that a request is being written."""
        self._tasks[dispatch.attempt] = task
        self._watch.opened(
            engine=target.name,
            attempt=dispatch.attempt,
            prompt_tokens=prompt_tokens(spec, dispatch),
        )

    def token(self, dispatch: Dispatch, target: Target, count: int) -> None:
        """Note that tokens came."""
        self._watch.token(engine=target.name, attempt=dispatch.attempt)

    def ended(self, dispatch: Dispatch, target: Target, cause: BreakCause | None) -> None:
        """Note that an attempt is over."""
        self._watch.closed(engine=target.name, attempt=dispatch.attempt)
        self._tasks.pop(dispatch.attempt, None)

    def cancel(self, spec: GenerationSpec, attempt: int, target: Target) -> None:
        """Have an attempt cancelled at its engine."""

        async def cancel() -> None:
            await cancel_at_engine(spec=spec, attempt=attempt, address=target.address)

        self._background.start_soon(cancel)

    def _on_verdict(self, attempt: int, level: SuspicionLevel) -> None:
        task = self._tasks.get(attempt)
        if task is None:
            return
        if level is SuspicionLevel.SUSPECT:
            task.suspected(attempt)
        elif level is SuspicionLevel.DEAD:
            task.declared_dead(attempt)


@attrs.define(kw_only=True)
class TaskEngines:
    """One task's side of the engines, as ``EngineSide`` asks for it."""

    _engines: Engines
    _task_of: Callable[[], GenerationTask]

    async def place(self, spec: GenerationSpec, dispatch: Dispatch) -> Target | None:
        """Choose an engine; None if none serves the request."""
        return await self._engines.place(spec, dispatch)

    def sent(self, spec: GenerationSpec, dispatch: Dispatch, target: Target) -> None:
        """Note that a request is being written."""
        self._engines.sent(self._task_of(), spec, dispatch, target)

    def token(self, dispatch: Dispatch, target: Target, count: int) -> None:
        """Note that tokens came."""
        self._engines.token(dispatch, target, count)

    def ended(
        self, spec: GenerationSpec, dispatch: Dispatch, target: Target, cause: BreakCause | None
    ) -> None:
        """Note that an attempt is over."""
        self._engines.ended(dispatch, target, cause)

    def cancel(self, spec: GenerationSpec, attempt: int, target: Target) -> None:
        """Have an attempt cancelled at its engine."""
        self._engines.cancel(spec, attempt, target)
