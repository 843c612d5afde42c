"""Counting of the events that service-level objectives are about."""

from __future__ import annotations

from lagoonlever.history.events_objectives import ObjectiveCounted
from lagoonlever.history.recorder import Recorder
from lagoonlever.instruments import Metrics
from lagoonlever.metrics import OBJECTIVE_EVENTS
from lagoonlever.outcomes import OutcomeTag, Reason
from lagoonlever.report.objectives import (
    GOOD,
    Objective,
    ObjectiveSettings,
    latency_verdict,
    share_verdict,
    whole_answer_verdict,
)


class ObjectiveRecorder:
    """Counts good and bad events in a process's metrics, and in its history if it has one."""

    def __init__(
        self, *, metrics: Metrics, settings: ObjectiveSettings, recorder: Recorder | None = None
    ) -> None:
        self._metrics = metrics
        self._settings = settings
        self._recorder = recorder

    def request_ended(
        self, organisation: str, tag: OutcomeTag, reason: Reason | None = None
    ) -> None:
        """Count the end of a request."""
        verdict = whole_answer_verdict(tag, reason)
        if verdict is not None:
            self._count(organisation, Objective.WHOLE_ANSWERS, verdict)

    def resumed(self, organisation: str, latency_s: float) -> None:
        """Count an answer that went on after a loss."""
        verdict = latency_verdict(latency_s, limit_s=self._settings.resume_latency_s)
        self._count(organisation, Objective.RESUME_LATENCY, verdict)

    def lookup_ended(self, organisation: str, latency_s: float) -> None:
        """Count an idempotent service call that was answered."""
        verdict = latency_verdict(latency_s, limit_s=self._settings.lookup_latency_s)
        self._count(organisation, Objective.LOOKUP_LATENCY, verdict)

    def share_sampled(self, organisation: str, *, used: float, entitled: float) -> None:
        """Count a sample of an organisation that has demand now."""
        verdict = share_verdict(
            used=used, entitled=entitled, tolerance=self._settings.share_tolerance
        )
        self._count(organisation, Objective.SHARE, verdict)

    def _count(self, organisation: str, objective: Objective, verdict: str) -> None:
        self._metrics.add(OBJECTIVE_EVENTS, 1, organisation, objective.value, verdict)
        if self._recorder is None:
            return
        self._recorder.record(
            ObjectiveCounted(
                at=self._recorder.now,
                process=self._recorder.process,
                organisation=organisation,
                objective=objective.value,
                good=verdict == GOOD,
            )
        )
