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


@HISTORY.message("settings-written")
@attrs.frozen(kw_only=True)
class SettingsWritten(HistoryEvent):
    """The platform holds a version, which a change made of the one before it."""

    version: int
    change: str
    base_version: int


@HISTORY.message("settings-in-force")
@attrs.frozen(kw_only=True)
class SettingsInForce(HistoryEvent):
    """A VM decides by a version from now on; ``digest`` is that of its settings."""

    vm: str
    version: int
    digest: str = ""


@HISTORY.message("settings-work-taken")
@attrs.frozen(kw_only=True)
class SettingsWorkTaken(HistoryEvent):
    """A VM took new work under a version."""

    vm: str
    version: int


@HISTORY.message("settings-unreachable")
@attrs.frozen(kw_only=True)
class SettingsUnreachable(HistoryEvent):
    """From now on a VM reaches neither the platform nor a VM that does, or is stopped."""

    vm: str


@HISTORY.message("settings-reachable")
@attrs.frozen(kw_only=True)
class SettingsReachable(HistoryEvent):
    """From now on a VM reaches the platform, or a VM that does."""

    vm: str
