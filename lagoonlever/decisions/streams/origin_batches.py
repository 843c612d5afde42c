"""How often a VM writes where its streams began, so that all VMs together write little."""

from __future__ import annotations

MIN_PERIOD_S = 0.2
"""What is not written yet is lost with all VMs at once: a small share of streams that live for
seconds."""
WRITES_SHARE = 0.1
"""Share of the store's writes that all VMs together use for this."""


def burst_spread_s(*, vms: int, writes_per_s: float) -> float:
    """Return the time over which each of ``vms`` writes once, as for a version that has come."""
    return vms / writes_per_s


def batch_period_s(*, vms: int, writes_per_s: float) -> float:
    """Return the time for which a VM gathers, if each of ``vms`` writes once in that time."""
    return max(MIN_PERIOD_S, vms / (WRITES_SHARE * writes_per_s))
