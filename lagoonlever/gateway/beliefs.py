"""What a gateway believes of its surroundings: configuration, targets, fellow VMs, runs."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.decisions.engines.engine_scheduler import EngineScheduler
from lagoonlever.decisions.fleet.peer_table import PeerTable
from lagoonlever.decisions.settings.configuration import Configuration, EngineLimits
from lagoonlever.decisions.targets.load_view import TargetLoads
from lagoonlever.decisions.targets.registry import TargetRegistry
from lagoonlever.published import Published

NO_LIMITS = EngineLimits(slots=1_000, memory_tokens=1_000_000_000)
"""For a service that has not said what its engines hold."""


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
    known: trio.Event = attrs.field(factory=trio.Event)
    """Set once both a configuration and a list of targets are known."""

    @loads.default
    def _share_loads(self) -> TargetLoads:
        return self.book.loads

    def engine_limits(self, service: str) -> EngineLimits:
        """Give what the engines of a service hold, by the operators' configuration."""
        configuration = self.configuration.value
        known = configuration.services.get(service) if configuration else None
        return known.engine if known and known.engine else NO_LIMITS

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 for none."""
        configuration = self.configuration.value
        return configuration.version if configuration else 0
