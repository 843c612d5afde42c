"""The platform's metadata store as a key-value store of the product."""

from __future__ import annotations

import base64
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import urlencode

import msgspec
import trio
import xxhash

from lagoonlever.exceptions import PlatformUnavailable
from lagoonlever.http.messages import Address
from lagoonlever.platform import store_wire as wire
from lagoonlever.platform.store_calls import StoreAnswer, StoreCall, StoreCalls
from lagoonlever.revisions import Revision
from lagoonlever.store.port import (
    ABSENT,
    NO_LEASE,
    Conflict,
    FormerEra,
    KeyRead,
    KeyValue,
    Lapsed,
    Lease,
    PrefixRead,
    RenewalResult,
    Renewed,
    Replaced,
    ReplaceResult,
    WatchBatch,
    WatchCompacted,
)

CALL_TIMEOUT_S = 1.0
"""The store answers in 4 ms; under a slowdown of 60 times it still does within this."""
WATCH_WAIT_S = 4.0
"""How long one watch call waits for changes.

A store that was silent for a moment may have lost the call and never answer it, though
its connection lives. Longer waits cost fewer calls, and hide changes for longer then.
"""
WATCH_MARGIN_S = 0.5
"""Beyond the wait that was asked for, before the connection is taken for lost."""
WATCH_KEEPALIVE_S = 1
"""Between TCP keep-alive probes: a watch that went silent shows within about 3 s.

Without them a connection that stays open and carries nothing any more hides every
change until the watch's own timeout.
"""
LIST_READS = 3
"""How often a list is begun again whose pages are of two eras."""
TAGS_PREFIX = "lagoonlever/tags/"
MS = 1000


class MetadataStore:
    """Safe for use by many tasks; ``on_call`` is told the step of every call that is sent."""

    def __init__(
        self,
        *,
        address: Address,
        on_call: Callable[[str], None] = lambda step: None,
        on_restored: Callable[[], None] = lambda: None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._calls = StoreCalls(
            address=address,
            on_call=on_call,
            on_back=self._end_waits,
            on_restored=on_restored,
            timeout_s=timeout_s,
        )
        self._waiting: set[trio.CancelScope] = set()
        """The watch calls that wait now."""

    @property
    def back_at(self) -> float | None:
        """When the store was last there again after it was away, or came back from a copy."""
        return self._calls.back_at

    @property
    def is_away(self) -> bool:
        """Whether the last call found the store away."""
        return self._calls.is_away

    def move_to(self, address: Address) -> None:
        """Send the next calls to another address of the store."""
        self._calls.move_to(address)

    async def get(self, key: str, *, stale_ok: bool = False) -> KeyRead:
        """Read one key; with ``stale_ok`` as it may have been some seconds ago, for less."""
        query = {"Key": key, wire.STALE_OK: 1} if stale_ok else {"Key": key}
        call = StoreCall(step="get", method="GET", path=_path(wire.READ_KEY, **query))
        answer = await self._calls.send(call)
        if answer.status == HTTPStatus.NOT_FOUND:
            absent = self._calls.decoded(answer, call, wire.Absent)
            return KeyRead(revision=_revision(answer, absent.store_revision), entry=None)
        read = self._calls.checked(answer, call, wire.ItemRead)
        return KeyRead(
            revision=_revision(answer, read.store_revision), entry=read.entry(answer.era)
        )

    async def get_prefix(self, prefix: str) -> PrefixRead:
        """Read all keys under a prefix; its revision is that of the first page.

        Pages are no snapshot: changes made between two of them are seen again by a
        watch from the first page's revision, so that nothing is missed. Where the store has
        come back from an older copy between two of them, no watch would tell: all is read again.
        """
        for _ in range(LIST_READS):
            pages = await self._pages(prefix)
            if len({page.revision.era for page in pages}) == 1:
                entries = {entry.key: entry for page in pages for entry in page.entries}
                return PrefixRead(revision=pages[0].revision, entries=tuple(entries.values()))
        raise PlatformUnavailable(
            "it comes back from older copies too often", step="get-prefix", peer=self._calls.peer
        )

    async def replace(
        self, key: str, *, former: KeyValue | None, value: bytes, lease: int = NO_LEASE
    ) -> ReplaceResult:
        """Write a key if what stands there is what was read, or nothing where ``former`` is None.

        A revision alone doesn't tell: a store that has come back from an older copy gives it to
        another value. So a second key stands beside each, named by the value itself, and is a
        condition too. A value that another program wrote has none.
        """
        if former is not None and former.revision.era != self._calls.era:
            raise FormerEra(
                f"{key} was read in era {former.revision.era}, it is era {self._calls.era} now",
                step="replace",
                peer=self._calls.peer,
            )
        result = await self._replace(key, former, value, lease, tagged=True)
        if former is None or not isinstance(result, Conflict) or result.current is None:
            return result
        current = result.current
        if (current.revision, current.value) != (former.revision, former.value):
            return result
        return await self._replace(key, former, value, lease, tagged=False)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Take a lease."""
        body = msgspec.json.encode(wire.LeaseAsk(ttl_ms=round(ttl_s * MS)))
        call = StoreCall(
            step="grant-lease", method="POST", path=_path(wire.GRANT_LEASE), body=body, changes=True
        )
        answer = await self._calls.send(call)
        granted = self._calls.checked(answer, call, wire.LeaseGranted)
        return Lease(id=granted.lease, ttl_s=granted.ttl_ms / MS, era=answer.era)

    async def keep_alive(self, lease: Lease) -> RenewalResult:
        """Renew a lease; one of a former era has lapsed, as its id may be another's by now."""
        if lease.era != self._calls.era:
            return Lapsed()
        path = _path(f"{wire.RENEW_LEASE}/{lease.id}")
        call = StoreCall(step="keep-alive", method="POST", path=path)
        answer = await self._calls.send(call)
        if answer.status == HTTPStatus.NOT_FOUND or answer.era != lease.era:
            return Lapsed()
        return Renewed(ttl_s=self._calls.checked(answer, call, wire.LeaseGranted).ttl_ms / MS)

    async def revoke(self, lease: Lease) -> None:
        """Give a lease up, with its keys; one that has lapsed is no error.

        One of a former era is left to lapse: its id may be another's by now.
        """
        if lease.era != self._calls.era:
            return
        path = _path(f"{wire.END_LEASE}/{lease.id}")
        call = StoreCall(step="revoke", method="DELETE", path=path)
        answer = await self._calls.send(call)
        if answer.status != HTTPStatus.NOT_FOUND:
            self._calls.checked(answer, call, wire.Nothing)

    def watch(self, prefix: str, *, after_revision: Revision) -> StoreWatch:
        """Watch the changes after a revision; each call that waits counts as one."""
        return StoreWatch(store=self, prefix=prefix, after_revision=after_revision)

    async def wait_changes(self, prefix: str, *, after_revision: Revision) -> WatchBatch:
        """Wait for changes of a prefix once; raises ``WatchCompacted``.

        Given up when the store is back after it was away. Guards against a call that the
        store lost meanwhile: its connection lives, so it would wait for seconds and hide
        every change, among them keys that were taken away.
        """
        scope = trio.CancelScope()
        self._waiting.add(scope)
        try:
            with scope:
                return await self._wait_once(prefix, after_revision)
        finally:
            self._waiting.discard(scope)
        raise PlatformUnavailable("it was away meanwhile", step="watch", peer=self._calls.peer)

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._calls.aclose()

    async def _wait_once(self, prefix: str, after: Revision) -> WatchBatch:
        wait_ms = round(WATCH_WAIT_S * MS)
        call = StoreCall(
            step="watch",
            method="GET",
            path=_path(wire.WATCH, Prefix=prefix, After=after.number, WaitMs=wait_ms),
            timeout_s=WATCH_WAIT_S + WATCH_MARGIN_S,
            keepalive_s=WATCH_KEEPALIVE_S,
        )
        answer = await self._calls.send(call)
        # A store that came back may have given out the watch's number again by now, and then
        # doesn't tell that what came before it is other changes.
        if answer.status == HTTPStatus.GONE or answer.era != after.era:
            raise WatchCompacted(
                f"changes after {after} are gone", step="watch", peer=self._calls.peer
            )
        seen = self._calls.checked(answer, call, wire.WatchEvents)
        changes = tuple(item.change(answer.era) for item in seen.events)
        return WatchBatch(revision=_revision(answer, seen.store_revision), changes=changes)

    def _end_waits(self) -> None:
        for scope in self._waiting:
            scope.cancel()

    async def _pages(self, prefix: str) -> list[PrefixRead]:
        """Read the pages of a prefix, up to the first that is of another era."""
        pages: list[PrefixRead] = []
        after: str | None = None
        while True:
            query = {} if after is None else {"After": after}
            path = _path(wire.READ_RANGE, Prefix=prefix, **query)
            call = StoreCall(step="get-prefix", method="GET", path=path)
            answer = await self._calls.send(call)
            page = self._calls.checked(answer, call, wire.RangePage)
            entries = tuple(item.entry(answer.era) for item in page.items)
            pages.append(
                PrefixRead(revision=_revision(answer, page.store_revision), entries=entries)
            )
            other_era = answer.era != pages[0].revision.era
            if other_era or not page.more_pages or not page.items:
                return pages
            after = page.items[-1].key

    async def _replace(
        self, key: str, former: KeyValue | None, value: bytes, lease: int, *, tagged: bool
    ) -> ReplaceResult:
        call = StoreCall(
            step="replace",
            method="POST",
            path=_path(wire.TRANSACTION),
            body=msgspec.json.encode(_replacement(key, former, value, lease, tagged=tagged)),
            changes=True,
        )
        answer = await self._calls.send(call)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            refused = self._calls.decoded(answer, call, wire.TransactionRefused)
            item = next((i for i in refused.items if i.key == key and i.revision), None)
            current = item.entry(answer.era) if item is not None else None
            revision = _revision(answer, item.revision if item is not None else ABSENT)
            return Conflict(revision=revision, current=current)
        number = self._calls.checked(answer, call, wire.TransactionDone).revision
        entry = KeyValue(
            key=key,
            value=value,
            revision=_revision(answer, number),
            created_revision=former.created_revision if former is not None else number,
            lease=lease,
        )
        return Replaced(entry=entry)


class StoreWatch:
    """Changes under a prefix from one revision on, by calls that wait."""

    def __init__(self, *, store: MetadataStore, prefix: str, after_revision: Revision) -> None:
        self._store = store
        self._prefix = prefix
        self._revision = after_revision

    async def next(self) -> WatchBatch:
        """Wait for changes, or for the end of one wait without any."""
        batch = await self._store.wait_changes(self._prefix, after_revision=self._revision)
        self._revision = max(self._revision, batch.revision)
        return batch

    async def aclose(self) -> None:
        """Nothing stays open between two waits."""


def _replacement(
    key: str, former: KeyValue | None, value: bytes, lease: int, *, tagged: bool
) -> wire.Transaction:
    """Give the change of a key and of its tag; ``tagged`` if the former value has one."""
    number = former.revision.number if former is not None else ABSENT
    tag = _tag(key, value)
    change = wire.Transaction(
        expected_revision=[wire.ExpectedRevision(key=key, revision=number)],
        set_keys=[
            wire.NewValue(key=key, value=base64.b64encode(value).decode(), lease=lease),
            wire.NewValue(key=tag, value="", lease=lease),
        ],
    )
    if former is None or not tagged:
        return change
    former_tag = _tag(key, former.value)
    change.expected_revision.append(wire.ExpectedRevision(key=former_tag, revision=number))
    if former_tag != tag:
        change.delete_keys = [former_tag]
    return change


def _tag(key: str, value: bytes) -> str:
    """Give the name of the key beside a value, which no other value has."""
    return f"{TAGS_PREFIX}{xxhash.xxh3_128_hexdigest(key.encode() + bytes(1) + value)}"


def _revision(answer: StoreAnswer, number: int) -> Revision:
    return Revision(era=answer.era, number=number)


def _path(call: str, **query: str | int) -> str:
    return f"{wire.CALLS}{call}?{urlencode(query)}" if query else f"{wire.CALLS}{call}"
