"""The load that a target reports in an answer."""

from __future__ import annotations

import attrs

USUAL_SLOWNESS = 1.0
"""The slowdown factor of a machine on which work takes as long as usual."""


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """The load of a target as it reports it: counts of requests, and its own slots."""

    running: float
    waiting: float
    slots: float
    slowness: float | None = None
    """The slowdown factor: work takes this many times as long as usual; None if not reported."""

    @property
    def reports_slowness(self) -> bool:
        """Whether the target reports its machine's slowdown factor."""
        return self.slowness is not None


@attrs.frozen(kw_only=True)
class LoadReport:
    """A load of one process of a target, with the time at which it was true."""

    target: str
    load: ReportedLoad
    at: float
    """Seconds of the monotonic clock of the VM that holds the report."""
    started_ms: int | None = None
    """When the target's process started, in Unix milliseconds; None if unknown."""
