"""The overlay along which members probe each other and pass on changes.

Each of a few rings orders the members by another hash of their names; a member's neighbours are
those before and after it on each ring. The rings together form an expander graph: a change
reaches 400 members in a few hops, every member is probed by some others, and the connections
stay the same from probe to probe.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable

import attrs
import xxhash

RINGS = 3
RING_POSITIONS = 2**64
MAX_CACHED_POSITIONS = 4096


@attrs.frozen(kw_only=True)
class Neighbours:
    """Names of the members that this one probes, and of all that it passes changes to."""

    watched: tuple[str, ...] = ()
    adjacent: tuple[str, ...] = ()


def neighbours(own: str, names: Iterable[str]) -> Neighbours:
    """Return the neighbours of ``own`` among ``names``, which may include it."""
    others = [name for name in names if name != own]
    if not others:
        return Neighbours()
    after: dict[str, None] = {}
    before: dict[str, None] = {}
    for ring in range(RINGS):
        own_position = _position(own, ring)
        gaps = [((_position(name, ring) - own_position) % RING_POSITIONS, name) for name in others]
        after[min(gaps)[1]] = None
        before[max(gaps)[1]] = None
    return Neighbours(watched=tuple(after), adjacent=tuple(after | before))


@functools.lru_cache(maxsize=MAX_CACHED_POSITIONS)
def _position(name: str, ring: int) -> int:
    """Return the position of a name on a ring (0 to ``RING_POSITIONS`` - 1)."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=ring)
