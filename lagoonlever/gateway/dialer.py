"""Opens connections to targets, and records which of them this VM reaches."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook

from lagoonlever.decisions.targets.target_paths import TargetPaths
from lagoonlever.exceptions import ConnectFailed
from lagoonlever.gateway import events_paths as events
from lagoonlever.http.client import ClientConnection, Opener
from lagoonlever.http.messages import Address
from lagoonlever.timers import TimerService

log = logbook.Logger(__name__)


@attrs.define(kw_only=True, eq=False)
class TargetDialer:
    """The one place where connections to targets are opened."""

    _timers: TimerService
    _name_of: Callable[[Address], str]
    """Return the id of the target that is listed at an address."""
    _open_direct: Opener = ClientConnection.open
    _paths: TargetPaths = attrs.field(factory=TargetPaths)

    async def open(self, address: Address, *, timeout_s: float) -> ClientConnection:
        """Connect to a target; raise ``ConnectFailed``, which proves that it received nothing."""
        try:
            connection = await self._open_direct(address, timeout_s=timeout_s)
        except ConnectFailed as error:
            self._record_unreached(address, error)
            raise
        self._record_reached(address)
        return connection

    def retain(self, addresses: frozenset[Address]) -> None:
        """Forget the paths to targets that are gone."""
        self._paths.retain(addresses)

    def _record_reached(self, address: Address) -> None:
        lost_s = self._paths.record_reached(address, self._timers.now)
        if lost_s is not None:
            events.TARGET_REACHED.log(log, target=self._name_of(address), seconds=lost_s)

    def _record_unreached(self, address: Address, error: ConnectFailed) -> None:
        now = self._timers.now
        if not self._paths.record_unreached(address, now):
            return
        ago_s = self._paths.since_reached_s(address, now)
        events.TARGET_UNREACHED.log(
            log,
            target=self._name_of(address),
            address=str(address),
            error=error.message,
            ago_s="unknown" if ago_s is None else f"{ago_s:.2f}",
        )
