"""Follows the platform's store: the configuration and the list of targets."""

from __future__ import annotations

import random

import attrs
import logbook
import trio

from lagoonlever.decisions.target_registry import ListedTarget
from lagoonlever.exceptions import PlatformError
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.learner import Learner
from lagoonlever.platform.configuration import CONFIGURATION_KEY
from lagoonlever.platform.store import MetadataStore
from lagoonlever.platform.targets import TARGETS_PREFIX, UnreadableTarget, read_target
from lagoonlever.store.port import KeyChange, KeyValue, WatchCompacted
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

GATHER_S = 0.2
"""Between a change and the next call that waits: what changes meanwhile comes in one call.

Engines of a data centre come back together, each by an entry of its own; without the
pause each entry is a call of every VM. A change must be in force within 2 s.
"""
FIRST_RETRY_S = 0.1
MOST_RETRY_S = 0.8
"""Refused calls are paid for too, and a change must be in force within 2 s."""
EXPIRE_PERIOD_S = 0.2


@attrs.define(kw_only=True, eq=False)
class StoreFollower:
    """Reads everything once, and then what changes."""

    _store: MetadataStore
    _beliefs: Beliefs
    _learner: Learner
    _timers: TimerService
    _rng: random.Random
    _retry_s: float = FIRST_RETRY_S

    async def run(self) -> None:
        """Read everything, and follow the changes; again from the start when some were lost."""
        with self._timers.subscribed(self._expire, period_s=EXPIRE_PERIOD_S):
            while True:
                try:
                    after = await self._read()
                except PlatformError:
                    await self._wait_retry()
                    continue
                await self._follow(after)
                events.WATCH_COMPACTED.log(log, revision=self._beliefs.targets.as_of)

    def _expire(self, tick: Tick) -> None:
        self._beliefs.targets.expire(tick.now)
        self._beliefs.book.expire(tick.now)
        self._beliefs.fellows.expire(tick.now)

    async def _read(self) -> int:
        """Read both parts together; gives the revision from which a watch misses nothing."""
        revisions: list[int] = []
        try:
            async with trio.open_nursery() as nursery:
                for read in (self._read_configuration, self._read_targets):
                    nursery.start_soon(read, revisions)
        except* PlatformError as errors:
            raise _first_of(errors) from errors
        self._retry_s = FIRST_RETRY_S
        return min(revisions)

    async def _read_configuration(self, revisions: list[int]) -> None:
        read = await self._store.get(CONFIGURATION_KEY)
        if read.entry is not None:
            self._learner.take_configuration(read.entry.value, source="store")
        revisions.append(read.revision)

    async def _read_targets(self, revisions: list[int]) -> None:
        read = await self._store.get_prefix(TARGETS_PREFIX)
        targets = [target for entry in read.entries if (target := _target(entry)) is not None]
        self._learner.take_list(
            targets, revision=read.revision, store_back_at=self._store.back_at, source="store"
        )
        revisions.append(read.revision)

    async def _follow(self, after: int) -> None:
        """Follow the configuration and the targets until changes of either were lost."""
        async with trio.open_nursery() as nursery:
            for prefix in (CONFIGURATION_KEY, TARGETS_PREFIX):
                nursery.start_soon(self._watch, prefix, after, nursery.cancel_scope)

    async def _watch(self, prefix: str, after: int, both: trio.CancelScope) -> None:
        """Follow one prefix; ends both watches once the store has forgotten changes.

        Both may meet that at the same moment, so it is no exception here.
        """
        watch = self._store.watch(prefix, after_revision=after)
        while True:
            try:
                batch = await watch.next()
            except WatchCompacted:
                both.cancel()
                return
            except PlatformError:
                await self._wait_retry()
                continue
            self._retry_s = FIRST_RETRY_S
            for change in batch.changes:
                self._take(change)
            if prefix == TARGETS_PREFIX:
                self._beliefs.targets.seen_up_to(batch.revision)
            if batch.changes:
                await trio.sleep(GATHER_S)

    async def _wait_retry(self) -> None:
        await trio.sleep(self._retry_s * self._rng.uniform(0.7, 1.3))
        self._retry_s = min(MOST_RETRY_S, self._retry_s * 2)

    def _take(self, change: KeyChange) -> None:
        if change.key == CONFIGURATION_KEY:
            if change.entry is not None:
                self._learner.take_configuration(change.entry.value, source="watch")
        elif change.key.startswith(TARGETS_PREFIX):
            target = _target(change.entry) if change.entry else None
            self._learner.take_target(
                change.key.removeprefix(TARGETS_PREFIX),
                target,
                revision=change.revision,
                store_back_at=self._store.back_at,
            )


def _target(entry: KeyValue) -> ListedTarget | None:
    try:
        return read_target(entry.key, entry.value)
    except UnreadableTarget as error:
        events.TARGET_UNREADABLE.log(log, error=str(error))
        return None


def _first_of(errors: BaseExceptionGroup[PlatformError]) -> PlatformError:
    """Give one error of a group; the store's client has logged each."""
    for error in errors.exceptions:
        if isinstance(error, PlatformError):
            return error
        if isinstance(error, BaseExceptionGroup):
            return _first_of(error)
    raise errors
