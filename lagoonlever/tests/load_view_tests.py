"""Tests of load estimates from reports, relayed reports and this VM's own requests."""

from __future__ import annotations

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lagoonlever.decisions.targets.load_estimate import LoadSource
from lagoonlever.decisions.targets.load_view import (
    ENDED_KEPT_S,
    SLOWDOWN_DURATION_S,
    SentTicket,
    TargetLoads,
)
from lagoonlever.decisions.targets.reported_load import USUAL_SLOWNESS, LoadReport, ReportedLoad

SLOTS = 6.0


def report(
    *, running: float = 0.0, waiting: float = 0.0, at: float = 0.0, slowness: float | None = None
) -> LoadReport:
    load = ReportedLoad(running=running, waiting=waiting, slots=SLOTS, slowness=slowness)
    return LoadReport(target="t", load=load, at=at)


def test_a_target_without_reports_has_the_requests_of_this_vm() -> None:
    loads = TargetLoads()
    loads.record_sent("t", 0.0)
    estimate = loads.estimate("t", 1.0)
    assert estimate.source is LoadSource.NONE
    assert (estimate.running, estimate.waiting) == (1, 0)


def test_requests_sent_since_the_report_are_added_and_ended_ones_subtracted() -> None:
    loads = TargetLoads()
    before = loads.record_sent("t", 0.0)
    loads.record_report(report(running=5, at=0.1))
    loads.record_sent("t", 0.2)
    loads.record_sent("t", 0.2)
    assert loads.estimate("t", 0.2).waiting == 1
    loads.record_ended(before, 0.3)
    assert (loads.estimate("t", 0.3).running, loads.estimate("t", 0.3).waiting) == (6, 0)
    loads.record_ended(before, 0.4)
    assert loads.estimate("t", 60.0).running == 6


def test_an_end_is_remembered_while_the_report_counts_its_request() -> None:
    """Guards against an idle target that counts as busy, once the end of a request is old."""
    loads = TargetLoads()
    ticket = loads.record_sent("t", 0.0)
    loads.record_report(report(running=1, at=0.1))
    loads.record_ended(ticket, 0.2)
    for number in range(20):
        loads.record_ended(loads.record_sent("t", 1.0 + number), 1.5 + number)
    assert loads.estimate("t", 30.0).running == 0


def test_a_relayed_report_of_before_an_end_adds_no_request() -> None:
    loads = TargetLoads()
    ticket = loads.record_sent("t", 0.0)
    loads.record_ended(ticket, 0.2)
    loads.record_relayed_report(report(running=3, at=0.19))
    assert loads.estimate("t", 0.21).running == 2


@pytest.mark.parametrize("told", [0.0, 1.0])
def test_a_report_that_never_changes_does_not_hide_requests_of_this_vm(told: float) -> None:
    """Guards against a target that always reports to be idle and is then sent all requests."""
    loads = TargetLoads()
    for number in range(9):
        loads.record_sent("t", 0.1 * number)
        loads.record_report(report(running=told, at=0.1 * number + 0.05))
    estimate = loads.estimate("t", 1.0)
    assert (estimate.running, estimate.waiting) == (6, 3)


def test_slowness_returns_to_the_usual_within_the_slowdown_duration() -> None:
    loads = TargetLoads()
    loads.record_report(report(at=0.0, slowness=2.5))
    seen = [
        loads.estimate("t", SLOWDOWN_DURATION_S * part).slowness for part in (0.0, 0.5, 1.0, 9.0)
    ]
    assert seen == [2.5, 1.75, USUAL_SLOWNESS, USUAL_SLOWNESS]


def test_an_older_relayed_report_does_not_replace_a_newer_one() -> None:
    """Guards against an older report that another VM passes on after the target's own answer."""
    loads = TargetLoads()
    loads.record_report(report(running=4, at=1.0, slowness=1.0))
    assert not loads.record_relayed_report(report(running=0, at=0.5, slowness=2.5))
    assert loads.estimate("t", 1.0).running == 4
    assert loads.record_relayed_report(report(running=2, at=1.5))
    assert loads.estimate("t", 1.6).source is LoadSource.RELAYED
    assert not loads.reports_slowness("t")


def test_an_answer_of_the_former_process_is_ignored_for_the_new_one() -> None:
    loads = TargetLoads()
    ticket = loads.record_sent("t", 0.0)
    loads.record_report(report(running=6, at=0.5, slowness=2.5))
    loads.record_restart("t", 1.0)
    assert not loads.record_report(report(running=6, at=1.1, slowness=2.5), asked_at=0.9)
    loads.record_ended(ticket, 1.2)
    assert loads.estimate("t", 1.3).running == 0
    assert not loads.reports_slowness("t")


def test_the_error_of_the_count_grows_with_the_age_of_its_report() -> None:
    loads = TargetLoads()
    loads.record_report(report(running=3, at=0.0))
    errors = [loads.estimate("t", at).error for at in (0.0, 0.1, 1.0, 100.0)]
    assert errors[0] == 0.0 and errors == sorted(errors) and errors[-1] == SLOTS


class ViewMachine(RuleBasedStateMachine):
    """One target in several incarnations; ends of requests and reports arrive late at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.loads = TargetLoads()
        self.now = 0.0
        self.restarted_at = float("-inf")
        self.open: dict[SentTicket, float] = {}
        self.finished: list[SentTicket] = []
        self.ended: list[tuple[float, float]] = []
        """When each request to this incarnation was sent and ended."""
        self.reported: LoadReport | None = None

    @rule(seconds=st.floats(0.001, 5.0))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def send(self) -> None:
        self.open[self.loads.record_sent("t", self.now)] = self.now

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        ticket = data.draw(st.sampled_from(list(self.open)))
        self.loads.record_ended(ticket, self.now)
        self.ended.append((self.open.pop(ticket), self.now))
        self.finished.append(ticket)

    @precondition(lambda self: self.finished)
    @rule(data=st.data())
    def end_again(self, data: st.DataObject) -> None:
        self.loads.record_ended(data.draw(st.sampled_from(self.finished)), self.now)

    @rule(extra=st.integers(0, 9), waiting=st.integers(0, 9))
    def answer(self, extra: int, waiting: int) -> None:
        running = float(extra + len(self.open))
        received = report(running=running, waiting=waiting, at=self.now, slowness=2.5)
        if self.loads.record_report(received):
            self.reported = received

    @rule(age_s=st.floats(0.0, 0.9 * ENDED_KEPT_S), running=st.integers(0, 9))
    def news(self, age_s: float, running: int) -> None:
        received = report(running=running, at=self.now - age_s)
        if self.loads.record_relayed_report(received):
            assert received.at >= self.restarted_at
            self.reported = received

    @rule()
    def restart(self) -> None:
        self.loads.record_restart("t", self.now)
        self.finished += self.open
        self.open.clear()
        self.ended.clear()
        self.reported, self.restarted_at = None, self.now

    @invariant()
    def own_requests_are_counted_once(self) -> None:
        estimate = self.loads.estimate("t", self.now)
        count = estimate.running + estimate.waiting
        assert self.loads.open_requests("t") == len(self.open)
        if self.reported is None:
            assert count == len(self.open)
            return
        load, at = self.reported.load, self.reported.at
        sent = sum(sent_at > at for sent_at in self.open.values())
        gone = sum(sent_at <= at < ended_at for sent_at, ended_at in self.ended)
        assert count == max(len(self.open), load.running + load.waiting + sent - gone)

    @invariant()
    def figures_stay_within_bounds(self) -> None:
        estimate = self.loads.estimate("t", self.now)
        assert min(estimate.running, estimate.waiting, estimate.error, estimate.age_s) >= 0.0
        assert USUAL_SLOWNESS <= estimate.slowness <= 2.5

    @invariant()
    def a_new_incarnation_starts_with_no_report(self) -> None:
        if self.reported is None:
            assert self.loads.latest_report("t") is None
            assert self.loads.estimate("t", self.now).running == len(self.open)


TestView = ViewMachine.TestCase
