"""An order of names that every VM works out alike, another one for each purpose."""

from __future__ import annotations

import functools
from collections.abc import Iterable

import xxhash

MOST_KNOWN = 4096
"""Hashes that are kept: some purposes of a thousand names."""


def rank_by_hash(names: Iterable[str], *, purpose: str) -> list[str]:
    """Give the names by the hash of purpose and name.

    While views agree every VM finds the same first few; where they differ by a name,
    the others keep their places.
    """
    return sorted(names, key=lambda name: _rank(purpose, name))


@functools.lru_cache(maxsize=MOST_KNOWN)
def _rank(purpose: str, name: str) -> int:
    """Give a name's place; kept, as each VM works out the roles of hundreds 3 times a second."""
    return xxhash.xxh3_64_intdigest(f"{purpose}|{name}".encode())
