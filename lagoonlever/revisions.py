"""Places in the history of the platform's store."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True, order=True)
class Revision:
    """A place in a store's history, ordered by its era and then by its number.

    A store that comes back from an older copy begins a new era. It has lost the changes after
    the copy and gives their numbers out again, so a number means nothing without its era.
    """

    era: int = 0
    """How often the store has come back, by its own count; 0 where it doesn't tell."""
    number: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


NOWHERE = Revision()
"""Before the first change of any store."""
