"""The stand-in of the platform's metadata store: keys, leases, waiting watches, faults, counts."""

from __future__ import annotations

import base64
import enum
from collections import Counter
from http import HTTPStatus

import msgspec
import trio

from lagoonlever.fakes.kv_store import Compacted, KeyValueStore, LeaseNotFound, Stored
from lagoonlever.http.messages import Headers
from lagoonlever.http.refusals import JSON_TYPE
from lagoonlever.http.server import CallerGone, Exchange, ServerLimits, ServerState, serve_http
from lagoonlever.platform import store_wire as wire
from lagoonlever.published import Published

EXPIRY_INTERVAL_S = 0.05
MS = 1000
MAX_PAGE = 500


class StoreFault(enum.Enum):
    """What the store does to the calls of everyone."""

    NONE = "none"
    REFUSING = "refusing"
    """503 to each call."""
    SILENT = "silent"
    """No answer to any call."""
    LOSING = "losing"
    """Changes are made, and their answers lost."""


class FakeMetadataStore:
    """One store in this process; its keys survive every fault."""

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.slow_s = 0.0
        self.page = MAX_PAGE
        self.calls: Counter[str] = Counter()
        self.stale_reads: Counter[str] = Counter()
        """Reads that may be seconds old, by key."""
        self._store = KeyValueStore()
        self._committed = Published(self._store.revision)

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._store.revision

    @property
    def harmed(self) -> bool:
        """Whether calls suffer from a fault or are slow."""
        return self.fault is not StoreFault.NONE or self.slow_s > 0.0

    def keys(self, prefix: str) -> list[str]:
        """Give the names of the keys under a prefix."""
        return [stored.key.decode() for stored in self._range(prefix)]

    def put(self, key: str, value: bytes) -> None:
        """Write a key, as an operator or a target does."""
        self._store.put(key.encode(), value, lease=0)
        self._publish()

    def delete(self, key: str) -> None:
        """Remove a key."""
        self._store.delete(key.encode())
        self._publish()

    def forget_history(self) -> None:
        """Drop every change made so far from what watches can be told."""
        self._store.compact(self._store.revision)

    async def run(self, listeners: list[trio.SocketListener]) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire)
            await serve_http(
                handler=self.handle,
                listeners=listeners,
                limits=ServerLimits(),
                state=ServerState(),
            )

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        call, _, argument = exchange.request.path.removeprefix(wire.CALLS).partition("/")
        self.calls[call] += 1
        await self._suffer(exchange)
        answers = {
            wire.READ_KEY: self._read_key,
            wire.READ_RANGE: self._read_range,
            wire.WATCH: self._watch,
            wire.TRANSACTION: self._transaction,
            wire.GRANT_LEASE: self._grant,
        }
        if call in answers:
            await answers[call](exchange)
        elif call == wire.RENEW_LEASE:
            await self._renew(exchange, int(argument))
        elif call == wire.END_LEASE:
            await self._end(exchange, int(argument))
        else:
            await _respond(exchange, wire.Nothing(), status=HTTPStatus.NOT_FOUND)

    async def _suffer(self, exchange: Exchange) -> None:
        await trio.sleep(self.slow_s)
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        if self.fault is StoreFault.REFUSING:
            await _respond(exchange, wire.Nothing(), status=HTTPStatus.SERVICE_UNAVAILABLE)
            raise CallerGone

    async def _read_key(self, exchange: Exchange) -> None:
        key = exchange.request.query["Key"].encode()
        if exchange.request.query.get(wire.STALE_OK) == "1":
            self.stale_reads[key.decode()] += 1
        found = self._store.range(key, None)
        if not found:
            absent = wire.Absent(store_revision=self.revision)
            await _respond(exchange, absent, status=HTTPStatus.NOT_FOUND)
            return
        item = _item(found[0])
        fields = {name: getattr(item, name) for name in item.__struct_fields__}
        await _respond(exchange, wire.ItemRead(**fields, store_revision=self.revision))

    async def _read_range(self, exchange: Exchange) -> None:
        query = exchange.request.query
        after = query.get("After", "").encode()
        stored = [each for each in self._range(query.get("Prefix", "")) if each.key > after]
        page = wire.RangePage(
            items=[_item(each) for each in stored[: self.page]],
            more_pages=len(stored) > self.page,
            store_revision=self.revision,
        )
        await _respond(exchange, page)

    async def _watch(self, exchange: Exchange) -> None:
        query = exchange.request.query
        prefix, after = query.get("Prefix", "").encode(), int(query["After"])
        with trio.move_on_after(int(query["WaitMs"]) / MS):
            while True:
                if self.fault is StoreFault.SILENT:
                    await trio.sleep_forever()
                try:
                    changes = self._store.changes_after(after, prefix, prefix + b"\xff")
                except Compacted:
                    await _respond(exchange, wire.Nothing(), status=HTTPStatus.GONE)
                    return
                if changes:
                    events = [_item(each) for each in changes]
                    seen = wire.WatchEvents(events=events, store_revision=self.revision)
                    await _respond(exchange, seen)
                    return
                await self._committed.wait_change()
        await _respond(exchange, wire.WatchEvents(store_revision=self.revision))

    async def _transaction(self, exchange: Exchange) -> None:
        change = msgspec.json.decode(exchange.request.body, type=wire.Transaction)
        if any(self._revision_of(each.key) != each.revision for each in change.expected_revision):
            keys = [each.key for each in change.expected_revision]
            items = [_item(s) for key in keys for s in self._store.range(key.encode(), None)]
            refused = wire.TransactionRefused(items=items)
            await _respond(exchange, refused, status=HTTPStatus.PRECONDITION_FAILED)
            return
        for new in change.set_keys:
            if new.lease and not self._has_lease(new.lease):
                await _respond(exchange, wire.Nothing(), status=HTTPStatus.NOT_FOUND)
                return
        for new in change.set_keys:
            self._store.put(new.key.encode(), base64.b64decode(new.value), lease=new.lease)
        for key in change.delete_keys:
            self._store.delete(key.encode())
        self._publish()
        self._lose_answer()
        await _respond(exchange, wire.TransactionDone(revision=self.revision))

    async def _grant(self, exchange: Exchange) -> None:
        ask = msgspec.json.decode(exchange.request.body, type=wire.LeaseAsk)
        lease = self._store.grant(ask.ttl_ms / MS, now=trio.current_time())
        self._lose_answer()
        await _respond(exchange, wire.LeaseGranted(lease=lease.id, ttl_ms=ask.ttl_ms))

    async def _renew(self, exchange: Exchange, lease_id: int) -> None:
        if not self._has_lease(lease_id):
            await _respond(exchange, wire.Nothing(), status=HTTPStatus.NOT_FOUND)
            return
        lease = self._store.renew(lease_id, now=trio.current_time())
        await _respond(exchange, wire.LeaseGranted(lease=lease_id, ttl_ms=lease.ttl_s * MS))

    async def _end(self, exchange: Exchange, lease_id: int) -> None:
        if self._has_lease(lease_id):
            self._store.revoke(lease_id)
            self._publish()
        await _respond(exchange, wire.Nothing())

    async def _expire(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            self._store.expire(now=trio.current_time())
            self._publish()

    def _lose_answer(self) -> None:
        if self.fault is StoreFault.LOSING:
            raise CallerGone

    def _has_lease(self, lease_id: int) -> bool:
        try:
            self._store.lease(lease_id)
        except LeaseNotFound:
            return False
        return True

    def _revision_of(self, key: str) -> int:
        found = self._store.range(key.encode(), None)
        return found[0].mod_revision if found else 0

    def _range(self, prefix: str) -> list[Stored]:
        return self._store.range(prefix.encode(), prefix.encode() + b"\xff")

    def _publish(self) -> None:
        self._store.commit()
        if self._store.revision != self._committed.value:
            self._committed.publish(self._store.revision)


def _item(stored: Stored) -> wire.Item:
    return wire.Item(
        key=stored.key.decode(),
        value=base64.b64encode(stored.value).decode(),
        revision=stored.mod_revision,
        created=stored.create_revision,
        lease=stored.lease,
        removed=stored.version == 0,
    )


async def _respond(
    exchange: Exchange, payload: msgspec.Struct, *, status: int = HTTPStatus.OK
) -> None:
    headers = Headers((("Content-Type", JSON_TYPE),))
    await exchange.respond(status=int(status), headers=headers, body=msgspec.json.encode(payload))
