"""An end of a target's process under a request, as one VM saw it."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

WEIGHT_STARTED = 1.0
"""The weight of an end where the target had begun to run the request, or may be assumed to."""
WEIGHT_QUEUED = 0.5
"""The same where the request may only have waited at the target."""
LATE_NEWS_S = 0.5
"""News of an end from before an answer arrives within this: the detection, and a message."""


@attrs.frozen(kw_only=True)
class Crash:
    """A target's process ended under a request; ``at`` in seconds."""

    at: float
    weight: float = WEIGHT_STARTED

    @classmethod
    def told(cls, *, at: float, weight: float) -> Crash:
        """Give an end that came from outside, its weight one of those that there are."""
        return cls(at=at, weight=WEIGHT_STARTED if weight >= WEIGHT_STARTED else WEIGHT_QUEUED)

    def joined(self, other: Crash) -> Crash:
        """Give what two words of the same end tell together."""
        return Crash(at=min(self.at, other.at), weight=max(self.weight, other.weight))

    def may_explain(self, other: Crash) -> bool:
        """Tell whether the request at this end is as likely its cause as that of ``other``."""
        return self.weight >= other.weight and self.at <= other.at + LATE_NEWS_S


CrashesByRequest = Mapping[str, Mapping[str, Crash]]
"""By a request's fingerprint: the ends of processes under it, by the process."""


def process_name(target: str, started_ms: int | None) -> str:
    """Give the name of a target's process; one that starts again under its id has another."""
    return target if started_ms is None else f"{target}@{started_ms}"
