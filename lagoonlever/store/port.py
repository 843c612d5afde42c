"""The narrow port to the platform: typed reads, changes, leases, watches and the list of VMs.

A change that fails tells what is known of it: ``PlatformUnavailable`` proves that
it was not applied, ``PlatformAnswerLost`` proves nothing. A caller that meets the
latter reads back, and knows its own change by what it wrote.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import attrs

from lagoonlever.exceptions import PlatformError
from lagoonlever.http.messages import Address
from lagoonlever.revisions import Revision

ABSENT = 0
"""The expected revision of a key that must not exist."""
NO_LEASE = 0
MAX_VALUE_BYTES = 1024 * 1024


class LeaseLapsed(PlatformError):
    """The change names a lease that has lapsed: it has not been applied."""


class ChangeRefused(PlatformError):
    """The platform refuses the change as it stands, as a value too large: not applied."""


class WatchCompacted(PlatformError):
    """Changes after the watch's revision are gone: read the prefix anew and watch from there."""


class FormerEra(PlatformError):
    """The change builds on what was read before the store came back from an older copy.

    It has not been sent: read anew, and build on that.
    """


@attrs.frozen(kw_only=True)
class KeyValue:
    """One key; ``revision`` is that of its last change, ``lease`` 0 without one."""

    key: str
    value: bytes
    revision: Revision
    created_revision: int
    """The number of the revision that created it."""
    lease: int = NO_LEASE


@attrs.frozen(kw_only=True)
class KeyRead:
    """A key as of the platform's ``revision``, or None where it is absent."""

    revision: Revision
    entry: KeyValue | None


@attrs.frozen(kw_only=True)
class PrefixRead:
    """All keys under a prefix as of the platform's ``revision``, in order of their names."""

    revision: Revision
    entries: tuple[KeyValue, ...]


@dataclass(frozen=True, kw_only=True)
class Swapped:
    """The change was applied, at this revision."""

    revision: Revision


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """The change was not applied: the key has another revision, or None where it is absent."""

    revision: Revision
    current: KeyValue | None


SwapResult = Swapped | Conflict


@dataclass(frozen=True, kw_only=True)
class Replaced:
    """The value was written; ``entry`` is what stands there now."""

    entry: KeyValue


ReplaceResult = Replaced | Conflict


@attrs.frozen(kw_only=True)
class ClaimedKey:
    """One key of a claim; ``holder`` is the entry that existed before, None if we created it."""

    key: str
    holder: KeyValue | None

    @property
    def created(self) -> bool:
        """Whether this claim created the key."""
        return self.holder is None


@attrs.frozen(kw_only=True)
class ClaimResult:
    """What became of each key of a claim, in the order they were given."""

    revision: Revision
    keys: tuple[ClaimedKey, ...]


@attrs.frozen(kw_only=True)
class NewKey:
    """A key to create only if it is absent."""

    key: str
    value: bytes
    lease: int = NO_LEASE


@attrs.frozen(kw_only=True)
class Lease:
    """A lease; its holder counts ``ttl_s`` from before it sent the call that gave it."""

    id: int
    ttl_s: float
    era: int = 0
    """The era in which it was given; in a later one its id may be another's."""


@dataclass(frozen=True, kw_only=True)
class Renewed:
    """The lease holds for ``ttl_s`` seconds from before the call was sent."""

    ttl_s: float


@dataclass(frozen=True, kw_only=True)
class Lapsed:
    """The lease is gone, and its keys with it."""


RenewalResult = Renewed | Lapsed


@attrs.frozen(kw_only=True)
class KeyChange:
    """One change seen by a watch; ``entry`` is None where the key was deleted."""

    key: str
    revision: Revision
    entry: KeyValue | None


@attrs.frozen(kw_only=True)
class WatchBatch:
    """Changes in order, up to ``revision``; none means that the platform was heard from."""

    revision: Revision
    changes: tuple[KeyChange, ...] = ()


class VmRole(enum.Enum):
    """What runs on a VM of the platform's list."""

    ENTRY = "entry"
    ENGINE = "engine"
    APPLICATION = "application"


class VmState(enum.Enum):
    """Whether the platform keeps a VM or is taking it away."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class VmEntry:
    """One VM of the platform's list, which lags."""

    name: str
    address: Address
    peer_address: Address | None
    data_center: str
    role: VmRole
    state: VmState


class Watch(Protocol):
    """Changes under a prefix from one revision on, with none left out; owned by one task."""

    async def next(self) -> WatchBatch:
        """Wait for changes; after ``PlatformUnavailable`` the next call goes on from there.

        Raises ``WatchCompacted`` for good when changes were lost.
        """

    async def aclose(self) -> None:
        """Stop watching."""


class KeyValueStore(Protocol):
    """What is read of a linearizable key-value service, and its leases.

    All raise ``PlatformUnavailable``; those that change something also raise
    ``PlatformAnswerLost``, ``LeaseLapsed`` and ``ChangeRefused``.
    """

    async def get(self, key: str, *, stale_ok: bool = False) -> KeyRead:
        """Read one key; with ``stale_ok`` as it may have been some seconds ago, for less."""

    async def get_prefix(self, prefix: str) -> PrefixRead:
        """Read all keys under a prefix."""

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Take a lease; keys written under it vanish when it lapses."""

    async def keep_alive(self, lease: Lease) -> RenewalResult:
        """Renew a lease."""

    async def revoke(self, lease: Lease) -> None:
        """Give a lease up, with its keys; one that has lapsed is no error."""

    def watch(self, prefix: str, *, after_revision: Revision) -> Watch:
        """Watch the changes after a revision; each connection it opens is one call."""

    async def aclose(self) -> None:
        """Close idle connections."""


class RecordStore(KeyValueStore, Protocol):
    """The key-value service of the gateway, which may come back from an older copy."""

    async def replace(
        self, key: str, *, former: KeyValue | None, value: bytes, lease: int = NO_LEASE
    ) -> ReplaceResult:
        """Write a key if what stands there is what was read, or nothing where ``former`` is None.

        Holds also where the store has come back meanwhile, and has given the same revision to
        another's value. Raises ``FormerEra`` where it is known that it has come back.
        """


class Platform(KeyValueStore, Protocol):
    """The key-value service of the entry daemon, with claims in groups and a list of VMs."""

    async def compare_and_swap(
        self, key: str, *, expected_revision: int, value: bytes | None, lease: int = NO_LEASE
    ) -> SwapResult:
        """Write a key, or delete it by None, if its revision is the expected one."""

    async def claim(self, keys: Sequence[NewKey]) -> ClaimResult:
        """Create each key that is absent, all in one transaction, and read the others."""

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """Read the list of live and leaving VMs."""
