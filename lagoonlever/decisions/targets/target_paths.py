"""Paths from this VM to the targets, by the outcomes of its own new connections.

A target that takes no connection of one VM may be reached by all others: then it is not the
target that failed but the path of that VM. One VM alone can't tell the two apart.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs

from lagoonlever.http.messages import Address


@attrs.define(kw_only=True)
class _Path:
    reached_at: float | None = None
    """When the last new connection was opened."""
    lost_at: float | None = None
    """When the first attempt since then failed."""


@attrs.define(kw_only=True)
class TargetPaths:
    """The path to each target, by its address; times in seconds of the monotonic clock."""

    _paths: dict[Address, _Path] = attrs.field(factory=dict)

    def since_reached_s(self, target: Address, now: float) -> float | None:
        """Return how long ago a new connection to a target was opened; None for never."""
        path = self._paths.get(target)
        return now - path.reached_at if path and path.reached_at is not None else None

    def record_reached(self, target: Address, now: float) -> float | None:
        """Record a new connection; return for how many seconds the path was lost, or None."""
        path = self._paths.setdefault(target, _Path())
        lost_at, path.lost_at = path.lost_at, None
        path.reached_at = now
        return now - lost_at if lost_at is not None else None

    def record_unreached(self, target: Address, now: float) -> bool:
        """Record that a target took no connection; return whether the path is lost from now on."""
        path = self._paths.setdefault(target, _Path())
        if path.lost_at is not None:
            return False
        path.lost_at = now
        return True

    def retain(self, targets: Collection[Address]) -> None:
        """Remove the paths to all other targets."""
        for target in self._paths.keys() - set(targets):
            del self._paths[target]
