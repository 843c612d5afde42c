"""The last check before a request that may not be repeated is written to its target."""

from __future__ import annotations

from dataclasses import dataclass

import attrs

from lagoonlever.outcomes import Reason


@attrs.frozen(kw_only=True)
class WriteContext:
    """All that the last check looks at, read in the same step as the write.

    ``deadline`` and ``key_expires_at`` are monotonic times in seconds or None;
    ``paused_s`` is how long this process seems to have been paused just now.
    """

    now: float
    target_live: bool
    deadline: float | None = None
    key_expires_at: float | None = None
    paused_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Write:
    """Write now."""


@dataclass(frozen=True, kw_only=True)
class RefreshTargets:
    """What this process knows of the targets may be old: learn it again, then check."""


@dataclass(frozen=True, kw_only=True)
class ChooseOtherTarget:
    """The target must not be given new work."""


@dataclass(frozen=True, kw_only=True)
class Refuse:
    """The request is never to be written."""

    reason: Reason
    message: str


WriteDecision = Write | RefreshTargets | ChooseOtherTarget | Refuse


def decide_write(facts: WriteContext) -> WriteDecision:
    """Decide whether a request may be written at this moment.

    Guards against a process that is frozen between its decision and its write:
    on waking, the deadline may be long past, the key expired and the target
    leaving. Monotonic time goes on while a process is stopped, so that the
    times show it; the view of the targets does not, so it is learnt again.
    """
    if facts.deadline is not None and facts.now >= facts.deadline:
        return Refuse(reason=Reason.DEADLINE, message="its deadline passed before it was sent")
    if facts.key_expires_at is not None and facts.now >= facts.key_expires_at:
        return Refuse(reason=Reason.KEY_EXPIRED, message="its key expired before it was sent")
    if facts.paused_s > 0:
        return RefreshTargets()
    if not facts.target_live:
        return ChooseOtherTarget()
    return Write()
