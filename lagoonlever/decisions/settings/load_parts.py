"""Which parts for hard load a deployment's own configuration calls for.

Ranks that differ among the routes of one service call for an order of its work. Targets
that say how slow their machines are call for choices by load. Without either the service
is handled as one whose work is all alike.
"""

from __future__ import annotations

from lagoonlever.decisions.settings.configuration import Configuration, RouteKind


def has_ranks(configuration: Configuration | None, service: str, kind: RouteKind) -> bool:
    """Tell whether the routes of a kind to a service differ in rank."""
    if configuration is None:
        return False
    ranks = {
        route.priority
        for route in configuration.routes
        if route.kind is kind and any(each.name == service for each in route.services)
    }
    return len(ranks) > 1


def organisations_differ(configuration: Configuration | None) -> bool:
    """Tell whether organisations have ranks of their own."""
    if configuration is None:
        return False
    return any(each.priority is not None for each in configuration.organisations.values())
