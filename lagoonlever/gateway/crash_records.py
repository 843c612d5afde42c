"""Keeps the ends of targets under requests in the platform's store, for VMs that start anew.

The load that is answered: all VMs lose power while a request ends one engine after the other,
and its caller is back in the first second. Each VM reads the record at its start, and writes
what it saw itself; by the writing it also learns what VMs saw that it does not hear.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import attrs
import logbook
import msgspec
import trio

from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.target_crashes import Crash, CrashesByRequest
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events
from lagoonlever.revisions import Revision
from lagoonlever.store.port import RecordStore
from lagoonlever.store.records import StoreRecord

log = logbook.Logger(__name__)

RECORD_KEY = "lagoonlever/crashes"
RETRY_S = (0.2, 1.6)
"""Between two tries while the store is away: the first pause, and the longest."""
SAVED_WITHIN_S = 0.1
"""How long a request waits for the record of its own end: a read, and few writes."""

Clock = Callable[[], float]


@attrs.define(kw_only=True, eq=False)
class CrashRecords:
    """Reads and writes one key; times there are Unix seconds, as VMs share no other clock."""

    _store: RecordStore
    _suspects: CrashSuspects
    _now: Clock
    """Returns monotonic seconds."""
    _unix_now: Clock
    _rng: random.Random
    _learnt: Callable[[], None]
    """Called after ends were read that other VMs had written."""
    _served: set[str] = attrs.field(factory=set)
    """Requests that are to be taken out of the record."""
    _recorded: dict[str, frozenset[str]] = attrs.field(factory=dict)
    """The processes that ended under each request, by the record as last seen."""
    _writing: frozenset[str] = frozenset()
    """The requests that the record may hold by a write whose outcome is not known yet."""
    _is_old: bool = False
    """The record is to be read again."""
    recalled: trio.Event = attrs.field(factory=trio.Event)
    """Set once the record has been read for the first time."""
    _wanted: trio.Event = attrs.field(factory=trio.Event)
    _saved: trio.Event = attrs.field(factory=trio.Event)
    _record: StoreRecord = attrs.field(init=False)

    @_record.default
    def _make_record(self) -> StoreRecord:
        return StoreRecord(store=self._store, key=RECORD_KEY)

    @property
    def revision(self) -> Revision:
        """The store's revision as of which the record was last seen."""
        return self._record.revision

    async def run(self) -> None:
        """Read the record, then write whenever something was noted, until cancelled."""
        await self._until_done(self._read)
        self.recalled.set()
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            saved, self._saved = self._saved, trio.Event()
            if self._is_old:
                self._is_old = not await self._read()
            await self._until_done(self._write)
            saved.set()

    async def exchange(self) -> None:
        """Request that the record is read and completed, and wait a moment for both."""
        saved = self._saved
        self.read_again()
        with trio.move_on_after(SAVED_WITHIN_S):
            await saved.wait()

    def take_out(self, fingerprint: str) -> None:
        """Request that an answered suspect is removed from the record, if it is there."""
        if fingerprint in self._recorded or fingerprint in self._writing:
            self._served.add(fingerprint)
            self._wanted.set()

    def take_out_excused(self) -> None:
        """Request that ends are removed from the record of processes that are known to leave.

        A VM that starts later reads the record, and may never hear that they left.
        """
        if self._has_excused():
            self._wanted.set()

    def read_again(self) -> None:
        """Request that the record is read again, for a VM that may not hear others."""
        self._is_old = True
        self._wanted.set()

    async def _until_done(self, step: Callable[[], Awaitable[bool]]) -> None:
        pause_s, longest_s = RETRY_S
        while not await step():
            await trio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
            pause_s = min(longest_s, pause_s * 2)

    async def _read(self) -> bool:
        try:
            former = self._record.value
            await self._record.read()
        except PlatformError:
            # The store's client has logged it; the read is tried again.
            return False
        self._take()
        if self._recorded and self._record.value != former:
            events.CRASHES_RECALLED.log(
                log, requests=len(self._recorded), revision=self._record.revision
            )
        return True

    async def _write(self) -> bool:
        """Write what the record lacks, with what others have written meanwhile."""
        while self._has_news():
            served, known = frozenset(self._served), self._known()
            if known == self._recorded and not self._writing:
                # It holds all that would be written, so that a write would end nothing.
                return True
            value = msgspec.json.encode(self._document(without=served))
            self._writing = frozenset(known)
            try:
                written = await self._record.write(value)
            except PlatformError:
                # The store's client has logged it; a write whose answer was lost shows as a
                # conflict next time.
                return False
            self._writing = frozenset()
            if not written:
                self._take()
                continue
            self._recorded = known
            self._served -= served
        return True

    def _has_news(self) -> bool:
        """Check whether the record lacks a crash, or has a suspect that was answered."""
        if self._served & (self._recorded.keys() | self._writing) or self._has_excused():
            return True
        nothing: frozenset[str] = frozenset()
        return any(
            not processes <= self._recorded.get(fingerprint, nothing)
            for fingerprint, processes in self._known().items()
        )

    def _has_excused(self) -> bool:
        return any(
            self._suspects.is_excused(fingerprint, process)
            for fingerprint, processes in self._recorded.items()
            for process in processes
        )

    def _known(self) -> dict[str, frozenset[str]]:
        return {
            fingerprint: frozenset(processes)
            for fingerprint, processes in self._suspects.crashes_to_store().items()
            if fingerprint not in self._served
        }

    def _document(self, *, without: frozenset[str]) -> CrashesByRequest:
        to_unix = self._unix_now() - self._now()
        return {
            fingerprint: {
                process: attrs.evolve(end, at=round(end.at + to_unix, 3))
                for process, end in processes.items()
            }
            for fingerprint, processes in self._suspects.crashes_to_store().items()
            if fingerprint not in without
        }

    def _take(self) -> None:
        """Apply what is stored; what can't be read is written over."""
        self._recorded = {}
        if self._record.value is None:
            return
        try:
            stored = msgspec.json.decode(self._record.value, type=dict[str, dict[str, Crash]])
        except (msgspec.MsgspecError, RecursionError) as error:
            events.CRASHES_UNREADABLE.log(log, error=str(error))
            return
        self._recorded = {f: frozenset(processes) for f, processes in stored.items()}
        now, to_monotonic = self._now(), self._now() - self._unix_now()
        ends = {
            fingerprint: {
                process: Crash.from_report(
                    at=min(now, end.at + to_monotonic),
                    weight=end.weight,
                    requests=end.requests,
                    tested=end.tested,
                )
                for process, end in processes.items()
            }
            for fingerprint, processes in stored.items()
            if processes and fingerprint not in self._served
        }
        self._served |= self._suspects.find_cleared(ends)
        self._suspects.record_reported_crashes(ends)
        self._learnt()
