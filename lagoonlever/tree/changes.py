"""What differs between two trees, and how a change is applied to a newer one.

A change tells, for each option, the value its author saw and the value wanted.
It applies to a later version as long as no option of it was changed meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.tree.document import check_document, document_of
from lagoonlever.tree.nodes import TreeView
from lagoonlever.tree.options import OptionValue

NODE = "node"
"""Stands for the node itself where an edit adds or removes it; its value is True."""


@attrs.frozen(kw_only=True)
class Edit:
    """One option of one node, before and after; None is 'not stated here'."""

    path: str
    option: str
    before: OptionValue | None
    after: OptionValue | None

    @property
    def key(self) -> str:
        """The name by which operators are told of it, like ``/motus.weight``."""
        return f"{self.path}.{self.option}"

    def inverted(self) -> Edit:
        """Give the edit that undoes this one."""
        return attrs.evolve(self, before=self.after, after=self.before)


@attrs.frozen(kw_only=True)
class KeyConflict:
    """An option that someone else changed since the author read it."""

    key: str
    expected: OptionValue | None
    found: OptionValue | None
    wanted: OptionValue | None


def value_at(tree: TreeView, path: str, option: str) -> OptionValue | None:
    """Give what a tree states at one node for one option, or None."""
    if path not in tree:
        return None
    return True if option == NODE else tree.node(path).get(option)


def diff(old: TreeView, new: TreeView) -> tuple[Edit, ...]:
    """Give the edits that lead from one tree to another, in the order of path and name."""
    keys = _keys_of(old) | _keys_of(new)
    edits = (
        Edit(
            path=path,
            option=option,
            before=value_at(old, path, option),
            after=value_at(new, path, option),
        )
        for path, option in sorted(keys)
    )
    return tuple(edit for edit in edits if edit.before != edit.after)


def conflicts_of(tree: TreeView, edits: Iterable[Edit]) -> tuple[KeyConflict, ...]:
    """Give the options of a change that stand neither as its author saw nor as wanted."""
    found = ((edit, value_at(tree, edit.path, edit.option)) for edit in edits)
    return tuple(
        KeyConflict(key=edit.key, expected=edit.before, found=value, wanted=edit.after)
        for edit, value in found
        if value not in (edit.before, edit.after)
    )


def apply(tree: TreeView, edits: Iterable[Edit]) -> TreeView:
    """Give the tree with a change applied; its version is 0. Raises ``FaultsError``.

    A stated option adds its node where it is missing. A removed node must have
    no children left, which the check of the whole tells by path.
    """
    document = document_of(tree)
    for edit in edits:
        _apply_one(document, edit)
    return check_document(document)


def _apply_one(document: dict[str, dict[str, OptionValue]], edit: Edit) -> None:
    if edit.option == NODE and edit.after is None:
        document.pop(edit.path, None)
    elif edit.option == NODE:
        document.setdefault(edit.path, {})
    elif edit.after is None:
        document.get(edit.path, {}).pop(edit.option, None)
    else:
        document.setdefault(edit.path, {})[edit.option] = edit.after


def _keys_of(tree: TreeView) -> set[tuple[str, str]]:
    stated = {(node.path, item.option) for node in tree.nodes for item in node.overrides}
    return stated | {(node.path, NODE) for node in tree.nodes}
