"""Which VMs read the store for the others, and which gather their words.

The load that is answered: every change of the store is a call of each VM that watches
it, and a word of each VM to each other one, three times a second, grows with the square
of the fleet. At 69 VMs that was 5,000 calls and 7 of the machine's cores.

So a few VMs of each data centre read the store and push what changes to the others.
Up to a dozen VMs speak to each other directly; in larger fleets each speaks to the hubs
of its data centre, and hubs pass on who was heard. Roles are worked out by each VM from
its own view, alike while views agree. They are no promise: where views differ, a VM more
or less reads, and a VM that hears of no reader reads for itself.

The VMs with the widest links take the roles first. A reader or a hub sends each word to
the whole fleet: some 2 Mbit/s in bursts at 69 VMs, which fills a link of 10 Mbit/s. Such
a VM then answers its own callers late, and takes engines that it can't reach for lost.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.rendezvous import rank_by_hash

MAX_MESH_VMS = 12
"""Up to this many VMs every one speaks to every other."""
HUBS_PER_DATA_CENTER = 2
"""In each data centre: one may die, and the other's word is there meanwhile."""
MIN_READERS = 3
"""In the whole fleet: one may be cut from the store and one from its fellows."""
OUTAGE_AWAY = 3
"""So many VMs of each data centre that can't reach the store mean that nobody can.

The store may turn a third of all VMs away and serve the others. Three in the whole fleet
happened to be all its readers: nobody else tried, and changes were missed for 8 s.
"""


@attrs.frozen(kw_only=True)
class Roles:
    """What one VM does, and to whom it speaks."""

    reads_store: bool
    is_hub: bool
    mesh: bool
    """Every VM speaks to every other; nobody gathers."""
    hubs: tuple[str, ...]
    """The hubs of this VM's data centre, itself perhaps among them."""
    other_hubs: tuple[str, ...]
    """The hubs of the other data centres."""


def assign_roles(
    own: PeerState,
    fellows: Iterable[PeerState],
    *,
    failed: frozenset[str] = frozenset(),
    isolated: bool = False,
) -> Roles:
    """Work out the roles; ``fellows`` are the VMs that are not silent.

    ``failed`` names hubs that this VM spoke to in vain. An ``isolated`` VM has heard no
    hub of late, so it can't count on anybody's word and reads for itself.
    """
    present = [own, *(fellow for fellow in fellows if not fellow.leaving)]
    by_place: dict[str, list[PeerState]] = {}
    for state in present:
        by_place.setdefault(state.data_center, []).append(state)
    hubs = {
        place: _first([s for s in states if s.life.name not in failed], "hub", HUBS_PER_DATA_CENTER)
        for place, states in by_place.items()
    }
    own_hubs = hubs[own.data_center]
    readers = _readers(by_place)
    return Roles(
        reads_store=isolated or own.life.name in readers,
        is_hub=own.life.name in own_hubs,
        mesh=len(present) <= MAX_MESH_VMS,
        hubs=own_hubs,
        other_hubs=tuple(
            name for place, names in hubs.items() if place != own.data_center for name in names
        ),
    )


def _readers(by_place: dict[str, list[PeerState]]) -> set[str]:
    """Give the readers: in each data centre the first of those that reach the store.

    For each one that does not reach it one more tries, so that a few steps find some that
    do, until it is clear that there are none.
    """
    count = math.ceil(MIN_READERS / len(by_place))
    readers: set[str] = set()
    for states in by_place.values():
        reaching = [state for state in states if not state.store_away]
        away = len(states) - len(reaching)
        if away >= OUTAGE_AWAY or not reaching:
            readers.update(_first(states, "reader", count))
        else:
            readers.update(_first(reaching, "reader", count + away))
    return readers


def _first(states: list[PeerState], purpose: str, count: int) -> tuple[str, ...]:
    """Give the first few by the width of their links, and by a hash where these are alike."""
    links = {state.life.name: state.link_mbps for state in states}
    by_hash = rank_by_hash(links, purpose=purpose)
    return tuple(sorted(by_hash, key=lambda name: -links[name])[:count])
