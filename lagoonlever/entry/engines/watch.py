"""Watches the streams that this VM has at engines, and says which seem dead."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from typing import Protocol

import attrs

from lagoonlever.decisions.suspicion.budget import HedgeBudget
from lagoonlever.decisions.suspicion.settings import HEDGE_OFF, DetectionSettings
from lagoonlever.decisions.suspicion.suspicion import EngineSuspicion, StreamVerdict, SuspicionLevel
from lagoonlever.timers import Tick

COMPARE_PERIOD_S = 1.0


class SuspicionListener(Protocol):
    """The task that an attempt belongs to: told what its engine's silence means."""

    def suspected(self, attempt: int) -> None:
        """Begin a hedge: the engine of this attempt seems dead."""

    def declared_dead(self, attempt: int) -> None:
        """Resume elsewhere: the engine of this attempt counts as dead."""


@attrs.define(kw_only=True)
class EngineWatch:
    """One suspicion state an engine; streams are known by their attempt's number."""

    _settings: DetectionSettings
    _now: Callable[[], float]
    _engines: dict[str, EngineSuspicion] = attrs.field(factory=dict)
    _listeners: dict[str, SuspicionListener] = attrs.field(factory=dict)
    _budget: HedgeBudget = attrs.field(init=False)
    _compare_at: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._budget = HedgeBudget(settings=self._settings)

    def opened(
        self, *, listener: SuspicionListener, engine: str, attempt: int, prompt_tokens: int
    ) -> None:
        """Begin to watch an attempt whose request is being written."""
        suspicion = self._engines.get(engine)
        if suspicion is None:
            suspicion = EngineSuspicion(settings=self._settings)
            self._engines[engine] = suspicion
        self._listeners[str(attempt)] = listener
        suspicion.add_stream(str(attempt), now=self._now(), prompt_tokens=prompt_tokens)

    def token(self, *, engine: str, attempt: int) -> None:
        """Take note that an attempt's engine sent something."""
        self._engines[engine].record_token(str(attempt), now=self._now())

    def closed(self, *, engine: str, attempt: int) -> None:
        """Stop watching an attempt."""
        self._listeners.pop(str(attempt), None)
        suspicion = self._engines.get(engine)
        if suspicion is not None:
            suspicion.remove_stream(str(attempt))

    def on_tick(self, tick: Tick) -> None:
        """Judge every engine whose next check is due."""
        self._earn(tick.now)
        if tick.now >= self._compare_at:
            self._compare_at = tick.now + COMPARE_PERIOD_S
            self._compare()
        for engine, suspicion in list(self._engines.items()):
            if tick.paused_s:
                suspicion.discount_pause(tick.paused_s, now=tick.now)
            if tick.now >= suspicion.next_check_at:
                self._tell(engine, suspicion.assess(tick.now))

    def _earn(self, now: float) -> None:
        """Tell the budget what was served, in lots: it need not know of each token."""
        for engine, suspicion in self._engines.items():
            tokens = suspicion.take_token_count()
            if tokens:
                self._budget.record_served(engine=engine, tokens=tokens)
        self._budget.refund_dead_engines(now)

    def _compare(self) -> None:
        """Tell each engine's judge the usual spacing, so that a general slowness is no fault."""
        spacings = [s.spacing_s for s in self._engines.values() if s.spacing_s is not None]
        usual_s = statistics.median_low(spacings) if len(spacings) > 1 else None
        for suspicion in self._engines.values():
            suspicion.peers_spacing_s = usual_s

    def _tell(self, engine: str, verdicts: tuple[StreamVerdict, ...]) -> None:
        for verdict in verdicts:
            listener = self._listeners.get(verdict.stream)
            if listener is None:
                continue
            if verdict.level is SuspicionLevel.SUSPECT and self._may_hedge(engine, verdict):
                listener.suspected(int(verdict.stream))
            elif verdict.level is SuspicionLevel.DEAD:
                listener.declared_dead(int(verdict.stream))

    def _may_hedge(self, engine: str, verdict: StreamVerdict) -> bool:
        if self._settings.hedge == HEDGE_OFF:
            return False
        return self._budget.try_spend(
            engine=engine, tokens=verdict.takeover_tokens, now=self._now()
        )
