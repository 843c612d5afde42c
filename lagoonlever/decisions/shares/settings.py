"""What the settings tree says about shares: weights, limits, and the pools' slots."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from lagoonlever.decisions.admission.limits import NodeLimits
from lagoonlever.decisions.shares.shares import OWN_CHILD, ShareNode, ShareTree
from lagoonlever.decisions.shares.slots import PoolReport
from lagoonlever.decisions.targets.targets import Target, TargetKind, TargetView
from lagoonlever.tree.nodes import ROOT, TreeView, parent_of

DEFAULT_SLOTS = 8
"""Slots assumed of an engine that has never reported any."""


@attrs.frozen(kw_only=True)
class ShareSettings:
    """The tree of weights and the limits of each node, of one version of the settings."""

    tree: ShareTree
    limits: Mapping[str, NodeLimits]


def share_settings(view: TreeView) -> ShareSettings:
    """Take from a version of the settings what shares need."""
    nodes: list[ShareNode] = []
    limits: dict[str, NodeLimits] = {}
    for node in view.nodes:
        effective = view.resolve(node.path)
        parent = None if node.path == ROOT else parent_of(node.path)
        nodes.append(ShareNode(path=node.path, weight=effective.weight, parent=parent))
        limits[node.path] = NodeLimits(
            max_running=effective.max_running,
            queue_bound=effective.queue_bound,
            max_queue_wait_s=effective.max_queue_wait_s,
        )
        limits[f"{node.path}/{OWN_CHILD}"] = limits[node.path]
    return ShareSettings(tree=ShareTree(nodes), limits=limits)


def pool_reports(view: TargetView, known_slots: dict[str, int]) -> dict[str, PoolReport]:
    """Give each pool's slots and load; ``known_slots`` keeps the last slots of each engine."""
    engines: dict[str, list[Target]] = {}
    for target in view.live(TargetKind.ENGINE):
        if target.load is not None:
            known_slots[target.name] = target.load.slots
        for name in {model.name for model in target.models}:
            engines.setdefault(name, []).append(target)
    return {name: _report(targets, known_slots) for name, targets in engines.items()}


def _report(engines: list[Target], known_slots: Mapping[str, int]) -> PoolReport:
    slots = sum(known_slots.get(engine.name, DEFAULT_SLOTS) for engine in engines)
    loads = [engine.load for engine in engines if engine.load is not None]
    if len(loads) < len(engines):
        return PoolReport(slots=slots)
    return PoolReport(slots=slots, running=sum(load.running + load.waiting for load in loads))
