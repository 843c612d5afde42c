"""One key of the store that several VMs write, each building on what it has read."""

from __future__ import annotations

import attrs

from lagoonlever.revisions import NOWHERE, Revision
from lagoonlever.store.port import NO_LEASE, Conflict, FormerEra, KeyValue, RecordStore


@attrs.define(kw_only=True, eq=False)
class StoreRecord:
    """Owned by one task; overwrites only what that task has read.

    All raise ``PlatformError``. A write whose answer was lost shows as a conflict with itself
    at the next one.
    """

    _store: RecordStore
    _key: str
    _entry: KeyValue | None = None
    _revision: Revision = NOWHERE

    @property
    def entry(self) -> KeyValue | None:
        """What was last read or written, with the revision of its last change."""
        return self._entry

    @property
    def value(self) -> bytes | None:
        """What was last read or written, None where nothing stands there."""
        return self._entry.value if self._entry is not None else None

    @property
    def revision(self) -> Revision:
        """The store's revision as of which ``value`` stood there."""
        return self._revision

    async def read(self, *, stale_ok: bool = False) -> None:
        """Read what stands there; with ``stale_ok`` as of some seconds ago, for less."""
        read = await self._store.get(self._key, stale_ok=stale_ok)
        self._entry, self._revision = read.entry, read.revision

    async def write(self, value: bytes, *, lease: int = NO_LEASE) -> bool:
        """Write in place of what was read; False where something else stands there, read now."""
        try:
            result = await self._store.replace(
                self._key, former=self._entry, value=value, lease=lease
            )
        except FormerEra:
            await self.read()
            return False
        if isinstance(result, Conflict):
            self._entry, self._revision = result.current, result.revision
            return False
        self._entry, self._revision = result.entry, result.entry.revision
        return True
