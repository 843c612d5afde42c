"""What is guessed of the engines' prefix caches: block hashes, and who holds which.

Learnt from this VM's own dispatches and from engines' cache events, which come
late and with gaps. A wrong guess only costs a prefill.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs
import xxhash

BLOCK_TOKENS = 16
"""Tokens in one block of an engine's prefix cache."""
TEXT_BLOCK_CHARACTERS = 64
MAX_BLOCKS = 512
"""Blocks of a prompt that are looked at: beyond these a longer match decides nothing."""
INDEX_BLOCKS = 40_000
"""About 6 MB: a dictionary's entry of two integers takes about 150 bytes."""
_BLOCK = struct.Struct(f"<{BLOCK_TOKENS}q")
_TEXT_SEED = 0x7465_7874


def token_blocks(
    token_ids: Sequence[int], *, model_version: str, adapter: str | None
) -> tuple[int, ...]:
    """Give the chained hashes of the whole blocks of a prompt, as cache events name them."""
    digest = xxhash.xxh3_64_intdigest(f"{model_version}|{adapter or ''}".encode())
    hashes = []
    end = min(len(token_ids), MAX_BLOCKS * BLOCK_TOKENS)
    for start in range(0, end - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = _BLOCK.pack(*token_ids[start : start + BLOCK_TOKENS])
        digest = xxhash.xxh3_64_intdigest(block, seed=digest)
        hashes.append(digest)
    return tuple(hashes)


def text_blocks(text: str, *, model_version: str, adapter: str | None) -> tuple[int, ...]:
    """Give the chained hashes of the whole blocks of a text whose tokens are not known."""
    name = f"{model_version}|{adapter or ''}".encode()
    digest = xxhash.xxh3_64_intdigest(name, seed=_TEXT_SEED)
    hashes = []
    end = min(len(text), MAX_BLOCKS * TEXT_BLOCK_CHARACTERS)
    for start in range(0, end - TEXT_BLOCK_CHARACTERS + 1, TEXT_BLOCK_CHARACTERS):
        block = text[start : start + TEXT_BLOCK_CHARACTERS].encode("utf-8", "surrogatepass")
        digest = xxhash.xxh3_64_intdigest(block, seed=digest)
        hashes.append(digest)
    return tuple(hashes)


@attrs.define(kw_only=True)
class TextTokenMap:
    """Which token block stands about where a text block does, learnt from finished prefills.

    The router has no tokeniser; an engine's first chunk tells a prompt's token
    ids. With them a text prompt seen before can be looked up by cache events.
    """

    _capacity: int = INDEX_BLOCKS // 2
    _tokens_of: OrderedDict[int, int] = attrs.field(factory=OrderedDict)

    def translated(self, blocks: Sequence[int]) -> tuple[int, ...]:
        """Give the token blocks of known text blocks, and the text blocks of the others."""
        return tuple(self._tokens_of.get(block, block) for block in blocks)

    def learn(self, text: Sequence[int], tokens: Sequence[int]) -> None:
        """Take the text blocks and the token blocks of one prompt."""
        if not tokens:
            return
        for index, block in enumerate(text):
            self._tokens_of[block] = tokens[index * len(tokens) // len(text)]
            self._tokens_of.move_to_end(block)
        while len(self._tokens_of) > self._capacity:
            self._tokens_of.popitem(last=False)


@attrs.define(kw_only=True)
class PrefixIndex:
    """Which targets hold which blocks; bounded, the least recently used block goes first.

    The holders of a block are the bits of one integer, so that following a
    prompt's chain for all targets takes one dictionary look-up a block.
    """

    _capacity: int = INDEX_BLOCKS
    _holders: OrderedDict[int, int] = attrs.field(factory=OrderedDict)
    _bits: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._holders)

    def matches(self, blocks: Sequence[int]) -> dict[str, int]:
        """Give how many leading blocks each target holds; targets that hold none are absent."""
        depths: dict[int, int] = {}
        mask = -1
        for depth, block in enumerate(blocks):
            holders = self._holders.get(block, 0)
            self._note_depth(mask & ~holders, depth, depths)
            mask &= holders
            if not mask:
                break
        self._note_depth(mask, len(blocks), depths)
        return {name: depths[bit] for name, bit in self._bits.items() if depths.get(bit, 0) > 0}

    def stored(self, target: str, blocks: Iterable[int]) -> None:
        """Note that a target holds blocks: it reported them, or was given their prompt."""
        flag = 1 << self._bit(target)
        for block in blocks:
            self._holders[block] = self._holders.get(block, 0) | flag
            self._holders.move_to_end(block)
        while len(self._holders) > self._capacity:
            self._holders.popitem(last=False)

    def removed(self, target: str, blocks: Iterable[int]) -> None:
        """Note that a target dropped blocks."""
        flag = 1 << self._bit(target)
        for block in blocks:
            holders = self._holders.get(block)
            if holders is None:
                continue
            if holders & ~flag:
                self._holders[block] = holders & ~flag
            else:
                del self._holders[block]

    def forget(self, target: str) -> None:
        """Note that a target holds nothing: it cleared its cache, or is a new life."""
        if target in self._bits:
            self.removed(target, list(self._holders))
            del self._bits[target]

    def _bit(self, target: str) -> int:
        bit = self._bits.get(target)
        if bit is None:
            taken = set(self._bits.values())
            bit = next(number for number in range(len(taken) + 1) if number not in taken)
            self._bits[target] = bit
        return bit

    def _note_depth(self, mask: int, depth: int, depths: dict[int, int]) -> None:
        if not self._bits or not mask:
            return
        mask &= (1 << (max(self._bits.values()) + 1)) - 1
        while mask:
            lowest = mask & -mask
            depths[lowest.bit_length() - 1] = depth
            mask ^= lowest
