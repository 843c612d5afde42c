"""Which VMs read the store for the others, and which are hubs of their announcements.

If every VM watched the store, each change of the store would be a call of each VM. If every VM
announced its state to every other, three times a second, the messages would grow with the square
of the fleet. At 69 VMs that was 5,000 calls, and 7 of the machine's CPU cores.

Therefore a few VMs of each data centre (readers) read the store and push changes to the others. Up
to a dozen VMs announce themselves to each other directly (a mesh). In a larger fleet each VM
announces itself to the hubs of its data centre, and the hubs report which VMs these are. Each VM
computes the roles from its own view, with the same result while views agree. A difference is
harmless: some VM more or less reads, and a VM that receives nothing from any reader reads the store
itself.

The VMs with the fastest links get the roles first. A reader or a hub sends each message to the
whole fleet, some 2 Mbit/s in bursts at 69 VMs, which fills a link of 10 Mbit/s. Such a VM then
answers its own callers late, and considers engines lost that it merely cannot reach.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.rendezvous import rank_by_hash

MAX_MESH_VMS = 12
"""Up to this many VMs, each announces itself to every other."""
HUBS_PER_DATA_CENTER = 2
"""If one hub of a data centre dies, the other still reports on its VMs."""
MIN_READERS = 3
"""The number of readers in the whole fleet: one may be cut off from the store, and another one
from the other VMs."""
MIN_OUTAGE_VMS = 3
"""When this many VMs of a data centre have no access to the store, an outage of the store is
assumed, and no further VM tries to read it.

The store may refuse a third of all VMs and serve the others. A limit of three in the whole fleet
was reached when all its readers were refused: no other VM tried, and changes were missed for 8 s.
"""


@attrs.frozen(kw_only=True)
class Roles:
    """The roles of one VM, and the VMs it announces itself to."""

    reads_store: bool
    is_hub: bool
    mesh: bool
    """Whether every VM announces itself to every other, without hubs."""
    hubs: tuple[str, ...]
    """The hubs of this VM's data centre; this VM may be among them."""
    other_hubs: tuple[str, ...]
    """The hubs of the other data centres."""


def assign_roles(
    own: PeerState,
    peers: Iterable[PeerState],
    *,
    failed: frozenset[str] = frozenset(),
    isolated: bool = False,
) -> Roles:
    """Compute the roles of this VM; ``peers`` are the VMs that are not silent.

    ``failed`` names hubs that did not answer this VM. An ``isolated`` VM has had no answer from any
    hub for ``ISOLATED_S`` (see ``hub_watch``), so it cannot rely on any reader's changes to reach
    it and reads the store itself.
    """
    present = [own, *(peer for peer in peers if not peer.leaving)]
    by_data_center: dict[str, list[PeerState]] = {}
    for state in present:
        by_data_center.setdefault(state.data_center, []).append(state)
    hubs = {
        data_center: _choose(
            [s for s in states if s.life.name not in failed], "hub", HUBS_PER_DATA_CENTER
        )
        for data_center, states in by_data_center.items()
    }
    own_hubs = hubs[own.data_center]
    readers = _choose_readers(by_data_center)
    return Roles(
        reads_store=isolated or own.life.name in readers,
        is_hub=own.life.name in own_hubs,
        mesh=len(present) <= MAX_MESH_VMS,
        hubs=own_hubs,
        other_hubs=tuple(
            name
            for data_center, names in hubs.items()
            if data_center != own.data_center
            for name in names
        ),
    )


def _choose_readers(by_data_center: dict[str, list[PeerState]]) -> set[str]:
    """Return the readers: in each data centre the first of the VMs that reach the store.

    For each VM that does not reach the store one more reader is chosen, so that a few steps find
    VMs that reach it. With ``MIN_OUTAGE_VMS`` such VMs in a data centre, or if none reaches the
    store, its first VMs read regardless of that.
    """
    count = math.ceil(MIN_READERS / len(by_data_center))
    readers: set[str] = set()
    for states in by_data_center.values():
        reaching = [state for state in states if not state.store_away]
        away = len(states) - len(reaching)
        if away >= MIN_OUTAGE_VMS or not reaching:
            readers.update(_choose(states, "reader", count))
        else:
            readers.update(_choose(reaching, "reader", count + away))
    return readers


def _choose(states: list[PeerState], purpose: str, count: int) -> tuple[str, ...]:
    """Return the first ``count`` names by link speed, fastest first, then by a hash."""
    link_mbps = {state.life.name: state.link_mbps for state in states}
    by_hash = rank_by_hash(link_mbps, purpose=purpose)
    return tuple(sorted(by_hash, key=lambda name: -link_mbps[name])[:count])
