"""What gateways tell each other of what targets have said of themselves."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.targets.brittle_targets import BrittleReport
from lagoonlever.peers.messages import PEER


@attrs.frozen(kw_only=True)
class LeavingTarget:
    """A target that has said that it leaves."""

    target: str
    started_ms: int | None = None
    """The start of its process, where it is known."""


@PEER.message("lv")
@attrs.frozen(kw_only=True)
class TargetsLeave:
    """Targets that have said that they leave; lost, each VM hears it from their answers."""

    targets: tuple[LeavingTarget, ...]


@attrs.frozen(kw_only=True)
class BrittleTarget:
    """What a target has said of how brittle it is."""

    target: str
    refusals_per_s: int | None
    """Requests a second that it may turn away; None if it isn't brittle any more."""
    age_s: float
    started_ms: int | None = None
    """The start of its process, where it is known."""

    @classmethod
    def of(
        cls, target: str, report: BrittleReport, *, started_ms: int | None, now: float
    ) -> BrittleTarget:
        """Return the message of a report."""
        return cls(
            target=target,
            refusals_per_s=report.refusals_per_s,
            age_s=max(0.0, now - report.at),
            started_ms=started_ms,
        )

    def report(self, now: float) -> BrittleReport:
        """Return the report, by the clock of the VM that receives it."""
        return BrittleReport(refusals_per_s=self.refusals_per_s, at=now - max(0.0, self.age_s))


@PEER.message("lf")
@attrs.frozen(kw_only=True)
class TargetRefused:
    """A brittle target had no room for a request; lost, a VM that gives out its room may go on."""

    target: str
    attempt: str
    """Unique among all VMs, as a VM may be told by several others."""


@PEER.message("lb")
@attrs.frozen(kw_only=True)
class TargetsBrittle:
    """Targets that are brittle, or no more; lost, each VM hears it from their answers."""

    targets: tuple[BrittleTarget, ...]
