"""Versions of a service's targets that may get new work during and after a roll-out.

An operator orders a new version and starts its targets next to the old ones. The new targets are
idle, so that load balancing would send most new work to them at once. A version may be bad, and
may get only a small share of the requests until that is known; targets are therefore filtered by
version before they are chosen by load.
"""

from __future__ import annotations

import enum

import attrs

from lagoonlever.revisions import Revision


class RolloutState(enum.Enum):
    """State of a roll-out, as stored."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self is not RolloutState.RUNNING


class RolloutPhase(enum.Enum):
    """Phase of a running roll-out."""

    HELD = "held"
    """The new version gets no requests: its trial has not been permitted yet, or it is in doubt."""
    TRIAL = "trial"
    """The new version gets selected requests."""
    MOVING = "moving"
    """The new version gets all new work, while runs on the old version finish."""


@attrs.frozen(kw_only=True)
class RolloutOrder:
    """An operator's order to move a service's traffic to a version."""

    service: str
    version: str
    duration_s: float
    """Time from the order to the deadline of its decision."""


def is_of_order(status: Revision, ordered_at: Revision) -> bool:
    """Check whether a status is known to be of the order that was given at ``ordered_at``.

    A former order may have been of the same version. In another era only the order's own revision
    there tells.
    """
    return status.era == ordered_at.era and status >= ordered_at


@attrs.define(kw_only=True)
class ServiceVersions:
    """Order of one service, its state, and the versions that may get work."""

    order: RolloutOrder | None = None
    state: RolloutState = RolloutState.RUNNING
    phase: RolloutPhase = RolloutPhase.HELD
    _established: set[str] = attrs.field(factory=set)
    """Versions that get work without an order, as they were listed before any, or the last
    completed one."""
    _others_listed: set[str] = attrs.field(factory=set)
    """Versions other than the ordered one that were listed since the order."""

    @property
    def is_alone(self) -> bool:
        """Whether no other version was listed since the order, so that there is no work to move."""
        return self.order is not None and not self._others_listed

    def update_known_versions(self, listed: set[str]) -> None:
        """Record the listed versions as established, unless some are already.

        A version that appears later was started for an order that this VM may not know yet.
        """
        if not self._established:
            self._established = set(listed)
            if self.order is not None and len(listed) > 1:
                self._established.discard(self.order.version)

    def record_listed(self, version: str) -> None:
        """Record that a target of a version is listed."""
        if self.order is not None and version != self.order.version:
            self._others_listed.add(version)

    def apply_order(self, order: RolloutOrder, listed: set[str]) -> None:
        """Apply a new order, which is running until its status is applied."""
        if self.order is not None and self.state is RolloutState.COMPLETED:
            self._established = {self.order.version}
        self.order = order
        self.state, self.phase = RolloutState.RUNNING, RolloutPhase.HELD
        self._established.discard(order.version)
        self._others_listed = listed - {order.version}

    def apply_state(self, state: RolloutState) -> None:
        """Apply the state of the order, unless the current one is final."""
        if self.state.is_final:
            return
        self.state = state
        if state.is_final:
            self.phase = RolloutPhase.HELD

    def is_ordinary(self, version: str) -> bool:
        """Check whether a version is an established one of a service without an order."""
        return self.order is None and version in self._established

    def may_continue(self, version: str) -> bool:
        """Check whether work that a version has begun may go on at its targets.

        That holds for versions on trial and for former ones, but not for one that was rolled back
        or is in doubt.
        """
        if self.order is None or version != self.order.version:
            return True
        if self.state is RolloutState.RUNNING:
            return self.phase is not RolloutPhase.HELD
        return self.state is RolloutState.COMPLETED

    def takes_unnamed(self, listed: set[str]) -> bool:
        """Check whether a target may get work whose version is unknown.

        That is so while no version is in question, and before the decision if no target of a
        known version is available (``listed``): the service does not lose all its targets then.
        """
        if self.order is None or self.state is RolloutState.COMPLETED:
            return True
        return self.state is RolloutState.RUNNING and not listed

    def ordinary_versions(self, listed: set[str]) -> frozenset[str]:
        """Return the versions that ordinary new work goes to, out of those with available targets.

        A service does not lose all targets for lack of a decision: if only versions are left that
        were not ordered or are undecided, they serve. A rolled-back version never does.
        """
        preferred = self._preferred(listed)
        if preferred & listed:
            return frozenset(preferred & listed)
        if self.order is None or self.state is RolloutState.RUNNING:
            return frozenset(listed)
        return frozenset(listed - {self._rolled_back_version})

    def trial_versions(self, listed: set[str]) -> frozenset[str]:
        """Return the version on trial, which gets selected requests, or an empty set."""
        if self.order is None or self.state.is_final or self.phase is not RolloutPhase.TRIAL:
            return frozenset()
        return frozenset({self.order.version} & listed)

    def _preferred(self, listed: set[str]) -> set[str]:
        if self.order is None:
            return self._established
        version = self.order.version
        if self.state is RolloutState.COMPLETED or self.phase is RolloutPhase.MOVING:
            return {version}
        return (self._established & listed) - {version} or listed - {version}

    @property
    def _rolled_back_version(self) -> str | None:
        if self.order is None or self.state is not RolloutState.ROLLED_BACK:
            return None
        return self.order.version
