"""The account of the memory that clients make a process hold, and who gives way in it.

A client's connection pays for what is held for it at every stage: its head and body as they
come, the request as it waits and is served, the answer as it comes and as it waits for a slow
reader. Nothing is held that is not paid for.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterable

import attrs

MB = 1024 * 1024
OWN_BYTES = 64 * MB
"""What a process needs at rest, for its own state and code."""
CLIENTS_PART = 2
"""Of the rest of its memory one part in so many is for clients; copies are made in the others."""
LEAST_PART = 8
"""Of all its memory one part in so many is for clients, however small it is."""
LARGE_PART = 0.75
"""Of the account that requests beyond ``SMALL_BYTES`` may fill; the rest is kept for others."""
SMALL_BYTES = 64 * 1024
CONNECTION_BYTES = 16 * 1024
"""What an open connection costs before it has sent anything."""
FIELD_BYTES = 360
"""What a field of a head takes once it is parsed, with its names and value in both forms that are
held of it; a few bytes of the head make one."""
QUERY_ITEM_BYTES = 250
USUAL_HEAD_BYTES = 8 * 1024
"""A head that takes no more is paid for with its connection."""
USUAL_ACCOUNT_BYTES = 1024 * MB
ANSWER_GRACE_S = 1.0
"""For so long an answer may wait for its reader before it counts as slow."""
NEW_S = 2.0
"""For so long a small request gives way to no large one; then it has come whole, or is slow."""


class Stage(enum.Enum):
    """What is going on for a client, which decides whether it may give way."""

    IDLE = "idle"
    """No request has begun."""
    READING = "reading"
    """A request is coming: it has not run, and never will if it gives way."""
    SERVING = "serving"
    """A whole request is held until it is answered. It never gives way."""
    ANSWERING = "answering"
    """An answer waits for its reader."""
    KEPT = "kept"
    """An answer that is over, kept for a caller that may return."""
    LEAVING = "leaving"
    """It has given way, or is refused."""


@attrs.define(kw_only=True, eq=False)
class Holding:
    """What is held for one connection; times in seconds of the monotonic clock."""

    give_way: Callable[[], None]
    """Drop what is held, at once, and have the connection end."""
    stage: Stage = Stage.IDLE
    since: float
    """When the stage began."""
    held_bytes: int = 0

    def is_new(self, now: float) -> bool:
        """Check whether it is small, and its stage has just begun."""
        return is_small(self.held_bytes) and now - self.since < NEW_S

    def burden(self, now: float) -> float:
        """Return what the holding has cost so far, in bytes times seconds; 0 if it can't yield.

        Large goes before small, and slow before fast: a new request weighs next to nothing.
        """
        if self.stage in (Stage.SERVING, Stage.LEAVING):
            return 0.0
        age_s = now - self.since
        if self.stage is Stage.ANSWERING:
            age_s -= ANSWER_GRACE_S
        return self.held_bytes * max(0.0, age_s)


@attrs.define(kw_only=True, eq=False)
class MemoryAccount:
    """All holdings of a process; what they hold together never exceeds ``capacity_bytes``."""

    capacity_bytes: int
    _held_bytes: int = 0
    _holdings: set[Holding] = attrs.field(factory=set)

    @property
    def held_bytes(self) -> int:
        """What all holdings hold together."""
        return self._held_bytes

    @property
    def largest_bytes(self) -> int:
        """What one holding may hold at most, however calm it is."""
        return math.floor(self.capacity_bytes * LARGE_PART)

    @classmethod
    def of_machine(cls, memory_bytes: int) -> MemoryAccount:
        """Return the account of a process that may use so much memory."""
        return cls(capacity_bytes=clients_bytes(memory_bytes))

    def open(self, holding: Holding, *, now: float) -> bool:
        """Have a new connection pay for itself; return False if there is no room for one more."""
        self._holdings.add(holding)
        if self.grow(holding, CONNECTION_BYTES, now=now):
            return True
        self.close(holding)
        return False

    def grow(self, holding: Holding, size: int, *, now: float) -> bool:
        """Have a holding pay for ``size`` bytes more; return False if it can't.

        Others give way if they have cost more than it has; to a large one only those that are
        large or slow. One that has given way itself pays for nothing more.
        """
        if holding not in self._holdings or holding.stage is Stage.LEAVING:
            return False
        limit = self._limit(holding.held_bytes + size)
        if holding.held_bytes + size > limit:
            return False
        spares_new = not is_small(holding.held_bytes + size)
        while self._held_bytes + size > limit:
            heaviest = self._heaviest(now, spares_new=spares_new)
            if heaviest is None or heaviest is holding:
                return False
            self.yield_room(heaviest, now=now)
        holding.held_bytes += size
        self._held_bytes += size
        return True

    def shrink(self, holding: Holding, size: int) -> None:
        """Record that a holding holds ``size`` bytes less; never less than none."""
        if holding not in self._holdings:
            return
        size = min(size, holding.held_bytes)
        holding.held_bytes -= size
        self._held_bytes -= size

    def shrink_to(self, holding: Holding, size: int) -> None:
        """Record that a holding holds ``size`` bytes at most."""
        self.shrink(holding, max(0, holding.held_bytes - size))

    def move(self, holding: Holding, stage: Stage, *, now: float) -> None:
        """Record that a holding's next stage has begun; one that leaves stays so."""
        if holding.stage is not Stage.LEAVING:
            holding.stage = stage
            holding.since = now

    def yield_room(self, holding: Holding, *, now: float) -> None:
        """Have a holding drop what it holds; a connection that is told so still pays for itself."""
        left = 0 if holding.stage is Stage.IDLE else CONNECTION_BYTES
        self.move(holding, Stage.LEAVING, now=now)
        holding.give_way()
        self.shrink_to(holding, left)

    def close(self, holding: Holding) -> None:
        """Record that nothing is held any more; a repeated call has no effect."""
        self.shrink_to(holding, 0)
        self._holdings.discard(holding)

    def _limit(self, wanted_bytes: int) -> int:
        """Return what all may hold together if one holding wants so much."""
        return self.capacity_bytes if is_small(wanted_bytes) else self.largest_bytes

    def _heaviest(self, now: float, *, spares_new: bool) -> Holding | None:
        """Return the holding that gives way first, or None if none can."""
        asked = (each for each in self._holdings if not (spares_new and each.is_new(now)))
        heaviest = max(asked, key=lambda each: each.burden(now), default=None)
        if heaviest is None or heaviest.burden(now) <= 0:
            return None
        return heaviest


def usual_account() -> MemoryAccount:
    """Return an account that is large enough where a machine's memory plays no part."""
    return MemoryAccount(capacity_bytes=USUAL_ACCOUNT_BYTES)


def head_bytes(*, fields: int, items: int) -> int:
    """Return what a parsed head of some fields and items of a query costs beside its bytes."""
    return max(0, fields * FIELD_BYTES + items * QUERY_ITEM_BYTES - USUAL_HEAD_BYTES)


def first_to_leave(holdings: Iterable[Holding], now: float) -> Holding | None:
    """Return whose connection is closed for a new one: the longest idle, or else the heaviest.

    None if all of them are being served.
    """
    held = list(holdings)
    idle = [each for each in held if each.stage is Stage.IDLE]
    if idle:
        return min(idle, key=lambda each: each.since)
    reading = [each for each in held if each.stage is Stage.READING]
    return max(reading, key=lambda each: each.burden(now), default=None)


def is_small(held_bytes: int) -> bool:
    """Check whether a connection holds no more than a small request."""
    return held_bytes <= SMALL_BYTES + CONNECTION_BYTES


def clients_bytes(memory_bytes: int) -> int:
    """Return what clients may make a process hold that may use so much memory."""
    rest = max(0, memory_bytes - OWN_BYTES)
    return max(rest // CLIENTS_PART, memory_bytes // LEAST_PART)
