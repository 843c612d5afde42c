"""Entries of the platform's list of targets, and changes of them."""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.revisions import NOWHERE, Revision


@attrs.frozen(kw_only=True)
class ListedTarget:
    """One target as the list has it, under the id that its process registered."""

    id: str
    service: str
    address: Address
    data_center: str
    slots: int = 1
    """How many requests it serves at once."""
    version: str | None = ""
    """The version of the process's software; None until an entry names that of this process."""
    draining: bool = False
    """Whether it finishes the work it has and takes no new work."""
    revision: Revision = NOWHERE
    """The store's revision of this entry."""
    started_ms: int | None = None
    """When its process started, by its own clock in Unix milliseconds; None if not reported."""

    def has_restarted_since(self, since: int | None) -> bool:
        """Check whether it is known to be another process than the one that started at ``since``.

        Two processes differ if their starts differ. Without a start of either it returns False.
        """
        return None not in (since, self.started_ms) and since != self.started_ms

    def is_later_than(self, started_ms: int | None) -> bool:
        """Check whether it is known to be a later process than the one that started then."""
        if self.started_ms is None or started_ms is None:
            return False
        return self.started_ms > started_ms


@attrs.frozen(kw_only=True)
class TargetChange:
    """A new state of a target's entry, or None if it was removed, by a revision of the store."""

    id: str
    target: ListedTarget | None
    revision: Revision
