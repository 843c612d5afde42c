"""What the stand-in of a target says of itself in its answers."""

from __future__ import annotations

import attrs

from lagoonlever.platform.headers import LIMIT


@attrs.define(kw_only=True)
class TargetWords:
    """Each as it stands in its field, so that it may be wrong; None is a field that is not sent."""

    limit: str | None = None
    """The requests a second that it takes."""

    def fields(self) -> tuple[tuple[str, str], ...]:
        """Give the fields of its answers."""
        return () if self.limit is None else ((LIMIT, self.limit),)
