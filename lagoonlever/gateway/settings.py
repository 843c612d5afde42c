"""What a gateway learns about itself and its surroundings when it starts."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.rollouts.plan import ExposureBounds
from lagoonlever.http.messages import Address


@attrs.frozen(kw_only=True)
class Bounds:
    """What the operators promise their callers, in seconds."""

    drain_s: float = 2.0
    """A target that is leaving gets nothing later than this."""
    grace_s: float = 8.0
    """From the signal to stop until the process is killed."""
    apply_s: float = 2.0
    """A stored configuration is in force everywhere within this."""
    address_ttl_s: float = 5.0
    """Callers keep a told address at most so long, a few of them three times."""
    cache_s: float = 10.0
    """How long an engine may be expected to keep a prompt that nobody uses."""
    recover_s: float = 12.0
    address_reuse_s: float = 2.0
    """After a target has ended its address stays unused for so long at least."""


@attrs.frozen(kw_only=True)
class RetryBudgetBounds:
    """Attempts beyond the first that all VMs together may send to one service."""

    ratio: float = 0.8
    window_s: float = 10.0
    slack: float = 150.0


@attrs.frozen(kw_only=True)
class StoreLimits:
    """The platform's store, and what all VMs together may ask of it a second."""

    address: Address
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    least_lease_s: float = 1.0


@attrs.frozen(kw_only=True)
class MachineLimits:
    """What the process may use of its VM."""

    memory_mb: float = 300.0
    descriptors: int = 1024
    link_mbps: float = 0.0
    """What its link carries; 0 where it is not told."""

    @property
    def memory_bytes(self) -> int:
        """The memory that the process may use, in bytes."""
        return round(self.memory_mb * 1024 * 1024)


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Everything that one gateway is told."""

    name: str
    data_center: str
    region: str
    listen: Address
    """For callers."""
    readiness: Address | None
    """Where the platform asks whether this VM takes callers."""
    directory: Address | None
    """Where callers ask for addresses."""
    bus: Address
    """For the other VMs."""
    store: StoreLimits
    tunnel: Address | None = None
    """Where other VMs ask for connections to targets; None for nowhere.

    Beside the bus, and at the same port on all VMs.
    """
    metrics: Address | None = None
    """Where scrapers ask for metrics."""
    seeds: tuple[Address, ...] = ()
    """Where the bus of some VMs listens; they may be down or gone."""
    bounds: Bounds = Bounds()
    retry_budget: RetryBudgetBounds = RetryBudgetBounds()
    machine: MachineLimits = MachineLimits()
    rolls_out: bool = True
    """Whether operators order new versions: without, targets of any version get work."""
    exposure: ExposureBounds = attrs.field(factory=ExposureBounds)
    heartbeat_s: float = 1.2
    """How often a target renews its entry in the platform's list."""
    data_centers: tuple[str, ...] = ()
