"""What a run is deployed with, drawn from its seed: ranks, short memory, uneven targets."""

from __future__ import annotations

import random

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

HOST = "shop.example"
ORGANISATION = "org-1"
PATIENT_ORGANISATION = "org-2"
PATIENT_KEY = "key-patient"
"""Stays in force in all versions."""
SLOTS = 12
MOST_WAITING = 12
PLENTIFUL_TOKENS = 55_000
SHORT_TOKENS = 2_600
"""Room for two short streams or for a long one, beside a copy."""
EVEN_PACES = (1.0,)
UNEVEN_PACES = (0.7, 0.7, 1.7)
"""Two thirds of the engines are fast, and one third is slow."""
SLOW_MOMENT = 2.5
SLOW_MOMENTS = 0.15
"""The part of the moments in which a runner's machine is slow."""
MOMENT_S = 0.6


@attrs.frozen(kw_only=True)
class Deployment:
    """What differs from run to run."""

    stream_ranks: tuple[int, ...] = (1,)
    """The ranks of the routes for streams."""
    has_patient: bool = False
    """Whether some callers belong to an organisation with a rank of its own."""
    memory_tokens: int = PLENTIFUL_TOKENS
    """Of each engine."""
    paces: tuple[float, ...] = EVEN_PACES
    """How many times as long work takes on the engines, in turn."""
    tells_slowness: bool = False
    """Whether runners' machines are slow for moments, and say so."""

    @property
    def stream_routes(self) -> tuple[str, ...]:
        """The names of the routes for streams, in the order of their ranks."""
        return tuple(f"stream-{rank}" for rank in self.stream_ranks)

    def configuration(self, version: int, keys: tuple[str, ...]) -> Configuration:
        """Return a version of the configuration, with these keys of the first organisation."""
        organisations = {key: Organisation(name=ORGANISATION) for key in keys}
        if self.has_patient:
            rank = max(self.stream_ranks) + 1
            patient = Organisation(name=PATIENT_ORGANISATION, priority=rank)
            organisations[PATIENT_KEY] = patient
        return Configuration(
            version=version,
            routes=(*self._streams(), *_CALLS),
            services={service.name: service for service in self._services()},
            organisations=organisations,
            requires_key=True,
        )

    def engine_room(self) -> TargetRoom:
        """Return the capacity of an engine."""
        return TargetRoom(slots=SLOTS, memory_tokens=self.memory_tokens, most_waiting=MOST_WAITING)

    def slots_of(self, service: str) -> int:
        """Return the slots that each target of a service tells."""
        return SLOTS

    def pace(self, number: int) -> float:
        """Return the factor by which work takes longer on the engine of a machine."""
        return self.paces[number % len(self.paces)]

    def draw_slowness(self, rng: random.Random) -> float | None:
        """Return what a runner's machine reports of itself for a moment."""
        if not self.tells_slowness:
            return None
        return SLOW_MOMENT if rng.random() < SLOW_MOMENTS else 1.0

    def _streams(self) -> tuple[ServiceRoute, ...]:
        return tuple(
            _route(name, RouteKind.STREAM, "engines", attempts=5, rank=rank)
            for name, rank in zip(self.stream_routes, self.stream_ranks, strict=True)
        )

    def _services(self) -> tuple[TargetService, ...]:
        engine = EngineLimits(
            slots=SLOTS,
            memory_tokens=self.memory_tokens,
            token_bytes=18_432,
            copies=True,
            copy_kept_s=4.0,
            moves=True,
            event_tokens=8,
        )
        return (
            TargetService(
                name="engines", health_path="/healthz", max_connections=200, engine=engine
            ),
            TargetService(name="apps", health_path="/healthz", max_connections=200),
        )


PLAIN = Deployment()
"""One rank, room enough, and targets that are all alike."""


def draw_deployment(seed: int) -> Deployment:
    """Draw what a run is deployed with; each part in half of the runs."""
    rng = random.Random(f"{seed}-deployment")
    return Deployment(
        stream_ranks=rng.choice(((1,), (0, 2))),
        has_patient=rng.random() < 0.5,
        memory_tokens=rng.choice((PLENTIFUL_TOKENS, SHORT_TOKENS)),
        paces=rng.choice((EVEN_PACES, UNEVEN_PACES)),
        tells_slowness=rng.random() < 0.5,
    )


def _route(
    name: str, kind: RouteKind, service: str, *, attempts: int, rank: int = 1
) -> ServiceRoute:
    return ServiceRoute(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        kind=kind,
        services=(WeightedService(name=service),),
        timeout_s=12.0 if kind is RouteKind.STREAM else 2.0,
        objective_s=2.0,
        priority=rank,
        max_attempts=attempts,
        resumable=kind is RouteKind.STREAM,
    )


_CALLS = (
    _route("bid", RouteKind.NON_IDEMPOTENT, "apps", attempts=1),
    _route("look", RouteKind.IDEMPOTENT, "apps", attempts=2),
)
