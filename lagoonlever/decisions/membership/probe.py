"""The state of outstanding probes and relays, and the local health of this VM.

A probe is a ping of one member whose answer this VM awaits; a relay is a ping that this VM
sends on behalf of another member whose own ping was not answered.
"""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

MAX_UNHEALTH = 4
"""The upper bound of the unhealth score: timeouts grow to at most 5 times their usual length."""
PAUSE_UNHEALTH = 2
"""What a pause of this process adds to the unhealth score."""


@attrs.define(kw_only=True)
class Probe:
    """A probe of one member; times in seconds of the monotonic clock."""

    target: Incarnation
    ask_helpers_at: float
    """When helpers are asked to ping the target, if it has not answered by then."""
    ends_at: float
    """When the probe fails if neither the target nor a helper's ping of it was answered."""
    helpers_asked: bool = False
    helpers: int = 0
    """The number of helpers that were asked."""
    nacks: int = 0
    """The number of helpers that answered that the target is silent."""

    @property
    def own_fault_likely(self) -> bool:
        """Whether no helper answered either, which suggests that this VM's own link is at fault."""
        return self.helpers > 0 and self.nacks == 0


@attrs.frozen(kw_only=True)
class Relay:
    """A ping on behalf of another member; ``sequence`` is that of the requester's own ping."""

    requester: Incarnation
    requester_address: Address
    sequence: int
    ends_at: float


@attrs.define(kw_only=True)
class LocalHealth:
    """A score of how far this VM may rely on its own observations; a score of 0 is healthy.

    Guards against a VM that is paused, short of CPU or cut off and takes the silence that it
    causes itself for the death of all other members: all its timeouts grow by ``factor``.
    """

    _unhealth: int = 0

    @property
    def factor(self) -> int:
        """The factor by which timeouts are multiplied: 1 when healthy."""
        return 1 + self._unhealth

    def record_success(self) -> None:
        """Lower the unhealth score by 1, because a probe was answered."""
        self._unhealth = max(0, self._unhealth - 1)

    def record_own_fault(self) -> None:
        """Raise the unhealth score by 1: this VM was suspected, or no helper answered it."""
        self._unhealth = min(MAX_UNHEALTH, self._unhealth + 1)

    def record_pause(self) -> None:
        """Raise the unhealth score by ``PAUSE_UNHEALTH``, because this process was paused."""
        self._unhealth = min(MAX_UNHEALTH, self._unhealth + PAUSE_UNHEALTH)


@attrs.define(kw_only=True)
class ProbeRegistry:
    """The outstanding probes and relays, by the sequence number of their ping."""

    probes: dict[int, Probe] = attrs.field(factory=dict)
    relays: dict[int, Relay] = attrs.field(factory=dict)
    _sequence: int = 0

    def next_sequence(self) -> int:
        """Return an unused sequence number; 0 is left for pings whose answer nobody awaits."""
        self._sequence += 1
        return self._sequence

    def take_ended_probes(self, now: float) -> list[Probe]:
        """Remove and return the probes that were not answered in time."""
        ended = [sequence for sequence, probe in self.probes.items() if now >= probe.ends_at]
        return [self.probes.pop(sequence) for sequence in ended]

    def take_ended_relays(self, now: float) -> list[Relay]:
        """Remove and return the relays whose target did not answer in time."""
        ended = [sequence for sequence, relay in self.relays.items() if now >= relay.ends_at]
        return [self.relays.pop(sequence) for sequence in ended]

    def clear(self) -> None:
        """Remove all probes and relays: after a pause a missing answer proves nothing."""
        self.probes.clear()
        self.relays.clear()
