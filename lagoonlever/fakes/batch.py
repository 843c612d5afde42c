"""The continuous batch of the stand-in engine: slots, prefill, one token a step each."""

from __future__ import annotations

import itertools
from collections import defaultdict

import attrs

from lagoonlever.fakes.prefix_cache import PrefixCache
from lagoonlever.fakes.tokens import (
    BLOCK_TOKENS,
    TextDecoder,
    TokenState,
    block_hashes,
    next_token,
)

PREFILL_TOKENS_PER_STEP = 2048
ABORTED = "abort"
"""Finish reason of a cancelled generation."""


@attrs.frozen(kw_only=True)
class ServedModel:
    """A model as an engine has it loaded."""

    name: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class OutputToken:
    """One output token, and the text that became certain with it."""

    token_id: int
    text: str


@attrs.define(kw_only=True)
class Work:
    """Tokens that the engine computed; ``cached_tokens`` were spared by the prefix cache."""

    prefill_tokens: int = 0
    cached_tokens: int = 0
    decode_tokens: int = 0


@attrs.define(kw_only=True, eq=False)
class Generation:
    """One stream of the engine: what was asked, and what came out so far."""

    request_id: str
    model: str
    version: str
    adapter: str | None
    prompt: list[int]
    max_tokens: int
    seed: int = 0
    stop: tuple[str, ...] = ()
    priority: int = 0
    background: bool = False
    outputs: list[OutputToken] = attrs.field(factory=list)
    finish_reason: str | None = None
    cached_tokens: int = 0
    prefill_left: int = 0
    arrival: int = 0
    state: TokenState = attrs.field(init=False)
    decoder: TextDecoder = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.state = TokenState.start(
            model_version=self.version, adapter=self.adapter, seed=self.seed, prompt=self.prompt
        )
        self.decoder = TextDecoder(prompt=self.prompt, stop=self.stop)

    def decode(self) -> None:
        """Compute the next output token."""
        token_id = next_token(self.state)
        self.state = self.state.extended(token_id)
        text = self.decoder.feed(token_id)
        if self.decoder.stopped:
            self.finish_reason = "stop"
        elif len(self.outputs) + 1 >= self.max_tokens:
            self.finish_reason = "length"
            text += self.decoder.flush()
        self.outputs.append(OutputToken(token_id=token_id, text=text))


class Batch:
    """Runs up to ``slots`` generations at once; lower priorities are admitted first.

    What each request costs is added up in ``work``.
    """

    def __init__(self, *, slots: int, cache: PrefixCache, work: defaultdict[str, Work]) -> None:
        self._slots = slots
        self._cache = cache
        self._running: list[Generation] = []
        self._waiting: list[Generation] = []
        self._arrivals = itertools.count()
        self._work = work

    @property
    def running(self) -> int:
        """Generations that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Generations that wait for a slot."""
        return len(self._waiting)

    def submit(self, generation: Generation) -> None:
        """Queue a generation."""
        generation.arrival = next(self._arrivals)
        self._waiting.append(generation)
        self._waiting.sort(key=lambda waiting: (waiting.priority, waiting.arrival))

    def cancel(self, generation: Generation) -> None:
        """Stop a generation; what came out stays."""
        if generation.finish_reason is not None:
            return
        generation.finish_reason = ABORTED
        for queue in (self._running, self._waiting):
            if generation in queue:
                queue.remove(generation)

    def step(self, *, now: float) -> int:
        """Run one step and give the prefill tokens in it; whoever is prefilled decodes one."""
        self._admit()
        budget = PREFILL_TOKENS_PER_STEP
        for generation in list(self._running):
            if generation.prefill_left:
                budget -= self._prefill(generation, budget, now)
                continue
            self._decode(generation, now)
        return PREFILL_TOKENS_PER_STEP - budget

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            generation = self._waiting.pop(0)
            hashes = _hashes(generation, generation.prompt)
            cached = self._cache.match(hashes) * BLOCK_TOKENS
            generation.cached_tokens = min(cached, len(generation.prompt) - 1)
            generation.prefill_left = len(generation.prompt) - generation.cached_tokens
            self._work[generation.request_id].cached_tokens += generation.cached_tokens
            self._running.append(generation)

    def _prefill(self, generation: Generation, budget: int, now: float) -> int:
        tokens = min(budget, generation.prefill_left)
        generation.prefill_left -= tokens
        self._work[generation.request_id].prefill_tokens += tokens
        if not generation.prefill_left:
            self._cache.store(_hashes(generation, generation.prompt), now=now)
        return tokens

    def _decode(self, generation: Generation, now: float) -> None:
        generation.decode()
        self._work[generation.request_id].decode_tokens += 1
        if generation.finish_reason is None:
            return
        self._running.remove(generation)
        outputs = [output.token_id for output in generation.outputs]
        self._cache.store(_hashes(generation, generation.prompt + outputs), now=now)


def _hashes(generation: Generation, token_ids: list[int]) -> list[int]:
    return block_hashes(token_ids, model_version=generation.version, adapter=generation.adapter)
