"""The token rule of the stand-in engine: each token depends on all that came before it.

A digest chain over model version, adapter, seed, prompt tokens and output tokens
draws the next token. An answer that is continued from exactly its prompt and
released tokens with the same seed equals the uninterrupted one; any other
continuation shows in its text. Text follows the bytes of the tokens: an
incomplete UTF-8 character is held until it is complete, also when its first
bytes end the prompt, and text that may begin a stop string is held as well.
"""

from __future__ import annotations

import codecs
import re
import struct
from collections.abc import Iterable, Sequence

import attrs
import xxhash

from lagoonlever.identity import extend_digest

BYTE_TOKENS = 256
"""Token ids below this are single bytes; those from it on are words."""
WORD_LIST = """
the a lot price car chili shallot market district digest engine mileage paint tyre report
inspector dealer bid auction sold wet dry season kilo tonne trader clerk stall harbour road
north south east west morning evening today week rose fell held steady scratch dent clean
service history owner first second third good fair poor new old red blue white per from to
and with without
"""
WORDS = tuple(f" {word}" for word in WORD_LIST.split())
MULTI_BYTE = tuple(character.encode() for character in "čž€🌶")
"""Characters that take a token a byte; their first bytes differ."""
MULTI_BYTE_ONE_IN = 8
BLOCK_TOKENS = 16
"""Tokens in one block of the prefix cache."""

_CONTINUATIONS = {character[0]: character[1:] for character in MULTI_BYTE}
_WORD_IDS = {word: BYTE_TOKENS + index for index, word in enumerate(WORDS)}
_PIECE = re.compile("|".join(sorted(WORDS, key=len, reverse=True)) + "|.", re.DOTALL)
_LONGEST_CHARACTER_BYTES = 4


def encode_prompt(text: str) -> list[int]:
    """Give the token ids of a text."""
    tokens: list[int] = []
    for piece in _PIECE.findall(text):
        word = _WORD_IDS.get(piece)
        tokens.extend(piece.encode() if word is None else (word,))
    return tokens


def token_bytes(token_id: int) -> bytes:
    """Give the bytes of one token; raises ``ValueError`` for an unknown id."""
    if 0 <= token_id < BYTE_TOKENS:
        return bytes((token_id,))
    if token_id < 0 or token_id >= BYTE_TOKENS + len(WORDS):
        raise ValueError(f"no token has the id {token_id}")
    return WORDS[token_id - BYTE_TOKENS].encode()


@attrs.frozen(kw_only=True)
class TokenState:
    """The state of the rule after some tokens; ``pending`` bytes complete a character."""

    digest: int
    pending: bytes = b""

    @classmethod
    def start(
        cls, *, model_version: str, adapter: str | None, seed: int, prompt: Iterable[int]
    ) -> TokenState:
        """Give the state after a prompt."""
        name = f"{model_version}|{adapter or ''}|{seed}"
        state = cls(digest=xxhash.xxh3_64_intdigest(name.encode()))
        for token_id in prompt:
            state = state.extended(token_id)
        return state

    def extended(self, token_id: int) -> TokenState:
        """Give the state after one more token."""
        if self.pending and token_id == self.pending[0]:
            pending = self.pending[1:]
        else:
            pending = _CONTINUATIONS.get(token_id, b"")
        return TokenState(digest=extend_digest(self.digest, token_id), pending=pending)


def next_token(state: TokenState) -> int:
    """Give the token that follows a state."""
    if state.pending:
        return state.pending[0]
    draw, kind = divmod(state.digest, MULTI_BYTE_ONE_IN)
    if kind == 0:
        return MULTI_BYTE[draw % len(MULTI_BYTE)][0]
    return BYTE_TOKENS + draw % len(WORDS)


class TextDecoder:
    """Turns output tokens into text piece by piece, and finds stop strings."""

    def __init__(self, *, prompt: Sequence[int] = (), stop: Sequence[str] = ()) -> None:
        self._stop = tuple(stop)
        self._held = ""
        self._stopped = False
        self._utf8 = codecs.getincrementaldecoder("utf-8")("replace")
        for token_id in prompt[-_LONGEST_CHARACTER_BYTES:]:
            self._utf8.decode(token_bytes(token_id))

    @property
    def stopped(self) -> bool:
        """Whether a stop string was found; the text ends before it."""
        return self._stopped

    def feed(self, token_id: int) -> str:
        """Take the next output token and give the text that is certain now."""
        self._held += self._utf8.decode(token_bytes(token_id))
        found = [at for stop in self._stop if (at := self._held.find(stop)) >= 0]
        if found:
            self._stopped = True
            return self._release(min(found))
        return self._release(len(self._held) - self._possible_stop_length())

    def flush(self) -> str:
        """Give the text held for a stop string that did not come."""
        return "" if self._stopped else self._release(len(self._held))

    def _release(self, length: int) -> str:
        text, self._held = self._held[:length], self._held[length:]
        return text

    def _possible_stop_length(self) -> int:
        lengths = (
            length
            for stop in self._stop
            for length in range(1, len(stop))
            if self._held.endswith(stop[:length])
        )
        return max(lengths, default=0)


@attrs.frozen(kw_only=True)
class ExpectedOutput:
    """The whole answer to a prompt; ``finish_reason`` is ``stop`` or ``length``."""

    token_ids: tuple[int, ...]
    text: str
    finish_reason: str


def expected_output(
    *,
    model_version: str,
    prompt: Sequence[int],
    max_tokens: int,
    adapter: str | None = None,
    seed: int = 0,
    stop: Sequence[str] = (),
) -> ExpectedOutput:
    """Compute the answer that a stand-in engine gives when nothing fails."""
    state = TokenState.start(model_version=model_version, adapter=adapter, seed=seed, prompt=prompt)
    decoder = TextDecoder(prompt=prompt, stop=stop)
    token_ids: list[int] = []
    text = ""
    while len(token_ids) < max_tokens and not decoder.stopped:
        token_id = next_token(state)
        state = state.extended(token_id)
        token_ids.append(token_id)
        text += decoder.feed(token_id)
    return ExpectedOutput(
        token_ids=tuple(token_ids),
        text=text + decoder.flush(),
        finish_reason="stop" if decoder.stopped else "length",
    )


def block_hashes(
    token_ids: Sequence[int], *, model_version: str, adapter: str | None = None
) -> list[int]:
    """Give the chained hashes of the whole blocks of a sequence, as cache events name them."""
    previous = xxhash.xxh3_64_intdigest(f"{model_version}|{adapter or ''}".encode())
    hashes = []
    for start in range(0, len(token_ids) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = struct.pack(f"<{BLOCK_TOKENS}q", *token_ids[start : start + BLOCK_TOKENS])
        previous = xxhash.xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous)
    return hashes
