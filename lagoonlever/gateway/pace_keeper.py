"""Keeps what was learnt of engines' speeds in the platform's store, for VMs that start anew.

The load that is answered: all VMs lose power, and their callers come back in the first
second with a few left. A VM that has seen no stream yet can't tell which of them no engine
could serve; their prompts are read in vain and delay the others. So a VM that reads the
store for others writes the figures there when they have changed, and each VM reads them
once, at its start. Nothing hangs on them: they are bounded like a first observation, and
what is seen after it goes on from there.
"""

from __future__ import annotations

import random

import attrs
import logbook
import msgspec
import trio

from lagoonlever.decisions.engines.engine_timings import StoredTimings
from lagoonlever.decisions.fleet.roles import Roles
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.published import Published
from lagoonlever.store.port import RecordStore
from lagoonlever.store.records import StoreRecord
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

PACES_KEY = "lagoonlever/paces"
LOOK_EVERY_S = 8.0
"""Within a few streams' lives; a look is no call unless something is to be written."""


@attrs.define(kw_only=True, eq=False)
class PaceKeeper:
    """Reads the figures at the start, and writes them while this VM reads for others."""

    _store: RecordStore
    _beliefs: Beliefs
    _roles: Published[Roles | None]
    _timers: TimerService
    _rng: random.Random
    _stored: dict[str, StoredTimings] = attrs.field(factory=dict)
    _record: StoreRecord = attrs.field(init=False)

    @_record.default
    def _make_record(self) -> StoreRecord:
        return StoreRecord(store=self._store, key=PACES_KEY)

    async def run(self) -> None:
        """Read once, then look now and then whether there is news to write."""
        await self._read()
        while True:
            await trio.sleep(LOOK_EVERY_S * self._rng.uniform(0.7, 1.3))
            roles = self._roles.value
            if roles is not None and roles.reads_store:
                await self._write()

    async def _read(self) -> None:
        try:
            # Figures of some seconds ago tell the same, and every start of a VM reads them.
            await self._record.read(stale_ok=True)
        except PlatformError:
            # The store's client has logged it; the first streams tell the same.
            return
        self._take()
        for service, pace in self._stored.items():
            self._beliefs.book.timings.restore(service, pace, self._timers.now)
        if self._stored:
            events.PACES_RECALLED.log(log, paces=str(self._stored), revision=self._record.revision)

    async def _write(self) -> None:
        """Write the figures if they tell another thing than those that are stored."""
        learnt = self._beliefs.book.timings.stored_timings()
        if self._record.revision.era != self._beliefs.targets.as_of.era:
            # The store has come back from an older copy, which may not have them.
            await self._read_anew()
        if all(self._is_stored(service, pace) for service, pace in learnt.items()):
            return
        value = msgspec.json.encode({**self._stored, **learnt})
        try:
            # Where another VM was first, its figures are compared at the next look.
            await self._record.write(value)
        except PlatformError:
            # The store's client has logged it; the next look finds the same difference.
            return
        self._take()

    async def _read_anew(self) -> None:
        try:
            await self._record.read()
        except PlatformError:
            # The store's client has logged it; the next look reads again.
            return
        self._take()

    def _is_stored(self, service: str, pace: StoredTimings) -> bool:
        stored = self._stored.get(service)
        return stored is not None and not stored.differs_from(pace)

    def _take(self) -> None:
        """Take what is stored; what can't be read is written over."""
        self._stored = {}
        if self._record.value is None:
            return
        try:
            self._stored = msgspec.json.decode(self._record.value, type=dict[str, StoredTimings])
        except (msgspec.MsgspecError, RecursionError) as error:
            events.PACES_UNREADABLE.log(log, error=str(error))
