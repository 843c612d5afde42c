"""Whether hubs answer, and when silence about a data centre says nothing about its VMs."""

from __future__ import annotations

from lagoonlever.decisions.fleet.hub_watch import (
    ANSWER_TIMEOUT_S,
    BLIND_S,
    FAILED_HUB_BACKOFF_S,
    ISOLATED_S,
    LATE_ANSWER_S,
    HubWatch,
)


def test_a_hub_that_does_not_answer_is_not_chosen_for_a_while() -> None:
    watch = HubWatch()
    watch.record_sent("h1", 0.0)
    watch.record_sent("h2", 0.0)
    watch.record_answer("h1", 0.5, data_center="a")
    watch.record_sent("h1", 0.6)
    watch.record_sent("h2", 0.6)
    assert watch.take_overdue(ANSWER_TIMEOUT_S) == ()
    assert watch.take_overdue(ANSWER_TIMEOUT_S + 0.1) == ("h2",)
    assert watch.failed_hubs(ANSWER_TIMEOUT_S + 0.1) == {"h2"}
    assert watch.failed_hubs(ANSWER_TIMEOUT_S + 0.2 + FAILED_HUB_BACKOFF_S) == frozenset()


def test_a_hub_whose_answer_is_late_is_reported_before_it_counts_as_failed() -> None:
    watch = HubWatch()
    watch.record_sent("h1", 0.0)
    assert watch.late_hubs(LATE_ANSWER_S) == frozenset()
    assert watch.late_hubs(LATE_ANSWER_S + 0.1) == {"h1"}
    assert watch.failed_hubs(LATE_ANSWER_S + 0.1) == frozenset()
    watch.record_answer("h1", LATE_ANSWER_S + 0.1, data_center="a")
    assert watch.late_hubs(LATE_ANSWER_S + 0.2) == frozenset()


def test_a_failed_hub_that_answers_can_be_chosen_again() -> None:
    watch = HubWatch()
    watch.record_sent("h1", 0.0)
    assert watch.take_overdue(ANSWER_TIMEOUT_S + 0.1) == ("h1",)
    watch.record_answer("h1", ANSWER_TIMEOUT_S + 0.2, data_center="a")
    assert watch.failed_hubs(ANSWER_TIMEOUT_S + 0.2) == frozenset()


def test_a_data_center_without_reports_is_told_apart_from_the_others() -> None:
    """The hubs of one data centre die, while reports on the others continue."""
    watch = HubWatch()
    watch.record_answer("h1", 1.0, data_center="a")
    watch.record_answer("h1", 1.0, data_center="b")
    watch.record_answer("h1", 2.0, data_center="a")
    assert watch.blind_since(1.1 + BLIND_S) == {"b": 1.0}


def test_a_vm_without_any_hub_s_answer_is_isolated_even_if_none_ever_answered() -> None:
    watch = HubWatch()
    assert not watch.is_isolated(100.0)
    watch.record_sent("h1", 100.0)
    assert not watch.is_isolated(99.9 + ISOLATED_S)
    assert watch.is_isolated(100.1 + ISOLATED_S)
    watch.record_answer("h1", 102.0, data_center="a")
    assert not watch.is_isolated(101.9 + ISOLATED_S)
