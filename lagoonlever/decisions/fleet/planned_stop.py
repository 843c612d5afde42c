"""When a VM that was told to stop may end: when nothing is held, and nobody still comes.

Callers keep an address for its lifetime, so a VM that is leaving goes on
accepting for that long. A second signal changes nothing: it must not cut what
the first one lets finish.
"""

from __future__ import annotations

import enum

import attrs


class StopPhase(enum.Enum):
    """How far a planned stop is."""

    SERVING = "serving"
    LEAVING = "leaving"
    """Callers are sent elsewhere; whoever still comes is served."""
    ENDED = "ended"
    """Nothing is held and nobody comes: the process may end."""


@attrs.frozen(kw_only=True)
class OpenWork:
    """Counts of what a VM still serves, by kind."""

    generations: int = 0
    keyed_requests: int = 0
    exchanges: int = 0
    connections: int = 0

    @property
    def pending(self) -> bool:
        """Whether ending now would cut something."""
        return bool(self.generations or self.keyed_requests or self.exchanges or self.connections)


@attrs.define(kw_only=True)
class PlannedStop:
    """The state of a VM's stop; times are seconds of the monotonic clock."""

    _address_lifetime_s: float
    _quiet_s: float
    _began_at: float | None = None
    _busy_at: float = 0.0
    _ended: bool = False

    @property
    def phase(self) -> StopPhase:
        """How far the stop is."""
        if self._began_at is None:
            return StopPhase.SERVING
        return StopPhase.ENDED if self._ended else StopPhase.LEAVING

    def begin(self, now: float) -> bool:
        """Begin to leave; gives False where that had begun already."""
        if self._began_at is not None:
            return False
        self._began_at = now
        self._busy_at = now
        return True

    def observe(self, open_work: OpenWork, now: float) -> StopPhase:
        """Take the work that is open now and give the phase.

        The quiet time guards against a request that sits in the listener's
        backlog: it was accepted by the kernel, shows in no count yet, and would
        be cut by closing the listener.
        """
        if self._began_at is None or self._ended:
            return self.phase
        if open_work.pending:
            self._busy_at = now
        lifetime_over = now - self._began_at >= self._address_lifetime_s
        if lifetime_over and now - self._busy_at >= self._quiet_s:
            self._ended = True
        return self.phase
