"""Which digests of a data centre are passed on."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.fleet.digests import maximal_digests

LIVES = st.frozensets(st.integers(min_value=0, max_value=8))


def test_of_equal_digests_the_last_is_passed_on() -> None:
    assert maximal_digests([frozenset({1, 2}), frozenset({1, 2})]) == [1]


def test_a_digest_that_names_hardly_anybody_takes_no_other_one_s_place() -> None:
    assert maximal_digests([frozenset({1, 2, 3}), frozenset({3})]) == [0]


@given(st.lists(LIVES, max_size=6))
def test_nobody_is_lost_and_nothing_is_told_twice(heard: list[frozenset[int]]) -> None:
    chosen = [heard[number] for number in maximal_digests(heard)]
    assert frozenset().union(*chosen) == frozenset().union(*heard)
    assert len(set(chosen)) == len(chosen)
