"""Whether engines may be given one more prompt, when they read for most of their time.

The load pattern: engines that are slow, or too few, read prompts nearly without a pause.
Every run makes its tokens between the chunks of others' prompts, so all streams come at a
fraction of their pace, and with a few prompts more than engines can bear none ends in its
caller's time. Work that is admitted then makes all the other work worthless. So a prompt is
refused at once, with when to come back, while the part of the engines' time that goes into
reading is beyond what leaves a usual answer time to end.

Gain: by `lagoonlever bench stream-day`, 24 days of engines 1.9 times as slow as usual, 31.9% of
streams are on time, against 14.5% with every prompt admitted; on drawn deployments 66.6%
against 63.2%; at twelve usual engines nothing is refused.

The bound follows from what was learnt: an answer that takes ``making_s`` of an engine's own
time takes ``making_s / (1 - share * (1 - 1 / slowdown))`` beside a share of reading. Where
an answer takes a fifth of its caller's time the bound is near the whole of the engines'
time, and nothing is refused.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

WINDOW_S = 8.0
"""Over which reading is counted: some prompts of each engine, and less than an answer's life."""
MIN_PROMPTS = 20
"""Of a window: fewer tell chance, and no share."""
PART_OF_TIME = 0.8
"""Of its caller's time, what a usual answer may take: some meet a loss, or are longer."""
COME_BACK_S = (0.8, 1.6)
"""Jittered over this range: by then the window has moved by the reading of some prompts, and
a caller is still within the time of its first event."""


@dataclass(frozen=True, kw_only=True)
class PrefillLoad:
    """What engines of a service were given to read within the window."""

    prompts: int
    share: float
    """Of the engines' time; above 1 their queues grow."""


def max_prefill_share(
    *, making_s: float, reading_s: float, allowed_s: float, slowdown: float
) -> float:
    """Give the part of the engines' time that may go into reading.

    ``making_s`` and ``reading_s`` are what a usual answer and its prompt take on an engine
    that does nothing else, ``slowdown`` how many times as long tokens take beside a prompt.
    """
    for_tokens_s = PART_OF_TIME * allowed_s - 2.0 * reading_s
    if for_tokens_s <= making_s or slowdown <= 1.0:
        return 0.0 if slowdown > 1.0 else float("inf")
    return (1.0 - making_s / for_tokens_s) / (1.0 - 1.0 / slowdown)


@MECHANISMS.register(
    "prompt-admission",
    does="a prompt is refused while engines read so much that answers can't end in time",
    without="every prompt is read, sooner or later",
    plain=gives(True),
)
def admits_prompt(load: PrefillLoad, *, most: float) -> bool:
    """Tell whether one more prompt leaves the others time to end."""
    return load.prompts < MIN_PROMPTS or load.share <= most


def random_retry_after_s(rng: random.Random) -> float:
    """Give when a caller that was refused is told to come back."""
    return rng.uniform(*COME_BACK_S)
