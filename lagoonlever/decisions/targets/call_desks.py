"""Which VM gives out the places at which runners of a service.

The load that is answered: 60 VMs send 142 calls a second to four runners, and each hears of
a runner every other second. One VM has all asks and ends, so it knows. It takes three messages a
call, so the runners of a large service are split among several VMs. VMs work out alike who that
is, while their views agree; where they differ, two count apart, and each sees the other's
calls in the runners' own words.
"""

from __future__ import annotations

from collections.abc import Iterable

from lagoonlever.decisions.fleet.rendezvous import rank_by_hash

RUNNERS_A_DESK = 6
"""Some 530 calls a second of 68 ms at 36 slots, 1,600 messages: a third of a core."""


def groups_of(service: str, runners: Iterable[str]) -> tuple[tuple[str, ...], ...]:
    """Give the runners of a service in groups, each with its own desk."""
    ordered = rank_by_hash(runners, purpose=f"calls {service}")
    count = -(-len(ordered) // RUNNERS_A_DESK)
    return tuple(tuple(ordered[number::count]) for number in range(count))


def desks_of(service: str, group: int, vms: Iterable[str]) -> list[str]:
    """Give the VMs in the order in which they are asked for places of a group."""
    return rank_by_hash(vms, purpose=f"calls {service} {group}")
