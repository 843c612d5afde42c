"""Reorders a ranking so that its first items are in different data centres.

Used where a few items are taken from the front: the failure of one data centre, or of the links
to it, then does not affect all of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar


class Located(Protocol):
    """An object that is in a data centre."""

    @property
    def data_center(self) -> str:
        """The name of the data centre."""


LocatedT = TypeVar("LocatedT", bound=Located)


def spread_over_data_centers(ranked: Iterable[LocatedT]) -> list[LocatedT]:
    """Return the first item of each data centre, then all others; each group in the given order."""
    seen: set[str] = set()
    first: list[LocatedT] = []
    rest: list[LocatedT] = []
    for item in ranked:
        group = rest if item.data_center in seen else first
        seen.add(item.data_center)
        group.append(item)
    return first + rest
