"""An order of names that every VM works out alike, another one for each purpose."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def ranked(names: Iterable[str], *, purpose: str) -> list[str]:
    """Give the names by the hash of purpose and name.

    While views agree every VM finds the same first few; where they differ by a name,
    the others keep their places.
    """
    return sorted(names, key=lambda name: xxhash.xxh3_64_intdigest(f"{purpose}|{name}".encode()))
