"""Tests of the requests that a new version gets, and of the decision on it."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.bench.rollout_model import STOPS_AFTER_S, Conduct, RolloutCase, RolloutModel
from lagoonlever.decisions.rollouts import plan as rollout_plan
from lagoonlever.decisions.rollouts import totals as rollout_totals
from lagoonlever.decisions.rollouts.evidence import (
    NO_EVIDENCE,
    AnswerCounts,
    AnswersBySecond,
    Judgement,
    judge,
)
from lagoonlever.decisions.rollouts.plan import (
    ExposureBounds,
    OtherVersions,
    TrialProgress,
    plan_rollout,
)
from lagoonlever.decisions.rollouts.totals import RolloutTotals, VmCounts
from lagoonlever.decisions.rollouts.versions import (
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    ServiceVersions,
)
from lagoonlever.gateway.rollout_tally import RolloutTally
from lagoonlever.tests.base import at

ORDER = RolloutOrder(service="apps", version="v2", duration_s=12.0)
BOUNDS = ExposureBounds()
SOUND = Judgement(total_log_ratio=-9.0, worst_log_ratio=-3.0)
BAD = Judgement(total_log_ratio=9.0, worst_log_ratio=9.0)


def progress(elapsed_s: float, **overrides: object) -> TrialProgress:
    fields = {"arrivals": {"bid": int(60 * elapsed_s)}, "exposed": 0, **overrides}
    return TrialProgress(elapsed_s=elapsed_s, **fields)  # type: ignore[arg-type]


def counts(good: int, failed: int = 0, seconds: float = 0.05) -> AnswerCounts:
    result = AnswerCounts(failed=failed)
    for _ in range(good):
        result = result.with_answer(seconds)
    return result


def test_a_bad_version_is_detected_by_its_failures_within_a_dozen_answers() -> None:
    old = AnswersBySecond(counts={0: counts(60, 1)})
    assert judge([(AnswersBySecond(counts={0: counts(8, 4)}), old)]).is_bad


def test_failures_that_the_old_version_shares_are_no_evidence() -> None:
    """Guards against blaming a version for crashes that are unrelated to it.

    A data centre's engines crash in one second: both versions lose a third of their answers.
    """
    old = AnswersBySecond(counts={0: counts(60), 1: counts(20, 12), 2: counts(60)})
    new = AnswersBySecond(counts={0: counts(10), 1: counts(4, 3), 2: counts(30)})
    assert not judge([(new, old)]).is_bad
    assert judge([(new, old)]).is_likely_sound


def test_a_bad_version_is_detected_by_answers_that_take_four_times_as_long() -> None:
    old = AnswersBySecond(counts={0: counts(60)})
    slow = counts(8).plus(counts(6, seconds=0.2))
    assert judge([(AnswersBySecond(counts={0: slow}), old)]).is_bad


def test_a_version_that_fails_on_one_route_only_is_not_judged_sound() -> None:
    old = AnswersBySecond(counts={0: counts(60)})
    often = (AnswersBySecond(counts={0: counts(60)}), old)
    rare = (AnswersBySecond(counts={0: counts(2, 3)}), old)
    assert not judge([often, rare]).is_sound


def test_a_message_that_is_lost_doubled_or_late_changes_no_count() -> None:
    lane = ("bid", RolloutPhase.TRIAL)
    reports = [
        VmCounts(lanes={lane: counts(n)}, arrivals={"bid": 10 * n}, exposed=n) for n in range(1, 5)
    ]
    totals = RolloutTotals()
    for number in (0, 2, 2, 1, 3, 0):
        totals.record_vm_counts("vm-0", reports[number], elapsed_s=1.0)
    seen = totals.progress(elapsed_s=2.0, is_moving=False)
    assert (seen.arrivals, seen.exposed) == ({"bid": 40}, 4)
    assert sum(c.total for c in totals._counts_by_second[lane].values()) == 4


def test_only_good_answers_show_that_targets_of_other_versions_exist() -> None:
    """Guards against taking connection resets of dead targets as proof that the targets exist."""
    totals = RolloutTotals()
    for good in (0, 1):
        lanes = {("bid", None): counts(good, failed=3), ("bid", RolloutPhase.TRIAL): counts(4)}
        report = VmCounts(lanes=lanes, arrivals={"bid": 7 + good})
        totals.record_vm_counts("vm-0", report, elapsed_s=1.0)
        assert totals.other_version_answers == good


def test_a_new_leader_is_sent_the_earlier_counts() -> None:
    """Guards against a new leader without any counts.

    The leading VM is killed and nothing new is counted, so the other VMs had nothing to send.
    """
    tally = RolloutTally(order=ORDER, ordered_at=at(5))
    tally.arrived("bid")
    assert tally.news("vm-0", 10.0) is not None
    assert tally.news("vm-0", 10.2) is None
    assert tally.news("vm-1", 10.4) is not None
    assert tally.news("vm-1", 11.6) is not None


def test_a_bad_version_is_rolled_back_at_once() -> None:
    plan = plan_rollout(ORDER, progress(2.0, judgement=BAD), BOUNDS)
    assert (plan.state, plan.phase) == (RolloutState.ROLLED_BACK, RolloutPhase.HELD)


def test_all_work_moves_only_when_the_expected_requests_fit_into_the_allowance() -> None:
    early = plan_rollout(ORDER, progress(3.0, judgement=SOUND, exposed=15), BOUNDS)
    late = plan_rollout(ORDER, progress(10.8, judgement=SOUND, exposed=15), BOUNDS)
    assert (early.phase, late.phase) == (RolloutPhase.TRIAL, RolloutPhase.MOVING)


@pytest.mark.parametrize(
    ("exposed", "moved", "state"),
    [
        (70, SOUND, RolloutState.RUNNING),
        (76, SOUND, RolloutState.COMPLETED),
        (76, NO_EVIDENCE, RolloutState.RUNNING),
        (76, Judgement(total_log_ratio=-3.0, worst_log_ratio=-1.0), RolloutState.RUNNING),
        (84, SOUND, RolloutState.RUNNING),
    ],
)
def test_a_sound_version_stays_where_more_requests_came_than_were_expected(
    exposed: int, moved: Judgement, state: RolloutState
) -> None:
    """Guards against a sound version that loses all work right before its deadline.

    More requests arrive than expected, and the version would be rolled back. Its allowance until
    the deadline is 122 requests here, of which 42 are still expected.
    """
    seen = progress(
        11.3, judgement=SOUND, judgement_since_move=moved, exposed=exposed, is_moving=True
    )
    assert plan_rollout(ORDER, seen, BOUNDS).state is state


def test_a_version_without_targets_is_neither_moved_to_nor_completed() -> None:
    """Guards against ending the only targets that serve for a version whose targets all leave."""
    before, after = ORDER.duration_s - 1.0, ORDER.duration_s
    for is_moving in (False, True):
        for elapsed_s, state in ((before, RolloutState.RUNNING), (after, RolloutState.ROLLED_BACK)):
            seen = progress(
                elapsed_s,
                judgement=SOUND,
                judgement_since_move=SOUND,
                is_moving=is_moving,
                is_listed=False,
            )
            plan = plan_rollout(ORDER, seen, BOUNDS)
            assert plan.state is state
            assert plan.phase is not RolloutPhase.MOVING
            assert plan.shares == {}


def test_a_version_without_targets_is_rolled_back_only_while_others_are_there() -> None:
    """Guards against a verdict by a list that may name targets that are gone."""
    doubtful = OtherVersions(listed=True, is_settled=False)
    seen = progress(ORDER.duration_s, judgement=SOUND, is_listed=False, others=doubtful)
    assert plan_rollout(ORDER, seen, BOUNDS).state is RolloutState.RUNNING


def test_a_version_without_evidence_is_not_completed() -> None:
    for judgement in (NO_EVIDENCE, Judgement(total_log_ratio=-2.0, worst_log_ratio=-2.0)):
        plan = plan_rollout(ORDER, progress(12.0, judgement=judgement), BOUNDS)
        assert plan.state is RolloutState.ROLLED_BACK
    unseen_under_load = plan_rollout(ORDER, progress(12.0, judgement=SOUND, is_moving=True), BOUNDS)
    assert unseen_under_load.state is RolloutState.ROLLED_BACK


@given(
    elapsed_s=st.floats(0.0, 20.0),
    arrivals=st.dictionaries(st.sampled_from(["a", "b", "c"]), st.integers(0, 5_000)),
    exposed=st.integers(0, 500),
    duration_s=st.floats(0.5, 60.0),
)
def test_a_plan_never_exceeds_the_allowance(
    elapsed_s: float, arrivals: dict[str, int], exposed: int, duration_s: float
) -> None:
    order = RolloutOrder(service="apps", version="v2", duration_s=duration_s)
    seen = TrialProgress(
        elapsed_s=elapsed_s,
        arrivals=arrivals,
        exposed=exposed,
        judgement=SOUND,
        judgement_since_move=SOUND,
    )
    plan = plan_rollout(order, seen, BOUNDS)
    rate = sum(arrivals.values()) / max(1.0, elapsed_s)
    allowed = BOUNDS.share * rate * duration_s + BOUNDS.slack
    if plan.phase is RolloutPhase.MOVING and not plan.state.is_final:
        assert exposed + rate * (duration_s - elapsed_s) <= allowed
    assert all(0.0 <= share <= 1.0 for share in plan.shares.values())


@pytest.mark.parametrize("conduct", [c for c in Conduct if c is not Conduct.SOUND])
@pytest.mark.parametrize("duration_s", [6.0, 12.0, 25.0])
def test_a_bad_version_gets_no_more_than_allowed_and_stops(
    conduct: Conduct, duration_s: float
) -> None:
    case = RolloutCase(
        rates={"bid": 74.0, "look": 51.0},
        answer_s=0.06,
        duration_s=duration_s,
        conduct=conduct,
        old_fails=0.14,
    )
    for seed in range(3):
        run = RolloutModel(case=case, rng=random.Random(seed)).run()
        assert run.exposed <= run.allowed
        assert run.after_stop_s <= STOPS_AFTER_S


@pytest.mark.parametrize("answer_s", [0.05, 0.2])
@pytest.mark.parametrize("seed", range(10))
def test_a_sound_version_is_completed_where_time_and_requests_suffice(
    seed: int, answer_s: float
) -> None:
    case = RolloutCase(
        rates={"bid": 20.0, "look": 20.0},
        answer_s=answer_s,
        duration_s=ORDER.duration_s,
        conduct=Conduct.SOUND,
        old_fails=0.0,
    )
    run = RolloutModel(case=case, rng=random.Random(seed)).run()
    assert run.state is RolloutState.COMPLETED
    assert run.decided_s <= ORDER.duration_s
    assert run.exposed <= run.allowed


def late_version(seed: int) -> RolloutModel:
    case = RolloutCase(
        rates={"bid": 74.0, "look": 51.0},
        answer_s=0.06,
        duration_s=25.0,
        conduct=Conduct.FAILS_LATER,
    )
    return RolloutModel(case=case, rng=random.Random(seed))


def test_without_the_allowance_a_version_that_turns_bad_late_gets_too_much(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(rollout_plan, "_may_move", lambda *_: True)
    run = late_version(1).run()
    assert run.exposed > run.allowed


def test_without_the_judgement_by_answers_a_bad_version_keeps_getting_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(rollout_totals, "judge", lambda _: SOUND)
    run = late_version(1).run()
    assert run.state is RolloutState.COMPLETED
    assert run.after_stop_s > STOPS_AFTER_S


def test_the_versions_that_were_there_first_serve_until_one_is_completed() -> None:
    versions = ServiceVersions()
    versions.update_known_versions({"v1"})
    assert versions.ordinary_versions({"v1", "v2"}) == {"v1"}
    versions.apply_order(ORDER, {"v1"})
    assert versions.ordinary_versions({"v1", "v2"}) == {"v1"}
    versions.phase = RolloutPhase.MOVING
    assert versions.ordinary_versions({"v1", "v2"}) == {"v2"}
    versions.apply_state(RolloutState.COMPLETED)
    assert versions.ordinary_versions({"v1", "v2"}) == {"v2"}
    versions.apply_state(RolloutState.ROLLED_BACK)
    assert versions.ordinary_versions({"v1", "v2"}) == {"v2"}


def test_a_rolled_back_version_gets_nothing_even_if_it_is_the_only_one() -> None:
    versions = ServiceVersions()
    versions.update_known_versions({"v1"})
    versions.apply_order(ORDER, {"v1"})
    assert versions.ordinary_versions({"v2"}) == {"v2"}
    versions.apply_state(RolloutState.ROLLED_BACK)
    assert versions.ordinary_versions({"v2"}) == frozenset()
