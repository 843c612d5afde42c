"""What the requests of an entry VM hold, paid for from the account of its process.

A request outlives its connection: it goes on for a caller that may return, and its answer is
kept for one. So it pays for itself, until it is forgotten.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

import attrs
import trio

from lagoonlever.decisions.admission.held_memory import (
    CONNECTION_BYTES,
    Holding,
    MemoryAccount,
    Stage,
)
from lagoonlever.decisions.streams.generation import GenerationLifecycle
from lagoonlever.decisions.streams.generation_messages import GenerationSpec
from lagoonlever.decisions.streams.packed_tokens import TOKEN_BYTES

TEXT_COST = 10
"""Bytes for each of a text: itself, its tokens, what is sent to an engine and comes from it."""
LISTED_COST = 60
"""Bytes for each token of a prompt of token ids: the same, and its number."""
ANSWER_PIECE_BYTES = 256
ANSWER_TOKEN_BYTES = 40

RequestKey = tuple[str, str]
"""An organisation and one of its request ids."""


@attrs.define(kw_only=True, eq=False)
class HeldRequests:
    """Pays for the requests that are answered, and for the answers that are kept."""

    _account: MemoryAccount
    _forget: Callable[[RequestKey], None]
    """Drops a kept answer for which there is no memory any more."""
    _now: Callable[[], float] = trio.current_time
    _holdings: dict[RequestKey, Holding] = attrs.field(factory=dict)

    @property
    def held_bytes(self) -> int:
        """What all requests pay for."""
        return sum(holding.held_bytes for holding in self._holdings.values())

    def can_ever_hold(self, spec: GenerationSpec) -> bool:
        """Return whether there is memory for a request where nobody else holds any."""
        return prompt_cost(spec) + CONNECTION_BYTES <= self._account.largest_bytes

    def open(self, key: RequestKey, spec: GenerationSpec) -> bool:
        """Have a new request pay for its prompt; return False if there is no memory for it."""
        self.close(key)
        now = self._now()
        holding = Holding(give_way=lambda: self._give_way(key, holding), since=now)
        holding.stage = Stage.SERVING
        if not self._account.open(holding, now=now):
            return False
        if not self._account.grow(holding, prompt_cost(spec), now=now):
            self._account.close(holding)
            return False
        self._holdings[key] = holding
        return True

    def settle(self, key: RequestKey, life: GenerationLifecycle) -> bool:
        """Have a request pay for its answer so far; return False if there is no memory for it."""
        holding = self._holdings.get(key)
        if holding is None:
            return True
        cost = CONNECTION_BYTES + prompt_cost(life.spec) + _answer_cost(life)
        more = cost - holding.held_bytes
        return more <= 0 or self._account.grow(holding, more, now=self._now())

    def keep(self, key: RequestKey, life: GenerationLifecycle) -> None:
        """Have a kept answer pay for what is left of its request; from here on it may yield."""
        holding = self._holdings.get(key)
        if holding is None or holding.stage is Stage.KEPT:
            return
        cost = CONNECTION_BYTES + TOKEN_BYTES * life.prompt_tokens + _answer_cost(life)
        self._account.shrink_to(holding, cost)
        self._account.move(holding, Stage.KEPT, now=self._now())

    def resume(self, key: RequestKey) -> None:
        """Have a kept answer stay while its caller reads it."""
        holding = self._holdings.get(key)
        if holding is not None and holding.stage is Stage.KEPT:
            self._account.move(holding, Stage.SERVING, now=self._now())

    def close(self, key: RequestKey) -> None:
        """Pay back what a request holds that is forgotten; a repeated call has no effect."""
        holding = self._holdings.pop(key, None)
        if holding is not None:
            self._account.close(holding)

    def _give_way(self, key: RequestKey, holding: Holding) -> None:
        if self._holdings.get(key) is holding:
            self.close(key)
            self._forget(key)


def prompt_cost(spec: GenerationSpec) -> int:
    """Return what a prompt takes while its request is answered, in bytes."""
    if isinstance(spec.prompt, str):
        return sys.getsizeof(spec.prompt) + (TEXT_COST - 1) * len(spec.prompt)
    return LISTED_COST * len(spec.prompt)


def _answer_cost(life: GenerationLifecycle) -> int:
    answer = life.answer
    if answer is None:
        return 0
    return ANSWER_PIECE_BYTES * len(answer.pieces) + ANSWER_TOKEN_BYTES * answer.offset
