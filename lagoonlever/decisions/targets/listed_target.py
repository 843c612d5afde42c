"""An entry of the platform's list of targets, and a change of it."""

from __future__ import annotations

import attrs

from lagoonlever.http.messages import Address
from lagoonlever.revisions import NOWHERE, Revision


@attrs.frozen(kw_only=True)
class ListedTarget:
    """One process of a service, by the id that it drew at its start."""

    id: str
    service: str
    address: Address
    data_center: str
    slots: int = 1
    version: str = ""
    """Of its software."""
    draining: bool = False
    revision: Revision = NOWHERE
    """The store's revision of this entry."""
    started_ms: int | None = None
    """When its process started, by its own clock in Unix milliseconds; None if it doesn't say."""

    def has_started_again(self, since: int | None) -> bool:
        """Tell whether it is known to be another process than one that started then."""
        return None not in (since, self.started_ms) and since != self.started_ms

    def is_later_than(self, started_ms: int | None) -> bool:
        """Tell whether it is known to be a later process than one that started then."""
        if self.started_ms is None or started_ms is None:
            return False
        return self.started_ms > started_ms


@attrs.frozen(kw_only=True)
class TargetChange:
    """A target as it is now, or None where it was removed, by a revision of the store."""

    id: str
    target: ListedTarget | None
    revision: Revision
