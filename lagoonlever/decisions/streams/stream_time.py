"""Estimates whether a stream can still finish in time: its caller's, or that of its VM.

After a power loss of all VMs their callers wait for long and reconnect together with two
seconds left. Each would have a prompt prefilled for a second before it is given up, and these
prefills serve no caller and delay the streams that can still be served. So a stream that could
not finish in time even on an idle engine, at the best speed seen, is refused at once.

A VM that stops begins only what will finish before it ends, so there the time counts that a stream
takes on an engine that serves others, too.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.engine_timings import TokenTimes

MIN_LENGTH_SHARE = 0.6
"""Share of the announced answer length that is assumed at least.

Answers are often shorter than announced, and a stream that can finish must not be refused.
"""
MAX_TIME_RATIO = 2.0
"""Ratio of the longest time that is expected of a stream to its time on an undisturbed engine.

Prompts wait for each other, and each one that is read slows the streams beside it.
"""


@attrs.frozen(kw_only=True)
class RemainingStream:
    """What is still to be done for a stream; sizes are in tokens."""

    prompt_tokens: int
    output_tokens: int
    position: int
    """Events that were delivered already."""
    event_tokens: int
    """Tokens of an event."""
    cached: bool
    """Whether the prompt needs no prefill."""

    def min_time_s(self, pace: TokenTimes) -> float:
        """Return the minimum time in seconds, at times per token that no engine falls below."""
        return self._time_s(pace, MIN_LENGTH_SHARE * self.output_tokens)

    def max_time_s(self, pace: TokenTimes) -> float:
        """Return the longest time in seconds that is expected, at the usual times per token."""
        return MAX_TIME_RATIO * self._time_s(pace, float(self.output_tokens))

    def _time_s(self, pace: TokenTimes, length_tokens: float) -> float:
        prefill_s = 0.0 if self.cached else self.prompt_tokens * pace.prompt_token_s
        delivered_tokens = self.position * self.event_tokens
        remaining_tokens = max(float(self.event_tokens), length_tokens - delivered_tokens)
        return prefill_s + remaining_tokens * pace.token_s
