"""The parts for hard load are called for by what a configuration holds, and by nothing else."""

from __future__ import annotations

from lagoonlever.decisions.settings.configuration import (
    Configuration,
    Organisation,
    RouteKind,
    ServiceRoute,
    WeightedService,
)
from lagoonlever.decisions.settings.load_parts import has_ranks, organisations_differ


def _route(service: str, priority: int, kind: RouteKind = RouteKind.STREAM) -> ServiceRoute:
    return ServiceRoute(
        name=f"{service}-{priority}",
        host="h",
        prefix=f"/{service}-{priority}/",
        kind=kind,
        services=(WeightedService(name=service),),
        timeout_s=25.0,
        objective_s=4.0,
        priority=priority,
    )


def test_ranks_of_one_service_call_for_an_order_of_its_work():
    configuration = Configuration(version=1, routes=(_route("s", 0), _route("s", 2)))
    assert has_ranks(configuration, "s", RouteKind.STREAM)
    assert not has_ranks(configuration, "s", RouteKind.IDEMPOTENT)


def test_ranks_of_different_services_do_not():
    configuration = Configuration(version=1, routes=(_route("s", 0), _route("t", 2)))
    assert not has_ranks(configuration, "s", RouteKind.STREAM)
    assert not has_ranks(None, "s", RouteKind.STREAM)


def test_an_organisation_may_have_a_rank_of_its_own():
    plain = Configuration(version=1, organisations={"k": Organisation(name="o")})
    ranked = Configuration(version=1, organisations={"k": Organisation(name="o", priority=3)})
    assert not organisations_differ(plain)
    assert organisations_differ(ranked)
