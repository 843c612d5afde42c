"""Which of its runs an engine serves first, where routes of one service differ in rank.

The load that is answered: a burst meets the crash of a quarter of the engines. Urgent
prompts wait behind patient ones, and where memory is short an engine preempts its newest
run, which is often one that has just come from a crashed engine and whose caller already
waits within its answer. An engine told ranks admits the urgent first and preempts the
newest of the least urgent.
"""

from __future__ import annotations

from lagoonlever.decisions.settings.configuration import Configuration, RouteKind, ServiceRoute
from lagoonlever.decisions.settings.load_parts import has_ranks
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

LAST_RANK = 9
"""Engines know ranks from 0, the first, to this one."""
RANKS_EACH = 3
"""Engine ranks for each rank of an organisation or route: runs that have begun, new ones that
are due sooner than others, and the rest."""


@MECHANISMS.register(
    "engine-ranks",
    does="engines are told ranks: by organisation or route, then what has begun, then what is due",
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
    """Give the rank of a run at its engine, or None where all work of the service is alike.

    ``priority`` 0 is the highest. It is often that of an organisation, which goes before its
    route's: then the route's ``objective_s`` alone tells the urgent from the patient.
    ``begun`` says that the caller has a part of the answer.
    """
    if configuration is None or not has_ranks(configuration, service, RouteKind.STREAM):
        return None
    longest_s = max(route.objective_s for route in _stream_routes(configuration, service))
    place = 0 if begun else 1 if objective_s < longest_s else 2
    return min(RANKS_EACH * max(0, priority) + place, LAST_RANK)


def _stream_routes(configuration: Configuration, service: str) -> list[ServiceRoute]:
    return [
        route
        for route in configuration.routes
        if route.kind is RouteKind.STREAM and any(s.name == service for s in route.services)
    ]
