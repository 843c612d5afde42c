"""The prefix cache of the stand-in engine, and the events it publishes late and with gaps."""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque
from collections.abc import Sequence

import attrs

from lagoonlever.fakes.tokens import BLOCK_TOKENS

KEPT_EVENTS = 10_000


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Blocks that were stored or removed; ``cleared`` empties the cache."""

    sequence: int
    kind: str
    blocks: list[int]


class PrefixCache:
    """Blocks of tokens in limited memory; the least recently used one goes first.

    The first event of each life tells that the cache is empty.
    """

    def __init__(
        self, *, capacity_blocks: int, event_lag_s: float, event_gap: float, rng: random.Random
    ) -> None:
        self._capacity_blocks = capacity_blocks
        self._event_lag_s = event_lag_s
        self._event_gap = event_gap
        self._rng = rng
        self._blocks: OrderedDict[int, None] = OrderedDict()
        cleared = CacheEvent(sequence=1, kind="cleared", blocks=[])
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=KEPT_EVENTS)
        self._events.append((-math.inf, cleared))
        self._sequence = cleared.sequence

    @property
    def cached_tokens(self) -> int:
        """Tokens in the cache."""
        return len(self._blocks) * BLOCK_TOKENS

    def match(self, hashes: Sequence[int]) -> int:
        """Count the leading blocks that are cached, and mark them as used."""
        for count, block in enumerate(hashes):
            if block not in self._blocks:
                return count
            self._blocks.move_to_end(block)
        return len(hashes)

    def store(self, hashes: Sequence[int], *, now: float) -> None:
        """Keep blocks, and drop the least recently used ones beyond the capacity."""
        stored = [block for block in hashes if block not in self._blocks]
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._capacity_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        self._publish("stored", stored, now)
        self._publish("removed", removed, now)

    def events_after(self, sequence: int, *, now: float) -> list[CacheEvent]:
        """Give the events after a sequence number that are old enough to be told."""
        return [
            event
            for at, event in self._events
            if event.sequence > sequence and at + self._event_lag_s <= now
        ]

    def _publish(self, kind: str, blocks: list[int], now: float) -> None:
        if not blocks:
            return
        self._sequence += 1
        if self._rng.random() < self._event_gap:
            return
        event = CacheEvent(sequence=self._sequence, kind=kind, blocks=blocks)
        self._events.append((now, event))
