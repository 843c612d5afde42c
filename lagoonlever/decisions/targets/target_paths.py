"""Paths from this VM to the targets, and whether a failed connection is the path's fault.

A target that takes no connection of one VM may be reached by all others. Taken for dead, it is
avoided by everybody whom that VM tells; taken for well, callers of that VM are refused. One VM
alone can't tell a dead target from a lost path, so it asks another VM to reach the same target:
if that one does, the path is cut and requests go by way of other VMs, and if that one does not
and reaches other targets, the target is down.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Collection, Iterable

import attrs

from lagoonlever.http.messages import Address

DOWN_KEPT_S = 1.0
"""How long a target counts as down after another VM confirmed it: nobody is asked meanwhile."""
CUT_PATHS_NEEDED = 2
"""Number of cut paths that shows that a VM is cut off; one may be the trouble of one link."""


class DialPlan(enum.Enum):
    """How a connection to a target is to be opened."""

    OWN = "own"
    """By this VM's own path only."""
    BOTH = "both"
    """By its own path, and by way of other VMs if that fails or takes long."""
    PEERS = "peers"
    """By way of other VMs, as the own path is cut."""


@attrs.define(kw_only=True)
class _Path:
    reached_at: float = -math.inf
    """When the last connection was opened by the own path."""
    lost_at: float | None = None
    """When the first attempt since then failed."""
    cut: bool = False
    """Whether another VM reached the target while this one did not."""
    down_at: float = -math.inf
    """When another VM that reaches targets did not reach this one either."""


@attrs.define(kw_only=True)
class TargetPaths:
    """The path to each target, by its address; times in seconds of the monotonic clock."""

    _paths: dict[Address, _Path] = attrs.field(factory=dict)
    _reached_at: float = -math.inf
    """When a connection to any target was opened by the own path."""
    _cut_since: float = math.inf
    """When the first of the paths that are cut now was lost."""
    _probed: int = 0
    """How many probes were made, which take turns among the paths."""

    @property
    def cut_targets(self) -> tuple[Address, ...]:
        """The targets whose paths are cut."""
        return tuple(target for target, path in self._paths.items() if path.cut)

    @property
    def is_cut_off(self) -> bool:
        """Whether this VM reaches no target by its own paths, while other VMs do.

        So it is if several paths are cut, and none was open since the first of them was lost.
        """
        needed = min(CUT_PATHS_NEEDED, len(self._paths))
        return len(self.cut_targets) >= max(1, needed) and self._reached_at < self._cut_since

    def plan(self, target: Address, now: float) -> DialPlan:
        """Return how to open the next connection to a target."""
        path = self._paths.get(target)
        if path is None:
            return DialPlan.BOTH
        if path.cut:
            return DialPlan.PEERS
        return DialPlan.OWN if self.is_down(target, now) else DialPlan.BOTH

    def is_cut(self, target: Address) -> bool:
        """Check whether the path to a target is cut."""
        path = self._paths.get(target)
        return path is not None and path.cut

    def is_down(self, target: Address, now: float) -> bool:
        """Check whether another VM has confirmed of late that a target takes no connection."""
        path = self._paths.get(target)
        return path is not None and now - path.down_at < DOWN_KEPT_S

    def is_witness(self, others: Iterable[Address], *, since: float) -> bool:
        """Check whether this VM may say that a target is down which it does not reach.

        It has to have reached one of ``others`` since it began to try the target: VMs lose their
        paths in the same moment, and an older success says nothing.
        """
        return any(self._last_reached_at(other) >= since for other in others)

    def choose_control(self, others: Collection[Address]) -> Address | None:
        """Return the target to try in order to become a witness: the one that was reached last.

        One that has failed since then may be down as well, and shows nothing of this VM's paths.
        """
        usable = [other for other in others if not self.is_cut(other)]
        sound = [other for other in usable if not self._is_lost(other)]
        return max(sound or usable, key=self._last_reached_at, default=None)

    def since_reached_s(self, target: Address, now: float) -> float | None:
        """Return how long ago a connection was opened by the own path; None for never."""
        path = self._paths.get(target)
        return now - path.reached_at if path and path.reached_at > -math.inf else None

    def record_reached(self, target: Address, now: float) -> float | None:
        """Record a connection by the own path; return for how many seconds it was lost, or None.

        If that path was cut, the other ones are tried again, too: most paths of a VM are lost
        and come back together.
        """
        path = self._paths.setdefault(target, _Path())
        lost_at, path.lost_at = path.lost_at, None
        was_cut, path.cut = path.cut, False
        path.reached_at = self._reached_at = now
        path.down_at = -math.inf
        if was_cut:
            self._doubt_cuts()
        return now - lost_at if lost_at is not None else None

    def record_unreached(self, target: Address, now: float) -> bool:
        """Record that a target took no connection; return whether the path is lost from now on."""
        path = self._paths.setdefault(target, _Path())
        if path.lost_at is not None:
            return False
        path.lost_at = now
        return True

    def record_cut(self, target: Address, now: float) -> bool:
        """Record that another VM reached a target while this one did not; return if it is news."""
        path = self._paths.setdefault(target, _Path())
        path.down_at = -math.inf
        if path.cut:
            return False
        path.cut = True
        if path.lost_at is None:
            path.lost_at = now
        self._cut_since = min(self._cut_since, path.lost_at)
        return True

    def record_down(self, target: Address, now: float) -> None:
        """Record that a target takes no connection of another VM either."""
        path = self._paths.setdefault(target, _Path())
        path.down_at = now

    def next_probe(self) -> Address | None:
        """Return the target whose path is to be tried next, or None while no path is cut.

        While this VM counts as cut off it is one that was not tried yet, if there is any: one
        open path is enough to show that it is not.
        """
        cut = self.cut_targets
        if not cut:
            return None
        untried = tuple(target for target, path in self._paths.items() if path.lost_at is None)
        among = untried if untried and self.is_cut_off else cut
        self._probed += 1
        return among[self._probed % len(among)]

    def retain(self, targets: Collection[Address]) -> None:
        """Remove the paths to all other targets."""
        for target in self._paths.keys() - set(targets):
            del self._paths[target]
        self._update_cut_since()

    def _is_lost(self, target: Address) -> bool:
        path = self._paths.get(target)
        return path is not None and path.lost_at is not None

    def _last_reached_at(self, target: Address) -> float:
        path = self._paths.get(target)
        return path.reached_at if path is not None else -math.inf

    def _doubt_cuts(self) -> None:
        for path in self._paths.values():
            path.cut = False
        self._update_cut_since()

    def _update_cut_since(self) -> None:
        lost = (path.lost_at for path in self._paths.values() if path.cut)
        self._cut_since = min((at for at in lost if at is not None), default=math.inf)
