"""The estimate of a target's load at a moment, by which placement decisions are made."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs

from lagoonlever.decisions.targets.reported_load import USUAL_SLOWNESS


class LoadSource(enum.Enum):
    """Where the load report behind an estimate comes from."""

    NONE = "none"
    """There is no report: only the requests that this VM has sent are counted."""
    ANSWER = "answer"
    """The target reported its load in an answer to this VM."""
    RELAYED = "news"
    """Another VM passed the target's load report on."""


@attrs.frozen(kw_only=True)
class LoadEstimate:
    """The estimated number of requests at a target, and its machine's slowdown factor."""

    running: float
    waiting: float
    slots: float
    slowness: float = USUAL_SLOWNESS
    """The slowdown factor; returns to the usual 1.0 as the load report ages."""
    age_s: float = float("inf")
    """Seconds since the load report was true."""
    error: float = 0.0
    """By how many requests the count may be wrong, in either direction."""
    source: LoadSource = LoadSource.NONE

    @property
    def free(self) -> float:
        """Slots minus running and waiting requests.

        It is above 0 although requests wait where the target has reported waiting requests while
        fewer than ``slots`` were running, for example for lack of memory.
        """
        return self.slots - self.running - self.waiting


class LoadView(Protocol):
    """A source of load estimates of all targets."""

    def estimate(self, target: str, now: float) -> LoadEstimate:
        """Return the estimated load of a target; ``now`` in seconds of the monotonic clock."""

    def reports_slowness(self, target: str) -> bool:
        """Check whether the target's present process reports its machine's slowdown factor."""
