"""The version of the settings that this VM has in force, shared by the tasks of the part."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.settings.settings_version import (
    SettingsStanding,
    SettingsVersion,
    SettingsVersionOptions,
)
from lagoonlever.decisions.settings.settings_watchers import InForceTable
from lagoonlever.entry.settings import events
from lagoonlever.exceptions import FaultsError
from lagoonlever.history.events_settings import SettingsInForce
from lagoonlever.history.recorder import Recorder
from lagoonlever.identity import Incarnation
from lagoonlever.published import Published
from lagoonlever.timers import TimerService
from lagoonlever.tree.document import digest_of, parse_canonical
from lagoonlever.tree.head import pack_tree
from lagoonlever.tree.nodes import TreeView

log = logbook.Logger(__name__)


@attrs.define(kw_only=True, eq=False)
class SettingsState:
    """The version in force, its tree as bytes for peers, and what peers told of theirs."""

    _own: Incarnation
    _timers: TimerService
    _view: Published[TreeView]
    _options: SettingsVersionOptions
    _known_peers: Callable[[], int]
    _recorder: Recorder | None = None
    packed_tree: bytes = attrs.field(default=b"", init=False)
    table: InForceTable = attrs.field(factory=InForceTable, init=False)
    decision: SettingsVersion = attrs.field(init=False)
    _round: trio.Event = attrs.field(factory=trio.Event, init=False)
    _unreadable: int | None = attrs.field(default=None, init=False)
    _told_standing: SettingsStanding = attrs.field(default=SettingsStanding.STARTING, init=False)

    def __attrs_post_init__(self) -> None:
        self.decision = SettingsVersion(options=self._options, round_began=self._timers.now)

    @property
    def version(self) -> int | None:
        """The version in force, or None before the first."""
        return self.decision.version

    @property
    def now(self) -> float:
        """The monotonic time in seconds."""
        return self._timers.now

    @property
    def age_s(self) -> float | None:
        """How long ago the platform is known to have had this version as its newest."""
        return self.decision.age_s(self._timers.now)

    @property
    def in_round(self) -> bool:
        """Whether this VM is waiting to be told that its version is the one in force."""
        return self.standing() is not SettingsStanding.SERVING

    def standing(self) -> SettingsStanding:
        """Tell whether new work may be taken now.

        Guards against a VM that was paused: the task that takes a request may
        run before the timer has told of the pause.
        """
        if self._timers.pause_since_last_tick():
            self.begin_round()
        return self.decision.standing(self._timers.now, known_peers=self._known_peers())

    def adopt(self, version: int, tree: bytes, *, source: str) -> bool:
        """Put a version into force if it is newer and can be read; True if it is now."""
        if not self.decision.is_newer(version):
            return False
        try:
            view = parse_canonical(tree, version=version)
        except FaultsError as error:
            self.tell_unreadable(version, source, str(error))
            return False
        self.decision.on_version(version)
        self.packed_tree = pack_tree(tree)
        self.table.note(self._own, version)
        self._view.publish(view)
        self._record(view)
        events.IN_FORCE.log(log, version=version, source=source)
        return True

    def begin_round(self) -> None:
        """Take note of a pause: the version must be confirmed before new work is taken."""
        self.decision.on_pause(self._timers.now)
        began, self._round = self._round, trio.Event()
        began.set()

    def tell_standing(self) -> None:
        """Log the standing if it has changed."""
        standing = self.standing()
        if standing is not self._told_standing:
            self._told_standing = standing
            events.STANDING_CHANGED.log(log, standing=standing.value)

    def tell_unreadable(self, version: int, source: str, message: str) -> None:
        """Log once that a version can't be read."""
        if self._unreadable != version:
            self._unreadable = version
            events.UNREADABLE.log(log, version=version, source=source, message=message)

    async def sleep(self, period_s: float) -> None:
        """Sleep, but not past the start of a new round."""
        with trio.move_on_after(period_s):
            await self._round.wait()

    def _record(self, view: TreeView) -> None:
        if self._recorder is None:
            return
        event = SettingsInForce(
            at=self._recorder.now,
            process=str(self._own),
            vm=self._own.name,
            version=view.version,
            digest=digest_of(view),
        )
        self._recorder.record(event)
