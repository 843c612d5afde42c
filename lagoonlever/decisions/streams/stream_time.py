"""Estimates whether a stream can still finish within its caller's deadline.

After a power loss of all VMs their callers wait for long and reconnect together with two
seconds left. Each would have a prompt prefilled for a second before it is given up, and these
prefills serve no caller and delay the streams that can still be served. So a stream that could
not finish in time even on an idle engine, at the best speed seen, is refused at once.
"""

from __future__ import annotations

from lagoonlever.decisions.engines.engine_timings import TokenTimes

MIN_LENGTH_SHARE = 0.6
"""Share of the announced answer length that is assumed at least.

Answers are often shorter than announced, and a stream that can finish must not be refused.
"""


def min_time_s(
    *,
    pace: TokenTimes,
    prompt_tokens: int,
    output_tokens: int,
    position: int,
    event_tokens: int,
    cached: bool,
) -> float:
    """Return the minimum time in seconds that a stream still needs.

    ``position`` events of ``event_tokens`` tokens each were delivered already. If ``cached``,
    the prompt needs no prefill.
    """
    prefill_s = 0.0 if cached else prompt_tokens * pace.prompt_token_s
    delivered_tokens = position * event_tokens
    remaining_tokens = max(float(event_tokens), MIN_LENGTH_SHARE * output_tokens - delivered_tokens)
    return prefill_s + remaining_tokens * pace.token_s
