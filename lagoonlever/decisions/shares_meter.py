"""What part of a pool's work each organisation takes of late, for reports."""

from __future__ import annotations

import math

import attrs

WINDOW_S = 10.0
"""Time constant over which work is averaged."""


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


class ShareMeter:
    """Work by organisation, fading with time."""

    def __init__(self) -> None:
        self._work: dict[str, float] = {}
        self._faded_at: float | None = None

    def parts(self) -> dict[str, float]:
        """Give each organisation's part of the work of late."""
        total = sum(max(work, 0.0) for work in self._work.values())
        if total <= 0:
            return {}
        return {path: max(work, 0.0) / total for path, work in self._work.items()}

    def add(self, organisation: str, work: float) -> None:
        """Count work (negative: given back)."""
        self._work[organisation] = self._work.get(organisation, 0.0) + work

    def tick(self, now: float) -> None:
        """Let what was counted fade."""
        elapsed_s = 0.0 if self._faded_at is None else now - self._faded_at
        self._faded_at = now
        fade = math.exp(-elapsed_s / WINDOW_S)
        self._work = {path: work * fade for path, work in self._work.items()}
