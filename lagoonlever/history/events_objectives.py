"""What counted towards the service-level objectives, for the report on burn."""

from __future__ import annotations

import attrs

from lagoonlever.history.events import HISTORY, HistoryEvent


@HISTORY.message("objective-counted")
@attrs.frozen(kw_only=True)
class ObjectiveCounted(HistoryEvent):
    """A VM judged one event of an organisation as good or bad for an objective."""

    organisation: str
    objective: str
    good: bool
