"""Turns at parsing bodies of many pieces, of which a connection takes one after the other."""

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
        is_tiny = size < pieces * TINY_BYTES
        if is_tiny:
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
