"""The tree of weights that shares are reckoned over, and what requests cost in engine work.

Work is counted in units of one decoded token; a prefill token costs a fraction of that.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash

PREFILL_WEIGHT = 0.1
"""Work of one prefill token, in decoded tokens: prefill runs in large parallel batches."""
DECODE_WEIGHT = 1.0
"""Work of one decoded token."""
OWN_CHILD = "."
"""Name of the leaf that stands for the requests of an inner node itself."""


def node_of(path: str) -> str:
    """Give the settings node whose requests a path of the shares stands for."""
    return path.removesuffix(f"/{OWN_CHILD}")


@attrs.frozen(kw_only=True)
class ShareNode:
    """One node of the settings tree as shares need it; the root has no parent."""

    path: str
    weight: float = 1.0
    parent: str | None = None


def work_of(*, prefill_tokens: float = 0.0, decode_tokens: float = 0.0) -> float:
    """Give the engine work of some tokens, in units of one decoded token."""
    return PREFILL_WEIGHT * prefill_tokens + DECODE_WEIGHT * decode_tokens


def leaf_key(path: str) -> int:
    """Give the 32-bit key that stands for a path between VMs, equal in all settings versions."""
    return xxhash.xxh32_intdigest(path.encode())


class ShareTree:
    """The nodes by path, each with its children; every node but the root has a known parent.

    Callers may belong to a node that has children; their requests then count
    for a leaf beside these children, which inherits the node's weight.
    """

    def __init__(self, nodes: Iterable[ShareNode]) -> None:
        self._nodes = {node.path: node for node in nodes}
        roots = [node.path for node in self._nodes.values() if node.parent is None]
        if len(roots) != 1:
            raise ValueError(f"a tree has one root, not {len(roots)}")
        self._root = roots[0]
        inner = {node.parent for node in self._nodes.values() if node.parent is not None}
        for parent in inner | {self._root}:
            weight = self._nodes[parent].weight
            own = ShareNode(path=f"{parent}/{OWN_CHILD}", weight=weight, parent=parent)
            self._nodes[own.path] = own
        self._children: dict[str, list[str]] = {path: [] for path in self._nodes}
        for node in self._nodes.values():
            if node.weight <= 0:
                raise ValueError(f"weight of {node.path!r} is {node.weight}; give more than 0")
            if node.parent is not None:
                self._children[node.parent].append(node.path)
        self._chains = {path: self._chain_to(path) for path in self._nodes}

    @property
    def root(self) -> str:
        """The path of the root."""
        return self._root

    @property
    def paths(self) -> Iterable[str]:
        """All paths, the root's too."""
        return self._nodes.keys()

    def __contains__(self, path: object) -> bool:
        return path in self._nodes

    @property
    def leaves(self) -> Iterable[str]:
        """The paths that requests are queued under."""
        return (path for path, children in self._children.items() if not children)

    def is_leaf(self, path: str) -> bool:
        """Tell whether requests can be queued under a path."""
        return path in self._nodes and not self._children[path]

    def leaf_of(self, path: str) -> str:
        """Give the leaf that the requests of a node count for."""
        return f"{path}/{OWN_CHILD}" if self._children[path] else path

    def nearest_leaf(self, path: str) -> str:
        """Give the leaf for a path that this tree may no longer have: its own or an ancestor's."""
        here = path.removesuffix(f"/{OWN_CHILD}")
        while here not in self._nodes:
            above = here.rpartition("/")[0]
            if not above:
                return self.leaf_of(self._root)
            here = above
        return self.leaf_of(here)

    def weight(self, path: str) -> float:
        """Give a node's weight among its siblings."""
        return self._nodes[path].weight

    def parent(self, path: str) -> str | None:
        """Give the parent's path; the root has none."""
        return self._nodes[path].parent

    def children(self, path: str) -> list[str]:
        """Give the paths of a node's children."""
        return self._children[path]

    def chain(self, path: str) -> tuple[str, ...]:
        """Give the nodes from right below the root down to the node itself."""
        return self._chains[path]

    def _chain_to(self, path: str) -> tuple[str, ...]:
        chain: list[str] = []
        here: str | None = path
        while here is not None and here != self._root:
            if here in chain:
                raise ValueError(f"{path!r} is its own ancestor")
            chain.append(here)
            here = self._nodes[here].parent
        return tuple(reversed(chain))
