"""Turns at parsing bodies of many pieces, of which a connection takes one after the other.

A read from a socket may bring ten thousand pieces. Parsed in one go they would hold up every other
task of the process for as long.
"""

from __future__ import annotations

import attrs
import trio

from lagoonlever.decisions.admission.held_memory import Holding, MemoryAccount

TURN_PIECES = 64
"""Pieces of a body that a connection parses before others have their turn."""
TINY_BYTES = 64
"""Of a piece in the mean: below, its framing costs the process more than what it brings."""
MOST_TINY = 16
"""Bodies in tiny pieces that are parsed at once; one has hardly any use for them."""
MOST_TINY_TURNS = 1_024
"""Turns at an answer in tiny pieces, after which it is given up as one that has no end."""
_answer_turn: trio.lowlevel.RunVar[trio.Lock] = trio.lowlevel.RunVar("answer_turn")


def is_tiny(*, pieces: int, size: int) -> bool:
    """Check whether pieces of ``size`` bytes together are tiny in the mean."""
    return size < pieces * TINY_BYTES


async def take_answer_turn() -> None:
    """Wait for the next turn at the answers that this process reads; one at a time has one.

    Targets in trouble may send answers in tiny pieces without end to many requests at once. In a
    round of the event loop these cost all others the time of one turn.
    """
    try:
        lock = _answer_turn.get()
    except LookupError:
        lock = trio.Lock()
        _answer_turn.set(lock)
    async with lock:
        await trio.lowlevel.checkpoint()


@attrs.define(kw_only=True, eq=False)
class ParsingTurns:
    """Has one connection at a time parse, so that a crowd of them costs others one turn a round."""

    _memory: MemoryAccount
    _lock: trio.Lock = attrs.field(factory=trio.Lock)
    _tiny: dict[Holding, int] = attrs.field(factory=dict)
    """The pieces so far of those bodies in tiny pieces that wait for a turn."""

    async def take(self, holding: Holding, *, pieces: int, size: int) -> None:
        """Wait for a turn, after ``pieces`` of ``size`` bytes together.

        Of too many bodies in tiny pieces the one with the most of them gives way.
        """
        if is_tiny(pieces=pieces, size=size):
            self._tiny[holding] = pieces
            if len(self._tiny) > MOST_TINY:
                heaviest = max(self._tiny, key=self._tiny.__getitem__)
                del self._tiny[heaviest]
                self._memory.yield_room(heaviest, now=trio.current_time())
        try:
            async with self._lock:
                await trio.lowlevel.checkpoint()
        finally:
            self._tiny.pop(holding, None)
