"""What the runs at an engine cost another run that is placed there.

Costs are seconds of waiting. Their parts are given in usual readings, the time that a
usual prompt of the service takes: on engines that are half as fast every part takes twice
as long, and the choice between engines stays the same.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.settings.configuration import EngineLimits

BEHIND_PROMPT = 0.3
"""What each prompt that is being read costs beside its tokens: the pauses it makes."""
FLOWING_COST = 0.3
"""What each run that makes tokens adds to the wait of another."""
COPY_COST = 0.03
"""What each copy adds: its run comes here if its engine is lost."""
FULL = 5.0
"""What an engine without room costs: beyond any wait that another one may have."""
OTHER_DATA_CENTER_S = 0.02
"""Below any real difference in load; it decides between engines that are alike."""


@attrs.define(kw_only=True)
class EngineLoad:
    """What one engine has."""

    to_read_s: float = 0.0
    prompts: int = 0
    flowing: int = 0
    copies: int = 0
    runs_memory: int = 0
    """In tokens: what its runs need at their longest."""
    copies_memory: int = 0
    """The same of the copies that it holds of runs elsewhere."""

    @property
    def memory(self) -> int:
        """In tokens: what its runs and the copies need at their longest."""
        return self.runs_memory + self.copies_memory

    def has_room(self, limits: EngineLimits, need: int) -> bool:
        """Tell whether there is a slot, and memory for so many tokens."""
        slots_taken = self.prompts + self.flowing
        return slots_taken < limits.slots and self.memory + need <= limits.memory_tokens

    def prefill_cost_s(self, usual_s: float) -> float:
        """Give what a prompt waits here before it is read, and slows down by its reading."""
        others = BEHIND_PROMPT * self.prompts + FLOWING_COST * self.flowing
        return self.to_read_s + usual_s * (others + COPY_COST * self.copies)
