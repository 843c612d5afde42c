"""Bodies of the platform's metadata store, spelled as it spells them."""

from __future__ import annotations

import base64
import binascii

import logbook
import msgspec

from lagoonlever.revisions import Revision
from lagoonlever.store.events import PLATFORM_VALUE_UNREADABLE
from lagoonlever.store.port import NO_LEASE, KeyChange, KeyValue

log = logbook.Logger(__name__)

CALLS = "/-/"
READ_KEY = "kv-key"
STALE_OK = "Serializable"
"""Of a read that may be seconds old; it costs a tenth and no part of the rate."""
READ_RANGE = "kv-range"
WATCH = "kv-watch"
TRANSACTION = "kv-txn"
GRANT_LEASE = "kv-lease"
RENEW_LEASE = "kv-keep"
END_LEASE = "kv-lease-end"


class Item(msgspec.Struct, rename="pascal", kw_only=True):
    """A key as the store has it, or as a watch tells it; ``removed`` only in a watch."""

    key: str
    value: str = ""
    revision: int = 0
    created: int = 0
    """The revision at which the key was created, not a time."""
    lease: int = NO_LEASE
    removed: bool = False

    def entry(self, era: int) -> KeyValue:
        """Give the product's form, as of an era; a value that can't be read is an empty one."""
        return KeyValue(
            key=self.key,
            value=self._value(),
            revision=Revision(era=era, number=self.revision),
            created_revision=self.created,
            lease=self.lease,
        )

    def _value(self) -> bytes:
        """Decode the value.

        Guards against one odd item that fails the reading of all keys beside it. Nothing
        is kept as an empty value, so every reader refuses it.
        """
        try:
            return base64.b64decode(self.value, validate=True)
        except (binascii.Error, ValueError) as error:
            PLATFORM_VALUE_UNREADABLE.log(log, key=self.key, error=str(error))
            return b""

    def change(self, era: int) -> KeyChange:
        """Give the product's form of an event of a watch, as of an era."""
        entry = None if self.removed else self.entry(era)
        revision = Revision(era=era, number=self.revision)
        return KeyChange(key=self.key, revision=revision, entry=entry)


class ItemRead(Item, rename="pascal", kw_only=True):
    """One key, with the revision of the whole store beside the key's own."""

    store_revision: int = 0


class Absent(msgspec.Struct, rename="pascal", kw_only=True):
    """The answer about a key that does not exist."""

    store_revision: int = 0


class RangePage(msgspec.Struct, rename="pascal", kw_only=True):
    """A page of the keys under a prefix."""

    items: list[Item] = []
    more_pages: bool = False
    store_revision: int


class WatchEvents(msgspec.Struct, kw_only=True):
    """What a watch call gives; ``store_revision`` is where the next one goes on."""

    events: list[Item] = []
    store_revision: int = msgspec.field(name="StoreRevision")


class ExpectedRevision(msgspec.Struct, rename="pascal", kw_only=True):
    """A condition of a transaction; revision 0 means that the key does not exist."""

    key: str
    revision: int


class NewValue(msgspec.Struct, rename="pascal", kw_only=True):
    """A key that a transaction writes."""

    key: str
    value: str
    lease: int = NO_LEASE


class Transaction(msgspec.Struct, rename="pascal", kw_only=True):
    """Changes that are made together, or not at all."""

    expected_revision: list[ExpectedRevision]
    set_keys: list[NewValue] = []
    delete_keys: list[str] = []


class TransactionDone(msgspec.Struct, rename="pascal", kw_only=True):
    """The revision of a transaction that was applied."""

    revision: int


class TransactionRefused(msgspec.Struct, rename="pascal", kw_only=True):
    """The present state of the keys whose conditions were named."""

    items: list[Item] = []


class LeaseAsk(msgspec.Struct, rename="pascal", kw_only=True):
    """Asks for a lease."""

    ttl_ms: int


class LeaseGranted(msgspec.Struct, rename="pascal", kw_only=True):
    """A new lease, or the time that a renewed one has."""

    lease: int = NO_LEASE
    ttl_ms: float


class Nothing(msgspec.Struct):
    """An answer whose body is of no interest."""
