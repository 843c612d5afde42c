"""What probes and dispatches taught about each target: models, load, failed connects."""

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
"""An older report says less than the mean of the others, so it is dropped."""
IMPAIRED_FIRST_S = 2.0
IMPAIRED_LONGEST_S = 30.0


@attrs.define(kw_only=True)
class _Report:
    models: tuple[ModelKey, ...] | None = None
    load: TargetLoad | None = None
    failures: int = 0
    impaired_until: float = 0.0


@attrs.define(kw_only=True)
class TargetReports:
    """The latest report of each target, by name and address.

    A late answer of a target's former life at another address says nothing of
    the present one.
    """

    _stale_s: float = LOAD_STALE_S
    _reports: dict[TargetIncarnation, _Report] = attrs.field(factory=dict)

    def needs_models(self, target: Target) -> bool:
        """Tell whether an engine has not yet told which models it serves."""
        if target.kind is TargetKind.APPLICATION:
            return False
        report = self._reports.get(target.incarnation)
        return report is None or report.models is None

    def described(self, target: Target, now: float) -> Target:
        """Give the target with its models, its load if fresh, and whether it is impaired."""
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

    def models_read(self, target: Target, models: tuple[ModelKey, ...]) -> None:
        """Take the models that an engine serves."""
        self._of(target).models = models

    def load_read(self, target: Target, load: TargetLoad) -> None:
        """Take a load report, which also shows that the target answers."""
        self._of(target).load = load
        self.connected(target)

    def connected(self, target: Target) -> None:
        """Note that the target was reached."""
        report = self._of(target)
        report.failures = 0
        report.impaired_until = 0.0

    def connect_failed(self, target: Target, now: float) -> None:
        """Prefer others for a while, longer with each failure in a row."""
        report = self._of(target)
        doubled_s: float = IMPAIRED_FIRST_S * 2.0**report.failures
        report.impaired_until = now + min(IMPAIRED_LONGEST_S, doubled_s)
        report.failures = min(report.failures + 1, 8)

    def keep_only(self, targets: Iterable[Target]) -> None:
        """Forget every life of a target that is not among these."""
        lives = {target.incarnation for target in targets}
        self._reports = {life: r for life, r in self._reports.items() if life in lives}

    def _of(self, target: Target) -> _Report:
        return self._reports.setdefault(target.incarnation, _Report())
