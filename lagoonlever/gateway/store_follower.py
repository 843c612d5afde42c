"""Follows the platform's store: the configuration, the list of targets, the fellow VMs."""

from __future__ import annotations

import random

import attrs
import logbook
import trio

from lagoonlever.decisions.configuration import newer
from lagoonlever.exceptions import PlatformError, PlatformUnavailable
from lagoonlever.gateway import events
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.fellows import FELLOWS_PREFIX, Fellows
from lagoonlever.platform.configuration import (
    CONFIGURATION_KEY,
    UnreadableConfiguration,
    read_configuration,
)
from lagoonlever.platform.targets import TARGETS_PREFIX, UnreadableTarget, read_target
from lagoonlever.store.port import KeyChange, KeyValueStore, WatchCompacted
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

EVERYTHING = ""
"""One watch over every key is one waiting call, where a watch for each part would be three."""
FIRST_RETRY_S = 0.1
MOST_RETRY_S = 0.8
"""Refused calls are paid for too, and a change must be in force within 2 s."""
SETTLED_AFTER_S = 3.0
"""This long after the last failed call the store's removals are believed at once."""


@attrs.define(kw_only=True, eq=False)
class StoreFollower:
    """Owns the beliefs that come from the store."""

    _store: KeyValueStore
    _beliefs: Beliefs
    _fellows: Fellows
    _timers: TimerService
    _rng: random.Random
    _failed_at: float | None = None
    _retry_s: float = FIRST_RETRY_S
    _listed_revision: int = 0
    """Changes of the lists up to this revision are in what was read."""

    async def run(self) -> None:
        """Read everything, and follow the changes; again from the start when some were lost."""
        with self._timers.subscribed(self._expire, period_s=0.2):
            while True:
                try:
                    after = await self._read()
                    await self._follow(after)
                except WatchCompacted:
                    continue
                except PlatformError:
                    await self._wait_retry()

    def _expire(self, tick: Tick) -> None:
        self._beliefs.targets.expire(tick.now)

    async def _read(self) -> int:
        """Read the three parts and give the revision from which a watch misses nothing."""
        configuration = await self._store.get(CONFIGURATION_KEY)
        if configuration.entry is not None:
            self._take_configuration(configuration.entry.value, source="read")
        listed = await self._store.get_prefix(TARGETS_PREFIX)
        targets = []
        for entry in listed.entries:
            try:
                targets.append(read_target(entry.key, entry.value))
            except UnreadableTarget as error:
                events.TARGET_UNREADABLE.log(log, error=str(error))
        self._beliefs.targets.read(
            targets, revision=listed.revision, now=self._timers.now, settled=self._settled
        )
        fellows = await self._store.get_prefix(FELLOWS_PREFIX)
        self._fellows.read(fellows.entries)
        self._listed_revision = listed.revision
        self._retry_s = FIRST_RETRY_S
        return min(configuration.revision, listed.revision)

    async def _follow(self, after: int) -> None:
        watch = self._store.watch(EVERYTHING, after_revision=after)
        while True:
            try:
                batch = await watch.next()
            except PlatformUnavailable:
                await self._wait_retry()
                continue
            self._retry_s = FIRST_RETRY_S
            for change in batch.changes:
                self._take(change)

    async def _wait_retry(self) -> None:
        self._failed_at = self._timers.now
        await trio.sleep(self._retry_s * self._rng.uniform(0.7, 1.3))
        self._retry_s = min(MOST_RETRY_S, self._retry_s * 2)

    @property
    def _settled(self) -> bool:
        failed_at = self._failed_at
        return failed_at is None or self._timers.now - failed_at > SETTLED_AFTER_S

    def _take(self, change: KeyChange) -> None:
        if change.key == CONFIGURATION_KEY and change.entry is not None:
            self._take_configuration(change.entry.value, source="watch")
        elif change.key.startswith(FELLOWS_PREFIX):
            self._fellows.change(change)
        elif change.key.startswith(TARGETS_PREFIX) and change.revision > self._listed_revision:
            self._take_target(change)

    def _take_target(self, change: KeyChange) -> None:
        try:
            target = read_target(change.key, change.entry.value) if change.entry else None
        except UnreadableTarget as error:
            events.TARGET_UNREADABLE.log(log, error=str(error))
            return
        target_id = change.key.removeprefix(TARGETS_PREFIX)
        known = target or self._beliefs.targets.find(target_id)
        self._beliefs.targets.change(
            target_id,
            target,
            revision=change.revision,
            now=self._timers.now,
            settled=self._settled,
        )
        if known is not None:
            state = "removed" if target is None else "draining" if target.draining else "ready"
            events.TARGET_LISTED.log(
                log,
                target=target_id,
                service=known.service,
                address=str(known.address),
                state=state,
                revision=change.revision,
            )

    def _take_configuration(self, value: bytes, *, source: str) -> None:
        try:
            offered = read_configuration(value)
        except UnreadableConfiguration as error:
            events.CONFIGURATION_UNREADABLE.log(log, error=str(error))
            return
        known = self._beliefs.configuration.value
        if newer(known, offered) is known:
            return
        events.CONFIGURATION.log(
            log,
            version=offered.version,
            source=source,
            former=known.version if known else None,
        )
        self._beliefs.configuration.publish(offered)
