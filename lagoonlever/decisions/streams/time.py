"""Whether a stream can still be finished in the time that its caller has.

The load that is answered: after a power loss of all VMs their callers wait for long,
come back together with two seconds left, and each has a prompt of a second read before
it is given up. Those readings serve nobody and delay the streams that can be served.
So a stream that could not end in time on an idle engine, the fastest that was seen, is
told so at once.
"""

from __future__ import annotations

from lagoonlever.decisions.engines.engine_timings import TokenTimes

SHORTEST = 0.6
"""Of the announced length: answers are often shorter, and one that can end must not be refused."""


def least_time_s(
    *,
    pace: TokenTimes,
    prompt_tokens: int,
    output_tokens: int,
    position: int,
    event_tokens: int,
    cached: bool,
) -> float:
    """Give the time that a stream needs at least; ``position`` events of it are told already."""
    reading_s = 0.0 if cached else prompt_tokens * pace.prompt_token_s
    done = position * event_tokens
    left = max(float(event_tokens), SHORTEST * output_tokens - done)
    return reading_s + left * pace.token_s
