"""How many of a pool's slots this VM may use now, worked out alike at every VM.

Each VM knows the demand of all (a little late) and divides the same slots by the
same rule: first over the tree by weight, then each leaf's part over the VMs by
their demand for that leaf. No VM asks another for a slot.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

import attrs

from lagoonlever.decisions.shares.shares import ShareTree

CORRECTION_S = 30.0
"""A node this many seconds behind its share gets e times the slots of its weight alone.

Slots held for minutes answer late: with 4 s the parts swung between nothing and double.
"""
MAX_CORRECTION = 1.0
"""Largest exponent of the correction."""


@attrs.frozen(kw_only=True)
class PoolReport:
    """The slots of a pool's live engines and, as they report late, how many run there."""

    slots: int
    running: int | None = None


@attrs.frozen(kw_only=True)
class LeafDemand:
    """Requests of one leaf that run or wait, on all VMs and on this one."""

    total: float
    own: int


def slot_pull(*, weight: float, pace: float, lag_s: float) -> float:
    """Give what a node's slots are divided by: shares are of work, so slow slots count less.

    ``pace`` is the work a second of one of its slots; what is left of the difference
    shows as being behind or ahead, and is put right slowly.
    """
    exponent = -lag_s / CORRECTION_S
    return weight / pace * math.exp(min(max(exponent, -MAX_CORRECTION), MAX_CORRECTION))


def divide_slots(
    *,
    tree: ShareTree,
    demand: Mapping[str, LeafDemand],
    slots: float,
    pull: Callable[[str], float],
    max_running: Mapping[str, float],
) -> dict[str, float]:
    """Divide slots over the leaves by their pull, lending what a node has no demand for.

    A node's pull counts against that of its siblings.
    A leaf that gets nothing is left out: without demand, or without slots, the
    result is empty.
    """
    wanted: dict[str, float] = {}
    for leaf, leaf_demand in demand.items():
        for path in (tree.root, *tree.chain(leaf)):
            wanted[path] = wanted.get(path, 0.0) + leaf_demand.total
    for path, limit in max_running.items():
        if path in wanted:
            wanted[path] = min(wanted[path], limit)
    result: dict[str, float] = {}
    _divide(tree, tree.root, min(slots, wanted.get(tree.root, 0.0)), wanted, pull, result)
    return {leaf: part for leaf, part in result.items() if part > 0}


def own_part(*, divided: Mapping[str, float], demand: Mapping[str, LeafDemand]) -> dict[str, float]:
    """Give this VM's part of each leaf's slots, by its part of the leaf's demand."""
    return {
        leaf: divided.get(leaf, 0.0) * one.own / one.total
        for leaf, one in demand.items()
        if one.own > 0
    }


def silent_part(*, excess: float, silent_running: float) -> float:
    """Give the part (0..1) of what silent peers ran that the engines still show.

    A peer that is cut off goes on using engines, and only the engines tell so:
    ``excess`` is what runs there beyond what the peers still heard say, averaged.
    A dead peer's streams end, the reports show it, and its slots come back.
    """
    if silent_running <= 0:
        return 0.0
    return min(max(excess / silent_running, 0.0), 1.0)


def _divide(
    tree: ShareTree,
    here: str,
    amount: float,
    wanted: Mapping[str, float],
    pull: Callable[[str], float],
    result: dict[str, float],
) -> None:
    children = [path for path in tree.children(here) if wanted.get(path, 0.0) > 0]
    if not children:
        result[here] = amount
        return
    pulls = {path: pull(path) for path in children}
    # Those that need least for their weight are filled first; the rest share what is left.
    children.sort(key=lambda path: wanted[path] / pulls[path])
    left_pull = sum(pulls.values())
    for path in children:
        part = min(wanted[path], amount * pulls[path] / left_pull)
        amount -= part
        left_pull -= pulls[path]
        _divide(tree, path, part, wanted, pull, result)
