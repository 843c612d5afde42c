"""A robust estimate: how fast it follows a change, and how far an outlier moves it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.engines.robust_estimate import (
    FRESH_S,
    MAX_RATIO,
    NEWEST_WEIGHT,
    RobustEstimate,
)


def estimate_of(*values: float, prior: float = 1.0) -> RobustEstimate:
    estimate = RobustEstimate(value=prior)
    for number, value in enumerate(values):
        estimate.observe(value, float(number))
    return estimate


def test_the_first_observation_replaces_the_prior() -> None:
    assert estimate_of().is_prior
    assert estimate_of(3.0).value == 3.0


def test_the_estimate_follows_a_lasting_change_within_15_observations() -> None:
    estimate = estimate_of(*[1.0] * 20, *[2.2] * 15)
    assert abs(estimate.value - 2.2) < 0.1


@given(outlier=st.floats(min_value=0.0, allow_infinity=False, allow_nan=False))
def test_one_outlier_moves_the_estimate_by_a_fifth_at_most(outlier: float) -> None:
    estimate = estimate_of(*[1.0] * 20)
    estimate.observe(outlier, 20.0)
    assert abs(estimate.value - 1.0) <= NEWEST_WEIGHT * (MAX_RATIO - 1.0) + 1e-9


def test_an_old_observation_is_not_fresh() -> None:
    estimate = estimate_of(1.0)
    assert estimate.is_fresh(FRESH_S)
    assert not estimate.is_fresh(FRESH_S + 1.0)
