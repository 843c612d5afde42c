"""The settings document: JSON with comments as operators write it, and its canonical form.

A document is an object of nodes by path, each an object of options. VMs only
read the canonical form; the written text is kept beside it for the operators.
"""

from __future__ import annotations

import hashlib
import json
import re
from collections.abc import Iterable
from typing import Any, get_type_hints

import attrs
import json5
import msgspec

from lagoonlever.config.options import OptionSpec, load, spec_of
from lagoonlever.exceptions import Fault, FaultsError
from lagoonlever.tree.nodes import ROOT, Node, Override, TreeView, is_path, parent_of
from lagoonlever.tree.options import OPTION_NAMES, EffectiveSettings, OptionValue

EMPTY_TEXT = '{\n  "/": {}\n}\n'
"""The document that operators see where nothing was stored yet."""

_STRING_OR_EXTRA = re.compile(
    r'("(?:\\.|[^"\\])*")|//[^\n]*|/\*.*?\*/|,(?=(?:\s|//[^\n]*|/\*.*?\*/)*[}\]])', re.DOTALL
)


class _DuplicateName(ValueError):
    pass


@attrs.frozen(kw_only=True)
class _Declared:
    type: Any
    spec: OptionSpec


_TYPES = get_type_hints(EffectiveSettings)
_DECLARED = {
    field.name: _Declared(type=_TYPES[field.name], spec=spec_of(field))
    for field in attrs.fields(EffectiveSettings)
}


def parse_text(text: str) -> TreeView:
    """Read and check a written document; its version is 0. Raises ``FaultsError``."""
    return check_document(read_text(text))


def read_text(text: str) -> object:
    """Read JSON with comments into plain values; raises ``FaultsError``."""
    try:
        return json.loads(_without_comments(text), object_pairs_hook=_unique)
    except _DuplicateName as error:
        raise FaultsError([Fault(path=str(error), message="stands twice; remove one")]) from error
    except ValueError:
        return _read_json5(text)


def check_document(document: object) -> TreeView:
    """Check a parsed document; raises ``FaultsError`` with every fault by path and name."""
    if not isinstance(document, dict):
        raise FaultsError([Fault(path="document", message="give an object of nodes by path")])
    faults: list[Fault] = []
    nodes = [_load_node(path, options, faults) for path, options in document.items()]
    faults += _structure_faults(document)
    faults += _key_faults(nodes)
    if faults:
        raise FaultsError(faults)
    return tree_of(nodes)


def tree_of(nodes: Iterable[Node], *, version: int = 0) -> TreeView:
    """Give the tree of checked nodes, put in order, with the root added where it is left out."""
    by_path = {ROOT: Node(path=ROOT)} | {node.path: node for node in nodes}
    return TreeView(version=version, nodes=tuple(by_path[path] for path in sorted(by_path)))


def document_of(tree: TreeView) -> dict[str, dict[str, OptionValue]]:
    """Give a tree as plain values, in the order of paths and names."""
    return {node.path: {item.option: item.value for item in node.overrides} for node in tree.nodes}


def canonical(tree: TreeView) -> bytes:
    """Give the stable form: two trees with equal settings give equal bytes, whatever the text."""
    return msgspec.json.encode(document_of(tree))


def digest_of(tree: TreeView) -> str:
    """Give a short digest of the canonical form."""
    return hashlib.sha256(canonical(tree)).hexdigest()[:16]


def parse_canonical(data: bytes, *, version: int) -> TreeView:
    """Read the canonical form; raises ``FaultsError``.

    An option that only a later release knows is left out, so that VMs of two
    releases can run side by side; writers check every name strictly.
    """
    try:
        document = msgspec.json.decode(data, type=dict[str, dict[str, Any]])
    except msgspec.MsgspecError as error:
        raise FaultsError([Fault(path="document", message=str(error))]) from error
    known = {
        path: {name: value for name, value in options.items() if name in OPTION_NAMES}
        for path, options in document.items()
    }
    return attrs.evolve(check_document(known), version=version)


def render(tree: TreeView) -> str:
    """Give a tree as a document for people, without comments."""
    return json.dumps(document_of(tree), indent=2) + "\n"


def _without_comments(text: str) -> str:
    # The json5 library takes about a second for 40 kB. Nearly all documents are
    # JSON but for comments and trailing commas, which this drops in milliseconds.
    return _STRING_OR_EXTRA.sub(lambda match: match.group(1) or " ", text)


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for name, value in pairs:
        if name in values:
            raise _DuplicateName(name)
        values[name] = value
    return values


def _read_json5(text: str) -> object:
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        message = str(error).replace("<string>:", "line ")
        raise FaultsError([Fault(path="document", message=message)]) from error


def _load_node(path: str, options: object, faults: list[Fault]) -> Node:
    if not isinstance(options, dict):
        faults.append(Fault(path=path, message="give an object of options"))
        return Node(path=path)
    overrides = _sound_overrides(options)
    if overrides is not None:
        return Node(path=path, overrides=overrides)
    try:
        load(EffectiveSettings, options, path=path)
    except FaultsError as error:
        faults += error.faults
    return Node(path=path)


def _sound_overrides(options: dict[str, Any]) -> tuple[Override, ...] | None:
    """Give the overrides of a node, or None if ``load`` is to tell what is wrong.

    Nearly all nodes are in order, and telling faults well takes ten times as long.
    """
    overrides: list[Override] = []
    for name in sorted(options):
        declared = _DECLARED.get(name)
        if declared is None:
            return None
        try:
            value = msgspec.convert(options[name], declared.type, strict=True)
        except msgspec.ValidationError:
            return None
        if declared.spec.fault_of(value) is not None:
            return None
        overrides.append(Override(option=name, value=value))
    return tuple(overrides)


def _structure_faults(document: dict[str, Any]) -> list[Fault]:
    faults: list[Fault] = []
    for path in document:
        if not is_path(path):
            message = "is no path; give '/' or up to six names like '/motus/desk' (a-z, 0-9, -)"
            faults.append(Fault(path=path or '""', message=message))
        elif parent_of(path) != ROOT and parent_of(path) not in document:
            message = f"has no parent; add the node {parent_of(path)!r}"
            faults.append(Fault(path=path, message=message))
    return faults


def _key_faults(nodes: list[Node]) -> list[Fault]:
    faults: list[Fault] = []
    holders: dict[str, str] = {}
    for node in nodes:
        keys = node.get("api_keys")
        for digest in keys if isinstance(keys, tuple) else ():
            holder = holders.setdefault(digest, node.path)
            if holder != node.path:
                message = f"holds a key that {holder!r} holds too; give each key one node"
                faults.append(Fault(path=f"{node.path}.api_keys", message=message))
    return faults
