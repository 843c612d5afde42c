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
LARGE = 3
"""Organisations that have half of the callers between them."""
CALL_TIMEOUT_S = 2.0
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
class Traffic:
    """Requests that come at a rate, whatever becomes of the former ones."""

    per_s: float
    mix: tuple[tuple[str, float], ...]
    """The kinds of requests, streams by their routes, and the weight of each."""
    tries: int = 2
    """Of each request; the second one comes when the refusal of the first one says."""

    def draw(self, rng: random.Random) -> str:
        """Return the kind of a request."""
        kinds, weights = zip(*self.mix, strict=True)
        return str(rng.choices(kinds, weights)[0])


@attrs.frozen(kw_only=True)
class Shape:
    """Whose requests come, how long they are, and how fast engines are; not drawn."""

    organisations: int = 1
    """Of the usual rank; callers of the first three are half of all."""
    prompt_tokens: tuple[int, int] = (1_000, 1_000)
    """Of a stream: the shortest and the longest prompt."""
    events: tuple[int, int] = (5, 60)
    """Of a stream: the shortest ends at once, the longest takes 1.2 s on an engine."""
    stream_timeout_s: float = 12.0
    prefill_tokens_per_s: float = 20_000.0
    """Of an engine; at it a prompt of 1,000 tokens takes 50 ms."""
    event_s: float = 0.02
    traffic: Traffic | None = None
    """Without one, each caller sends its next request soon after the former one's end."""

    def organisation_of(self, number: int) -> str:
        """Return the organisation of the usual rank that a caller belongs to, by its number."""
        if self.organisations <= LARGE:
            return _organisation(number % self.organisations)
        if number % 2 == 0:
            return _organisation(number // 2 % LARGE)
        return _organisation(LARGE + number // 2 % (self.organisations - LARGE))


SHORT_STREAMS = Shape()
"""One organisation, and streams of a second at most."""


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
        return tuple(
            f"stream-{rank}" if rank not in self.stream_ranks[:n] else f"stream-{rank}-{n}"
            for n, rank in enumerate(self.stream_ranks)
        )

    def configuration(
        self, version: int, keys: tuple[str, ...], shape: Shape = SHORT_STREAMS
    ) -> Configuration:
        """Return a version of the configuration, with these keys of the first organisation."""
        organisations = {key: Organisation(name=ORGANISATION) for key in keys}
        for name in map(_organisation, range(1, shape.organisations)):
            organisations[key_of(name)] = Organisation(name=name)
        if self.has_patient:
            rank = max(self.stream_ranks) + 1
            patient = Organisation(name=PATIENT_ORGANISATION, priority=rank)
            organisations[PATIENT_KEY] = patient
        return Configuration(
            version=version,
            routes=(*self._streams(shape), *_CALLS),
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

    def _streams(self, shape: Shape) -> tuple[ServiceRoute, ...]:
        return tuple(
            _route(
                name,
                RouteKind.STREAM,
                "engines",
                attempts=5,
                rank=rank,
                timeout_s=shape.stream_timeout_s,
            )
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


TWO_KINDS = Deployment(stream_ranks=(1, 1))
"""Two kinds of streams of one rank."""
MANY_ORGANISATIONS = Shape(organisations=10)
"""A few of them are large."""
LONG_STREAMS = Shape(
    organisations=10,
    prompt_tokens=(3_000, 9_000),
    events=(80, 190),
    stream_timeout_s=25.0,
    prefill_tokens_per_s=5_000.0,
    event_s=0.027,
    traffic=Traffic(
        per_s=45.0,
        mix=(("bid", 57.9), ("look", 23.2), ("stream-1", 7.9), ("stream-1-1", 1.4)),
    ),
)
"""Ten organisations; a prompt takes a second to read, an answer four."""


def key_of(organisation: str) -> str:
    """Return the key of an organisation that is not the first; it stays in force."""
    return PATIENT_KEY if organisation == PATIENT_ORGANISATION else f"key-{organisation}"


def _organisation(number: int) -> str:
    """Return the name of an organisation of the usual rank; the second name is the patient's."""
    return ORGANISATION if number == 0 else f"org-{number + 2}"


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
    name: str,
    kind: RouteKind,
    service: str,
    *,
    attempts: int,
    rank: int = 1,
    timeout_s: float = CALL_TIMEOUT_S,
) -> ServiceRoute:
    return ServiceRoute(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        kind=kind,
        services=(WeightedService(name=service),),
        timeout_s=timeout_s,
        objective_s=2.0,
        priority=rank,
        max_attempts=attempts,
        resumable=kind is RouteKind.STREAM,
    )


_CALLS = (
    _route("bid", RouteKind.NON_IDEMPOTENT, "apps", attempts=1),
    _route("look", RouteKind.IDEMPOTENT, "apps", attempts=2),
)
