"""The fellow VMs: who they are, and which of them callers may be sent to.

Two sources, neither of them a promise. The store's register tells which VMs exist and
where their bus listens; it lags a death by the life of a lease. What VMs say of
themselves several times a second tells who is alive and takes callers now. A VM that
was heard and then falls silent is dead or cut off: a caller sent there would lose its
one retry, so it is left out within a second. A VM that is registered and was never
heard is told, as the bus may be what is broken.
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
    heard_at: float | None = None
    registered: bool = False
    first_known: float = 0.0


@attrs.define(kw_only=True)
class FellowTable:
    """The newest life of each VM but this one; times are seconds of the monotonic clock."""

    _own: Incarnation
    _fellows: dict[str, _Fellow] = attrs.field(factory=dict)

    @property
    def states(self) -> tuple[FellowState, ...]:
        """What is known of every fellow, heard or registered."""
        return tuple(fellow.state for fellow in self._fellows.values())

    def known(self, life: Incarnation) -> bool:
        """Tell whether this very life was heard."""
        fellow = self._fellows.get(life.name)
        return fellow is not None and fellow.state.life == life and fellow.heard_at is not None

    def heard(self, state: FellowState, now: float) -> bool:
        """Take what a VM says of itself; gives True for a life that was not heard before."""
        if state.life.name == self._own.name:
            return False
        fellow = self._fellows.get(state.life.name)
        if fellow is not None and state.life < fellow.state.life:
            return False
        is_new = fellow is None or fellow.state.life != state.life or fellow.heard_at is None
        registered = fellow.registered if fellow and fellow.state.life == state.life else False
        first_known = fellow.first_known if fellow and not is_new else now
        self._fellows[state.life.name] = _Fellow(
            state=state, heard_at=now, registered=registered, first_known=first_known
        )
        return is_new

    def registered(self, state: FellowState, now: float) -> None:
        """Take an entry of the register; what the VM itself said goes before it."""
        if state.life.name == self._own.name:
            return
        fellow = self._fellows.get(state.life.name)
        if fellow is None or fellow.state.life < state.life:
            self._fellows[state.life.name] = _Fellow(state=state, registered=True, first_known=now)
        elif fellow.state.life == state.life:
            fellow.registered = True

    def unregistered(self, life: Incarnation) -> None:
        """Note that a life's entry is gone; alone that ends nothing, as leases lapse in outages."""
        fellow = self._fellows.get(life.name)
        if fellow is None or fellow.state.life != life:
            return
        fellow.registered = False
        if fellow.heard_at is None:
            del self._fellows[life.name]

    def is_silent(self, name: str, now: float) -> bool:
        """Tell whether a VM that was heard has fallen silent."""
        fellow = self._fellows.get(name)
        if fellow is None or fellow.heard_at is None:
            return False
        return now - fellow.heard_at > SILENT_S

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
            last = fellow.heard_at if fellow.heard_at is not None else fellow.first_known
            if not fellow.registered and now - last > FORGET_S:
                del self._fellows[name]
