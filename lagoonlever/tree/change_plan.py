"""What a requested change does to the head as it was read: the pure half of the store.

Every change names the version its author read. Changes of other options since
then are merged; a change of the same option is a conflict that names it.
"""

from __future__ import annotations

from dataclasses import dataclass

import attrs

from lagoonlever.exceptions import Fault, FaultsError
from lagoonlever.tree.changes import Edit, KeyConflict, apply, conflicts_of, diff
from lagoonlever.tree.document import canonical, parse_text
from lagoonlever.tree.head import (
    VALUE_LIMIT_BYTES,
    ChangeRecord,
    Head,
    StoredHead,
    encode_head,
    with_record,
)
from lagoonlever.tree.text_edit import edit_text

TEXT_KEY = "text"


@attrs.frozen(kw_only=True)
class ChangeRequest:
    """A change as its author asks for it.

    ``text`` is the whole document as edited on ``base_version``; without it the
    edits are made in the stored text, whose comments stay.
    """

    change_id: str
    author: str
    base_version: int
    edits: tuple[Edit, ...] = ()
    text: str | None = None
    note: str = ""


@dataclass(frozen=True, kw_only=True)
class Stored:
    """All that was asked for stands in ``version``.

    ``made`` is False if it stood there already, ``merged`` True if others
    changed other options since the base version.
    """

    tag = "stored"
    version: int
    made: bool = True
    merged: bool = False
    edits: tuple[Edit, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """Nothing was stored: read ``version``, look at the keys, and decide again."""

    tag = "conflict"
    version: int
    message: str
    keys: tuple[KeyConflict, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Invalid:
    """Nothing was stored: the tree that the change leads to has faults."""

    tag = "invalid"
    faults: tuple[Fault, ...]


@dataclass(frozen=True, kw_only=True)
class NotStored:
    """The platform did not take the change; it may be asked for again."""

    tag = "not-stored"
    message: str


@dataclass(frozen=True, kw_only=True)
class Undetermined:
    """The platform's answer was lost and it cannot be read; ask again with the same change id."""

    tag = "undetermined"
    change_id: str
    message: str


ChangeOutcome = Stored | Conflict | Invalid | NotStored | Undetermined


@attrs.frozen(kw_only=True)
class HeadWrite:
    """The head to write if the platform still holds ``expected_version``."""

    expected_version: int
    value: bytes
    merged: bool
    edits: tuple[Edit, ...]


@attrs.frozen(kw_only=True)
class _Wanted:
    text: str
    tree: bytes
    edits: tuple[Edit, ...]


def plan_change(
    head: Head, request: ChangeRequest, *, at_ms: int
) -> HeadWrite | Stored | Conflict | Invalid:
    """Decide what a change does to the head.

    A change that is on record is told as stored and never made twice. One whose
    base is older than the records is refused, since it might be such a change.
    """
    made = head.version_of(request.change_id)
    if made is not None:
        return Stored(version=made)
    if not head.oldest_base <= request.base_version <= head.version:
        return Conflict(
            version=head.version,
            message=f"version {request.base_version} is not on record; read the settings",
        )
    try:
        wanted = _wanted(head, request)
    except FaultsError as error:
        return Invalid(faults=tuple(error.faults))
    if isinstance(wanted, Conflict):
        return wanted
    if wanted.text == head.stored.text and wanted.tree == head.stored.tree:
        return Stored(version=head.version, made=False)
    return _write(head, request, wanted, at_ms=at_ms)


def _wanted(head: Head, request: ChangeRequest) -> _Wanted | Conflict:
    current = head.tree()
    if request.text is not None and request.base_version == head.version:
        tree = parse_text(request.text)
        return _Wanted(text=request.text, tree=canonical(tree), edits=diff(current, tree))
    if request.text is not None and not request.edits:
        return Conflict(
            version=head.version,
            message="only comments differ, and the text was changed meanwhile",
            keys=(KeyConflict(key=TEXT_KEY, expected=None, found=None, wanted=None),),
        )
    conflicts = conflicts_of(current, request.edits)
    if conflicts:
        names = ", ".join(conflict.key for conflict in conflicts)
        message = f"changed by someone else since version {request.base_version}: {names}"
        return Conflict(version=head.version, message=message, keys=conflicts)
    tree = apply(current, request.edits)
    text = edit_text(head.stored.text, request.edits)
    return _Wanted(text=text, tree=canonical(tree), edits=diff(current, tree))


def _write(
    head: Head, request: ChangeRequest, wanted: _Wanted, *, at_ms: int
) -> HeadWrite | Invalid:
    record = ChangeRecord(
        change_id=request.change_id,
        author=request.author,
        note=request.note,
        at_ms=at_ms,
        base_version=head.version,
        edits=wanted.edits,
    )
    records = with_record(head.stored.records, record)
    value = encode_head(StoredHead(text=wanted.text, tree=wanted.tree, records=records))
    if len(value) > VALUE_LIMIT_BYTES:
        message = f"takes {len(value)} bytes compressed; the platform takes {VALUE_LIMIT_BYTES}"
        return Invalid(faults=(Fault(path="document", message=message),))
    return HeadWrite(
        expected_version=head.version,
        value=value,
        merged=request.base_version != head.version,
        edits=wanted.edits,
    )
