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
    """Give the options that someone else changed since the author of a change read them."""
    edits = tuple(edits)
    direct = [_conflict_of(tree, edit) for edit in edits]
    conflicts = [conflict for conflict in direct if conflict is not None]
    conflicts += _vanished_nodes(tree, edits)
    for edit in edits:
        if edit.option == NODE and edit.after is None and edit.path in tree:
            conflicts += _kept_below(tree, edit.path, edits)
    return tuple(conflicts)


def _conflict_of(tree: TreeView, edit: Edit) -> KeyConflict | None:
    found = value_at(tree, edit.path, edit.option)
    if found in (edit.before, edit.after):
        return None
    return KeyConflict(key=edit.key, expected=edit.before, found=found, wanted=edit.after)


def _vanished_nodes(tree: TreeView, edits: tuple[Edit, ...]) -> list[KeyConflict]:
    # One operator removes a node while another states an option of it. The second
    # change alone would bring the node back with only that option, and the removal
    # would be lost; a change that means to add the node says so by an edit of its own.
    added = {edit.path for edit in edits if edit.option == NODE and edit.after}
    stated = {edit.path for edit in edits if edit.option != NODE and edit.after is not None}
    return [
        KeyConflict(key=f"{path}.{NODE}", expected=True, found=None, wanted=True)
        for path in sorted(stated - added)
        if path not in tree
    ]


def _kept_below(tree: TreeView, path: str, edits: tuple[Edit, ...]) -> list[KeyConflict]:
    # The reverse race: an option or a child was added to a node after its remover
    # read the tree, and would vanish with the node although nobody asked for that.
    removed = {edit.key for edit in edits if edit.after is None}
    options = [(f"{path}.{item.option}", item.value) for item in tree.node(path).overrides]
    children = [(f"{child}.{NODE}", True) for child in tree.children(path)]
    return [
        KeyConflict(key=key, expected=None, found=value, wanted=None)
        for key, value in (*options, *children)
        if key not in removed
    ]


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
