"""The probes that wait for an answer, the relays for others, and the own local health."""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

MAX_UNHEALTH = 4
PAUSE_UNHEALTH = 2


@attrs.define(kw_only=True)
class Probe:
    """A probe of one member; times in seconds of the monotonic clock."""

    target: Incarnation
    ask_helpers_at: float
    ends_at: float
    helpers_asked: bool = False
    helpers: int = 0
    nacks: int = 0

    @property
    def own_fault_likely(self) -> bool:
        """Whether not even the helpers answered, which points at this VM's own link."""
        return self.helpers > 0 and self.nacks == 0


@attrs.frozen(kw_only=True)
class Relay:
    """A ping on behalf of another member."""

    asker: Incarnation
    asker_address: Address
    sequence: int
    ends_at: float


@attrs.define(kw_only=True)
class LocalHealth:
    """How far this VM trusts its own eyes: 0 is full trust.

    Guards against a paused, starved or cut-off VM that takes its own silence for
    the death of everyone else: all its timeouts grow by ``factor``.
    """

    _unhealth: int = 0

    @property
    def factor(self) -> int:
        """By how much timeouts are multiplied."""
        return 1 + self._unhealth

    def note_success(self) -> None:
        """Trust more: a probe was answered."""
        self._unhealth = max(0, self._unhealth - 1)

    def note_own_fault(self) -> None:
        """Trust less: this VM was suspected, or not even a helper answered it."""
        self._unhealth = min(MAX_UNHEALTH, self._unhealth + 1)

    def note_pause(self) -> None:
        """Trust much less: this process was paused."""
        self._unhealth = min(MAX_UNHEALTH, self._unhealth + PAUSE_UNHEALTH)


@attrs.define(kw_only=True)
class ProbeBook:
    """The outstanding probes and relays, by the sequence of their ping."""

    probes: dict[int, Probe] = attrs.field(factory=dict)
    relays: dict[int, Relay] = attrs.field(factory=dict)
    _sequence: int = 0

    def next_sequence(self) -> int:
        """Give a sequence that no outstanding ping has; 0 is for pings nobody waits for."""
        self._sequence += 1
        return self._sequence

    def take_ended_probes(self, now: float) -> list[Probe]:
        """Give the probes that nobody answered in time, and forget them."""
        ended = [sequence for sequence, probe in self.probes.items() if now >= probe.ends_at]
        return [self.probes.pop(sequence) for sequence in ended]

    def take_ended_relays(self, now: float) -> list[Relay]:
        """Give the relays whose target did not answer in time, and forget them."""
        ended = [sequence for sequence, relay in self.relays.items() if now >= relay.ends_at]
        return [self.relays.pop(sequence) for sequence in ended]

    def clear(self) -> None:
        """Forget everything outstanding: after a pause the silence proves nothing."""
        self.probes.clear()
        self.relays.clear()
