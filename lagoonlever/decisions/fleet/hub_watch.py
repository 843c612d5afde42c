"""Whether the hubs that a VM speaks to answer it.

The load that is answered: a data centre's hubs die or are cut off, and the VMs that
spoke to them hear of nobody any more. Each then chooses other hubs, and a hub gathers
whoever speaks to it, so no agreement is needed on who is one.
"""

from __future__ import annotations

import attrs

ANSWER_S = 0.75
"""A hub answers a word within 0.3 s; one that takes longer than two of that, and a late turn, is
none that can be counted on."""
DOUBTFUL_S = 0.4
"""Beyond the 0.3 s in which a hub answers: others are spoken to as well, as it may be gone."""
FAILED_S = 3.0
"""How long a hub that did not answer is passed over."""
BLIND_S = 0.6
"""Without a word of a data centre for this long, silence tells nothing of its VMs."""
ISOLATED_S = 1.2


@attrs.define(kw_only=True)
class HubWatch:
    """The words of hubs to one VM; times are seconds of the monotonic clock."""

    _unanswered: dict[str, float] = attrs.field(factory=dict)
    """The hubs that owe an answer, and since when."""
    _failed_until: dict[str, float] = attrs.field(factory=dict)
    _told_at: dict[str, float] = attrs.field(factory=dict)
    """When a hub last told of each data centre."""
    _since: float | None = None
    """When this VM first spoke to a hub."""

    def record_sent(self, hub: str, now: float) -> None:
        """Note a word of this VM to a hub, which is to answer it."""
        self._unanswered.setdefault(hub, now)
        if self._since is None:
            self._since = now

    def late_hubs(self, now: float) -> frozenset[str]:
        """Give the hubs whose answer is late, though they may still be there."""
        return frozenset(hub for hub, at in self._unanswered.items() if now - at > DOUBTFUL_S)

    def take_overdue(self, now: float) -> tuple[str, ...]:
        """Give the hubs that did not answer in time; they are passed over from now on."""
        late = tuple(hub for hub, at in self._unanswered.items() if now - at > ANSWER_S)
        for hub in late:
            del self._unanswered[hub]
            self._failed_until[hub] = now + FAILED_S
        return late

    def record_answer(self, hub: str, now: float, *, data_center: str) -> None:
        """Note a word of a hub on the VMs of a data centre."""
        self._unanswered.pop(hub, None)
        self._told_at[data_center] = now
        self._failed_until.pop(hub, None)

    def reset(self) -> None:
        """Begin anew, as when a fleet has become so small that it needs no hubs."""
        self._unanswered.clear()
        self._failed_until.clear()
        self._told_at.clear()
        self._since = None

    def failed_hubs(self, now: float) -> frozenset[str]:
        """Give the hubs that are passed over now."""
        self._failed_until = {h: at for h, at in self._failed_until.items() if at > now}
        return frozenset(self._failed_until)

    def blind_since(self, now: float) -> dict[str, float]:
        """Give the data centres that nothing was told of lately, and since when."""
        return {place: at for place, at in self._told_at.items() if now - at > BLIND_S}

    def is_isolated(self, now: float) -> bool:
        """Tell whether no hub has been heard for so long that this VM is on its own."""
        last = max(self._told_at.values(), default=self._since)
        return last is not None and now - last > ISOLATED_S
