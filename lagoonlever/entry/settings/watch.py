"""Learns the settings from the platform: a watch, and a slow read that guards it."""

from __future__ import annotations

import random

import attrs
import logbook
import trio

from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.settings.settings_version import SettingsVersionOptions
from lagoonlever.decisions.settings.settings_watchers import is_watcher
from lagoonlever.entry.settings import events
from lagoonlever.entry.settings.state import SettingsState
from lagoonlever.entry.settings.store import (
    ReadHead,
    SettingsStore,
    SettingsUnreadable,
    head_of_entry,
)
from lagoonlever.exceptions import PlatformError, PlatformUnavailable
from lagoonlever.published import Published
from lagoonlever.store.port import KeyValue, Platform, Watch, WatchCompacted
from lagoonlever.tree.head import HEAD_KEY, Head

log = logbook.Logger(__name__)

WATCH_TURN_S = 60.0
"""How long a VM watches before it looks again whether it is still a watcher."""
WATCH_LATE_S = 0.5
"""A change that a read has found and the watch has not told for so long was missed."""
LOOK_S = 5.0
"""How often a VM that does not watch looks whether it has become a watcher."""
RETRY_S = 0.5
STALE_POLL_S = 30.0
"""How often a VM that does not watch reads all the same while nobody confirms its version."""
PLATFORM = "the platform"
WATCH = "the watch"


@attrs.define(kw_only=True, eq=False)
class SettingsWatch:
    """Reads and watches the head's key; ``told`` sends a signal a version that is new."""

    _platform: Platform
    _store: SettingsStore
    _state: SettingsState
    _members: Published[MemberView]
    _options: SettingsVersionOptions
    _random: random.Random
    _told: trio.MemorySendChannel[int]
    _watched_version: int = attrs.field(default=0, init=False)
    _turn: trio.CancelScope | None = attrs.field(default=None, init=False)

    async def run(self) -> None:
        """Read and watch until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._poll)

    @property
    def _is_watcher(self) -> bool:
        per_data_center = self._options.watchers_per_data_center
        return is_watcher(self._members.value, per_data_center=per_data_center)

    @property
    def _is_due(self) -> bool:
        if self._is_watcher or self._state.in_round:
            return True
        age_s = self._state.age_s
        return age_s is None or age_s > STALE_POLL_S

    @property
    def _poll_period_s(self) -> float:
        if self._state.in_round:
            return RETRY_S
        return self._options.guard_poll_s if self._is_watcher else STALE_POLL_S

    async def _watch(self) -> None:
        while True:
            if not self._is_watcher:
                await trio.sleep(self._jittered(LOOK_S))
                continue
            read = await self._read()
            if read is None:
                await self._state.sleep(self._jittered(RETRY_S))
                continue
            self._watched_version = read.head.version
            watch = self._platform.watch(HEAD_KEY, after_revision=read.revision)
            try:
                with trio.move_on_after(self._jittered(WATCH_TURN_S)) as self._turn:
                    await self._follow(watch)
            finally:
                self._turn = None
                with trio.CancelScope(shield=True):
                    await watch.aclose()

    async def _follow(self, watch: Watch) -> None:
        while True:
            try:
                batch = await watch.next()
            except WatchCompacted:
                events.WATCH_COMPACTED.log(log)
                return
            except PlatformUnavailable:
                await trio.sleep(self._jittered(RETRY_S))
                continue
            for change in batch.changes:
                if change.key == HEAD_KEY and change.entry is not None:
                    self._take_entry(change.entry)

    async def _poll(self) -> None:
        """Read the head slowly beside the watch.

        Guards against a watch that silently stops, as behind a partition that
        swallows it: it looks the same as no change, while every read asks anew.
        """
        while True:
            read = await self._read() if self._is_due else None
            if read is not None and read.head.version > self._watched_version:
                await trio.sleep(WATCH_LATE_S)
                self._check_watch(read.head.version)
            await self._state.sleep(self._jittered(self._poll_period_s))

    def _check_watch(self, version: int) -> None:
        if self._turn is None or version <= self._watched_version:
            return
        events.WATCH_MISSED.log(log, version=version)
        self._turn.cancel()

    async def _read(self) -> ReadHead | None:
        asked_at = self._state.now
        try:
            read = await self._store.read()
        except PlatformError as error:
            if isinstance(error, SettingsUnreadable):
                self._state.tell_unreadable(-1, PLATFORM, str(error))
            self._state.decision.on_platform_failure(asked_at=asked_at)
            return None
        self._take(read.head, source=PLATFORM)
        self._look_for_loss(read.head.version, asked_at)
        self._state.decision.on_platform_answer(version=read.head.version, asked_at=asked_at)
        return read

    def _look_for_loss(self, found: int, asked_at: float) -> None:
        # A read may be overtaken by the watch; only one that finds less than was
        # confirmed before it began shows that the platform lost its data.
        version, age_s = self._state.version, self._state.age_s
        if version is None or found >= version or age_s is None:
            return
        if self._state.now - age_s < asked_at:
            events.VANISHED.log(log, found=found, version=version)

    def _take_entry(self, entry: KeyValue) -> None:
        try:
            head = head_of_entry(entry)
        except SettingsUnreadable as error:
            self._state.tell_unreadable(entry.revision.number, WATCH, str(error))
            return
        self._watched_version = max(self._watched_version, head.version)
        self._take(head, source=WATCH)

    def _take(self, head: Head, *, source: str) -> None:
        if self._state.adopt(head.version, head.stored.tree, source=source):
            self._told.send_nowait(head.version)

    def _jittered(self, period_s: float) -> float:
        return period_s * self._random.uniform(0.8, 1.2)
