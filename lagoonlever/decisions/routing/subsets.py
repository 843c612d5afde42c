"""Subsetting: assigns each VM a subset of the targets, so that VMs spread evenly over targets.

VMs and targets are each sorted by hash and split into the same number of
groups; a VM uses the targets of its group. Group sizes differ by at most one VM,
VMs of a group share cached prefixes, and adding or removing a VM or target
moves each group boundary by at most one position.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import xxhash

RENDEZVOUS_SEED = 1


def grouped_subset(
    *, node: str, nodes: Iterable[str], targets: Iterable[str], size: int
) -> frozenset[str] | None:
    """Return the targets that a VM uses, about ``size`` of them, or None for all.

    VMs with different views disagree only at group boundaries: they use one target
    more or fewer, which only makes the load less even.
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
    """Return the ``size`` targets with the highest hash for this VM; needs no list of VMs."""
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
