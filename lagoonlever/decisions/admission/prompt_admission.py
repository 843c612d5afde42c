"""Whether engines that prefill for most of their time may be given one more prompt.

Engines that are slow, or too few, prefill prompts almost without a pause. Each run decodes its
tokens between the chunks of other prompts, so all streams slow down to a fraction of their usual
speed. With only a few prompts more than the engines can bear, no answer ends before its caller's
deadline: admitting a request then makes the work for all others useless. So a prompt is rejected
at once, with a time to retry after, while the share of the engines' time that goes into prefill
exceeds the share at which a usual answer still ends in time.

In simulations of 24 days with engines 1.9 times as slow as usual, 31.9% of streams end in time,
against 14.5% if every prompt is admitted; with randomly drawn installations, 66.6% against
63.2%. With twelve engines at usual speed nothing is rejected.

The bound follows from measured times. An answer that takes ``decode_s`` of an engine's own time
takes ``decode_s / (1 - share * (1 - 1 / slowdown))`` while the given share of the engine's time
goes into prefill. If an answer takes a fifth of its caller's time, the bound is close to the whole
of the engines' time, and nothing is rejected.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

WINDOW_S = 8.0
"""Prefill is counted over this time: each engine receives several prompts within it, and it is
shorter than an answer takes."""
MIN_PROMPTS = 20
"""Fewer prompts in the window than this are too small a sample for a prefill share."""
ANSWER_TIME_SHARE = 0.8
"""Share of the caller's time that a usual answer may take: some lose an engine, or are longer."""
RETRY_AFTER_RANGE_S = (0.8, 1.6)
"""The retry time is drawn from this range: after it some prefills have left the window, and the
caller is still within the time in which its first event is due."""


@dataclass(frozen=True, kw_only=True)
class PrefillLoad:
    """Prefill work that the engines of a service were given within the window."""

    prompts: int
    share: float
    """Share of the engines' time; above 1 their queues grow."""


def max_prefill_share(
    *, decode_s: float, prefill_s: float, allowed_s: float, slowdown: float
) -> float:
    """Return the largest share of the engines' time that may go into prefill.

    ``decode_s`` and ``prefill_s`` are the seconds that a usual answer and its prompt take on an
    engine that does nothing else, ``allowed_s`` the seconds that a usual caller allows for its
    answer, and ``slowdown`` the factor by which decoding takes longer beside a prefill.

    Infinity means that there is no bound, as prefills don't slow down other runs; 0 means that a
    usual answer can't end in time at all.
    """
    for_tokens_s = ANSWER_TIME_SHARE * allowed_s - 2.0 * prefill_s
    if for_tokens_s <= decode_s or slowdown <= 1.0:
        return 0.0 if slowdown > 1.0 else float("inf")
    return (1.0 - decode_s / for_tokens_s) / (1.0 - 1.0 / slowdown)


@MECHANISMS.register(
    "prompt-admission",
    does="a prompt is rejected while engines prefill so much that answers can't end in time",
    without="every prompt is prefilled, sooner or later",
    plain=gives(True),
)
def admits_prompt(load: PrefillLoad, *, max_share: float) -> bool:
    """Check whether the engines can take one more prompt and other answers still end in time."""
    return load.prompts < MIN_PROMPTS or load.share <= max_share


def random_retry_after_s(rng: random.Random) -> float:
    """Return a random time in seconds after which a rejected caller is to retry."""
    return rng.uniform(*RETRY_AFTER_RANGE_S)
