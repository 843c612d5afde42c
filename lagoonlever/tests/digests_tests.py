"""Which of several hubs' digests of a data centre are forwarded."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.fleet.digests import maximal_digests

DIGESTS = st.frozensets(st.integers(min_value=0, max_value=8))


def test_of_equal_digests_the_last_is_forwarded() -> None:
    assert maximal_digests([frozenset({1, 2}), frozenset({1, 2})]) == [1]


def test_a_small_digest_is_not_forwarded_in_place_of_a_larger_one() -> None:
    assert maximal_digests([frozenset({1, 2, 3}), frozenset({3})]) == [0]


@given(st.lists(DIGESTS, max_size=6))
def test_no_vm_is_lost_and_no_digest_is_forwarded_twice(digests: list[frozenset[int]]) -> None:
    chosen = [digests[index] for index in maximal_digests(digests)]
    assert frozenset().union(*chosen) == frozenset().union(*digests)
    assert len(set(chosen)) == len(chosen)
