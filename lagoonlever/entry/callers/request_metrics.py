"""What the requests of this VM add to its metrics and to its service-level objectives."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from lagoonlever.decisions.streams.generation_messages import (
    Decision,
    Dispatch,
    Finish,
    GenerationSpec,
    Release,
)
from lagoonlever.instruments import Metrics
from lagoonlever.metrics import (
    EXTRA_WORK,
    FIRST_TOKEN_LATENCY,
    LOOKUP_LATENCY,
    REQUESTS,
    RESUME_LATENCY,
    RETRIES,
    TOKENS_RELAYED,
)
from lagoonlever.outcomes import Done, Outcome, OutcomeTag
from lagoonlever.report.objective_recorder import ObjectiveRecorder
from lagoonlever.report.objectives import ObjectiveSettings
from lagoonlever.tree.nodes import lineage

DecisionObserver = Callable[[Decision], None]
"""Told of each decision about one request, in order."""


def organisation_of(path: str) -> str:
    """Give the organisation that a node belongs to: the node right below the root."""
    names = lineage(path)
    return names[1] if len(names) > 1 else names[0]


@attrs.define(kw_only=True)
class RequestMetrics:
    """Counts the requests of one VM."""

    _metrics: Metrics
    _objectives: ObjectiveRecorder
    _clock: Callable[[], float]

    def observer_of(self, spec: GenerationSpec, *, continues: bool) -> DecisionObserver:
        """Give an observer for a request that begins now on this VM.

        One that ``continues`` was begun at another VM, whose caller holds part of its answer.
        """
        return _RequestObserver(
            organisation=organisation_of(spec.organisation),
            metrics=self._metrics,
            objectives=self._objectives,
            clock=self._clock,
            began_at=self._clock(),
            continues=continues,
        )

    def service_ended(
        self, path: str, outcome: Outcome, *, latency_s: float, idempotent: bool
    ) -> None:
        """Count a call of an application service that was answered."""
        organisation = organisation_of(path)
        _count_end(organisation, outcome, self._metrics, self._objectives)
        if idempotent and isinstance(outcome, Done):
            self._metrics.record(LOOKUP_LATENCY, latency_s, organisation)
            self._objectives.lookup_ended(organisation, latency_s)

    def refused(self, path: str, outcome: Outcome) -> None:
        """Count a request that was not begun."""
        _count_end(organisation_of(path), outcome, self._metrics, self._objectives)


def unscraped_metrics() -> RequestMetrics:
    """Give request metrics that nobody reads, for tests and benchmarks."""
    metrics = Metrics()
    objectives = ObjectiveRecorder(metrics=metrics, settings=ObjectiveSettings())
    return RequestMetrics(metrics=metrics, objectives=objectives, clock=trio.current_time)


@attrs.define(kw_only=True)
class _RequestObserver:
    """Follows one request; the resume latency is the gap before another attempt's first token."""

    _organisation: str
    _metrics: Metrics
    _objectives: ObjectiveRecorder
    _clock: Callable[[], float]
    _began_at: float
    _continues: bool
    _attempt: int | None = None
    _released_at: float | None = None

    def __call__(self, decision: Decision) -> None:
        """Take one decision."""
        match decision:
            case Release():
                self._released(decision)
            case Dispatch():
                self._dispatched(decision)
            case Finish(outcome=outcome):
                _count_end(self._organisation, outcome, self._metrics, self._objectives)

    def _released(self, release: Release) -> None:
        now = self._clock()
        for piece in release.pieces:
            self._metrics.add(TOKENS_RELAYED, len(piece.token_ids), self._organisation)
            self._took_turn(piece.source.attempt, now)
        self._released_at = now

    def _took_turn(self, attempt: int, now: float) -> None:
        former, self._attempt = self._attempt, attempt
        if former == attempt:
            return
        since = self._began_at if self._released_at is None else self._released_at
        if former is None and not self._continues:
            self._metrics.record(FIRST_TOKEN_LATENCY, now - since, self._organisation)
            return
        self._metrics.record(RESUME_LATENCY, now - since, self._organisation)
        self._objectives.resumed(self._organisation, now - since)

    def _dispatched(self, dispatch: Dispatch) -> None:
        if not (dispatch.resume or dispatch.hedge):
            return
        kind = "hedge" if dispatch.hedge else "resume"
        self._metrics.add(RETRIES, 1, self._organisation, kind)
        if not dispatch.reattach:
            tokens = len(dispatch.prompt_token_ids or ()) + len(dispatch.prefix)
            self._metrics.add(EXTRA_WORK, tokens, self._organisation, kind)


def _count_end(
    organisation: str, outcome: Outcome, metrics: Metrics, objectives: ObjectiveRecorder
) -> None:
    reason = None if isinstance(outcome, Done) else outcome.reason
    metrics.add(REQUESTS, 1, organisation, outcome.tag.value, reason.value if reason else "")
    objectives.request_ended(organisation, OutcomeTag(outcome.tag), reason)
