"""The platform's metadata store as a key-value store of the product."""

from __future__ import annotations

import base64
from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import attrs
import logbook
import msgspec
import trio

from lagoonlever.exceptions import (
    BadResponse,
    ConnectFailed,
    ConnectionBroken,
    PeerTimeout,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from lagoonlever.http.client import Pool, Response, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.platform import store_wire as wire
from lagoonlever.store.events import PLATFORM_ANSWER_LOST, PLATFORM_REACHED, PLATFORM_UNREACHABLE
from lagoonlever.store.port import (
    NO_LEASE,
    ChangeRefused,
    Conflict,
    KeyRead,
    KeyValue,
    Lapsed,
    Lease,
    LeaseLapsed,
    PrefixRead,
    RenewalResult,
    Renewed,
    Swapped,
    SwapResult,
    WatchBatch,
    WatchCompacted,
)

log = logbook.Logger(__name__)

T = TypeVar("T")

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
JSON_HEADERS = Headers((("Content-Type", JSON_TYPE),))
MS = 1000


@attrs.frozen(kw_only=True)
class _Call:
    """One call: where it goes, and its body for those that change something."""

    step: str
    method: str
    path: str
    body: bytes = b""
    changes: bool = False


class MetadataStore:
    """Safe for use by many tasks; ``on_call`` is told the step of every call that is sent."""

    def __init__(
        self,
        *,
        address: Address,
        on_call: Callable[[str], None] = lambda step: None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._address = address
        self._on_call = on_call
        self._timeout_s = timeout_s
        self._pool = Pool()
        self._reached = True
        self._back_at: float | None = None
        self._waiting: set[trio.CancelScope] = set()
        """The watch calls that wait now."""

    @property
    def back_at(self) -> float | None:
        """When the store was last reached again after it was not; None if it always was."""
        return self._back_at

    @property
    def is_away(self) -> bool:
        """Whether the last call found the store away."""
        return not self._reached

    def move_to(self, address: Address) -> None:
        """Send the next calls to another address of the store."""
        self._address = address

    async def get(self, key: str, *, stale_ok: bool = False) -> KeyRead:
        """Read one key; with ``stale_ok`` as it may have been some seconds ago, for less."""
        query = {"Key": key, wire.STALE_OK: 1} if stale_ok else {"Key": key}
        call = _Call(step="get", method="GET", path=_path(wire.READ_KEY, **query))
        response = await self._send(call)
        if response.status == HTTPStatus.NOT_FOUND:
            absent = self._decoded(response, call, wire.Absent)
            return KeyRead(revision=absent.store_revision, entry=None)
        read = self._checked(response, call, wire.ItemRead)
        return KeyRead(revision=read.store_revision, entry=read.entry())

    async def get_prefix(self, prefix: str) -> PrefixRead:
        """Read all keys under a prefix; its revision is that of the first page.

        Pages are no snapshot: changes made between two of them are seen again by a
        watch from the first page's revision, so that nothing is missed.
        """
        entries: dict[str, KeyValue] = {}
        page = first = await self._page(prefix, None)
        while True:
            entries.update((item.key, item.entry()) for item in page.items)
            if not page.more_pages or not page.items:
                return PrefixRead(revision=first.store_revision, entries=tuple(entries.values()))
            page = await self._page(prefix, page.items[-1].key)

    async def compare_and_swap(
        self, key: str, *, expected_revision: int, value: bytes | None, lease: int = NO_LEASE
    ) -> SwapResult:
        """Write a key, or delete it by None, if its revision is the expected one."""
        change = wire.Transaction(
            expected_revision=[wire.ExpectedRevision(key=key, revision=expected_revision)]
        )
        if value is None:
            change.delete_keys = [key]
        else:
            text = base64.b64encode(value).decode()
            change.set_keys = [wire.NewValue(key=key, value=text, lease=lease)]
        call = _Call(
            step="compare-and-swap",
            method="POST",
            path=_path(wire.TRANSACTION),
            body=msgspec.json.encode(change),
            changes=True,
        )
        response = await self._send(call)
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            refused = self._decoded(response, call, wire.TransactionRefused)
            current = next((i for i in refused.items if i.key == key and i.revision), None)
            revision = current.revision if current else 0
            return Conflict(revision=revision, current=current.entry() if current else None)
        return Swapped(revision=self._checked(response, call, wire.TransactionDone).revision)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Take a lease."""
        body = msgspec.json.encode(wire.LeaseAsk(ttl_ms=round(ttl_s * MS)))
        call = _Call(
            step="grant-lease", method="POST", path=_path(wire.GRANT_LEASE), body=body, changes=True
        )
        granted = self._checked(await self._send(call), call, wire.LeaseGranted)
        return Lease(id=granted.lease, ttl_s=granted.ttl_ms / MS)

    async def keep_alive(self, lease: Lease) -> RenewalResult:
        """Renew a lease."""
        call = _Call(step="keep-alive", method="POST", path=_path(f"{wire.RENEW_LEASE}/{lease.id}"))
        response = await self._send(call)
        if response.status == HTTPStatus.NOT_FOUND:
            return Lapsed()
        return Renewed(ttl_s=self._checked(response, call, wire.LeaseGranted).ttl_ms / MS)

    async def revoke(self, lease: Lease) -> None:
        """Give a lease up, with its keys; one that has lapsed is no error."""
        call = _Call(step="revoke", method="DELETE", path=_path(f"{wire.END_LEASE}/{lease.id}"))
        response = await self._send(call)
        if response.status != HTTPStatus.NOT_FOUND:
            self._checked(response, call, wire.Nothing)

    def watch(self, prefix: str, *, after_revision: int) -> StoreWatch:
        """Watch the changes after a revision; each call that waits counts as one."""
        return StoreWatch(store=self, prefix=prefix, after_revision=after_revision)

    async def wait_changes(self, prefix: str, *, after_revision: int) -> WatchBatch:
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
        raise PlatformUnavailable("it was away meanwhile", step="watch", peer=str(self._address))

    async def _wait_once(self, prefix: str, after_revision: int) -> WatchBatch:
        wait_ms = round(WATCH_WAIT_S * MS)
        path = _path(wire.WATCH, Prefix=prefix, After=after_revision, WaitMs=wait_ms)
        call = _Call(step="watch", method="GET", path=path)
        response = await self._send(
            call, timeout_s=WATCH_WAIT_S + WATCH_MARGIN_S, keepalive_s=WATCH_KEEPALIVE_S
        )
        if response.status == HTTPStatus.GONE:
            raise WatchCompacted(
                f"changes after {after_revision} are gone", step="watch", peer=str(self._address)
            )
        seen = self._checked(response, call, wire.WatchEvents)
        changes = tuple(item.change() for item in seen.events)
        return WatchBatch(revision=seen.store_revision, changes=changes)

    async def aclose(self) -> None:
        """Close idle connections."""
        await self._pool.aclose()

    async def _page(self, prefix: str, after: str | None) -> wire.RangePage:
        page = {} if after is None else {"After": after}
        call = _Call(
            step="get-prefix", method="GET", path=_path(wire.READ_RANGE, Prefix=prefix, **page)
        )
        return self._checked(await self._send(call), call, wire.RangePage)

    async def _send(
        self, call: _Call, *, timeout_s: float | None = None, keepalive_s: int | None = None
    ) -> Response:
        """Send a call; one that changes nothing is sent again where a kept connection broke."""
        timeout_s = timeout_s or self._timeout_s
        pooled = not call.changes and keepalive_s is None
        try:
            try:
                return await self._fetch(call, timeout_s, keepalive_s, pooled=pooled)
            except ConnectionBroken:
                if not pooled:
                    raise
                return await self._fetch(call, timeout_s, keepalive_s, pooled=False)
        except ConnectFailed as error:
            raise self._unavailable(call, error.message) from error
        except (ConnectionBroken, PeerTimeout, BadResponse) as error:
            raise self._unanswered(call, error.message) from error

    async def _fetch(
        self, call: _Call, timeout_s: float, keepalive_s: int | None, *, pooled: bool
    ) -> Response:
        self._on_call(call.step)
        response = await fetch(
            self._address,
            method=call.method,
            path=call.path,
            headers=JSON_HEADERS,
            body=call.body,
            step=call.step,
            timeout_s=timeout_s,
            pool=self._pool if pooled else None,
            keepalive_s=keepalive_s,
        )
        if response.status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS):
            raise self._unavailable(call, f"status {response.status}")
        if not self._reached:
            self._note_back()
        return response

    def _note_back(self) -> None:
        PLATFORM_REACHED.log(log, peer=str(self._address))
        self._reached = True
        self._back_at = trio.current_time()
        for scope in self._waiting:
            scope.cancel()

    def _unavailable(self, call: _Call, message: str) -> PlatformUnavailable:
        error = PlatformUnavailable(message, step=call.step, peer=str(self._address))
        if self._reached:
            PLATFORM_UNREACHABLE.log(log, step=call.step, error=str(error))
        self._reached = False
        return error

    def _answer_lost(self, call: _Call, message: str) -> PlatformAnswerLost:
        peer = str(self._address)
        PLATFORM_ANSWER_LOST.log(log, step=call.step, peer=peer, error=message)
        return PlatformAnswerLost(message, step=call.step, peer=peer)

    def _checked(self, response: Response, call: _Call, answer: type[T]) -> T:
        """Give the body of a successful answer; raises by what the status proves."""
        peer = str(self._address)
        if response.status == HTTPStatus.OK:
            return self._decoded(response, call, answer)
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseLapsed("the lease is gone", step=call.step, peer=peer)
        if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            raise ChangeRefused(f"status {response.status}", step=call.step, peer=peer)
        raise self._unanswered(call, f"status {response.status}")

    def _decoded(self, response: Response, call: _Call, answer: type[T]) -> T:
        try:
            return msgspec.json.decode(response.body or b"{}", type=answer)
        except msgspec.MsgspecError as error:
            raise self._unanswered(call, str(error)) from error

    def _unanswered(self, call: _Call, message: str) -> PlatformUnavailable | PlatformAnswerLost:
        """Give the error of a call that was sent and got no readable answer."""
        if call.changes:
            return self._answer_lost(call, message)
        return self._unavailable(call, message)


class StoreWatch:
    """Changes under a prefix from one revision on, by calls that wait."""

    def __init__(self, *, store: MetadataStore, prefix: str, after_revision: int) -> None:
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


def _path(call: str, **query: str | int) -> str:
    return f"{wire.CALLS}{call}?{urlencode(query)}" if query else f"{wire.CALLS}{call}"
