"""Which VM coordinates the queue for capacity of a service's engines.

Prompts of different priority arrive at hundreds of VMs, each of which sees one only every few
seconds. To order all of them, one VM has to hold the queue. Each VM computes by itself which one
that is, among those that receive the updates of all runs: any VM of a fleet that sends run updates
directly, a hub of a larger one. Different services have different coordinators.
"""

from __future__ import annotations

from collections.abc import Iterable

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.rendezvous import rank_by_hash
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.fleet.update_routing import sends_directly

MAX_COORDINATORS_ASKED = 2
"""The number of VMs that are queried before a prompt is placed without the queue: the coordinator,
and the VM that succeeds it."""


def queue_coordinators(
    service: str, *, roles: Roles, own: str, leaving: bool, present: Iterable[PeerState]
) -> tuple[str, ...]:
    """Return the VM that coordinates a service's queue, then its successors in order.

    VMs that are leaving are left out. ``leaving`` is whether this VM, ``own``, is; it may be
    among the result.
    """
    peers = list(present)
    staying = {state.life.name for state in peers if not state.leaving}
    if not sends_directly(len(peers)):
        staying &= {*roles.hubs, *roles.other_hubs}
    if not leaving and (roles.is_hub or sends_directly(len(peers))):
        staying.add(own)
    # All VMs have to hash the same text: a change of it changes the coordinator, and two versions
    # of this program that run in one fleet would choose different ones.
    return tuple(rank_by_hash(staying, purpose=f"line {service}"))
