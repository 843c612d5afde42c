"""Tests of the reports that are kept of each target: models, load, failed connects."""

from __future__ import annotations

import attrs
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonlever.decisions.targets.load import LOAD_STALE_S, MAX_IMPAIRED_S, TargetReports
from lagoonlever.decisions.targets.targets import ModelKey, Target, TargetKind, TargetLoad
from lagoonlever.http.messages import Address

MODELS = (ModelKey(name="base", version="1"),)


def target(incarnation: int) -> Target:
    address = Address(host="10.0.0.1", port=8000 + incarnation)
    return Target(name="engine-1", address=address, kind=TargetKind.ENGINE)


class ReportsMachine(RuleBasedStateMachine):
    """One target in several incarnations; late answers of an earlier one arrive at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.reports = TargetReports()
        self.now = 0.0
        self.incarnation = 0
        self.models_of_incarnation: set[int] = set()
        self.load_at: float | None = None
        self.reached_at = 0.0
        self.failed_at: float | None = None

    @rule(seconds=st.floats(0.1, 20.0))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def return_elsewhere(self) -> None:
        self.incarnation += 1
        self.models_of_incarnation.clear()
        self.load_at = self.failed_at = None

    @rule()
    def models_read(self) -> None:
        self.reports.record_models(target(self.incarnation), MODELS)
        self.models_of_incarnation.add(self.incarnation)

    @rule()
    def late_answer_of_an_earlier_incarnation(self) -> None:
        if self.incarnation:
            old = target(self.incarnation - 1)
            self.reports.record_models(old, ())
            self.reports.record_connect_failure(old, self.now)

    @rule()
    def load_read(self) -> None:
        load = TargetLoad(running=1, waiting=0, slots=16, received_at=self.now)
        self.reports.record_load(target(self.incarnation), load)
        self.load_at, self.failed_at = self.now, None

    @rule()
    def connect_failed(self) -> None:
        self.reports.record_connect_failure(target(self.incarnation), self.now)
        self.failed_at = self.now

    @invariant()
    def only_fresh_reports_of_this_incarnation_count(self) -> None:
        described = self.reports.describe(target(self.incarnation), self.now)
        assert described == attrs.evolve(
            target(self.incarnation),
            models=described.models,
            load=described.load,
            impaired=described.impaired,
        )
        assert (described.models == MODELS) is (self.incarnation in self.models_of_incarnation)
        fresh = self.load_at is not None and self.now - self.load_at <= LOAD_STALE_S
        assert (described.load is not None) is fresh
        assert self.reports.needs_models(target(self.incarnation)) is not bool(described.models)

    @invariant()
    def a_failed_connect_counts_for_a_bounded_time(self) -> None:
        described = self.reports.describe(target(self.incarnation), self.now)
        if self.failed_at == self.now:
            assert described.impaired
        if self.failed_at is None or self.now - self.failed_at > MAX_IMPAIRED_S:
            assert not described.impaired


TestReports = ReportsMachine.TestCase
