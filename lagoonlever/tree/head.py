"""The stored head: the one value on the platform that holds the settings.

It carries the written text, the canonical tree, and the records of the last
changes, so that a writer whose answer was lost finds its change id again.
"""

from __future__ import annotations

import zlib

import attrs

from lagoonlever.codec import MessageRegistry, UnknownMessage
from lagoonlever.tree.changes import Edit
from lagoonlever.tree.document import EMPTY_TEXT, canonical, parse_canonical
from lagoonlever.tree.nodes import TreeView, default_tree

HEAD_KEY = "lagoonlever/settings/head"
VALUE_LIMIT_BYTES = 900_000
"""Below the platform's megabyte, with room for the encoding of its adapter."""
TREE_LIMIT_BYTES = 16 * 1024 * 1024
RECORDS_LIMIT = 200
RECORDS_LIMIT_BYTES = 128 * 1024

STORED = MessageRegistry()


@attrs.frozen(kw_only=True)
class ChangeRecord:
    """One accepted change; ``base_version`` came right before it, ``at_ms`` is wall clock."""

    change_id: str
    author: str
    note: str
    at_ms: int
    base_version: int
    edits: tuple[Edit, ...]


@STORED.message("settings-head/1")
@attrs.frozen(kw_only=True)
class StoredHead:
    """What stands under the head's key; ``records`` run from old to new, the last wrote this."""

    text: str
    tree: bytes
    records: tuple[ChangeRecord, ...]


@attrs.frozen(kw_only=True)
class Head:
    """The head as read: what stands there, and the platform's revision of it (0 if absent)."""

    version: int
    stored: StoredHead

    @property
    def oldest_base(self) -> int:
        """The version since which every change is on record."""
        return self.stored.records[0].base_version if self.stored.records else self.version

    def tree(self) -> TreeView:
        """Give the tree of this version; raises ``FaultsError``."""
        return parse_canonical(self.stored.tree, version=self.version)

    def version_of(self, change_id: str) -> int | None:
        """Give the version that a change made, or None if it is not on record."""
        later = [record.base_version for record in self.stored.records[1:]]
        versions = (*later, self.version)
        for record, version in zip(self.stored.records, versions, strict=False):
            if record.change_id == change_id:
                return version
        return None


def empty_head() -> Head:
    """Give the head that stands for 'nothing stored yet'."""
    tree = canonical(default_tree())
    return Head(version=0, stored=StoredHead(text=EMPTY_TEXT, tree=tree, records=()))


def encode_head(stored: StoredHead) -> bytes:
    """Give the compressed bytes of a head."""
    return zlib.compress(STORED.encode(stored))


def decode_head(value: bytes, *, version: int) -> Head:
    """Read a head; raises ``UnknownMessage``, also for a head of a later format."""
    try:
        stored = STORED.decode(zlib.decompress(value))
    except zlib.error as error:
        raise UnknownMessage(str(error)) from error
    if not isinstance(stored, StoredHead):
        raise UnknownMessage("the value is no settings head")
    return Head(version=version, stored=stored)


def pack_tree(tree: bytes) -> bytes:
    """Give the canonical tree as VMs send it to each other."""
    return zlib.compress(tree)


def unpack_tree(packed: bytes) -> bytes:
    """Read what ``pack_tree`` gave; raises ``UnknownMessage``."""
    inflate = zlib.decompressobj()
    try:
        tree = inflate.decompress(packed, TREE_LIMIT_BYTES)
    except zlib.error as error:
        raise UnknownMessage(str(error)) from error
    if not inflate.eof:
        raise UnknownMessage(f"the tree is cut or larger than {TREE_LIMIT_BYTES} bytes")
    return tree


def with_record(
    records: tuple[ChangeRecord, ...], record: ChangeRecord
) -> tuple[ChangeRecord, ...]:
    """Give the records with a new one, the oldest dropped where there are too many."""
    kept = (*records, record)[-RECORDS_LIMIT:]
    while len(kept) > 1 and _size_bytes(kept) > RECORDS_LIMIT_BYTES:
        kept = kept[len(kept) // 4 or 1 :]
    return kept


def _size_bytes(records: tuple[ChangeRecord, ...]) -> int:
    return len(STORED.encode(StoredHead(text="", tree=b"", records=records)))
