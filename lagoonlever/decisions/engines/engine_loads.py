"""Load of one engine, and what it costs another run that is placed there.

Costs are seconds of waiting. Their components are expressed in usual prefills (the time that the
prefill of a usual prompt of the service takes), so that they scale with the speed of the engines:
on engines that are half as fast every component doubles, and the choice between engines stays the
same.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.settings.configuration import EngineLimits

PROMPT_COST = 0.3
"""Cost of each prompt in prefill beside its tokens, in usual prefills: the pauses around it."""
DECODE_COST = 0.3
"""Wait that each decoding run adds for another run, in usual prefills."""
COPY_COST = 0.03
"""Cost of each KV-cache copy, in usual prefills: its run moves here if its own engine is lost."""
FULL_COST = 5.0
"""Cost of an engine without capacity, in usual prefills: more than any wait at another engine."""
OTHER_DATA_CENTER_COST_S = 0.02
"""Cost of an engine in another data centre.

It is below any real difference in load, and only decides between engines that are otherwise
equal.
"""


@attrs.define(kw_only=True)
class EngineLoad:
    """Load of one engine: its runs and the KV-cache copies that it holds."""

    prefill_left_s: float = 0.0
    """Time that the prefill of the waiting prompts still takes."""
    prefilling: int = 0
    """Number of runs whose prefill has not ended."""
    decoding: int = 0
    """Number of runs that have given their first event."""
    copies: int = 0
    runs_memory_tokens: int = 0
    """Memory that its runs need at their longest."""
    copies_memory_tokens: int = 0
    """Memory that runs elsewhere, whose copies it holds, need at their longest."""

    @property
    def memory_tokens(self) -> int:
        """Memory that the runs and the copies need at their longest."""
        return self.runs_memory_tokens + self.copies_memory_tokens

    def has_capacity(self, limits: EngineLimits, need_tokens: int) -> bool:
        """Check whether there is a free slot, and memory for the given number of tokens."""
        slots_taken = self.prefilling + self.decoding
        return (
            slots_taken < limits.slots and self.memory_tokens + need_tokens <= limits.memory_tokens
        )

    def waiting_cost_s(self, usual_prefill_s: float) -> float:
        """Return the wait of a prompt before its prefill, and its slowdown by the runs here."""
        others = PROMPT_COST * self.prefilling + DECODE_COST * self.decoding
        return self.prefill_left_s + usual_prefill_s * (others + COPY_COST * self.copies)
