"""The rank of a run at its engine."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.engine_rank import MAX_RANK, rank_at_engine
from lagoonlever.decisions.settings.configuration import (
    Configuration,
    RouteKind,
    ServiceRoute,
    WeightedService,
)

URGENT = ServiceRoute(
    name="urgent",
    host="h",
    prefix="/urgent/",
    kind=RouteKind.STREAM,
    services=(WeightedService(name="engines"),),
    timeout_s=25.0,
    objective_s=4.0,
    priority=0,
)
PATIENT = attrs.evolve(URGENT, name="patient", prefix="/patient/", priority=2, objective_s=10.0)
RANKED = Configuration(version=1, routes=(URGENT, PATIENT))


def rank(priority: int, *, route: ServiceRoute = PATIENT, begun: bool = False) -> int:
    result = rank_at_engine(
        RANKED, "engines", priority=priority, objective_s=route.objective_s, begun=begun
    )
    assert result is not None
    return result


def test_an_urgent_prompt_comes_before_patient_ones() -> None:
    """Guards against prompts with a short objective that wait behind a burst of others."""
    assert rank(0, route=URGENT) < rank(2)


def test_at_equal_priority_the_prompt_with_the_shorter_objective_comes_first() -> None:
    """Guards against urgent prompts ranked as others, as their organisation's priority counts."""
    assert rank(1, route=URGENT) < rank(1)
    assert rank(0) < rank(1, route=URGENT)


def test_a_run_that_has_begun_comes_before_new_prompts_of_its_priority() -> None:
    """Guards against preemption of a resumed run, which is the newest at its engine."""
    assert rank(2, begun=True) < rank(2, route=URGENT)
    assert rank(0) < rank(2, begun=True)


def test_ranks_stay_within_the_range_of_engines() -> None:
    """Guards against engines that reject a rank out of their range."""
    assert rank(0, begun=True) == 0
    assert rank(50) == MAX_RANK
    assert rank(-1, begun=True) == 0


def test_routes_of_equal_priority_have_no_ranks() -> None:
    """Guards against a change of order for services whose work is all alike."""
    alike = Configuration(version=1, routes=(URGENT, attrs.evolve(PATIENT, priority=0)))
    for configuration in (alike, None):
        result = rank_at_engine(configuration, "engines", priority=0, objective_s=4.0, begun=True)
        assert result is None
