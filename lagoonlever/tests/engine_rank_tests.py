"""The rank of a run at its engine."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.engine_rank import LAST_RANK, rank_at_engine
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
    told = rank_at_engine(
        RANKED, "engines", priority=priority, objective_s=route.objective_s, begun=begun
    )
    assert told is not None
    return told


def test_an_urgent_prompt_comes_before_patient_ones() -> None:
    """Guards against urgent prompts that wait behind a burst of patient ones."""
    assert rank(0, route=URGENT) < rank(2)


def test_of_equal_organisations_the_prompt_that_is_due_sooner_comes_first() -> None:
    """Guards against urgent prompts taken for patient ones as their organisation's rank counts."""
    assert rank(1, route=URGENT) < rank(1)
    assert rank(0) < rank(1, route=URGENT)


def test_a_run_that_has_begun_comes_before_new_prompts_of_its_rank() -> None:
    """Guards against a resumed run, the newest at its engine, that is preempted first."""
    assert rank(2, begun=True) < rank(2, route=URGENT)
    assert rank(0) < rank(2, begun=True)


def test_ranks_stay_within_what_engines_know() -> None:
    """Guards against engines that refuse a rank which is none of theirs."""
    assert rank(0, begun=True) == 0
    assert rank(50) == LAST_RANK
    assert rank(-1, begun=True) == 0


def test_routes_of_one_rank_tell_engines_nothing() -> None:
    """Guards against a change for services whose work is all alike."""
    alike = Configuration(version=1, routes=(URGENT, attrs.evolve(PATIENT, priority=0)))
    for configuration in (alike, None):
        told = rank_at_engine(configuration, "engines", priority=0, objective_s=4.0, begun=True)
        assert told is None
