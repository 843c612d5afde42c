"""The planned stop of a VM: it leaves, serves whoever still comes, and ends by itself."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook
import trio

from lagoonlever.decisions.fleet.planned_stop import OpenWork, PlannedStop, StopPhase
from lagoonlever.events import event
from lagoonlever.timers import Tick, TimerService

log = logbook.Logger(__name__)

CHECK_PERIOD_S = 0.2
QUIET_S = 1.0

STOP_BEGAN = event(
    101,
    "stop-began",
    "notice",
    "This VM leaves: it holds {generations} generations and {connections} connections.",
    "A planned stop. The process ends by itself once nothing is held and callers' addresses "
    "have expired; killing it before cuts requests.",
)
STOP_REPEATED = event(
    102,
    "stop-repeated",
    "info",
    "This VM is leaving already; the signal changes nothing.",
    "A second signal during a planned stop. Nothing to do.",
)
STOP_ENDED = event(
    103,
    "stop-ended",
    "notice",
    "Nothing is held any more after {seconds:.1f} s of leaving; the process ends.",
    "The end of a planned stop.",
)


@attrs.define(kw_only=True, eq=False)
class Stopping:
    """Ends a planned stop once no work is open and callers' addresses have expired."""

    _timers: TimerService
    _address_lifetime_s: float
    _open_work: Callable[[], OpenWork]
    _on_leaving: Callable[[], None]
    _stop: PlannedStop = attrs.field(init=False)
    _ended: trio.Event = attrs.field(factory=trio.Event)
    _began_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._stop = PlannedStop(address_lifetime_s=self._address_lifetime_s, quiet_s=QUIET_S)

    @property
    def leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stop.phase is not StopPhase.SERVING

    def begin(self) -> None:
        """Begin to leave; a repeated call is only logged."""
        now = self._timers.now
        if not self._stop.begin(now):
            STOP_REPEATED.log(log)
            return
        open_work = self._open_work()
        self._began_at = now
        STOP_BEGAN.log(log, generations=open_work.generations, connections=open_work.connections)
        self._on_leaving()

    async def wait_ended(self) -> None:
        """Wait until a planned stop is over."""
        with self._timers.subscribed(self._check, period_s=CHECK_PERIOD_S):
            await self._ended.wait()

    def _check(self, tick: Tick) -> None:
        if self._stop.observe(self._open_work(), tick.now) is StopPhase.ENDED:
            if not self._ended.is_set():
                STOP_ENDED.log(log, seconds=tick.now - self._began_at)
            self._ended.set()
