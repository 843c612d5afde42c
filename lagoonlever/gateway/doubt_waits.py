"""Has one of the requests that wait in a doubt look whether it is over, for all of them.

A look costs more the more VMs and engines there are, and hundreds may wait at a VM.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import attrs
import trio

from lagoonlever.decisions.engines.part_blocks import OpenTrial

LOOK_PERIOD_S = 0.05
"""Between two looks of the request that looks for those that wait for the same."""


@attrs.frozen(kw_only=True)
class _Group:
    """What requests wait for that may try the same part at the same time."""

    key: str
    own_weight: float


_Queues = dict[_Group, trio.lowlevel.ParkingLot]


@attrs.define(kw_only=True, eq=False)
class DoubtWait:
    """The wait of one request."""

    _queues: _Queues
    _looks_for: _Group | None = None

    async def until_look(self, doubt: OpenTrial) -> None:
        """Wait until this request has to look, for itself or after the one that looked."""
        group = _Group(key=doubt.key, own_weight=doubt.own_weight)
        if self._looks_for != group:
            self.hand_over()
            queue = self._queues.get(group)
            if queue is not None:
                await queue.park()
                self._looks_for = group
                return
            self._queues[group] = trio.lowlevel.ParkingLot()
            self._looks_for = group
        await trio.sleep(LOOK_PERIOD_S)

    def hand_over(self) -> None:
        """Have the next request look, if this one did: it finds by itself whether it waits on."""
        group, self._looks_for = self._looks_for, None
        if group is not None and not self._queues[group].unpark():
            del self._queues[group]


@attrs.define(kw_only=True, eq=False)
class DoubtWaits:
    """The requests that wait at this VM."""

    _queues: _Queues = attrs.field(factory=dict)
    """Those that don't look, by what they wait for; there is one for each that looks."""

    def has_any(self, doubt: OpenTrial) -> bool:
        """Check whether a request waits in this doubt."""
        return any(group.key == doubt.key for group in self._queues)

    @contextlib.contextmanager
    def waiting(self) -> Iterator[DoubtWait]:
        """Hold the wait of one request, which hands its looks over at the end."""
        wait = DoubtWait(queues=self._queues)
        try:
            yield wait
        finally:
            wait.hand_over()
