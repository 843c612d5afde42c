"""Keeps the versions in use in the platform's store, for VMs that start anew.

The load that is answered: all VMs lose power, and callers come back in the first second with a
part of their streams. Each VM reads the record at its start, one call. A VM that reads the store
for others writes it when a version has come or has outlived its streams: a few calls for each
version, none for each stream.
"""

from __future__ import annotations

import contextlib
import math
import random
from collections.abc import Awaitable, Callable

import attrs
import logbook
import msgspec
import trio

from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.decisions.streams.versions_in_use import RecordedVersions, VersionsByService
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events_streams as events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.hub_spread import HubSpread
from lagoonlever.http.messages import Address
from lagoonlever.peers.interface import Bus
from lagoonlever.peers.messages_origins import VersionsOfService, VersionsRecorded
from lagoonlever.published import Published
from lagoonlever.revisions import NOWHERE, Revision
from lagoonlever.store.port import RecordStore
from lagoonlever.store.records import StoreRecord
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

VERSIONS_KEY = "lagoonlever/versions"
LOOK_PERIOD_S = 0.3
"""A new version gets no streams for this long, but its engines have just started. A stream that
finds no other engine has the record written at once."""
NOTICE_PERIOD_S = 0.1
"""Streams that are open as a version comes are written at once: power may go right after."""
STAND_IN_S = 1.0
"""A VM that does not read the store for others writes what nobody has written by then."""
FIRST_SPREAD_S = 0.05
"""All VMs start together once; most of them are told by the first that has written."""
RETRY_S = 0.3
MARK_S = 0.3
"""How long the first event of a process that no entry names waits for a write."""
CONFIRM_S = 0.4
"""How long a caller waits for the record: a slow store takes a quarter of a second."""
FIRST_ERA = 0

Step = Callable[[], Awaitable[None]]


class _Document(msgspec.Struct, kw_only=True):
    """The record as it is stored; ``era`` is that of the store which lacked no version."""

    era: int
    services: dict[str, list[str]]


@attrs.define(kw_only=True, eq=False)
class VersionRecord:
    """Owns the record, and tells the other VMs of it."""

    _store: RecordStore
    _bus: Bus
    _beliefs: Beliefs
    _timers: TimerService
    _roles: Published[Roles | None]
    _spread: HubSpread
    _rng: random.Random
    known: trio.Event = attrs.field(factory=trio.Event)
    """Set once the record has been read or told by another VM, and says anything."""
    _wanted: trio.Event = attrs.field(factory=trio.Event)
    _changed: trio.Event = attrs.field(factory=trio.Event)
    """Set with each record that is applied, and replaced."""
    _lacking_since: float | None = None
    _looked_as_of: Revision = NOWHERE
    _on_change: list[Callable[[], None]] = attrs.field(factory=list)
    _record: StoreRecord = attrs.field(init=False)
    _seen: StoreRecord = attrs.field(init=False)
    """The same record, as it is read beside the writing of it."""
    _confirming: trio.Event | None = None
    """Set at the end of the read that is under way."""
    _confirmed_at: float = -math.inf
    """When the last read that was answered had begun."""

    @_record.default
    def _make_record(self) -> StoreRecord:
        return StoreRecord(store=self._store, key=VERSIONS_KEY)

    @_seen.default
    def _make_seen(self) -> StoreRecord:
        return StoreRecord(store=self._store, key=VERSIONS_KEY)

    async def run(self) -> None:
        """Read the record, write what it lacks, and take what others tell, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            await self._until_done(self._read)
            await self._write_first()
            with (
                self._timers.subscribed(self._look, period_s=LOOK_PERIOD_S),
                self._timers.subscribed(self._notice, period_s=NOTICE_PERIOD_S),
            ):
                while True:
                    await self._wanted.wait()
                    self._wanted = trio.Event()
                    await self._until_done(self._write)

    async def until_recorded(self, engine: ListedTarget) -> bool:
        """Wait until a stream may begin at an engine's version; return whether it had to wait."""
        versions, waited = self._beliefs.versions, False
        while versions.holds_back(engine, self._timers.now):
            waited = True
            roles = self._roles.value
            if roles is not None and roles.reads_store:
                self._wanted.set()
            with trio.move_on_after(LOOK_PERIOD_S):
                await self._changed.wait()
        return waited

    async def until_marked(self, service: str) -> None:
        """Wait until the record tells that a process which no entry names writes for a service.

        For a moment only: in an outage of the store nearly all engines may be such processes.
        """
        versions = self._beliefs.versions
        versions.record_unnamed(service, self._timers.now)
        with trio.move_on_after(MARK_S):
            while not versions.is_marked(service):
                self._wanted.set()
                await self._changed.wait()

    async def confirm(self) -> bool:
        """Read the record as it stands now; return whether the store has told it in time.

        A VM may not have heard of a version for seconds, as it was cut off or stood still.
        """
        asked_at = self._timers.now
        with trio.move_on_after(CONFIRM_S):
            if self._confirming is not None:
                # That read may have begun before the stream that is asked about.
                await self._confirming.wait()
            if self._confirmed_at >= asked_at:
                return True
            return await self._confirm_now()
        return False

    async def _confirm_now(self) -> bool:
        began_at = self._timers.now
        done = self._confirming = trio.Event()
        try:
            await self._seen.read()
        except PlatformError:
            # The store's client has logged it; without an answer nothing is proven.
            return False
        finally:
            self._confirming = None
            done.set()
        self._confirmed_at = began_at
        self._take(self._seen)
        return True

    def greet(self, newcomer: Address) -> None:
        """Send the record to a VM that was met."""
        if self._beliefs.versions.recorded.proven:
            self._bus.send(newcomer, self._message())

    def on_change(self, notify: Callable[[], None]) -> None:
        """Have ``notify`` called whenever the record has changed, or is seen to lack a version."""
        self._on_change.append(notify)

    @property
    def _services(self) -> frozenset[str]:
        """Those that answer with streams, and those that have done so until lately."""
        configuration = self._beliefs.configuration.value
        streaming = configuration.stream_services if configuration is not None else frozenset()
        return streaming | self._beliefs.versions.recorded.versions.keys()

    def _wanted_versions(self) -> VersionsByService:
        return self._beliefs.versions.wanted(
            self._services,
            self._beliefs.targets.targets,
            self._timers.now,
            keep_s=self._beliefs.resumable_s,
        )

    def _notice(self, tick: Tick) -> None:
        """Look at once when the list has changed."""
        as_of = self._beliefs.targets.as_of
        if as_of != self._looked_as_of:
            self._look(tick)

    def _look(self, tick: Tick) -> None:
        """Have the record written if it is not as it should be, by one VM if others do it."""
        beliefs, keep_s = self._beliefs, self._beliefs.resumable_s
        beliefs.versions.expire(tick.now, keep_s=keep_s)
        beliefs.origins.expire(tick.now, keep_s=keep_s)
        beliefs.versions.name_processes(beliefs.targets.targets)
        self._looked_as_of = beliefs.targets.as_of
        if not beliefs.known.is_set() or not self._is_lacking(tick.now):
            self._lacking_since = None
            return
        since = self._lacking_since = self._lacking_since or tick.now
        for notify in self._on_change:
            notify()
        roles = self._roles.value
        if (roles is not None and roles.reads_store) or tick.now - since > STAND_IN_S:
            self._wanted.set()

    def _is_lacking(self, now: float) -> bool:
        versions = self._beliefs.versions
        recorded = versions.recorded
        is_former = recorded.revision.era < self._beliefs.targets.as_of.era
        becomes_proven = not recorded.proven and versions.is_proven(
            now, keep_s=self._beliefs.resumable_s
        )
        return is_former or becomes_proven or self._wanted_versions() != recorded.versions

    async def _read(self) -> None:
        await self._record.read()
        self._take(self._record)

    async def _write_first(self) -> None:
        """Write the first record ever without waiting for a role: streams begin at any moment."""
        await self._beliefs.known.wait()
        if self._record.value is None:
            await trio.sleep(self._rng.uniform(0.0, FIRST_SPREAD_S))
            self._wanted.set()

    async def _write(self) -> None:
        """Write what the record should say, building on what another VM has written."""
        if self._record.revision.era < self._beliefs.targets.as_of.era:
            await self._record.read()
            self._beliefs.versions.record_restore(self._record.revision.era)
        if self._record.value is None and not self._wanted_versions():
            return
        while (document := self._document()) != self._record.value:
            if not await self._record.write(document):
                self._merge()
                continue
            self._take(self._record)
            recorded = self._beliefs.versions.recorded
            events.VERSIONS_RECORDED.log(
                log, versions=_texts(recorded.versions), revision=recorded.revision
            )
            message = self._message()
            self._spread.tell(message, for_plain=message)

    def _document(self) -> bytes:
        versions = self._beliefs.versions
        proven = versions.is_proven(self._timers.now, keep_s=self._beliefs.resumable_s)
        stored = _read_document(self._record)
        era = self._record.revision.era if proven or stored is None else stored.era
        return msgspec.json.encode(_Document(era=era, services=_texts(self._wanted_versions())))

    def _take(self, record: StoreRecord) -> None:
        """Apply what is stored; a store that never had a record has begun no stream either."""
        revision, document = record.revision, _read_document(record)
        is_fresh = record.value is None and revision.era == FIRST_ERA
        proven = is_fresh or (document is not None and document.era == revision.era)
        services = document.services if document is not None else {}
        self._apply(services, revision=revision, proven=proven)

    def _merge(self) -> None:
        """Apply what another VM has written, without losing what this one knows."""
        document, known = _read_document(self._record), self._beliefs.versions.recorded
        services = {name: set(versions) for name, versions in known.versions.items()}
        for name, versions in (document.services if document is not None else {}).items():
            services.setdefault(name, set()).update(versions)
        revision = self._record.revision
        proven = known.proven or (document is not None and document.era == revision.era)
        self._apply(services, revision=revision, proven=proven)

    def _apply(
        self,
        services: dict[str, list[str]] | dict[str, set[str]],
        *,
        revision: Revision,
        proven: bool,
    ) -> None:
        record = RecordedVersions(
            versions={name: frozenset(versions) for name, versions in services.items()},
            revision=revision,
            proven=proven,
        )
        self._apply_record(record)

    def _apply_record(self, record: RecordedVersions) -> bool:
        applied = self._beliefs.versions.apply_record(record, self._timers.now)
        self._beliefs.versions.name_processes(self._beliefs.targets.targets)
        if record.versions:
            self.known.set()
        if applied:
            self._changed.set()
            self._changed = trio.Event()
            for notify in self._on_change:
                notify()
        return applied

    async def _receive(self) -> None:
        async for received in self._bus.subscribe(VersionsRecorded):
            told = received.message
            record = RecordedVersions(
                versions={each.service: frozenset(each.versions) for each in told.services},
                revision=told.revision,
                proven=told.proven,
            )
            if self._apply_record(record):
                self._spread.pass_on(told, source=received.sender.name, for_plain=told)

    def _message(self) -> VersionsRecorded:
        recorded = self._beliefs.versions.recorded
        return VersionsRecorded(
            services=tuple(
                VersionsOfService(service=name, versions=tuple(sorted(versions)))
                for name, versions in sorted(recorded.versions.items())
            ),
            revision=recorded.revision,
            proven=recorded.proven,
        )

    async def _until_done(self, step: Step) -> None:
        """Repeat a step until the store has answered; its client logs each failure."""
        while True:
            with contextlib.suppress(PlatformError):
                await step()
                return
            await trio.sleep(RETRY_S * self._rng.uniform(0.7, 1.3))


def _read_document(record: StoreRecord) -> _Document | None:
    if record.value is None:
        return None
    try:
        return msgspec.json.decode(record.value, type=_Document)
    except (msgspec.MsgspecError, RecursionError) as error:
        events.VERSIONS_UNREADABLE.log(log, error=str(error))
        return None


def _texts(versions: VersionsByService) -> dict[str, list[str]]:
    return {service: sorted(names) for service, names in sorted(versions.items())}
