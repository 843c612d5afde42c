"""When a VM that received a stop signal may end its process: no open work, no caller to arrive.

Callers keep an address for its lifetime, so a VM that is leaving goes on accepting requests for
that long. A second stop signal has no effect: it must not interrupt the work that the first one
allows to finish.
"""

from __future__ import annotations

import enum

import attrs


class StopPhase(enum.Enum):
    """The phase of a planned stop."""

    SERVING = "serving"
    LEAVING = "leaving"
    """Callers are sent to other VMs; a request that still arrives here is served."""
    ENDED = "ended"
    """No work is open and no caller can still arrive: the process may end."""


@attrs.frozen(kw_only=True)
class OpenWork:
    """The counts of what a VM still serves, by kind."""

    generations: int = 0
    keyed_requests: int = 0
    exchanges: int = 0
    connections: int = 0

    @property
    def pending(self) -> bool:
        """Whether ending the process now would interrupt any work."""
        return bool(self.generations or self.keyed_requests or self.exchanges or self.connections)


@attrs.define(kw_only=True)
class PlannedStop:
    """The state of a VM's planned stop; times in seconds of the monotonic clock."""

    _address_lifetime_s: float
    """How long after the stop begins callers may still arrive."""
    _quiet_s: float
    """How long no work must have been open before the stop ends."""
    _began_at: float | None = None
    _busy_at: float = 0.0
    """When work was last open."""
    _ended: bool = False

    @property
    def phase(self) -> StopPhase:
        """The current phase."""
        if self._began_at is None:
            return StopPhase.SERVING
        return StopPhase.ENDED if self._ended else StopPhase.LEAVING

    def begin(self, now: float) -> bool:
        """Begin the stop; return False if it had begun already."""
        if self._began_at is not None:
            return False
        self._began_at = now
        self._busy_at = now
        return True

    def observe(self, open_work: OpenWork, now: float) -> StopPhase:
        """Update the phase by the work that is open now, and return it.

        The quiet time guards against a request in the listener's backlog: the kernel has
        accepted it, no count includes it yet, and closing the listener would interrupt it.
        """
        if self._began_at is None or self._ended:
            return self.phase
        if open_work.pending:
            self._busy_at = now
        lifetime_over = now - self._began_at >= self._address_lifetime_s
        if lifetime_over and now - self._busy_at >= self._quiet_s:
            self._ended = True
        return self.phase
