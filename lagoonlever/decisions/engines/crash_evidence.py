"""Decision whether an engine that a VM has lost crashed, or is only out of reach.

A connection that breaks or falls silent says little: the path may be lost, at this VM or at all of
them, or the VM by way of which the engine was reached. A question that nobody answers says no more.
So the loss is pending until there is evidence: it counts once the engine's process is shown to be
gone, and falls once the process answers.
"""

from __future__ import annotations

import enum

import attrs


class Fate(enum.Enum):
    """What became of an engine's process."""

    LIVES = "lives"
    GONE = "gone"
    UNKNOWN = "unknown"


CLOSED_NEEDED = 3
"""Connections that are closed unanswered; one or two may have broken with the VM that led there."""


@attrs.frozen(kw_only=True)
class LossSigns:
    """What a VM knows of an engine after a loss."""

    answers: bool = False
    """Something answered at the engine's address."""
    is_other_process: bool = False
    """What answered, or is listed under the engine's id, is known to be another process."""
    takes_no_connection: bool = False
    """A VM that reaches other engines does not reach this one."""
    closed_connections: int = 0
    """So many new connections to it in a row were closed without an answer."""
    is_replaced: bool = False
    """The engine is no longer listed, or another one has its address."""
    is_reported: bool = False
    """Another VM has reported the crash."""


def judge_loss(signs: LossSigns) -> Fate:
    """Return what became of the engine's process; an answer of its own goes before all else."""
    if signs.is_other_process:
        return Fate.GONE
    if signs.answers:
        return Fate.LIVES
    if signs.takes_no_connection or signs.is_replaced or signs.is_reported:
        return Fate.GONE
    return Fate.GONE if signs.closed_connections >= CLOSED_NEEDED else Fate.UNKNOWN
