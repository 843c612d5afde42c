"""What a target says of its load in an answer."""

from __future__ import annotations

import attrs

USUAL = 1.0
"""The slowness of a machine on which work takes as long as usual."""


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """How busy a target is by its own word; requests, and its own slots."""

    running: float
    waiting: float
    slots: float
    slowness: float | None = None
    """How many times as long as usual work takes there now; None where it doesn't say."""

    @property
    def tells_slowness(self) -> bool:
        """Whether the target says how slow its machine is."""
        return self.slowness is not None


@attrs.frozen(kw_only=True)
class LoadReport:
    """A load with the moment at which it was true, of one process of a target."""

    target: str
    load: ReportedLoad
    at: float
    """Seconds of the monotonic clock of the VM that has the word."""
    started_ms: int | None = None
    """The start of the target's process, where it is known."""
