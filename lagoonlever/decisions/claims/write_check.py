"""Final check right before a request that must not be repeated is written to its target.

Once the request is written, it may run. The process can be paused between the
choice of a target and the write, so that the choice is out of date; this check
is made in the same step as the write.
"""

from __future__ import annotations

from dataclasses import dataclass

import attrs

from lagoonlever.outcomes import Reason


@attrs.frozen(kw_only=True)
class WriteContext:
    """The input of the final check, read in the same step as the write.

    ``now``, ``deadline`` and ``key_expires_at`` are monotonic times in seconds;
    the latter two are None where there is no such limit. ``target_live`` says
    whether the target may be given new work. ``paused_s`` is the length of the
    process pause that was just detected, 0 without one.
    """

    now: float
    target_live: bool
    deadline: float | None = None
    key_expires_at: float | None = None
    paused_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Write:
    """Write the request now."""


@dataclass(frozen=True, kw_only=True)
class RefreshTargets:
    """The view of the targets may be out of date after a pause: refresh it, then check again."""


@dataclass(frozen=True, kw_only=True)
class ChooseOtherTarget:
    """The target must not be given new work."""


@dataclass(frozen=True, kw_only=True)
class Refuse:
    """The request must never be written."""

    reason: Reason
    message: str


WriteDecision = Write | RefreshTargets | ChooseOtherTarget | Refuse


def decide_write(context: WriteContext) -> WriteDecision:
    """Decide whether a request may be written at this moment.

    The check guards against a process that is stopped between the choice of a target
    and the write: when it continues, the deadline may have passed, the key may
    have expired and the target may be leaving. Monotonic time advances while a
    process is stopped, so the comparisons of times detect the first two. The
    view of the targets does not advance, so it is refreshed after a pause.
    """
    if context.deadline is not None and context.now >= context.deadline:
        return Refuse(reason=Reason.DEADLINE, message="its deadline passed before it was sent")
    if context.key_expires_at is not None and context.now >= context.key_expires_at:
        return Refuse(reason=Reason.KEY_EXPIRED, message="its key expired before it was sent")
    if context.paused_s > 0:
        return RefreshTargets()
    if not context.target_live:
        return ChooseOtherTarget()
    return Write()
