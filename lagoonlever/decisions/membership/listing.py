"""How often an entry VM reads the platform's list of VMs, and what it takes from the list.

The list names the entry VMs, which the membership protocol contacts, and the targets, which the
target watch follows. Each reading costs the platform more as the fleet grows, since the list
grows too; therefore each VM reads less often in a larger fleet.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

import attrs

from lagoonlever.decisions.membership.protocol import ListedVm
from lagoonlever.decisions.targets.listing import ListEntry, TargetListReading
from lagoonlever.decisions.targets.targets import TargetKind
from lagoonlever.store.port import VmEntry, VmRole, VmState

PERIOD_S = 1.0
"""The interval between two readings of a VM in a fleet of up to ``FULL_RATE_MEMBERS`` VMs."""
FULL_RATE_MEMBERS = 9
"""The largest fleet in which each VM reads the list once every ``PERIOD_S``."""
GROWTH_EXPONENT = 1.2
"""The exponent by which the interval grows with the fleet. It is above 1 because each reading
gets larger with the fleet, too: of 400 VMs each reads every 95 s, all together 4.2 times a second.
"""
JITTER = 0.1
"""The share of the interval by which it varies at random."""

_TARGET_KINDS = {
    VmRole.ENGINE: TargetKind.ENGINE,
    VmRole.APPLICATION: TargetKind.APPLICATION,
}


@attrs.frozen(kw_only=True)
class VmListReading:
    """The platform's list, read by a call that began at ``read_at`` (monotonic seconds)."""

    vms: tuple[VmEntry, ...]
    read_at: float

    @property
    def entry_vms(self) -> tuple[ListedVm, ...]:
        """The entry VMs, as input of the membership protocol."""
        return tuple(
            ListedVm(name=vm.name, peers=vm.peer_address, leaving=vm.state is VmState.LEAVING)
            for vm in self.vms
            if vm.role is VmRole.ENTRY and vm.peer_address is not None
        )

    @property
    def targets(self) -> TargetListReading:
        """The targets, as input of the target watch."""
        return TargetListReading(targets=tuple(_listed_targets(self.vms)), read_at=self.read_at)


def list_read_interval_s(members: int, random: Random) -> float:
    """Return the seconds until this VM reads the list again, given the number of reachable VMs.

    A VM that reaches no other VM reads at the full rate, since no peer can pass on changes to it.
    """
    fleet_factor = max(1.0, members / FULL_RATE_MEMBERS)
    return (
        PERIOD_S * math.pow(fleet_factor, GROWTH_EXPONENT) * random.uniform(1 - JITTER, 1 + JITTER)
    )


def _listed_targets(vms: Iterable[VmEntry]) -> Iterable[ListEntry]:
    """Yield the VMs that are targets: engines and application services."""
    for vm in vms:
        kind = _TARGET_KINDS.get(vm.role)
        if kind is None:
            continue
        yield ListEntry(
            name=vm.name,
            address=vm.address,
            kind=kind,
            leaving=vm.state is VmState.LEAVING,
            data_center=vm.data_center,
        )
