"""The service-level objectives, and the rules by which an event counts as good or bad."""

from __future__ import annotations

import enum

import attrs

from lagoonlever.config.options import option
from lagoonlever.outcomes import OutcomeTag, Reason

GOOD = "good"
BAD = "bad"

CALLER_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.CANCELLED,
        Reason.IN_PROGRESS,
        Reason.KEY_EXPIRED,
        Reason.SUPERSEDED,
    }
)
"""Reasons that the caller itself brought about; such requests count towards no objective."""


class Objective(enum.Enum):
    """What is promised to each organisation, by its name in reports."""

    WHOLE_ANSWERS = "whole-answers"
    RESUME_LATENCY = "resume-latency"
    LOOKUP_LATENCY = "lookup-latency"
    SHARE = "share"


@attrs.frozen(kw_only=True)
class ObjectiveSettings:
    """The goal of each objective, and the thresholds that tell good events from bad ones."""

    whole_answers_goal: float = option(
        default=0.999,
        at_least=0.5,
        at_most=0.99999,
        doc="Part of the requests that get their whole answer.",
    )
    resume_latency_goal: float = option(
        default=0.99,
        at_least=0.5,
        at_most=0.99999,
        doc="Part of the resumed answers that go on within `resume_latency_s`.",
    )
    resume_latency_s: float = option(
        default=5.0, at_least=0.01, at_most=600.0, doc="Seconds within which an answer goes on."
    )
    lookup_latency_goal: float = option(
        default=0.99,
        at_least=0.5,
        at_most=0.99999,
        doc="Part of the lookups that are answered within `lookup_latency_s`.",
    )
    lookup_latency_s: float = option(
        default=1.0, at_least=0.001, at_most=600.0, doc="Seconds within which a lookup is answered."
    )
    share_goal: float = option(
        default=0.99,
        at_least=0.5,
        at_most=0.99999,
        doc="Part of the samples in which an organisation with demand has its share.",
    )
    share_tolerance: float = option(
        default=0.1,
        at_least=0.0,
        at_most=0.9,
        doc="Part of its entitlement that an organisation may lack in a good sample.",
    )

    def goal(self, objective: Objective) -> float:
        """Give the part of an objective's events that must be good."""
        goals = {
            Objective.WHOLE_ANSWERS: self.whole_answers_goal,
            Objective.RESUME_LATENCY: self.resume_latency_goal,
            Objective.LOOKUP_LATENCY: self.lookup_latency_goal,
            Objective.SHARE: self.share_goal,
        }
        return goals[objective]


def whole_answer_verdict(tag: OutcomeTag, reason: Reason | None) -> str | None:
    """Judge the end of a request; None if it counts towards no objective."""
    if tag is OutcomeTag.DONE:
        return GOOD
    return None if reason in CALLER_REASONS else BAD


def latency_verdict(latency_s: float, *, limit_s: float) -> str:
    """Judge a duration against the limit of its objective."""
    return GOOD if latency_s <= limit_s else BAD


def share_verdict(*, used: float, entitled: float, tolerance: float) -> str:
    """Judge a sample of an organisation that has demand; both shares run from 0 to 1."""
    return GOOD if used >= entitled * (1 - tolerance) else BAD
