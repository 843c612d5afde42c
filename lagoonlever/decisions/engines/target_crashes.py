"""A crash of a target's process while it had a request, as one VM saw it."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

WEIGHT_STARTED = 1.0
"""Weight of a crash where the target had started to run the request, or is assumed to have."""
WEIGHT_QUEUED = 0.5
"""Weight of a crash where the request may only have been queued at the target."""
MAX_REQUESTS = 4
"""Requests that are named at one crash; two different ones are enough for any decision."""
MAX_REPORT_DELAY_S = 0.5
"""A report of a crash from before an answer arrives within this time after the answer.

It covers the detection of the crash and one message.
"""


@attrs.frozen(kw_only=True)
class Crash:
    """A crash of a target's process under a request; ``at`` in seconds."""

    at: float
    weight: float = WEIGHT_STARTED
    requests: tuple[str, ...] = ()
    """Of a part: fingerprints of requests with the part that were there, ``MAX_REQUESTS`` at
    most."""
    tested: bool = False
    """Whether it was known by then on which parts answers begin."""

    @classmethod
    def from_report(
        cls, *, at: float, weight: float, requests: tuple[str, ...] = (), tested: bool = False
    ) -> Crash:
        """Create a crash from received data, its weight set to one of the two valid ones."""
        valid = WEIGHT_STARTED if weight >= WEIGHT_STARTED else WEIGHT_QUEUED
        return cls(at=at, weight=valid, requests=requests[:MAX_REQUESTS], tested=tested)

    def merge(self, other: Crash) -> Crash:
        """Combine two reports of the same crash: the earlier time and the greater weight.

        The requests are those of the reports with that weight.
        """
        weight = max(self.weight, other.weight)
        reports = (report for report in (self, other) if report.weight == weight)
        requests = sorted({request for report in reports for request in report.requests})
        return Crash(
            at=min(self.at, other.at),
            weight=weight,
            requests=tuple(requests[:MAX_REQUESTS]),
            tested=self.tested or other.tested,
        )

    def may_explain(self, other: Crash) -> bool:
        """Check whether the request of this crash is as likely the cause as that of ``other``.

        Both record the crash of one process, each under another request that was there.
        """
        return self.weight >= other.weight and self.at <= other.at + MAX_REPORT_DELAY_S


CrashesByRequest = Mapping[str, Mapping[str, Crash]]
"""Crashes by the request's fingerprint, then by the name of the crashed process."""


def process_name(target: str, started_ms: int | None) -> str:
    """Return the name of a target's process; after a restart under the same id it differs."""
    return target if started_ms is None else f"{target}@{started_ms}"
