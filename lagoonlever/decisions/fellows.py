"""The fellow VMs: who they are, and which of them callers may be sent to.

Two sources, neither of them a promise. The store's register tells which VMs exist and
where their bus listens; it is read once, and lags a death by the life of a lease. What
VMs say of themselves several times a second tells who is alive and takes callers now.
A VM that has fallen silent, or was never heard though it is registered, is dead or cut
off: a caller sent there would lose its one retry, so it is left out within a second.
"""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

SAY_EVERY_S = 0.3
SILENT_S = 1.0
"""Three words missed: one lost, or late by a slow turn, doesn't take a VM out."""
FORGET_S = 30.0
"""Beyond any lease, so that a dead VM's entry is not taken for a new VM."""


@attrs.frozen(kw_only=True)
class FellowState:
    """What a VM says of itself."""

    life: Incarnation
    data_center: str
    callers: Address
    """Where it listens for callers."""
    bus: Address
    takes_callers: bool = True
    leaving: bool = False
    configuration: int = 0
    """The version it has in force; 0 for none."""
    list_revision: int = 0
    """The store's revision of its list of targets."""


@attrs.define(kw_only=True)
class _Fellow:
    state: FellowState
    known_at: float
    """When it was last heard, or first read of."""
    heard: bool = False


@attrs.define(kw_only=True)
class FellowTable:
    """The newest life of each VM but this one; times are seconds of the monotonic clock."""

    _own: Incarnation
    _fellows: dict[str, _Fellow] = attrs.field(factory=dict)

    @property
    def states(self) -> tuple[FellowState, ...]:
        """What is known of every fellow, heard or registered."""
        return tuple(fellow.state for fellow in self._fellows.values())

    def heard(self, state: FellowState, now: float) -> bool:
        """Take what a VM says of itself; gives True for a life that was not heard before."""
        if state.life.name == self._own.name:
            return False
        known = self._fellows.get(state.life.name)
        if known is not None and state.life < known.state.life:
            return False
        self._fellows[state.life.name] = _Fellow(state=state, known_at=now, heard=True)
        return known is None or known.state.life != state.life or not known.heard

    def registered(self, state: FellowState, now: float) -> None:
        """Take an entry of the register; what the VM itself said goes before it."""
        if state.life.name == self._own.name:
            return
        known = self._fellows.get(state.life.name)
        if known is None or known.state.life < state.life:
            self._fellows[state.life.name] = _Fellow(state=state, known_at=now)

    def is_silent(self, name: str, now: float) -> bool:
        """Tell whether a VM has said nothing for too long."""
        fellow = self._fellows.get(name)
        return fellow is not None and now - fellow.known_at > SILENT_S

    def offered(self, now: float) -> tuple[FellowState, ...]:
        """Give the VMs that callers may be sent to."""
        return tuple(
            fellow.state
            for fellow in self._fellows.values()
            if fellow.state.takes_callers
            and not fellow.state.leaving
            and not self.is_silent(fellow.state.life.name, now)
        )

    def expire(self, now: float) -> None:
        """Forget VMs that have been silent for long."""
        for name, fellow in list(self._fellows.items()):
            if now - fellow.known_at > FORGET_S:
                del self._fellows[name]
