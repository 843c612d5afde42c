"""The operators' configuration in force: routes, services, organisations and their keys.

One numbered version holds everything. A VM only ever moves to a higher number, so
that a late copy of an older version can't bring back a route or a key that was
taken away.
"""

from __future__ import annotations

import enum
import random

import attrs


class RouteKind(enum.Enum):
    """What may be done twice for a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class WeightedService:
    """A service that gets a part of a route's requests, in proportion to ``weight``."""

    name: str
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class ServiceRoute:
    """How the requests of one host and path prefix are handled; durations in seconds."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    """Until the whole answer, or for a stream until its first event."""
    pause_objective_s: float | None = None
    """The longest pause between two events of a stream."""
    priority: int = 0
    """0 is the most urgent."""
    max_attempts: int = 1
    """Targets that one request may be sent to."""
    anonymous: bool = False
    resumable: bool = False
    """A stream may be continued by another target, so that it may run more than once."""

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent to another target."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> str:
        """Draw one of the services by weight."""
        if len(self.services) == 1:
            return self.services[0].name
        weights = [each.weight for each in self.services]
        return rng.choices(self.services, weights=weights)[0].name


@attrs.frozen(kw_only=True)
class EngineLimits:
    """What each engine of a service holds, and what it can do for a run that moves."""

    slots: int
    memory_tokens: int
    token_bytes: int = 0
    """Bytes of memory of one token, moved between engines."""
    copies: bool = False
    """An engine copies the memory of a run to another engine while it runs."""
    copy_kept_s: float = 0.0
    """How long a copy outlives its source."""
    moves: bool = False
    """An engine copies the memory of a run when it is called."""
    event_tokens: int = 1
    """Tokens in one event of a stream."""


@attrs.frozen(kw_only=True)
class TargetService:
    """A service: targets that all answer the same requests."""

    name: str
    health_path: str
    max_connections: int
    """Connections that one target accepts from all callers together."""
    engine: EngineLimits | None = None


@attrs.frozen(kw_only=True)
class ClientLimits:
    """What a client may send; sizes in bytes, durations in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class Organisation:
    """A customer, known by its API keys; ``priority`` overrides that of the route."""

    name: str
    priority: int | None = None


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of the configuration; routes are looked up by host and path."""

    version: int
    routes: tuple[ServiceRoute, ...] = ()
    services: dict[str, TargetService] = attrs.field(factory=dict)
    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    """By API key."""
    requires_key: bool = False
    """Whether requests need a key of an organisation at all."""
    limits: ClientLimits = ClientLimits()
    _by_host: dict[str, tuple[ServiceRoute, ...]] = attrs.field(
        init=False, repr=False, eq=False, default=attrs.Factory(lambda c: _index(c.routes), True)
    )

    @property
    def longest_stream_s(self) -> float:
        """The longest timeout of the routes that answer with streams; 0 without any."""
        timeouts = (r.timeout_s for r in self.routes if r.kind is RouteKind.STREAM)
        return max(timeouts, default=0.0)

    @property
    def stream_services(self) -> frozenset[str]:
        """The services that routes with streams lead to."""
        streams = (route for route in self.routes if route.kind is RouteKind.STREAM)
        return frozenset(service.name for route in streams for service in route.services)

    @property
    def split_services(self) -> frozenset[str]:
        """The services of streams that share a route with another service."""
        streams = (route for route in self.routes if route.kind is RouteKind.STREAM)
        split = (route for route in streams if len(route.services) > 1)
        return frozenset(service.name for route in split for service in route.services)

    def route_of(self, host: str, path: str) -> ServiceRoute | None:
        """Give the route with the longest prefix of a path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _index(routes: tuple[ServiceRoute, ...]) -> dict[str, tuple[ServiceRoute, ...]]:
    by_host: dict[str, list[ServiceRoute]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(each, key=lambda route: -len(route.prefix)))
        for host, each in by_host.items()
    }


def newer(known: Configuration | None, offered: Configuration) -> Configuration:
    """Give the one to have in force: the higher version, whatever arrives later."""
    if known is None or offered.version > known.version:
        return offered
    return known
