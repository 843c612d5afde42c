"""The state of each target as seen in probes and dispatches.

It consists of the models that an engine serves, the last load report, and failed connects, after
which other targets are preferred for a while.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.decisions.targets.targets import (
    ModelKey,
    Target,
    TargetIncarnation,
    TargetKind,
    TargetLoad,
)

LOAD_STALE_S = 15.0
"""The age beyond which a load report is ignored.

An older report predicts a target's load worse than the mean of the other targets' loads does.
"""
INITIAL_IMPAIRED_S = 2.0
"""How long a target is avoided after one failed connect; doubled for each further one."""
MAX_IMPAIRED_S = 30.0
"""The longest time for which a target is avoided after failed connects."""


@attrs.define(kw_only=True)
class _Report:
    """What is known of one incarnation of a target."""

    models: tuple[ModelKey, ...] | None = None
    load: TargetLoad | None = None
    failures: int = 0
    """The number of failed connects in succession, counted up to 8."""
    impaired_until: float = 0.0


@attrs.define(kw_only=True)
class TargetReports:
    """The latest report of each target, by name and address.

    A late answer of a target's former incarnation, at another address, therefore does not change
    the report of the present one.
    """

    _stale_s: float = LOAD_STALE_S
    _reports: dict[TargetIncarnation, _Report] = attrs.field(factory=dict)

    def needs_models(self, target: Target) -> bool:
        """Check whether the target is an engine whose models are not known yet."""
        if target.kind is TargetKind.APPLICATION:
            return False
        report = self._reports.get(target.incarnation)
        return report is None or report.models is None

    def describe(self, target: Target, now: float) -> Target:
        """Return the target with its models, its load if fresh, and whether it is impaired."""
        report = self._reports.get(target.incarnation)
        if report is None:
            return target
        load = report.load
        if load is not None and load.age_s(now) > self._stale_s:
            load = None
        return attrs.evolve(
            target,
            models=report.models or (),
            load=load,
            impaired=now < report.impaired_until,
        )

    def record_models(self, target: Target, models: tuple[ModelKey, ...]) -> None:
        """Record the models that an engine serves."""
        self._report(target).models = models

    def record_load(self, target: Target, load: TargetLoad) -> None:
        """Record a load report, which also shows that the target can be reached."""
        self._report(target).load = load
        self.record_connect(target)

    def record_connect(self, target: Target) -> None:
        """Record that the target was reached, which ends its impairment."""
        report = self._report(target)
        report.failures = 0
        report.impaired_until = 0.0

    def record_connect_failure(self, target: Target, now: float) -> None:
        """Record a failed connect: other targets are preferred for a while.

        The time doubles with each failure in succession, up to ``MAX_IMPAIRED_S``.
        """
        report = self._report(target)
        doubled_s: float = INITIAL_IMPAIRED_S * 2.0**report.failures
        report.impaired_until = now + min(MAX_IMPAIRED_S, doubled_s)
        report.failures = min(report.failures + 1, 8)

    def retain(self, targets: Iterable[Target]) -> None:
        """Remove the reports of all other targets, and of other incarnations of these."""
        kept = {target.incarnation for target in targets}
        self._reports = {key: report for key, report in self._reports.items() if key in kept}

    def _report(self, target: Target) -> _Report:
        return self._reports.setdefault(target.incarnation, _Report())
