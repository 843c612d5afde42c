"""Which VM keeps the line for room at a service's engines.

The load that is answered: urgent and patient prompts come to hundreds of VMs, each of which
sees one in some seconds. An order among all of them needs one place where they meet. Each VM
works out alike which one that is, among those that hear of all runs: any VM in a fleet that
tells runs to everyone, a hub in a larger one. Different services meet at different VMs.
"""

from __future__ import annotations

from collections.abc import Iterable

from lagoonlever.decisions.fleet.peer_table import PeerState
from lagoonlever.decisions.fleet.rendezvous import rank_by_hash
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.fleet.update_routing import sends_directly

MAX_COORDINATORS_ASKED = 2
"""VMs that are asked for a line before one goes without: the keeper, and who takes it over."""


def queue_coordinators(
    service: str, *, roles: Roles, own: str, leaving: bool, present: Iterable[PeerState]
) -> tuple[str, ...]:
    """Give the VM that keeps a service's line, and who follows it; ``own`` may be among them."""
    fellows = list(present)
    staying = {state.life.name for state in fellows if not state.leaving}
    if not sends_directly(len(fellows)):
        staying &= {*roles.hubs, *roles.other_hubs}
    if not leaving and (roles.is_hub or sends_directly(len(fellows))):
        staying.add(own)
    return tuple(rank_by_hash(staying, purpose=f"line {service}"))
