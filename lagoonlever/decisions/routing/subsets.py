"""Which targets each VM uses at scale, so that each target serves about as many VMs.

VMs and targets are each put in the order of a hash and cut into the same number
of groups; a VM uses the targets of its group. Load is even up to one VM a
group, VMs of a group share their prefixes, and a VM or target that comes or
goes moves each border by at most one place.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import xxhash

RENDEZVOUS_SEED = 1


def grouped_subset(
    *, node: str, nodes: Iterable[str], targets: Iterable[str], size: int
) -> frozenset[str] | None:
    """Give the targets that a VM uses, about ``size`` of them, or None for all.

    VMs whose views differ disagree only at the borders of the groups: they use
    one target more or less, which costs an uneven load and nothing else.
    """
    ordered_targets = _in_hash_order(targets)
    if len(ordered_targets) <= size:
        return None
    ordered_nodes = _in_hash_order({*nodes, node})
    groups = min(math.ceil(len(ordered_targets) / size), len(ordered_nodes))
    group = ordered_nodes.index(node) * groups // len(ordered_nodes)
    return frozenset(
        target
        for rank, target in enumerate(ordered_targets)
        if rank * groups // len(ordered_targets) == group
    )


def rendezvous_subset(*, node: str, targets: Sequence[str], size: int) -> frozenset[str] | None:
    """Give the ``size`` targets of the highest hash with this VM; needs no list of VMs."""
    if len(targets) <= size:
        return None
    seed = _digest(node) ^ RENDEZVOUS_SEED
    ranked = sorted(
        targets, key=lambda target: xxhash.xxh3_64_intdigest(target.encode(), seed=seed)
    )
    return frozenset(ranked[-size:])


def _in_hash_order(names: Iterable[str]) -> list[str]:
    return sorted(names, key=lambda name: (_digest(name), name))


def _digest(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
