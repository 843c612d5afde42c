"""What the stand-in of a target says of itself in its answers."""

from __future__ import annotations

import attrs

from lagoonlever.fakes.target_room import PLENTY, TargetRoom
from lagoonlever.platform.headers import BRITTLE, LEAVING, LIMIT, LOAD, REST, USUAL_PACE

USUAL_SLOTS = 6


@attrs.define(kw_only=True)
class TargetWords:
    """Each as it stands in its field, so that it may be wrong; None is a field that is not sent."""

    limit: str | None = None
    """The requests a second that it takes."""

    brittle: str | None = None
    """The requests a second that it may turn away."""
    leaving: str | None = None
    load: str | None = None
    """Of any figures; the stand-in's own load is told in its place where it tells slowness."""

    rest: str | None = None
    """The seconds of rest that it asks for as it turns requests away."""

    tells_load: bool = False
    """Whether it tells its own load, in three figures where it tells no slowness."""
    slowness: float | None = None
    """How many times as long as usual its work takes now; None where it tells no load."""

    @property
    def pace(self) -> float:
        """How many times as long as usual its work takes now."""
        return 1.0 if self.slowness is None else self.slowness

    def load_field(self, room: TargetRoom) -> tuple[tuple[str, str], ...]:
        """Return the field that tells the target's own load, if it tells any."""
        if self.slowness is None and not self.tells_load:
            return ()
        slots = room.slots if room.slots != PLENTY else USUAL_SLOTS
        figures = f"{room.running},{room.waiting},{slots}"
        if self.slowness is not None:
            figures += f",{self.slowness * USUAL_PACE:.0f}"
        return ((LOAD, figures),)

    def fields(self, *, refusal: bool = False) -> tuple[tuple[str, str], ...]:
        """Give the fields of its answers."""
        said = (
            (LIMIT, self.limit),
            (BRITTLE, self.brittle),
            (LEAVING, self.leaving),
            (LOAD, None if self.tells_load or self.slowness is not None else self.load),
            (REST, self.rest if refusal else None),
        )
        return tuple((name, text) for name, text in said if text is not None)
