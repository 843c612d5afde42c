"""The typed JSON of the administration API, shared by its server and the command line."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.settings.settings_watchers import InForce
from lagoonlever.exceptions import Fault
from lagoonlever.tree.change_plan import (
    ChangeOutcome,
    Conflict,
    Invalid,
    NotStored,
    Stored,
    Undetermined,
)
from lagoonlever.tree.changes import Edit, KeyConflict
from lagoonlever.tree.head import Head
from lagoonlever.tree.nodes import TreeView
from lagoonlever.tree.options import OPTION_NAMES, OptionValue

SETTINGS_PATH = "/admin/settings"
NODE_PATH = "/admin/settings/node"
HISTORY_PATH = "/admin/settings/history"
CHECK_PATH = "/admin/settings/check"
CHANGE_PATH = "/admin/settings/change"
IN_FORCE_PATH = "/admin/settings/in-force"

FROM_PLATFORM = "platform"
FROM_VM = "vm"


@attrs.frozen(kw_only=True)
class SettingsShown:
    """The settings as written; from the VM itself, without comments, while the platform is down."""

    version: int
    text: str
    source: str
    vm_version: int | None
    vm_age_s: float | None


@attrs.frozen(kw_only=True)
class OptionShown:
    """One option of a node in force; ``origin`` is the node that states it, None the default."""

    option: str
    value: OptionValue
    origin: str | None


@attrs.frozen(kw_only=True)
class NodeShown:
    """One node as this VM has it in force; ``share`` is its part of the whole pool."""

    path: str
    version: int
    share: float
    children: tuple[str, ...]
    options: tuple[OptionShown, ...]


@attrs.frozen(kw_only=True)
class RecordShown:
    """One accepted change; ``at_ms`` is the wall clock of the VM that stored it."""

    version: int
    change_id: str
    author: str
    note: str
    at_ms: int
    edits: tuple[Edit, ...]


@attrs.frozen(kw_only=True)
class HistoryShown:
    """The changes on record, from old to new."""

    version: int
    records: tuple[RecordShown, ...]


@attrs.frozen(kw_only=True)
class CheckAsked:
    """A document to check."""

    text: str


@attrs.frozen(kw_only=True)
class CheckTold:
    """All faults of a document."""

    faults: tuple[Fault, ...]


@attrs.frozen(kw_only=True)
class ChangeTold:
    """What became of a change, by its tag; where it is stored, which VMs have it in force."""

    tag: str
    change_id: str
    version: int | None = None
    made: bool = False
    merged: bool = False
    message: str = ""
    edits: tuple[Edit, ...] = ()
    keys: tuple[KeyConflict, ...] = ()
    faults: tuple[Fault, ...] = ()
    in_force: InForce | None = None


def node_shown(tree: TreeView, path: str) -> NodeShown:
    """Give a node with every option; raises ``UnknownNode``."""
    settings = tree.resolve(path)
    return NodeShown(
        path=path,
        version=tree.version,
        share=tree.share_of(path),
        children=tree.children(path),
        options=tuple(
            OptionShown(
                option=name, value=getattr(settings, name), origin=tree.origin_of(path, name)
            )
            for name in OPTION_NAMES
        ),
    )


def history_shown(head: Head) -> HistoryShown:
    """Give the records of a head with the versions that they made."""
    records = head.stored.records
    versions = [*(record.base_version for record in records[1:]), head.version]
    return HistoryShown(
        version=head.version,
        records=tuple(
            RecordShown(
                version=version,
                change_id=record.change_id,
                author=record.author,
                note=record.note,
                at_ms=record.at_ms,
                edits=record.edits,
            )
            for record, version in zip(records, versions[: len(records)], strict=True)
        ),
    )


def change_told(change_id: str, outcome: ChangeOutcome) -> ChangeTold:
    """Give the payload of an outcome."""
    told = ChangeTold(tag=outcome.tag, change_id=change_id)
    match outcome:
        case Stored():
            return attrs.evolve(
                told,
                version=outcome.version,
                made=outcome.made,
                merged=outcome.merged,
                edits=outcome.edits,
            )
        case Conflict():
            return attrs.evolve(
                told, version=outcome.version, message=outcome.message, keys=outcome.keys
            )
        case Invalid():
            return attrs.evolve(told, message="the settings have faults", faults=outcome.faults)
        case NotStored() | Undetermined():
            return attrs.evolve(told, message=outcome.message)
