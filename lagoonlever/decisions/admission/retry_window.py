"""Limit of the retries that this VM may send to a service, relative to its requests.

When a service fails many requests at once, every VM retries each of them, and the retries overload
the targets that are left. All VMs together may retry a fixed ratio of the requests of a sliding
window, and a constant number (the slack) beyond it.

For calls, a VM does not know what the others send, so it is held to that ratio of its own requests
and to its share of the slack. Runs at engines are announced to all VMs (in a very large
fleet, to the hubs, which place the runs), so for these a VM counts the retries of the whole fleet.

Announcements take some time, and a retry is announced only once it is sent. If all engines fall
silent together, every stream is retried in the same moment by VMs that have heard nothing of each
other yet. So a retry counts from its permission on, and within the time that announcements take,
each VM permits only its share of what is left for all of them.
"""

from __future__ import annotations

import random
from collections import deque

import attrs

SAFETY = 0.8
"""Factor on the allowed retries.

It leaves a margin, as the window of one VM does not cover exactly the same time as the window over
which the retries of the whole fleet are counted.
"""
DELIVERY_S = 1.5
"""Time by which a retry may reach its target late, as the target falls silent for a second or so.

Retries that were sent over a longer time than the window may then arrive within it.
"""
HEARD_WITHIN_S = 0.25
"""Time within which a VM hears of the retries of others, also if processes are busy."""
PERMIT_S = 1.0
"""How long a permission counts that is not followed by its retry, as the engine was not reached."""


@attrs.define(kw_only=True)
class RetryWindow:
    """Counts of requests and retries of one service over a sliding window, in seconds."""

    _ratio: float
    _window_s: float
    _slack: float
    _rng: random.Random = attrs.field(factory=random.Random)
    _requests: deque[float] = attrs.field(factory=deque)
    _retries: deque[float] = attrs.field(factory=deque)
    _permits: dict[str, float] = attrs.field(factory=dict)
    """When each retry was permitted that was not counted yet, by its request."""
    _share_until: float = float("-inf")
    """Until when the share of this VM holds."""
    _share: int = 0
    """The retries that this VM may still permit until then."""

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def record_retry(self, now: float, *, request: str | None = None) -> None:
        """Count a retry of this VM or of another one; it uses up its permission, if it had one."""
        if request is not None:
            self._permits.pop(request, None)
        self._retries.append(now)
        self._expire(now)

    def cancel_retry(self, at: float) -> None:
        """Remove a retry that was counted at this time and did not reach any target."""
        if at in self._retries:
            self._retries.remove(at)

    def allows(
        self, now: float, *, vms: int, share: float = 1.0, deciders: int = 1, request: str = ""
    ) -> bool:
        """Check whether one more retry is allowed.

        The slack is divided among ``vms``. A retry that is useful but not necessary passes a
        ``share`` below 1 of the allowed number, which leaves the rest to necessary ones.
        ``deciders`` is the number of VMs that permit retries by the same count. A permission of
        ``request`` that was not used is taken again.
        """
        self._expire(now)
        if request in self._permits:
            return True
        left = share * self._allowed(vms) - len(self._retries) - len(self._permits)
        if left < 1:
            return False
        return deciders <= 1 or self._has_share(now, left / deciders)

    def permit(self, request: str, now: float) -> None:
        """Count a retry that was allowed and is about to be sent."""
        if request not in self._permits:
            self._share -= 1
        self._permits[request] = now

    def try_record_retry(self, now: float, *, vms: int) -> bool:
        """Count one retry if the window allows it, and return whether it does."""
        if not self.allows(now, vms=vms):
            return False
        self.record_retry(now)
        return True

    def _allowed(self, vms: int) -> float:
        return SAFETY * (self._ratio * len(self._requests) + self._slack / max(1, vms))

    def _has_share(self, now: float, share: float) -> bool:
        """Check whether this VM has a part left of what all VMs may permit at this moment.

        A share below 1 is one retry with this probability, drawn once for the time in which the
        VMs do not hear of each other.
        """
        if now >= self._share_until:
            self._share_until = now + HEARD_WITHIN_S
            self._share = int(share) + (self._rng.random() < share % 1.0)
        return self._share > 0

    def _expire(self, now: float) -> None:
        for times, kept_s in (
            (self._requests, self._window_s),
            (self._retries, self._window_s + DELIVERY_S),
        ):
            while times and now - times[0] > kept_s:
                times.popleft()
        for request, at in list(self._permits.items()):
            if now - at <= PERMIT_S:
                break
            del self._permits[request]
