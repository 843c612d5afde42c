"""Whether hubs answer, and what the silence of a data centre says."""

from __future__ import annotations

from lagoonlever.decisions.fleet.hub_watch import (
    ANSWER_S,
    BLIND_S,
    DOUBTFUL_S,
    FAILED_S,
    ISOLATED_S,
    HubWatch,
)


def test_a_hub_that_does_not_answer_is_passed_over_for_a_while() -> None:
    watch = HubWatch()
    watch.record_sent("h1", 0.0)
    watch.record_sent("h2", 0.0)
    watch.record_answer("h1", 0.5, data_center="a")
    watch.record_sent("h1", 0.6)
    watch.record_sent("h2", 0.6)
    assert watch.take_overdue(ANSWER_S) == ()
    assert watch.take_overdue(ANSWER_S + 0.1) == ("h2",)
    assert watch.failed_hubs(ANSWER_S + 0.1) == {"h2"}
    assert watch.failed_hubs(ANSWER_S + 0.2 + FAILED_S) == frozenset()


def test_a_hub_whose_answer_is_late_is_doubtful_before_it_is_given_up() -> None:
    watch = HubWatch()
    watch.record_sent("h1", 0.0)
    assert watch.late_hubs(DOUBTFUL_S) == frozenset()
    assert watch.late_hubs(DOUBTFUL_S + 0.1) == {"h1"}
    assert watch.failed_hubs(DOUBTFUL_S + 0.1) == frozenset()
    watch.record_answer("h1", DOUBTFUL_S + 0.1, data_center="a")
    assert watch.late_hubs(DOUBTFUL_S + 0.2) == frozenset()


def test_a_word_of_a_hub_clears_it() -> None:
    watch = HubWatch()
    watch.record_sent("h1", 0.0)
    assert watch.take_overdue(ANSWER_S + 0.1) == ("h1",)
    watch.record_answer("h1", ANSWER_S + 0.2, data_center="a")
    assert watch.failed_hubs(ANSWER_S + 0.2) == frozenset()


def test_a_data_center_that_nothing_is_told_of_is_told_apart() -> None:
    """The hubs of one data centre die; what is heard of the others goes on."""
    watch = HubWatch()
    watch.record_answer("h1", 1.0, data_center="a")
    watch.record_answer("h1", 1.0, data_center="b")
    watch.record_answer("h1", 2.0, data_center="a")
    assert watch.blind_since(1.1 + BLIND_S) == {"b": 1.0}


def test_a_vm_that_hears_no_hub_is_isolated_also_if_it_never_heard_one() -> None:
    watch = HubWatch()
    assert not watch.is_isolated(100.0)
    watch.record_sent("h1", 100.0)
    assert not watch.is_isolated(99.9 + ISOLATED_S)
    assert watch.is_isolated(100.1 + ISOLATED_S)
    watch.record_answer("h1", 102.0, data_center="a")
    assert not watch.is_isolated(101.9 + ISOLATED_S)
