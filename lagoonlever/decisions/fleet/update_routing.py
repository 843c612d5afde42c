"""Which VMs a VM sends updates to itself, and which it leaves to the hubs.

When a data centre's engines come back together, each is a change of its own, and three readers
of the store send each change to every VM. The number of messages grows with changes times
readers times VMs, and two thirds of them cross between data centres, where traffic is expensive.
In a very large fleet a reader therefore sends a change to its own data centre and to the hubs of
the others, which forward what is new to them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.streams.engine_runs import EngineRun

MAX_DIRECT_VMS = 120
"""Up to this many other VMs, each VM sends updates to all of them itself.

Hubs add a hop, and an update that arrives late leads to worse placements: at 69 VMs, prefills
were repeated for 24,000 prompt tokens with hubs, and for 3,000 with direct updates.
"""


def sends_directly(present: int) -> bool:
    """Check whether a fleet of this many other VMs sends updates directly, without hubs."""
    return present <= MAX_DIRECT_VMS


def push_recipients(
    known: Collection[PeerState], *, data_center: str, far_hubs: Iterable[str]
) -> tuple[PeerState, ...]:
    """Return the VMs that a reader in ``data_center`` sends a change to.

    ``known`` are all VMs, including those that are silent: one may only be behind a slow link,
    and without the change it would go on using what was removed. ``far_hubs`` are all hubs of
    the other data centres; more than one in each, since one may be dead.
    """
    if sends_directly(len(known)):
        return tuple(known)
    hubs = frozenset(far_hubs)
    return tuple(s for s in known if s.data_center == data_center or s.life.name in hubs)


def forward_recipients(
    known: Collection[PeerState], *, data_center: str, source: str, is_hub: bool
) -> tuple[PeerState, ...]:
    """Return the VMs that a VM in ``data_center`` forwards an update to that was new to it.

    Only a hub forwards, and only an update whose ``source`` is in another data centre: a reader
    in the same one has sent it to all VMs of the data centre itself.
    """
    if not is_hub or sends_directly(len(known)):
        return ()
    sender = next((state for state in known if state.life.name == source), None)
    if sender is None or sender.data_center == data_center:
        return ()
    return tuple(s for s in known if s.data_center == data_center and s.life.name != source)


def placement_hubs(roles: Roles | None, *, own: str, present: int) -> tuple[str, ...]:
    """Return the hubs that place this VM's runs, nearest first; none if it places them itself.

    Up to ``MAX_DIRECT_VMS`` other VMs, every VM receives the updates of all runs and can place its
    own. In a larger fleet only the hubs do: sending each run to every VM took more of a VM's time
    than its own callers did.
    """
    if roles is None or sends_directly(present) or roles.is_hub:
        return ()
    return tuple(hub for hub in roles.hubs if hub != own)


def vms_affected_by_losses(
    lost: Collection[str],
    runs: Iterable[EngineRun],
    *,
    data_center_of: Callable[[str], str | None],
) -> frozenset[str]:
    """Return the VMs to which the loss of engines is announced at once.

    These are the VMs with a run in the data centre of a lost engine, as its engines often fail
    together, and those with a run whose KV-cache copy is there, as it has to be copied again.
    """
    data_centers = {data_center_of(engine) for engine in lost} - {None}
    return frozenset(
        run.vm
        for run in runs
        if run.engine in lost
        or run.copy_holder in lost
        or data_center_of(run.engine) in data_centers
        or (run.copy_holder is not None and data_center_of(run.copy_holder) in data_centers)
    )


def hub_recipients(roles: Roles, *, own: str, source: str) -> tuple[str, ...]:
    """Return the hubs that this VM sends an update to that came from ``source``.

    ``source`` is this VM itself for an update of its own. The route is for updates that any VM
    may have and few need: a VM sends it to its own hubs, and the hub that receives it from a VM
    forwards it to all other hubs.
    """
    if not roles.is_hub:
        return roles.hubs if source == own else ()
    hubs = (*roles.hubs, *roles.other_hubs)
    if source != own and source in hubs:
        return ()
    return tuple(hub for hub in hubs if hub not in (own, source))
