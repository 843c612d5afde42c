"""A learnt figure: how fast it follows, and how far an odd observation moves it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lagoonlever.decisions.engines.learnt_figure import FRESH_S, MOST_TIMES, WEIGHT, LearntFigure


def learnt(*values: float, prior: float = 1.0) -> LearntFigure:
    figure = LearntFigure(value=prior)
    for number, value in enumerate(values):
        figure.observe(value, float(number))
    return figure


def test_a_prior_goes_with_the_first_observation() -> None:
    assert learnt().is_prior
    assert learnt(3.0).value == 3.0


def test_engines_that_became_slower_are_believed_within_some_observations() -> None:
    figure = learnt(*[1.0] * 20, *[2.2] * 15)
    assert abs(figure.value - 2.2) < 0.1


@given(odd=st.floats(min_value=0.0, allow_infinity=False, allow_nan=False))
def test_one_odd_observation_moves_it_by_a_fifth_at_most(odd: float) -> None:
    figure = learnt(*[1.0] * 20)
    figure.observe(odd, 20.0)
    assert abs(figure.value - 1.0) <= WEIGHT * (MOST_TIMES - 1.0) + 1e-9


def test_what_was_seen_long_ago_is_not_fresh() -> None:
    figure = learnt(1.0)
    assert figure.is_fresh(FRESH_S)
    assert not figure.is_fresh(FRESH_S + 1.0)
