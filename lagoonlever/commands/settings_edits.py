"""What the operator typed, as edits of the settings; and the header that names a version."""

from __future__ import annotations

import re
from typing import Any

import attrs
import msgspec

from lagoonlever.config.options import load
from lagoonlever.exceptions import Fault, FaultsError
from lagoonlever.tree.changes import NODE, Edit, apply, diff
from lagoonlever.tree.nodes import TreeView, is_path
from lagoonlever.tree.options import OPTION_NAMES, EffectiveSettings

HEADER = "// version {version} of the settings; `lagoonlever settings edit` stores this file\n"
_HEADER = re.compile(r"// version (\d+) of the settings[^\n]*\n")


def with_header(text: str, *, version: int) -> str:
    """Give a document with the line that names its version."""
    return HEADER.format(version=version) + text


def without_header(text: str) -> str:
    """Give a document without that line."""
    return _HEADER.sub("", text, count=1)


def base_version_of(text: str) -> int | None:
    """Give the version that a document was made of, or None if it does not say."""
    match = _HEADER.search(text)
    return int(match.group(1)) if match else None


def edits_of_assignments(
    tree: TreeView,
    path: str,
    *,
    assignments: tuple[str, ...],
    unset: tuple[str, ...],
    remove: bool,
) -> tuple[Edit, ...]:
    """Give the edits of ``set``; raises ``FaultsError`` with every fault."""
    if not is_path(path):
        raise FaultsError([Fault(path=path, message="is no path; give one like '/motus/desk'")])
    if remove:
        return _removal(tree, path)
    document = dict(_split(path, assignment) for assignment in assignments)
    loaded = load(EffectiveSettings, document, path=path)
    unknown = [name for name in unset if name not in OPTION_NAMES]
    if unknown:
        faults = [Fault(path=f"{path}.{name}", message="is no known option") for name in unknown]
        raise FaultsError(faults)
    stated = [_edit(path, name, getattr(loaded, name)) for name in document]
    cleared = [_edit(path, name, None) for name in unset]
    added = [_edit(path, NODE, True)]
    return diff(tree, apply(tree, [*added, *stated, *cleared]))


def _removal(tree: TreeView, path: str) -> tuple[Edit, ...]:
    if path not in tree:
        raise FaultsError([Fault(path=path, message="is not there")])
    return diff(tree, apply(tree, [_edit(path, NODE, None)]))


def _edit(path: str, name: str, value: Any) -> Edit:
    return Edit(path=path, option=name, before=None, after=value)


def _split(path: str, assignment: str) -> tuple[str, Any]:
    name, separator, text = assignment.partition("=")
    if not separator:
        raise FaultsError([Fault(path=f"{path}.{name}", message="give option=value")])
    field = attrs.fields_dict(EffectiveSettings).get(name)
    if field is not None and isinstance(field.default, tuple):
        return name, [part.strip() for part in text.split(",") if part.strip()]
    try:
        return name, msgspec.json.decode(text)
    except msgspec.DecodeError:
        return name, text
