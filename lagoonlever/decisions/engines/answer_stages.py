"""How far an engine's answer had come when an attempt was lost, and what that tells of the cause.

An engine that a request ends does so as it begins to write its answer. How much of it arrives is
chance: a crash drops what is still in buffers, also the head of the answer, and one that comes a
moment later lets an event or two through.
"""

from __future__ import annotations

import enum

import attrs

from lagoonlever.decisions.engines.target_crashes import WEIGHT_QUEUED, WEIGHT_STARTED

BEGUN_S = 0.3
"""An engine that a request ends does so within this time from the first event of its answer."""


class AnswerStage(enum.Enum):
    """What has come of an answer."""

    NOTHING = "nothing"
    """The request may have been waiting, or its answer was lost with the engine."""
    PART_OF_HEAD = "part-of-head"
    HEAD = "head"
    PART_OF_EVENT = "part-of-event"
    """The head, and a part of the first event."""
    BEGUN = "begun"
    """Events, but none later than ``BEGUN_S`` after the first."""
    FLOWING = "flowing"
    """Events for longer than that."""


@attrs.frozen(kw_only=True)
class AnswerProgress:
    """What has come of the answer to one attempt."""

    has_bytes: bool = False
    has_head: bool = False
    has_part_of_event: bool = False
    events_for_s: float | None = None
    """From the first event to the last, in seconds; None before the first."""

    @property
    def stage(self) -> AnswerStage:
        """How far the answer had come."""
        if self.events_for_s is not None:
            has_flowed = self.events_for_s >= BEGUN_S
            return AnswerStage.FLOWING if has_flowed else AnswerStage.BEGUN
        if self.has_part_of_event:
            return AnswerStage.PART_OF_EVENT
        if self.has_head:
            return AnswerStage.HEAD
        return AnswerStage.PART_OF_HEAD if self.has_bytes else AnswerStage.NOTHING


@attrs.frozen(kw_only=True)
class CrashWeights:
    """How much a crash of an engine counts against a request that was there; 0 is nothing."""

    request: float
    """Against the request itself."""
    parts: float
    """Against the parts that its prompt shares with others."""

    @property
    def is_nothing(self) -> bool:
        """Whether the crash says nothing of the request."""
        return not (self.request or self.parts)


STARTED = CrashWeights(request=WEIGHT_STARTED, parts=WEIGHT_STARTED)
NO_WEIGHT = CrashWeights(request=0.0, parts=0.0)


def weigh_crash(stage: AnswerStage, *, has_flowed: bool, goes_on: bool) -> CrashWeights:
    """Return how much a crash counts by how far the answer had come.

    ``has_flowed`` tells that an earlier attempt of the request has, ``goes_on`` that its caller
    brought events of an earlier request.
    """
    if stage is AnswerStage.FLOWING:
        return NO_WEIGHT
    if stage is AnswerStage.NOTHING:
        is_known = has_flowed or goes_on
        return CrashWeights(request=0.0 if is_known else WEIGHT_QUEUED, parts=WEIGHT_QUEUED)
    if stage is AnswerStage.BEGUN:
        return CrashWeights(request=0.0 if has_flowed else WEIGHT_QUEUED, parts=WEIGHT_STARTED)
    return STARTED
