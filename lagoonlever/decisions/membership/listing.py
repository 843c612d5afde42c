"""How often a VM reads the platform's list of VMs, and what the list means for whom."""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

import attrs

from lagoonlever.decisions.membership.protocol import ListedVm
from lagoonlever.decisions.targets.listing import ListedTarget, TargetListReading
from lagoonlever.decisions.targets.targets import TargetKind
from lagoonlever.store.port import VmEntry, VmRole, VmState

PERIOD_S = 1.0
FULL_RATE_MEMBERS = 9
"""Up to so many VMs each reads the list once a period."""
GROWTH = 1.2
"""Above one, since each reading gets larger with the fleet too: at 400 VMs each
reads every 95 s and all together 4.2 times a second."""
JITTER = 0.1

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
        """The entry VMs, as the membership protocol takes them."""
        return tuple(
            ListedVm(name=vm.name, peers=vm.peer_address, leaving=vm.state is VmState.LEAVING)
            for vm in self.vms
            if vm.role is VmRole.ENTRY and vm.peer_address is not None
        )

    @property
    def targets(self) -> TargetListReading:
        """The targets, as the targets' watch takes them."""
        return TargetListReading(targets=tuple(_targets(self.vms)), read_at=self.read_at)


def list_read_interval_s(members: int, random: Random) -> float:
    """Give the seconds until this VM reads the list again, among so many reachable VMs.

    A VM that reaches no other reads at the full rate: it has nobody to tell it.
    """
    crowd = max(1.0, members / FULL_RATE_MEMBERS)
    return PERIOD_S * math.pow(crowd, GROWTH) * random.uniform(1 - JITTER, 1 + JITTER)


def _targets(vms: Iterable[VmEntry]) -> Iterable[ListedTarget]:
    for vm in vms:
        kind = _TARGET_KINDS.get(vm.role)
        if kind is None:
            continue
        yield ListedTarget(
            name=vm.name,
            address=vm.address,
            kind=kind,
            leaving=vm.state is VmState.LEAVING,
            data_center=vm.data_center,
        )
