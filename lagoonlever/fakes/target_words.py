"""What the stand-in of a target says of itself in its answers."""

from __future__ import annotations

import attrs

from lagoonlever.platform.headers import LEAVING, LIMIT, LOAD, REST


@attrs.define(kw_only=True)
class TargetWords:
    """Each as it stands in its field, so that it may be wrong; None is a field that is not sent."""

    limit: str | None = None
    """The requests a second that it takes."""

    leaving: str | None = None
    load: str | None = None
    rest: str | None = None
    """The seconds of rest that it asks for as it turns requests away."""

    def fields(self, *, refusal: bool = False) -> tuple[tuple[str, str], ...]:
        """Give the fields of its answers."""
        said = (
            (LIMIT, self.limit),
            (LEAVING, self.leaving),
            (LOAD, self.load),
            (REST, self.rest if refusal else None),
        )
        return tuple((name, text) for name, text in said if text is not None)
