"""Keeps where this VM's streams began in the platform's store, while versions differ.

The load that is answered: all VMs lose power while several versions serve, and nobody is left who
has seen a stream begin. A VM gathers what it has to write, so that the calls grow with VMs and
not with streams, and writes nothing of a service with one version, nor of a stream that has
ended by then. It writes one key under a lease, in place of what it wrote before.
"""

from __future__ import annotations

import random

import attrs
import logbook
import msgspec
import trio

from lagoonlever.decisions.streams.origin_batches import batch_period_s, burst_spread_s
from lagoonlever.decisions.streams.stream_origins import StreamOrigin
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events_streams as events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.store.port import Lapsed, Lease, RecordStore
from lagoonlever.store.records import StoreRecord
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

ORIGINS_PREFIX = "lagoonlever/origins/"
RENEWALS = 4.0
"""A lease is renewed this many times in the time for which a stream may be resumed."""
RETRY_S = 0.5
MET_S = 1.0
"""After its start a VM has met the others. Until then it takes the fleet for a large one, and would
gather for longer than power may stay."""
GATHER_STEP_S = 0.05
READ_AGAIN_S = 1.0
"""Callers of one loss come back together; one reading serves them all."""

RequestsByVersion = dict[str, list[str]]


@attrs.define(kw_only=True, eq=False)
class OriginRecords:
    """Owns this VM's key, and reads those of all VMs."""

    _store: RecordStore
    _beliefs: Beliefs
    _timers: TimerService
    _rng: random.Random
    _vm: str
    """The name of this VM's process, which no other one has."""
    _writes_per_s: float
    """What all VMs together may write."""
    _own: dict[str, StreamOrigin] = attrs.field(factory=dict)
    """Streams that this VM has relayed and that may still be resumed, by request."""
    _began_at: dict[str, float] = attrs.field(factory=dict)
    _written: frozenset[str] = frozenset()
    _lease: Lease | None = None
    _renewed_at: float = 0.0
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _hurries: bool = False
    """Another version has come: power may go in the time of a batch."""
    _started_at: float = attrs.field(factory=trio.current_time)
    _reading: trio.Event | None = None
    _read_at: float = float("-inf")
    _record: StoreRecord = attrs.field(init=False)

    @_record.default
    def _make_record(self) -> StoreRecord:
        return StoreRecord(store=self._store, key=f"{ORIGINS_PREFIX}{self._vm}")

    async def run(self) -> None:
        """Write what has gathered, and renew the lease, until cancelled."""
        while True:
            with trio.move_on_after(self._renewal_s):
                await self._changed.wait()
                await self._gather()
            self._changed, self._hurries = trio.Event(), False
            self._expire()
            try:
                await self._renew()
                await self._write()
            except PlatformError:
                # The store's client has logged it; what is not written yet is tried again.
                await trio.sleep(RETRY_S * self._rng.uniform(0.7, 1.3))
                self._changed.set()

    def begin(self, origin: StreamOrigin) -> None:
        """Record that this VM passes on the first event of an answer."""
        self._own[origin.request] = origin
        self._began_at[origin.request] = self._timers.now
        if self._beliefs.has_open_origins(origin.service):
            self._changed.set()

    def end(self, request: str) -> None:
        """Record that a stream was completed."""
        self._own.pop(request, None)
        self._began_at.pop(request, None)

    def versions_changed(self) -> None:
        """Write what is open without gathering, as another version has come or is in use."""
        if any(self._beliefs.has_open_origins(name) for name in self._services):
            self._hurries = True
            self._changed.set()

    async def read(self) -> None:
        """Read what all VMs have written, unless that was just done."""
        if self._reading is not None:
            await self._reading.wait()
            return
        if self._timers.now - self._read_at < READ_AGAIN_S:
            return
        reading = self._reading = trio.Event()
        try:
            found = await self._store.get_prefix(ORIGINS_PREFIX)
            for entry in found.entries:
                self._take(entry.value)
            events.ORIGINS_READ.log(log, vms=len(found.entries), known=len(self._beliefs.origins))
        except PlatformError:
            # The store's client has logged it; the next caller has it read again.
            return
        finally:
            self._read_at = self._timers.now
            self._reading = None
            reading.set()

    @property
    def _services(self) -> frozenset[str]:
        return frozenset(origin.service for origin in self._own.values())

    async def _gather(self) -> None:
        """Wait until a batch is due; the fleet may prove smaller meanwhile."""
        began, part = self._timers.now, self._rng.uniform(0.8, 1.2)
        while True:
            left_s = began + part * self._period_s - self._timers.now
            if left_s <= 0:
                return
            await trio.sleep(min(left_s, GATHER_STEP_S))

    @property
    def _period_s(self) -> float:
        fellows, now = self._beliefs.fellows, self._timers.now
        has_met = now - self._started_at >= MET_S
        vms = fellows.known_fleet_size if has_met else fellows.max_fleet_size(now)
        if self._hurries:
            return burst_spread_s(vms=vms, writes_per_s=self._writes_per_s)
        return batch_period_s(vms=vms, writes_per_s=self._writes_per_s)

    @property
    def _renewal_s(self) -> float:
        return self._beliefs.resumable_s / RENEWALS

    def _expire(self) -> None:
        oldest = self._timers.now - self._beliefs.resumable_s
        for request in [r for r, at in self._began_at.items() if at < oldest]:
            self.end(request)

    async def _renew(self) -> None:
        """Keep what was written for as long as one of its streams may be resumed."""
        is_due = self._timers.now - self._renewed_at >= self._renewal_s
        if self._lease is None or not is_due:
            return
        if not self._own.keys() & self._written:
            return
        if isinstance(await self._store.keep_alive(self._lease), Lapsed):
            self._lease, self._written = None, frozenset()
        self._renewed_at = self._timers.now

    async def _write(self) -> None:
        """Write all that may be needed if it has anything new; nothing is written for an end."""
        while True:
            batch = self._batch()
            requests = frozenset(origin.request for origin in batch)
            if requests <= self._written:
                return
            lease = await self._granted()
            if await self._record.write(_encode(batch), lease=lease.id):
                self._written = requests
                targets = self._beliefs.targets
                unnamed = sum(o.resolve(targets).version is None for o in self._own.values())
                events.ORIGINS_WRITTEN.log(log, streams=len(batch), unnamed=unnamed)
                return

    def _batch(self) -> list[StreamOrigin]:
        open_services = {s for s in self._services if self._beliefs.has_open_origins(s)}
        resolved = (origin.resolve(self._beliefs.targets) for origin in self._own.values())
        return [o for o in resolved if o.version is not None and o.service in open_services]

    async def _granted(self) -> Lease:
        if self._lease is None:
            self._lease = await self._store.grant_lease(2 * self._beliefs.resumable_s)
            self._renewed_at = self._timers.now
        return self._lease

    def _take(self, value: bytes) -> None:
        try:
            stored = msgspec.json.decode(value, type=dict[str, RequestsByVersion])
        except (msgspec.MsgspecError, RecursionError) as error:
            events.ORIGINS_UNREADABLE.log(log, error=str(error))
            return
        origins = (
            StreamOrigin(request=request, service=service, version=version)
            for service, by_version in stored.items()
            for version, requests in by_version.items()
            for request in requests
        )
        self._beliefs.origins.record_all(origins, self._timers.now)


def _encode(batch: list[StreamOrigin]) -> bytes:
    document: dict[str, RequestsByVersion] = {}
    for origin in batch:
        assert origin.version is not None
        of_service = document.setdefault(origin.service, {})
        of_service.setdefault(origin.version, []).append(origin.request)
    return msgspec.json.encode(document)
