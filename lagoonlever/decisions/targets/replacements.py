"""Check of whether an unlisted process at a lost target's address may take over its work.

In an outage of the store, engines that crash and restart can't register. If the engines of one
data centre after the other crash within such an outage of eight seconds, and are back within two,
the list names only ids that are gone. After the last crash nearly every engine is idle and
unknown, and streams are rejected: without this check only a sixth of the requests of these seconds,
by their value, was served.

A process that answers at the address reports its id, but not its service, and the address of a
target that ended is assigned to another service after a while. Until then, the process can
only belong to the same service. The proof consists of a sign of life that the former target sent
before it ended, and of an answer of the new process, if the time between them is too short for the
address to have been reassigned.
"""

from __future__ import annotations

import attrs

PROBE_DELAYS_S = (1.35, 1.5)
"""How long after the target's last sign of life its address is probed, for each probe in turn.

Engines that crash are back after 1.2 s or more.
"""
DELAY_MARGIN_S = 0.4
"""How old a sign of life may be when it arrives, as a lost packet is sent again."""
CHECK_INTERVAL_S = 0.05
"""How often an attempt checks for a sign of life: every two events of an idle engine."""
MIN_WAIT_S = 0.005
"""How long a reader must have waited for data to count it as a sign of life.

Data that is read at once may have arrived long before, for example during a pause of this VM.
"""
UNLISTED_LIFETIME_S = 4.0
"""How long a target may be used without an entry while the store can be reached."""


@attrs.define(kw_only=True)
class LivenessSigns:
    """The last time at which a target was certainly alive.

    Times are seconds of a clock that goes on while the VM is suspended. Guards against a VM that
    was paused and reads data from before its pause, which it would take for new. So a sign of
    life is dated by the last moment at which there was nothing to read, and counts only if the
    reader had to wait for it from then on.
    """

    alive_at: float | None = None
    _empty_at: float | None = None
    """When the reader began to wait with nothing to read; None if there was something."""

    def is_check_due(self, now: float) -> bool:
        """Check whether it is time to check again whether there is anything to read."""
        return self.alive_at is None or now - self.alive_at >= CHECK_INTERVAL_S

    def record_wait(self, now: float, *, nothing_there: bool) -> None:
        """Record that a reader begins to wait, and whether there is nothing to read then."""
        self._empty_at = now if nothing_there else None

    def record_arrival(self, now: float) -> None:
        """Record that data arrived at the waiting reader."""
        if self._empty_at is not None and now - self._empty_at >= MIN_WAIT_S:
            self.alive_at = self._empty_at


def is_same_service(*, alive_at: float, answered_at: float, reuse_s: float) -> bool:
    """Check that an address can't have been assigned to another service in the meantime.

    ``alive_at`` is the time of the former target's last sign of life, ``answered_at`` that of the
    new process's answer. ``reuse_s`` is the minimum number of seconds for which the address of a
    target that ended stays unassigned.
    """
    return answered_at - alive_at < reuse_s - DELAY_MARGIN_S
