"""Whom a VM tells of news itself, and what it leaves to the hubs of other data centres.

The load that is answered: a data centre's engines come back together, each an entry of
its own, and three readers tell each change to every VM. Messages grow with changes times
readers times VMs, and two thirds of them cross between data centres, where bytes are
dear. In a very large fleet a reader therefore tells its own data centre, and the hubs of
the others, who pass on what was new to them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.streams.booked_runs import BookedRun

MAX_DIRECT_VMS = 120
"""Up to this many VMs each tells all others itself.

Hubs add a hop, and news that comes late costs worse placements: measured on 69 VMs,
24,000 prompt tokens read in vain by hubs in place of 3,000 told directly.
"""


def sends_directly(present: int) -> bool:
    """Tell whether a fleet of so many other VMs is told without hubs."""
    return present <= MAX_DIRECT_VMS


def push_recipients(
    known: Collection[PeerState], *, data_center: str, far_hubs: Iterable[str]
) -> tuple[PeerState, ...]:
    """Give the VMs that a reader in ``data_center`` tells of a change.

    ``known`` are all VMs, also those that were not heard of late: one that seems silent
    may only be behind a slow link, and would go on with what was taken away. ``far_hubs``
    are all hubs of the other data centres, so that one of them may be dead.
    """
    if sends_directly(len(known)):
        return tuple(known)
    hubs = frozenset(far_hubs)
    return tuple(s for s in known if s.data_center == data_center or s.life.name in hubs)


def forward_recipients(
    known: Collection[PeerState], *, data_center: str, source: str, is_hub: bool
) -> tuple[PeerState, ...]:
    """Give the VMs that a VM in ``data_center`` passes news on to that was new to it.

    Only a hub does, and only with news from elsewhere: a reader nearby has told all VMs
    of the data centre itself.
    """
    if not is_hub or sends_directly(len(known)):
        return ()
    told_by = next((state for state in known if state.life.name == source), None)
    if told_by is None or told_by.data_center == data_center:
        return ()
    return tuple(s for s in known if s.data_center == data_center and s.life.name != source)


def placement_hubs(roles: Roles | None, *, own: str, present: int) -> tuple[str, ...]:
    """Give the VMs to ask for a place, nearest first; none where this VM holds the book itself.

    Up to ``MAX_DIRECT_VMS`` VMs every one hears of all runs. Beyond, the hubs do: each run told
    to everyone took more of a VM's time than its own callers.
    """
    if roles is None or sends_directly(present) or roles.is_hub:
        return ()
    return tuple(hub for hub in roles.hubs if hub != own)


def vms_affected_by_losses(
    lost: Collection[str],
    runs: Iterable[BookedRun],
    *,
    data_center_of: Callable[[str], str | None],
) -> frozenset[str]:
    """Give the VMs that are to hear of lost engines at once.

    Those with a run in the data centre of a lost one, as its engines fail together, and
    those whose run has its copy there, as it is to be copied anew.
    """
    places = {data_center_of(engine) for engine in lost} - {None}
    return frozenset(
        run.vm
        for run in runs
        if run.engine in lost
        or run.copy_at in lost
        or data_center_of(run.engine) in places
        or (run.copy_at is not None and data_center_of(run.copy_at) in places)
    )


def hub_recipients(roles: Roles, *, own: str, source: str) -> tuple[str, ...]:
    """Give the hubs that this VM tells what ``source``, itself perhaps, has told it.

    For news that each VM may have and few need: a VM tells its own hubs, and these the others.
    """
    if not roles.is_hub:
        return roles.hubs if source == own else ()
    hubs = (*roles.hubs, *roles.other_hubs)
    if source != own and source in hubs:
        return ()
    return tuple(hub for hub in hubs if hub not in (own, source))
