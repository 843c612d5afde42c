"""The settings section of the application services."""

from __future__ import annotations

from fnmatch import fnmatchcase

import attrs

from lagoonlever.config.options import option
from lagoonlever.decisions.claims.keys import KEY_LIFETIME_S

READ_ONLY = ("GET *", "HEAD *")


@attrs.frozen(kw_only=True)
class Service:
    """One application service: its name in ``/services/<name>/...`` and its runners.

    Its runners are the application targets whose names begin with ``targets``.
    ``idempotent`` lists ``METHOD /path`` patterns (``*`` matches anything) that
    may be sent twice. ``not_run_statuses`` are the statuses by which this
    service promises that it has not run the request.
    """

    name: str
    targets: str = ""
    idempotent: tuple[str, ...] = READ_ONLY
    not_run_statuses: tuple[int, ...] = ()

    def is_idempotent(self, *, method: str, path: str) -> bool:
        """Tell whether a request of the service (path within it) may be sent twice."""
        line = f"{method} {path}"
        return any(fnmatchcase(line, pattern) for pattern in self.idempotent)


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """The application services that this VM routes to; times in seconds, sizes in bytes."""

    services: tuple[Service, ...] = option(
        default=(Service(name="application"),),
        doc="The application services, each with its name, runners and idempotent calls.",
    )
    lookup_timeout_s: float = option(
        default=2.0, at_least=0.01, at_most=60, doc="Time for an idempotent call in all."
    )
    lookup_target_s: float = option(
        default=0.25,
        at_least=0.005,
        at_most=60,
        doc="Answers slower than this show a queue; fewer calls are then sent to that runner.",
    )
    call_timeout_s: float = option(
        default=10.0, at_least=0.1, at_most=300, doc="Time for a call that may not be repeated."
    )
    hedge: bool = option(default=True, doc="Whether idempotent calls are hedged.")
    max_outstanding: int = option(
        default=32, at_least=1, at_most=10_000, doc="Calls open from this VM to one runner."
    )
    max_answer_bytes: int = option(
        default=1024 * 1024, at_least=1024, doc="The largest answer that is passed on."
    )
    home_bytes: int = option(
        default=16 * 1024 * 1024,
        at_least=64 * 1024,
        doc="Memory for keys and their answers; when it is used up new keys are refused.",
    )
    key_lifetime_s: int = option(
        default=KEY_LIFETIME_S,
        at_least=10,
        at_most=86_400,
        doc="How long a key and its answer are kept; the same on every VM.",
    )
    claim_timeout_s: float = option(
        default=2.0, at_least=0.05, at_most=60, doc="Time to claim a plain key in the platform."
    )
    forward_timeout_s: float = option(
        default=0.5, at_least=0.05, at_most=10, doc="Time to connect to a key's home."
    )
    retry_after_s: float = option(
        default=2.0, at_least=0.5, at_most=60, doc="When callers are told to come back, about."
    )

    def service(self, name: str) -> Service | None:
        """Give the service of this name."""
        return next((service for service in self.services if service.name == name), None)
