"""How much work each node of the tree takes of late, and how much a slot of it does."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import attrs

WINDOW_S = 15.0
"""Time constant over which work and running time are averaged."""
PRIOR_SLOT_S = 100.0
"""Running time for which a node is taken to go at the pace of the node above."""


@attrs.frozen(kw_only=True)
class OrganisationStanding:
    """One organisation in one pool, as a VM sees it."""

    path: str
    lag_s: float
    """Seconds of service ahead of its share; negative is behind."""
    used: float
    """Its part of all work of late, from 0 to 1."""
    entitled: float
    """Its part of the slots by weight and demand now, from 0 to 1."""
    waiting_here: int


@attrs.define(kw_only=True)
class _Use:
    work: float = 0.0
    slot_s: float = 0.0


class ShareMeter:
    """Work and running time by node, fading with time."""

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}
        self._faded_at: float | None = None

    def parts(self, paths: Iterable[str]) -> dict[str, float]:
        """Give the part of each of some nodes in the work that they all took of late."""
        work = {path: max(0.0, self._use(path).work) for path in paths}
        total = sum(work.values())
        return {path: one / total for path, one in work.items()} if total > 0 else {}

    def pace(self, path: str, *, above: str) -> float:
        """Give the work a second of a node's slots, at first that of the node above."""
        general = self._use(above)
        prior = general.work / general.slot_s if min(general.work, general.slot_s) > 0 else 1.0
        own = self._use(path)
        # Work is charged ahead, so the first starts of a node look like a fast pace.
        return (max(own.work, 0.0) + prior * PRIOR_SLOT_S) / (own.slot_s + PRIOR_SLOT_S)

    def add(self, paths: Iterable[str], work: float) -> None:
        """Count work (negative: given back) for some nodes."""
        for path in paths:
            self._use(path).work += work

    def tick(self, now: float, running: Mapping[str, int]) -> None:
        """Let what was counted fade, and count the time that requests ran."""
        elapsed_s = 0.0 if self._faded_at is None else now - self._faded_at
        self._faded_at = now
        fade = math.exp(-elapsed_s / WINDOW_S)
        for path, use in self._uses.items():
            use.work *= fade
            use.slot_s = use.slot_s * fade + running.get(path, 0) * elapsed_s

    def _use(self, path: str) -> _Use:
        return self._uses.setdefault(path, _Use())
