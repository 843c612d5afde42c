"""Whether an answer is whole whose end is told by nothing but that of its connection.

The kernel ends the connections of a process that crashes as it ends those that the process closes
itself. Where nothing is cut through the two can't be told apart by the answer; the engine can be
asked whether it lives.
"""

from __future__ import annotations

import enum


class AnswerEnd(enum.Enum):
    """Decision on an answer that ended with its connection, after a whole event."""

    WHOLE = "whole"
    ENGINE_GONE = "engine-gone"
    """The process that wrote it does not answer any more: it may have ended under the answer."""
    CUT = "cut"
    """The engine has made more events than have come."""


def judge_end(
    *,
    answers: bool,
    is_same: bool,
    events_made: int | None,
    position: int | None,
) -> AnswerEnd:
    """Return what an answer is by what its engine tells after its end.

    ``answers`` and ``is_same`` tell whether the engine does so, as the process that was sent the
    request. That an engine was to leave is no sign: one that leaves may have finished its last
    answer, or have ended within it. ``events_made`` counts the events of the run, if a report lists
    it, and ``position`` is the last that has come, if events are numbered. A report is some hundred
    milliseconds old, so that a run which it lists may be over.
    """
    if not (answers and is_same):
        return AnswerEnd.ENGINE_GONE
    if events_made is not None and position is not None and events_made > position:
        return AnswerEnd.CUT
    return AnswerEnd.WHOLE
