"""The shapes of deployments that incidents are played at: machines, kinds of requests, rates."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.settings.configuration import (
    Configuration,
    EngineLimits,
    Organisation,
    RouteKind,
    ServiceRoute,
    TargetService,
    WeightedService,
)
from lagoonlever.fakes.target_room import TargetRoom
from lagoonlever.soak.deployments import HOST, ORGANISATION, Deployment

ENGINES, APPS = "engines", "apps"
"""The names of the two services."""
MEMORY_TOKENS = 55_000
EVENT_TOKENS = 8
MOST_WAITING = 12
APP_SLOTS = 6
APPS_WAIT = 100
"""Calls that a runner lets wait."""
ATTEMPTS = {
    RouteKind.STREAM: 5,
    RouteKind.IDEMPOTENT: 2,
    RouteKind.NON_IDEMPOTENT: 1,
}
LARGE, USUAL = 6.0, 1.0
ORGANISATIONS = {f"org-{n}": LARGE if n <= 3 else USUAL for n in range(1, 11)}
"""The share of the requests that each organisation sends, in parts."""


@attrs.frozen(kw_only=True)
class RequestKind:
    """One row of a sheet."""

    name: str
    route: RouteKind
    rate_per_s: float
    deadline_s: float
    objective_s: float
    retries: int = 1
    """That clients make by themselves."""
    priority: int = 2

    @property
    def service(self) -> str:
        """The service that runs it."""
        return ENGINES if self.is_stream else APPS

    @property
    def is_stream(self) -> bool:
        """Whether it asks for a generation."""
        return self.route is RouteKind.STREAM

    @property
    def max_attempts(self) -> int:
        """The targets that may run one request."""
        return ATTEMPTS[self.route]


@attrs.frozen(kw_only=True)
class Shape:
    """A deployment of a sheet, in the stand-ins' terms."""

    name: str
    kinds: tuple[RequestKind, ...]
    engines: int
    engine_slots: int
    vms: int = 9
    runners: int = 3
    shared_tokens: int = 200
    own_tokens: int = 5_000
    events: int = 140
    events_spread: float = 0.2
    tokens_per_s: float = 5_000.0
    """That an engine reads of prompts, one prompt after the other."""
    event_s: float = 0.028
    """Eight tokens, at 3.41 ms each and more."""
    pause_s: float = 0.7
    work_s: float = 0.045
    subjects: int = 5_000
    popular: int = 40
    popular_share: float = 0.6
    """The share of the prompts that are on popular subjects."""

    def stream_kinds(self) -> tuple[RequestKind, ...]:
        """Return the kinds that ask for generations."""
        return tuple(kind for kind in self.kinds if kind.is_stream)


def _stream(name: str, rate_per_s: float) -> RequestKind:
    return RequestKind(
        name=name,
        route=RouteKind.STREAM,
        rate_per_s=rate_per_s,
        deadline_s=25.0,
        objective_s=4.5,
        priority=1,
    )


def _call(name: str, route: RouteKind, rate_per_s: float, deadline_s: float) -> RequestKind:
    return RequestKind(
        name=name, route=route, rate_per_s=rate_per_s, deadline_s=deadline_s, objective_s=0.2
    )


SHAPES = {
    "sembrani": Shape(
        name="sembrani",
        engines=18,
        engine_slots=12,
        kinds=(
            _stream("digest-harian", 0.72),
            _stream("ringkas-komoditas", 3.96),
            _call("kirim-notis", RouteKind.NON_IDEMPOTENT, 28.9, 1.0),
            _call("cek-harga", RouteKind.IDEMPOTENT, 11.6, 1.0),
        ),
    ),
    "motus": Shape(
        name="motus",
        engines=12,
        engine_slots=24,
        kinds=(
            _stream("condition-summary", 0.375),
            _stream("lot-history-answer", 2.75),
            _call("bid-confirm", RouteKind.NON_IDEMPOTENT, 29.8, 2.5),
            _call("lot-status", RouteKind.IDEMPOTENT, 11.9, 2.5),
        ),
    ),
}


def key_of(organisation: str) -> str:
    """Return the key of an organisation, which stays in force in all versions."""
    return f"key-of-{organisation}"


@attrs.frozen(kw_only=True)
class ShapedDeployment(Deployment):
    """What a play is deployed with."""

    shape: Shape

    def configuration(
        self, version: int, keys: tuple[str, ...], shape: object = None
    ) -> Configuration:
        """Return a version of the configuration, with these keys beside those that stay.

        It is that of the sheet, whatever ``shape`` the soak has.
        """
        organisations = {key: Organisation(name=ORGANISATION) for key in keys}
        organisations |= {key_of(name): Organisation(name=name) for name in ORGANISATIONS}
        return Configuration(
            version=version,
            routes=tuple(_route(kind) for kind in self.shape.kinds),
            services={service.name: service for service in self._targets()},
            organisations=organisations,
            requires_key=True,
        )

    def engine_room(self) -> TargetRoom:
        """Return the capacity of an engine."""
        return TargetRoom(
            slots=self.shape.engine_slots, memory_tokens=MEMORY_TOKENS, most_waiting=MOST_WAITING
        )

    def slots_of(self, service: str) -> int:
        """Return the slots that each target of a service tells."""
        return self.shape.engine_slots if service == ENGINES else APP_SLOTS

    def _targets(self) -> tuple[TargetService, ...]:
        engine = EngineLimits(
            slots=self.shape.engine_slots,
            memory_tokens=MEMORY_TOKENS,
            token_bytes=18_432,
            copies=True,
            copy_kept_s=4.0,
            moves=True,
            event_tokens=EVENT_TOKENS,
        )
        return (
            TargetService(name=ENGINES, health_path="/healthz", max_connections=200, engine=engine),
            TargetService(name=APPS, health_path="/healthz", max_connections=110),
        )


def _route(kind: RequestKind) -> ServiceRoute:
    return ServiceRoute(
        name=kind.name,
        host=HOST,
        prefix=f"/{kind.name}/",
        kind=kind.route,
        services=(WeightedService(name=kind.service),),
        timeout_s=kind.deadline_s,
        objective_s=kind.objective_s,
        priority=kind.priority,
        max_attempts=kind.max_attempts,
        resumable=kind.is_stream,
    )
