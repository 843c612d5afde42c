"""Limit of the retries that this VM may send to a service, relative to its requests.

When a service fails many requests at once, every VM retries each of them, and the retries overload
the targets that are left. All VMs together may retry a fixed ratio of the requests of a sliding
window, and a constant number (the slack) beyond it.

For calls, a VM does not know what the others send, so it is held to that ratio of its own requests
and to its share of the slack. Runs at engines are announced to all VMs (in a very large
fleet, to the hubs, which place the runs), so for these a VM counts the retries of the whole fleet.
"""

from __future__ import annotations

from collections import deque

import attrs

SAFETY = 0.8
"""Factor on the allowed retries.

It leaves a margin, as the window of one VM does not cover exactly the same time as the window over
which the retries of the whole fleet are counted.
"""


@attrs.define(kw_only=True)
class RetryWindow:
    """Counts of requests and retries of one service over a sliding window, in seconds."""

    _ratio: float
    _window_s: float
    _slack: float
    _requests: deque[float] = attrs.field(factory=deque)
    _retries: deque[float] = attrs.field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def record_retry(self, now: float) -> None:
        """Count a retry of this VM or of another one."""
        self._retries.append(now)
        self._expire(now)

    def cancel_retry(self, at: float) -> None:
        """Remove a retry that was counted at this time and did not reach any target."""
        if at in self._retries:
            self._retries.remove(at)

    def allows(self, now: float, *, vms: int, share: float = 1.0) -> bool:
        """Check whether one more retry is allowed.

        The slack is divided among ``vms``. A retry that is useful but not necessary passes a
        ``share`` below 1 of the allowed number, which leaves the rest to necessary ones.
        """
        self._expire(now)
        allowed = SAFETY * (self._ratio * len(self._requests) + self._slack / max(1, vms))
        return len(self._retries) + 1 <= share * allowed

    def try_record_retry(self, now: float, *, vms: int) -> bool:
        """Count one retry if the window allows it, and return whether it does."""
        if not self.allows(now, vms=vms):
            return False
        self.record_retry(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window_s:
                times.popleft()
