"""Quantiles of measured samples."""

from __future__ import annotations

import math
from collections.abc import Sequence


def quantile(samples: Sequence[float], share: float) -> float | None:
    """Give the sample that ``share`` of all do not exceed (nearest rank), or None of none."""
    if not samples:
        return None
    ordered = sorted(samples)
    rank = max(1, math.ceil(share * len(ordered)))
    return ordered[rank - 1]
