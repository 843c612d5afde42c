"""Which versions of a service's targets new work may go to, while a roll-out is under way or over.

The load that is answered: an operator orders a new version and starts its targets beside the
old ones; they are idle, so that whatever goes by load would send most new work there at
once. Some versions are bad, and may only get a small share before that is known.
"""

from __future__ import annotations

import enum

import attrs


class RolloutState(enum.Enum):
    """What became of a roll-out."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"

    @property
    def is_final(self) -> bool:
        """Whether it never changes again."""
        return self is not RolloutState.RUNNING


class RolloutPhase(enum.Enum):
    """How far a roll-out that is under way has come."""

    HELD = "held"
    """The new version gets nothing: nobody has allowed it, or it is doubted."""
    TRIAL = "trial"
    """It gets chosen requests."""
    MOVING = "moving"
    """It gets all new work, and the old version's runs come to their ends."""


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's order to move a service's traffic to a version."""

    service: str
    version: str
    duration_s: float
    """From the order on, until it has to be decided."""


@attrs.define(kw_only=True)
class ServiceVersions:
    """Of one service: what was ordered, and what is in force."""

    order: RolloutOrder | None = None
    state: RolloutState = RolloutState.RUNNING
    phase: RolloutPhase = RolloutPhase.HELD
    _known: set[str] = attrs.field(factory=set)
    """Versions that take work though nobody ordered them: they were there first."""
    _beside: set[str] = attrs.field(factory=set)
    """Other versions than the ordered one that were listed since the order."""

    @property
    def is_alone(self) -> bool:
        """Whether no other version was there since the order: nothing is to be moved."""
        return self.order is not None and not self._beside

    def update_known_versions(self, listed: set[str]) -> None:
        """Take the versions that are listed; those of the first sight were there before.

        One that comes later was started for an order that this VM may not know yet.
        """
        if not self._known:
            self._known = set(listed)
            if self.order is not None and len(listed) > 1:
                self._known.discard(self.order.version)

    def record_listed(self, version: str) -> None:
        """Note that a target of a version is listed."""
        if self.order is not None and version != self.order.version:
            self._beside.add(version)

    def apply_order(self, order: RolloutOrder, listed: set[str]) -> None:
        """Take an order; it is undecided until its status tells."""
        if self.order is not None and self.state is RolloutState.COMPLETED:
            self._known = {self.order.version}
        self.order = order
        self.state, self.phase = RolloutState.RUNNING, RolloutPhase.HELD
        self._known.discard(order.version)
        self._beside = listed - {order.version}

    def apply_state(self, state: RolloutState) -> None:
        """Take the status of the order; a final one never changes."""
        if self.state.is_final:
            return
        self.state = state
        if state.is_final:
            self.phase = RolloutPhase.HELD

    def is_ordinary(self, version: str) -> bool:
        """Tell whether a version was there first, and no order has touched the service."""
        return self.order is None and version in self._known

    def ordinary_versions(self, listed: set[str]) -> frozenset[str]:
        """Give the versions that ordinary new work goes to, of those with targets that take work.

        A service is not left without targets for want of a word: where only a version is
        left that nobody has ordered, or that is undecided, it serves.
        """
        wanted = self._wanted(listed)
        if wanted & listed:
            return frozenset(wanted & listed)
        if self.order is None or self.state is RolloutState.RUNNING:
            return frozenset(listed)
        return frozenset(listed - {self._rolled_back})

    def trial_versions(self, listed: set[str]) -> frozenset[str]:
        """Give the version that chosen requests go to now, if any."""
        if self.order is None or self.state.is_final or self.phase is not RolloutPhase.TRIAL:
            return frozenset()
        return frozenset({self.order.version} & listed)

    def _wanted(self, listed: set[str]) -> set[str]:
        if self.order is None:
            return self._known
        version = self.order.version
        if self.state is RolloutState.COMPLETED or self.phase is RolloutPhase.MOVING:
            return {version}
        return (self._known & listed) - {version} or listed - {version}

    @property
    def _rolled_back(self) -> str | None:
        if self.order is None or self.state is not RolloutState.ROLLED_BACK:
            return None
        return self.order.version
