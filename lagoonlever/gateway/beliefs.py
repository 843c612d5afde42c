"""What a gateway believes of its surroundings: configuration, targets, fellow VMs, runs."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.fleet.peer_table import PeerTable
from lagoonlever.decisions.settings.configuration import Configuration, EngineLimits
from lagoonlever.decisions.streams.stream_origins import StreamOrigin, StreamOrigins
from lagoonlever.decisions.streams.versions_in_use import VersionsInUse
from lagoonlever.decisions.targets.load_view import TargetLoads
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.published import Published

NO_LIMITS = EngineLimits(slots=1_000, memory_tokens=1_000_000_000)
"""For a service that has not said what its engines hold."""

LEAST_STREAM_S = 25.0
"""A timeout of streams is taken to be no shorter, as routes may have had a longer one."""
RESUMABLE_TIMEOUTS = 2.0
"""A caller whose first attempt took the whole timeout of its route may return once more."""


@attrs.define(kw_only=True, eq=False)
class Beliefs:
    """Changed by the parts that follow the store and the peers; everyone else only reads."""

    fellows: PeerTable
    book: EngineScheduler
    configuration: Published[Configuration | None] = attrs.field(
        factory=lambda: Published[Configuration | None](None)
    )
    configuration_value: bytes | None = None
    """The configuration as it is stored, to pass on to a VM that can't read the store."""
    targets: TargetRegistry = attrs.field(factory=TargetRegistry)
    loads: TargetLoads = attrs.field(init=False)
    """One view for all that choose targets; the book chooses engines by it."""
    origins: StreamOrigins = attrs.field(factory=StreamOrigins)
    """Where the streams of all VMs began."""
    versions: VersionsInUse = attrs.field(factory=VersionsInUse)
    known: trio.Event = attrs.field(factory=trio.Event)
    """Set once both a configuration and a list of targets are known."""

    @loads.default
    def _share_loads(self) -> TargetLoads:
        return self.book.loads

    def engine_limits(self, service: str) -> EngineLimits:
        """Return what the engines of a service hold, by the operators' configuration."""
        configuration = self.configuration.value
        known = configuration.services.get(service) if configuration else None
        return known.engine if known and known.engine else NO_LIMITS

    def origin_of(self, request: str) -> StreamOrigin | None:
        """Return where the stream began that a request has begun, or None if nobody told."""
        origin = self.origins.find(request)
        return origin.resolve(self.targets) if origin is not None else None

    def only_version(self, service: str) -> str | None:
        """Return the version at which any stream of a service began, or None if that is open.

        It is open until the list is known, which may name another version than the record.
        """
        if not self.known.is_set():
            return None
        return self.versions.only_version(service, self.targets.targets)

    def has_open_origins(self, service: str) -> bool:
        """Check whether streams of a service may have begun at several versions or services.

        Or may soon: a version that is listed and not recorded yet has begun none.
        """
        configuration = self.configuration.value
        split = configuration.split_services if configuration is not None else frozenset()
        if service in split or self.versions.has_several(service):
            return True
        return self.versions.has_newcomer(service, self.targets.targets)

    @property
    def resumable_s(self) -> float:
        """How long after its beginning a stream may still be resumed, by the routes in force."""
        configuration = self.configuration.value
        longest_s = configuration.longest_stream_s if configuration else 0.0
        return RESUMABLE_TIMEOUTS * max(longest_s, LEAST_STREAM_S)

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 for none."""
        configuration = self.configuration.value
        return configuration.version if configuration else 0
