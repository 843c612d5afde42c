"""Rank of a run at its engine, for services whose routes differ in priority.

The rank matters when a burst of requests meets the crash of a quarter of the engines. Without it,
prompts with a short objective wait behind prompts with a long one, and where memory is short an
engine preempts its newest run, often one that has just moved from a crashed engine and whose
caller already waits in the middle of its answer. An engine that knows ranks admits the lowest rank
first, and preempts the newest of the runs with the highest.
"""

from __future__ import annotations

from lagoonlever.decisions.settings.configuration import Configuration, RouteKind, ServiceRoute
from lagoonlever.decisions.settings.load_parts import has_ranks
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

MAX_RANK = 9
"""The last rank that engines know; 0 is served first."""
RANKS_PER_PRIORITY = 3
"""Engine ranks for each priority of an organisation or route.

In order: runs that have begun, new runs that are due sooner than others, and the rest.
"""


@MECHANISMS.register(
    "engine-ranks",
    does="engines are sent ranks: by priority, then runs that have begun, then runs due sooner",
    without="engines serve all runs alike",
    plain=gives(None),
)
def rank_at_engine(
    configuration: Configuration | None,
    service: str,
    *,
    priority: int,
    objective_s: float,
    begun: bool,
) -> int | None:
    """Return the rank of a run at its engine, or None if all work of the service is alike.

    ``priority`` 0 is the highest. It is often that of an organisation, which overrides the
    priority of the route: then only the route's ``objective_s`` shows which runs are urgent.
    ``begun`` is true if the caller already has a part of the answer.
    """
    if configuration is None or not has_ranks(configuration, service, RouteKind.STREAM):
        return None
    longest_s = max(route.objective_s for route in _stream_routes(configuration, service))
    stage = 0 if begun else 1 if objective_s < longest_s else 2
    return min(RANKS_PER_PRIORITY * max(0, priority) + stage, MAX_RANK)


def _stream_routes(configuration: Configuration, service: str) -> list[ServiceRoute]:
    return [
        route
        for route in configuration.routes
        if route.kind is RouteKind.STREAM and any(s.name == service for s in route.services)
    ]
