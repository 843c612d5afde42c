"""What the stand-in of a target says of itself in its answers."""

from __future__ import annotations

import attrs

from lagoonlever.fakes.target_room import PLENTY, TargetRoom
from lagoonlever.platform.headers import LEAVING, LIMIT, LOAD, REST, USUAL_PACE

USUAL_SLOTS = 6


@attrs.define(kw_only=True)
class TargetWords:
    """Each as it stands in its field, so that it may be wrong; None is a field that is not sent."""

    limit: str | None = None
    """The requests a second that it takes."""

    leaving: str | None = None
    load: str | None = None
    """Of any figures; the stand-in's own load is told in its place where it tells slowness."""

    rest: str | None = None
    """The seconds of rest that it asks for as it turns requests away."""

    slowness: float | None = None
    """How many times as long as usual its work takes now; None where it tells no load."""

    @property
    def pace(self) -> float:
        """How many times as long as usual its work takes now."""
        return 1.0 if self.slowness is None else self.slowness

    def load_field(self, room: TargetRoom) -> tuple[tuple[str, str], ...]:
        """Give the field that tells the load of four figures, if it tells any."""
        if self.slowness is None:
            return ()
        slots = room.slots if room.slots != PLENTY else USUAL_SLOTS
        pace = f"{self.slowness * USUAL_PACE:.0f}"
        return ((LOAD, f"{room.running},{room.waiting},{slots},{pace}"),)

    def fields(self, *, refusal: bool = False) -> tuple[tuple[str, str], ...]:
        """Give the fields of its answers."""
        said = (
            (LIMIT, self.limit),
            (LEAVING, self.leaving),
            (LOAD, self.load if self.slowness is None else None),
            (REST, self.rest if refusal else None),
        )
        return tuple((name, text) for name, text in said if text is not None)
