"""What is thought of a target's load at a moment, for whoever decides where work goes."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs

from lagoonlever.decisions.targets.reported_load import USUAL


class LoadSource(enum.Enum):
    """Where an estimate comes from."""

    NONE = "none"
    """Nobody has said anything: only what this VM has sent there counts."""
    ANSWER = "answer"
    """The target told this VM."""
    NEWS = "news"
    """Another VM passed the target's word on."""


@attrs.frozen(kw_only=True)
class LoadEstimate:
    """Requests at a target and the pace of its machine, as far as can be told."""

    running: float
    waiting: float
    slots: float
    slowness: float = USUAL
    """Fades to the usual with the age of the word."""
    age_s: float = float("inf")
    """Since the word was true."""
    error: float = 0.0
    """By how many requests the count may be wrong, either way."""
    source: LoadSource = LoadSource.NONE

    @property
    def free(self) -> float:
        """The slots that are thought to be free; 0 or less where requests wait."""
        return self.slots - self.running - self.waiting


class LoadView(Protocol):
    """One view of the loads of all targets."""

    def estimate(self, target: str, now: float) -> LoadEstimate:
        """Give what is thought of a target; ``now`` in seconds of the monotonic clock."""

    def tells_slowness(self, target: str) -> bool:
        """Tell whether the target's present process has said how slow its machine is."""
