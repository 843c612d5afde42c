"""Tests of the rate limits that targets report, and of the permits to send requests."""

from __future__ import annotations

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonlever.bench.target_limits_model import LimitCase, LimitModel, Way
from lagoonlever.decisions.targets.limit_permits import (
    MIN_REQUIRED_PERMITS,
    MISSES_KEPT_S,
    STAND_IN_SHARE,
    Denied,
    DeniedTargets,
    Granted,
    PermitBuckets,
    SilentVms,
    limit_coordinator,
    limit_coordinators,
    required_permits,
)
from lagoonlever.decisions.targets.reported_limits import LimitReport, ReportedLimits

MIN_USED = {9: 0.9, 75: 0.8, 195: 0.8, 300: 0.8}


def granted(book: PermitBuckets, *, per_s: float, need: float, seconds: float) -> int:
    """Request permits a thousand times a second; return how many were granted."""
    count = 0
    for turn in range(int(seconds * 1000)):
        outcome = book.acquire("t", per_s=per_s, need=need, now=turn / 1000)
        count += isinstance(outcome, Granted)
    return count


@pytest.mark.parametrize("vms", MIN_USED)
@pytest.mark.parametrize("per_s", [2.8, 5.0])
@pytest.mark.parametrize("targets", [1, 10])
def test_all_vms_together_keep_to_a_limit_and_use_it(vms: int, per_s: float, targets: int) -> None:
    """Guards against VMs that together exceed a limit in large fleets, or leave it unused."""
    case = LimitCase(vms=vms, targets=targets, per_s=per_s)
    played = LimitModel(case=case, way=Way.COUNTED, rng=random.Random(7)).run()
    assert played.worst <= 1.0
    assert played.used >= MIN_USED[vms]


def test_a_limit_of_zero_still_grants_a_permit_now_and_then() -> None:
    """Guards against a limit whose end is never learnt, as no request is sent any more."""
    assert 1 <= granted(PermitBuckets(), per_s=0.0, need=MIN_REQUIRED_PERMITS, seconds=8.0) <= 2


def test_the_most_valuable_work_takes_a_limit_that_is_too_small_for_all() -> None:
    book = PermitBuckets()
    first, again = 0, 0
    for turn in range(20_000):
        now = turn / 1000
        least = required_permits(priority=2, begun=False, first=False)
        again += isinstance(book.acquire("t", per_s=5.0, need=least, now=now), Granted)
        first += isinstance(
            book.acquire("t", per_s=5.0, need=MIN_REQUIRED_PERMITS, now=now), Granted
        )
    assert first >= 95
    assert again <= 5


def test_work_of_less_value_gets_a_limit_that_nobody_else_uses() -> None:
    need = required_permits(priority=3, begun=False, first=False)
    assert granted(PermitBuckets(), per_s=5.0, need=need, seconds=20.0) >= 95


def test_a_target_with_an_older_limit_gets_the_next_request_at_once() -> None:
    book = PermitBuckets()
    book.begin("t", 0.0)
    assert isinstance(book.acquire("t", per_s=4.0, need=MIN_REQUIRED_PERMITS, now=0.3), Granted)


def test_permits_that_were_removed_are_saved_anew_from_zero() -> None:
    book = PermitBuckets()
    book.begin("t", 0.0)
    book.retain(("other",))
    assert isinstance(book.acquire("t", per_s=1.0, need=MIN_REQUIRED_PERMITS, now=60.0), Denied)


def test_work_is_denied_where_work_as_valuable_was_denied() -> None:
    held = DeniedTargets()
    held.record_denial("t", need=1.5, until=5.0)
    assert held.is_denied("t", need=2.0, now=4.0)
    assert not held.is_denied("t", need=1.0, now=4.0)
    assert not held.is_denied("t", need=1.5, now=5.0)
    held.expire(5.0)
    assert not held.is_denied("t", need=2.0, now=4.0)


def test_all_vms_compute_the_same_coordinator_and_keep_it_as_others_leave() -> None:
    vms = [f"vm-{number}" for number in range(300)]
    coordinator = limit_coordinator("t", vms)
    assert limit_coordinator("t", reversed(vms)) == coordinator
    assert (
        limit_coordinator("t", [vm for vm in vms if vm in (coordinator, "vm-1", "vm-2")])
        == coordinator
    )


def test_the_stand_in_becomes_the_coordinator_once_the_first_is_gone() -> None:
    vms = [f"vm-{number}" for number in range(300)]
    coordinator, stand_in = limit_coordinators("t", vms)
    assert limit_coordinator("t", [vm for vm in vms if vm != coordinator]) == stand_in
    assert limit_coordinators("t", ["vm-1"]) == ["vm-1"]


def test_a_vm_is_silent_after_two_missed_requests_and_until_it_answers() -> None:
    """Guards against a stand-in for a VM that paused once while many requests were at it."""
    silent = SilentVms()
    for now in (1.0, 1.01, 1.02):
        silent.record_miss("vm-1", now)
    assert not silent.is_silent("vm-1", 1.02)
    silent.record_miss("vm-1", 1.2)
    assert silent.is_silent("vm-1", 1.2)
    assert not silent.is_silent("vm-1", 1.3 + MISSES_KEPT_S)
    silent.record_answer("vm-1")
    assert not silent.is_silent("vm-1", 1.2)
    silent.record_miss("vm-1", 1.4)
    assert not silent.is_silent("vm-1", 1.4)


@pytest.mark.parametrize("per_s", [0.7, 2.8, 5.1, 60.0])
def test_a_coordinator_and_a_stand_in_at_once_stay_within_what_a_target_bears(per_s: float) -> None:
    """Guards against an overload by a stand-in beside a coordinator that still issues permits.

    A target bears half as much again as its limit, plus 5 requests.
    """
    books = ((PermitBuckets(), per_s), (PermitBuckets(), STAND_IN_SHARE * per_s))
    for book, _ in books:
        book.begin("t", 0.0)
    granted = 0
    for step in range(401):
        now = 100.0 + step / 100
        for book, own_per_s in books:
            while isinstance(book.acquire("t", per_s=own_per_s, need=1.0, now=now), Granted):
                granted += 1
    assert granted <= 1.5 * per_s * 4.0 + 5


def test_an_overtaken_answer_without_a_limit_does_not_end_one() -> None:
    """Guards against a burst of requests, as an answer of before a limit arrives after it."""
    named = ReportedLimits()
    assert named.update("t", LimitReport.from_answer(5.0, sent_at=0.9, now=1.0))
    assert not named.update("t", LimitReport.from_answer(None, sent_at=0.8, now=1.1))
    assert named.current("t") is not None
    assert named.update("t", LimitReport.from_answer(None, sent_at=1.05, now=1.2))
    assert named.current("t") is None


class LimitReports(RuleBasedStateMachine):
    """Reports of one target reach a VM late, twice and in any order; some are lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.reports: list[LimitReport] = []
        self.named = ReportedLimits()
        self.newest: LimitReport | None = None

    @rule(per_s=st.one_of(st.none(), st.floats(0.0, 1e9)), later=st.floats(0.001, 5.0))
    def report(self, per_s: float | None, later: float) -> None:
        self.now += later
        self.reports.append(LimitReport(per_s=per_s, at=self.now))

    @rule(data=st.data())
    def receive(self, data: st.DataObject) -> None:
        if not self.reports:
            return
        received = data.draw(st.sampled_from(self.reports))
        self.named.update("t", received)
        if self.newest is None and received.per_s is None:
            return
        if self.newest is None or received.at > self.newest.at:
            self.newest = received

    @rule()
    def restart(self) -> None:
        self.named.forget("t")
        self.newest = None
        self.reports.clear()

    @invariant()
    def the_newest_report_counts(self) -> None:
        expected = self.newest if self.newest and self.newest.per_s is not None else None
        assert self.named.current("t") == expected


TestLimitReports = LimitReports.TestCase
