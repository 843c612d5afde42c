"""Selection of the VM that assigns the slots of a service's runners to calls.

Many VMs send calls to few runners: for example, 60 VMs send 142 calls per second to four
runners, and each VM gets a load report of a runner only every other second, too late to choose a
runner by. Therefore one VM, the coordinator, assigns the slots. It receives every slot request
and every end of a call, and so knows the load. This costs three messages per call, so the
runners of a large service are split into groups with a coordinator each. All VMs compute the
same coordinator while their membership views agree. Where the views differ, two VMs assign slots
of one group independently, and each sees the calls of the other in the load reports of the
runners.
"""

from __future__ import annotations

from collections.abc import Iterable

from lagoonlever.decisions.fleet.rendezvous import rank_by_hash

RUNNERS_PER_COORDINATOR = 6
"""The maximum number of runners in a group.

Six runners with 36 slots in all and 68 ms per call serve about 530 calls per second. Their 1,600
messages per second take a third of a core of the coordinator.
"""


def runner_groups(service: str, runners: Iterable[str]) -> tuple[tuple[str, ...], ...]:
    """Return the runners of a service in groups, each of which has its own coordinator."""
    ordered = rank_by_hash(runners, purpose=f"calls {service}")
    count = -(-len(ordered) // RUNNERS_PER_COORDINATOR)
    return tuple(tuple(ordered[number::count]) for number in range(count))


def ranked_coordinators(service: str, group: int, vms: Iterable[str]) -> list[str]:
    """Return the VMs in the order in which they are requested to assign slots of a group.

    The first VM is the group's coordinator; the next ones replace it where it does not answer.
    """
    return rank_by_hash(vms, purpose=f"calls {service} {group}")
