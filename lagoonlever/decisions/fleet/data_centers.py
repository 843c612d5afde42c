"""Orders members so that the first few of them stand in different data centres."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar


class Located(Protocol):
    """What stands in a data centre."""

    @property
    def data_center(self) -> str:
        """The name of the data centre."""


LocatedT = TypeVar("LocatedT", bound=Located)


def spread_over_data_centers(ranked: Iterable[LocatedT]) -> list[LocatedT]:
    """Put the first of each data centre ahead of the second of any, else in the given order."""
    seen: set[str] = set()
    first: list[LocatedT] = []
    rest: list[LocatedT] = []
    for item in ranked:
        group = rest if item.data_center in seen else first
        seen.add(item.data_center)
        group.append(item)
    return first + rest
