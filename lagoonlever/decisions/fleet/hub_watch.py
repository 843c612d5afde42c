"""Detects whether the hubs that a VM announces itself to answer it.

When the hubs of a data centre die or are cut off, the VMs that depended on them receive no peer
states any more. Each VM then chooses other hubs by itself. No agreement on the hubs is needed,
since a VM acts as a hub for whichever VMs announce themselves to it.
"""

from __future__ import annotations

import attrs

ANSWER_TIMEOUT_S = 0.75
"""How long a hub may take to answer before it counts as failed. It answers an announcement within
0.3 s; this allows two such intervals and a slow turn of the event loop."""
LATE_ANSWER_S = 0.4
"""How long a hub may take to answer before other hubs are used as well, since it may have failed.
A hub answers within 0.3 s."""
FAILED_HUB_BACKOFF_S = 3.0
"""How long a hub that did not answer is not chosen again."""
BLIND_S = 0.6
"""After this long without a report on a data centre, its VMs may be alive without announcements."""
ISOLATED_S = 1.2
"""After this long without an answer of any hub, this VM counts as isolated."""


@attrs.define(kw_only=True)
class HubWatch:
    """The answers of hubs to one VM; times in seconds of the monotonic clock."""

    _unanswered: dict[str, float] = attrs.field(factory=dict)
    """The hubs that have not answered yet, and when they were first sent the announcement."""
    _failed_until: dict[str, float] = attrs.field(factory=dict)
    _reported_at: dict[str, float] = attrs.field(factory=dict)
    """When a hub last reported on each data centre."""
    _first_sent_at: float | None = None
    """When this VM first sent an announcement to a hub."""

    def record_sent(self, hub: str, now: float) -> None:
        """Record an announcement of this VM to a hub, which the hub is to answer."""
        self._unanswered.setdefault(hub, now)
        if self._first_sent_at is None:
            self._first_sent_at = now

    def late_hubs(self, now: float) -> frozenset[str]:
        """Return the hubs whose answer is late, though they may not have failed."""
        return frozenset(hub for hub, at in self._unanswered.items() if now - at > LATE_ANSWER_S)

    def take_overdue(self, now: float) -> tuple[str, ...]:
        """Return the hubs that did not answer in time, and record them as failed."""
        overdue = tuple(hub for hub, at in self._unanswered.items() if now - at > ANSWER_TIMEOUT_S)
        for hub in overdue:
            del self._unanswered[hub]
            self._failed_until[hub] = now + FAILED_HUB_BACKOFF_S
        return overdue

    def record_answer(self, hub: str, now: float, *, data_center: str) -> None:
        """Record a hub's report on the VMs of a data centre; the hub no longer counts as failed."""
        self._unanswered.pop(hub, None)
        self._reported_at[data_center] = now
        self._failed_until.pop(hub, None)

    def reset(self) -> None:
        """Discard all records, as when a fleet has become so small that it needs no hubs."""
        self._unanswered.clear()
        self._failed_until.clear()
        self._reported_at.clear()
        self._first_sent_at = None

    def failed_hubs(self, now: float) -> frozenset[str]:
        """Return the hubs that are not to be chosen now."""
        self._failed_until = {h: at for h, at in self._failed_until.items() if at > now}
        return frozenset(self._failed_until)

    def blind_since(self, now: float) -> dict[str, float]:
        """Return the data centres without a report for ``BLIND_S``, with the last report's time."""
        return {dc: at for dc, at in self._reported_at.items() if now - at > BLIND_S}

    def is_isolated(self, now: float) -> bool:
        """Check whether no hub has reported for ``ISOLATED_S``."""
        last = max(self._reported_at.values(), default=self._first_sent_at)
        return last is not None and now - last > ISOLATED_S
