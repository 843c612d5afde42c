"""The checked tree of one version, and what its nodes resolve to."""

from __future__ import annotations

import re
from collections.abc import Iterable

import attrs

from lagoonlever.exceptions import LagoonleverException
from lagoonlever.tree.options import (
    OWN_OPTIONS,
    EffectiveSettings,
    OptionValue,
    api_key_digest,
)

ROOT = "/"
PATH_BELOW_ROOT = re.compile(r"(?:/[a-z0-9][a-z0-9\-]{0,62}){1,6}\Z")
"""Up to six names."""


class UnknownNode(LagoonleverException):
    """The tree of this version has no node at the path."""


def is_path(path: str) -> bool:
    """Tell whether a text is a node's path."""
    return path == ROOT or PATH_BELOW_ROOT.match(path) is not None


def parent_of(path: str) -> str:
    """Give the path of the parent; the root is its own."""
    return path.rpartition("/")[0] or ROOT


def lineage(path: str) -> tuple[str, ...]:
    """Give the paths from the root down to ``path``, both included."""
    if path == ROOT:
        return (ROOT,)
    names = path[1:].split("/")
    below = ("/" + "/".join(names[: depth + 1]) for depth in range(len(names)))
    return (ROOT, *below)


@attrs.frozen(kw_only=True)
class Override:
    """One option that a node states itself."""

    option: str
    value: OptionValue


@attrs.frozen(kw_only=True)
class Node:
    """One node: its path and what it overrides, in the order of the options' names."""

    path: str
    overrides: tuple[Override, ...] = ()

    def get(self, option: str) -> OptionValue | None:
        """Give the value that the node itself states, or None where it inherits."""
        return next((item.value for item in self.overrides if item.option == option), None)


@attrs.frozen(kw_only=True)
class TreeView:
    """The settings of one version; ``version`` is the platform's revision, 0 if none is stored.

    Nodes stand in the order of their paths, the root first, and every parent is there.
    """

    version: int
    nodes: tuple[Node, ...]
    _by_path: dict[str, Node] = attrs.field(init=False, repr=False, eq=False)
    _children: dict[str, tuple[str, ...]] = attrs.field(init=False, repr=False, eq=False)
    _by_key: dict[str, str] = attrs.field(init=False, repr=False, eq=False)
    _resolved: dict[str, EffectiveSettings] = attrs.field(
        init=False, repr=False, eq=False, factory=dict
    )

    @_by_path.default
    def _index_paths(self) -> dict[str, Node]:
        return {node.path: node for node in self.nodes}

    @_children.default
    def _index_children(self) -> dict[str, tuple[str, ...]]:
        return _children_by_parent(self.nodes)

    @_by_key.default
    def _index_keys(self) -> dict[str, str]:
        return {
            digest: node.path for node in self.nodes for digest in _digests(node.get("api_keys"))
        }

    @property
    def organisations(self) -> tuple[str, ...]:
        """The paths right below the root."""
        return self.children(ROOT)

    def __contains__(self, path: object) -> bool:
        return path in self._by_path

    def node(self, path: str) -> Node:
        """Give the node at a path; raises ``UnknownNode``."""
        try:
            return self._by_path[path]
        except KeyError:
            raise UnknownNode(f"version {self.version} has no node {path!r}") from None

    def children(self, path: str) -> tuple[str, ...]:
        """Give the paths right below a node, in order."""
        return self._children.get(path, ())

    def resolve(self, path: str) -> EffectiveSettings:
        """Give every option of a node; raises ``UnknownNode``."""
        known = self._resolved.get(path)
        if known is not None:
            return known
        settings = self._resolve(path)
        self._resolved[path] = settings
        return settings

    def origin_of(self, path: str, option: str) -> str | None:
        """Give the path of the node that states an option's value; None is the default."""
        stating = (at for at in reversed(lineage(path)) if self.node(at).get(option) is not None)
        origin = next(stating, None)
        return None if option in OWN_OPTIONS and origin != path else origin

    def share_of(self, path: str) -> float:
        """Give the part of the whole pool (0..1) that a node's weight entitles it to."""
        share = 1.0
        for at in lineage(path)[1:]:
            siblings = self.children(parent_of(at))
            share *= self.resolve(at).weight / sum(self.resolve(other).weight for other in siblings)
        return share

    def organisation_of_key(self, api_key: str) -> str | None:
        """Give the path of the node that a caller's key belongs to, or None."""
        return self._by_key.get(api_key_digest(api_key))

    def _resolve(self, path: str) -> EffectiveSettings:
        values: dict[str, OptionValue] = {}
        for at in lineage(path):
            for item in self.node(at).overrides:
                if item.option not in OWN_OPTIONS or at == path:
                    values[item.option] = item.value
        return EffectiveSettings(**values)  # type: ignore[arg-type]


def default_tree() -> TreeView:
    """Give the tree that is in force where nothing was stored yet."""
    return TreeView(version=0, nodes=(Node(path=ROOT),))


def _children_by_parent(nodes: Iterable[Node]) -> dict[str, tuple[str, ...]]:
    children: dict[str, list[str]] = {}
    for node in nodes:
        if node.path != ROOT:
            children.setdefault(parent_of(node.path), []).append(node.path)
    return {parent: tuple(sorted(paths)) for parent, paths in children.items()}


def _digests(value: OptionValue | None) -> tuple[str, ...]:
    return value if isinstance(value, tuple) else ()
