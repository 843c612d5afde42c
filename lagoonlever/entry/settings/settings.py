"""The settings part of a VM: learns each version from the platform or from peers.

A few VMs of a data centre watch the platform, the others are told by peers.
Every VM answers its peers, so that a version spreads while the platform is down.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import attrs
import trio

from lagoonlever.decisions.membership.membership import MemberView
from lagoonlever.decisions.settings.settings_version import SettingsStanding, SettingsVersionOptions
from lagoonlever.decisions.settings.settings_watchers import InForce
from lagoonlever.entry.settings.peers import SettingsPeers
from lagoonlever.entry.settings.state import SettingsState
from lagoonlever.entry.settings.store import SettingsStore
from lagoonlever.entry.settings.watch import SettingsWatch
from lagoonlever.history.recorder import Recorder
from lagoonlever.outcomes import NotRun, Reason
from lagoonlever.peers.interface import Bus
from lagoonlever.published import Published
from lagoonlever.store.port import Platform
from lagoonlever.timers import Tick, TimerService
from lagoonlever.tree.nodes import TreeView

REFUSED_RETRY_S = 1.0
STANDING_PERIOD_S = 0.2
SURVEY_PERIOD_S = 0.2
NEW_VERSIONS = 64


def wall_clock_ms() -> int:
    """Give the wall clock in milliseconds; it only dates records for people."""
    return time.time_ns() // 1_000_000


@attrs.define(kw_only=True, eq=False)
class SettingsPart:
    """Publishes the tree in force into ``view``, and tells whether it may be relied on."""

    _platform: Platform
    _bus: Bus
    _members: Published[MemberView]
    _timers: TimerService
    _random: random.Random
    _view: Published[TreeView]
    _options: SettingsVersionOptions = attrs.field(factory=SettingsVersionOptions)
    _recorder: Recorder | None = None
    _wall_clock_ms: Callable[[], int] = wall_clock_ms
    _store: SettingsStore = attrs.field(init=False)
    _state: SettingsState = attrs.field(init=False)
    _watch: SettingsWatch = attrs.field(init=False)
    _peers: SettingsPeers = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        told, new = trio.open_memory_channel[int](NEW_VERSIONS)
        self._store = SettingsStore(platform=self._platform, wall_clock_ms=self._wall_clock_ms)
        self._state = SettingsState(
            own=self._bus.own,
            timers=self._timers,
            view=self._view,
            options=self._options,
            known_peers=self._count_known_peers,
            recorder=self._recorder,
        )
        self._watch = SettingsWatch(
            platform=self._platform,
            store=self._store,
            state=self._state,
            members=self._members,
            options=self._options,
            random=self._random,
            told=told,
        )
        self._peers = SettingsPeers(
            bus=self._bus,
            state=self._state,
            members=self._members,
            options=self._options,
            random=self._random,
            new=new,
        )

    @property
    def store(self) -> SettingsStore:
        """The store, through which the administration API changes the settings."""
        return self._store

    @property
    def view(self) -> Published[TreeView]:
        """The tree in force; the default tree before the first version."""
        return self._view

    @property
    def version(self) -> int | None:
        """The version in force, or None before the first."""
        return self._state.version

    @property
    def age_s(self) -> float | None:
        """How long ago the platform is known to have had this version as its newest."""
        return self._state.age_s

    def standing(self) -> SettingsStanding:
        """Tell whether new work may be taken; ask right before taking it."""
        return self._state.standing()

    def refusal(self) -> NotRun | None:
        """Give why no new work is taken, or None."""
        standing = self._state.standing()
        if standing is SettingsStanding.SERVING:
            return None
        isolated = standing is SettingsStanding.ISOLATED
        return NotRun(
            reason=Reason.ISOLATED if isolated else Reason.STARTING,
            message=f"the settings in force on this VM are {standing.value}",
            retry_after_s=REFUSED_RETRY_S,
        )

    def in_force(self, version: int) -> InForce:
        """Tell which VMs have a version in force, as far as this one was told."""
        return self._state.table.report(self._members.value, version=version)

    async def wait_in_force(self, version: int, *, timeout_s: float) -> InForce:
        """Ask those that have not told yet, until all have a version or time is up."""
        with trio.move_on_after(timeout_s):
            while not self.in_force(version).everywhere:
                self._peers.survey(version)
                await trio.sleep(SURVEY_PERIOD_S)
        return self.in_force(version)

    async def run(self) -> None:
        """Learn and tell until cancelled."""
        with self._timers.subscribed(self._on_tick, period_s=STANDING_PERIOD_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch.run)
                nursery.start_soon(self._peers.run)

    def _on_tick(self, tick: Tick) -> None:
        if tick.paused_s:
            self._state.begin_round()
        self._state.tell_standing()

    def _count_known_peers(self) -> int:
        # The dead count as known: a VM that is cut off sees all others as dead,
        # and would otherwise go on as if it were the only one there is.
        return len(self._members.value.members) - 1
