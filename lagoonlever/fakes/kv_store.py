"""The store of the stand-in platform: revisions, transactions, leases, history; no clock."""

from __future__ import annotations

import copy

import attrs

from lagoonlever.exceptions import LagoonleverException

ABSENT_REVISION = 0
FIRST_LEASE = 7001


class LeaseNotFound(LagoonleverException):
    """A write names a lease that does not exist."""


class Compacted(LagoonleverException):
    """Changes that were asked for are forgotten."""

    def __init__(self, *, revision: int) -> None:
        self.revision = revision
        super().__init__(f"compacted at {revision}")


@attrs.frozen(kw_only=True)
class Stored:
    """One key as it is stored; a deletion has version 0."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@attrs.define(kw_only=True)
class StoredLease:
    """A lease and when it lapses (monotonic seconds)."""

    id: int
    ttl_s: float
    expires: float


class KeyValueStore:
    """Keys in order of one revision; each ``commit`` makes the writes since the last one."""

    def __init__(self) -> None:
        self._entries: dict[bytes, Stored] = {}
        self._leases: dict[int, StoredLease] = {}
        self._next_lease = FIRST_LEASE
        self._revision = 1
        self._compacted = 0
        self._history: list[Stored] = []
        self._pending: dict[bytes, Stored] = {}

    @property
    def revision(self) -> int:
        """The revision of the last commit."""
        return self._revision

    def range(self, key: bytes, end: bytes | None) -> list[Stored]:
        """Read one key, or all from ``key`` up to ``end``, as last committed."""
        if end is None:
            entry = self._entries.get(key)
            return [] if entry is None else [entry]
        unbounded = end == b"\0"
        names = sorted(name for name in self._entries if name >= key and (unbounded or name < end))
        return [self._entries[name] for name in names]

    def copy(self) -> KeyValueStore:
        """Give a copy of all that is committed, with the numbers that come next."""
        return copy.deepcopy(self)

    def pause_leases(self, *, now: float) -> None:
        """Give each lease its whole time again, as after an outage in which none lapses."""
        for lease in self._leases.values():
            lease.expires = now + lease.ttl_s

    def changes_after(self, revision: int, key: bytes, end: bytes) -> list[Stored]:
        """Give the changes of a range after a revision; raises ``Compacted``."""
        if revision < self._compacted or revision > self._revision:
            raise Compacted(revision=self._compacted)
        return [
            stored
            for stored in self._history
            if stored.mod_revision > revision and key <= stored.key < end
        ]

    def lease(self, lease_id: int) -> StoredLease:
        """Give a lease; raises ``LeaseNotFound``."""
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseNotFound(f"requested lease not found: {lease_id}")
        return lease

    def put(self, key: bytes, value: bytes, *, lease: int) -> None:
        """Write a key with the next commit."""
        before = self._entries.get(key)
        self._pending[key] = Stored(
            key=key,
            value=value,
            create_revision=before.create_revision if before else self._revision + 1,
            mod_revision=self._revision + 1,
            version=before.version + 1 if before else 1,
            lease=lease,
        )

    def delete(self, key: bytes) -> None:
        """Delete a key with the next commit, if it exists."""
        if key not in self._entries:
            return
        self._pending[key] = Stored(
            key=key,
            value=b"",
            create_revision=ABSENT_REVISION,
            mod_revision=self._revision + 1,
            version=0,
            lease=0,
        )

    def commit(self) -> bool:
        """Apply the pending writes at one new revision; False when there are none."""
        if not self._pending:
            return False
        self._revision += 1
        for stored in self._pending.values():
            self._history.append(stored)
            if stored.version:
                self._entries[stored.key] = stored
            else:
                del self._entries[stored.key]
        self._pending.clear()
        return True

    def discard(self) -> None:
        """Forget the pending writes."""
        self._pending.clear()

    def compact(self, revision: int) -> None:
        """Forget the changes up to a revision."""
        self._compacted = min(revision, self._revision)
        self._history = [each for each in self._history if each.mod_revision > self._compacted]

    def grant(self, ttl_s: float, *, now: float) -> StoredLease:
        """Give a new lease."""
        lease = StoredLease(id=self._next_lease, ttl_s=ttl_s, expires=now + ttl_s)
        self._next_lease += 1
        self._leases[lease.id] = lease
        return lease

    def renew(self, lease_id: int, *, now: float) -> StoredLease:
        """Renew a lease; raises ``LeaseNotFound``."""
        lease = self.lease(lease_id)
        lease.expires = now + lease.ttl_s
        return lease

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys with the next commit; raises ``LeaseNotFound``."""
        self.lease(lease_id)
        del self._leases[lease_id]
        for stored in list(self._entries.values()):
            if stored.lease == lease_id:
                self.delete(stored.key)

    def expire(self, *, now: float) -> bool:
        """End the leases that have lapsed; True when keys went with them."""
        for lease in list(self._leases.values()):
            if lease.expires <= now:
                self.revoke(lease.id)
        return self.commit()
