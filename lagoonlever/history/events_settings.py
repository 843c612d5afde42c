"""Which settings were accepted, and where they came into force."""

from __future__ import annotations

import attrs

from lagoonlever.history.events import HISTORY, HistoryEvent


@HISTORY.message("settings-accepted")
@attrs.frozen(kw_only=True)
class SettingsAccepted(HistoryEvent):
    """An operator was told that a change is accepted as a version."""

    version: int
    change: str


@HISTORY.message("settings-in-force")
@attrs.frozen(kw_only=True)
class SettingsInForce(HistoryEvent):
    """A VM decides by a version from now on."""

    vm: str
    version: int
