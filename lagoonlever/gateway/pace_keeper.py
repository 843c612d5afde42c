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

from lagoonlever.decisions.engine_paces import KeptPace
from lagoonlever.decisions.roles import Roles
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.published import Published
from lagoonlever.store.port import ABSENT, Conflict, KeyValue, KeyValueStore
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)

PACES_KEY = "lagoonlever/paces"
LOOK_EVERY_S = 8.0
"""Within a few streams' lives; a look is no call unless something is to be written."""


@attrs.define(kw_only=True, eq=False)
class PaceKeeper:
    """Reads the figures at the start, and writes them while this VM reads for others."""

    _store: KeyValueStore
    _beliefs: Beliefs
    _roles: Published[Roles | None]
    _timers: TimerService
    _rng: random.Random
    _stored: dict[str, KeptPace] = attrs.field(factory=dict)
    _revision: int = ABSENT

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
            read = await self._store.get(PACES_KEY, stale_ok=True)
        except PlatformError:
            # The store's client has logged it; the first streams tell the same.
            return
        self._take(read.entry)
        for service, pace in self._stored.items():
            self._beliefs.book.paces.recall(service, pace, self._timers.now)
        if self._stored:
            events.PACES_RECALLED.log(log, paces=str(self._stored), revision=self._revision)

    async def _write(self) -> None:
        """Write the figures if they tell another thing than those that are stored."""
        learnt = self._beliefs.book.paces.kept()
        if all(self._is_stored(service, pace) for service, pace in learnt.items()):
            return
        value = msgspec.json.encode({**self._stored, **learnt})
        try:
            result = await self._store.compare_and_swap(
                PACES_KEY, expected_revision=self._revision, value=value
            )
        except PlatformError:
            # The store's client has logged it; the next look finds the same difference.
            return
        if isinstance(result, Conflict):
            # Another VM was first: its figures are compared at the next look.
            self._take(result.current)
            return
        self._stored, self._revision = {**self._stored, **learnt}, result.revision

    def _is_stored(self, service: str, pace: KeptPace) -> bool:
        stored = self._stored.get(service)
        return stored is not None and not stored.differs(pace)

    def _take(self, entry: KeyValue | None) -> None:
        """Take what is stored; what can't be read is written over."""
        self._revision = entry.revision if entry is not None else ABSENT
        self._stored = {}
        if entry is None:
            return
        try:
            self._stored = msgspec.json.decode(entry.value, type=dict[str, KeptPace])
        except (msgspec.MsgspecError, RecursionError) as error:
            events.PACES_UNREADABLE.log(log, error=str(error))
