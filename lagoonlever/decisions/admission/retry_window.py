"""How many attempts beyond the first this VM may send to a service.

The load that is answered: a service fails many requests at once, every VM sends each
of them again, and the repeats bury the targets that are left. All VMs together may
send a part of the requests of a window again, and a little more.

Of calls a VM does not know what the others send, so it keeps to that part of its own
requests, and to its share of the rest. Runs at engines are told to all VMs, so there each
VM counts those of the whole fleet.
"""

from __future__ import annotations

from collections import deque

import attrs

SAFETY = 0.8
"""Of the allowed ratio: windows of the VM and of the whole don't begin together."""


@attrs.define(kw_only=True)
class RetryWindow:
    """Counts requests and repeats of one service over a sliding window, in seconds."""

    _ratio: float
    _window_s: float
    _slack: float
    _requests: deque[float] = attrs.field(factory=deque)
    _repeats: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._forget(now)

    def record_retry(self, now: float) -> None:
        """Count a repeat, of this VM or of another one."""
        self._repeats.append(now)
        self._forget(now)

    def cancel_retry(self, at: float) -> None:
        """Count a repeat no more that was counted at a time, and reached nobody."""
        if at in self._repeats:
            self._repeats.remove(at)

    def allows(self, now: float, *, vms: int, part: float = 1.0) -> bool:
        """Tell whether there may be one more repeat.

        ``vms`` share the slack. A repeat that is only of advantage asks for a ``part`` of
        what is allowed, so that it leaves the rest to those that are needed.
        """
        self._forget(now)
        allowed = SAFETY * (self._ratio * len(self._requests) + self._slack / max(1, vms))
        return len(self._repeats) + 1 <= part * allowed

    def try_record_retry(self, now: float, *, vms: int) -> bool:
        """Count one repeat if the window allows it."""
        if not self.allows(now, vms=vms):
            return False
        self.record_retry(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window_s:
                times.popleft()
