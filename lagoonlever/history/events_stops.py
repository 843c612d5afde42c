"""What callers saw of VMs that were stopping: addresses given to them, and connections lost."""

from __future__ import annotations

import attrs

from lagoonlever.history.events import HISTORY, HistoryEvent


@HISTORY.message("caller-told-addresses")
@attrs.frozen(kw_only=True)
class CallerToldAddresses(HistoryEvent):
    """A caller was told which VMs to use for ``lifetime_s`` seconds."""

    caller: str
    addresses: tuple[str, ...]
    lifetime_s: float


@HISTORY.message("caller-cut")
@attrs.frozen(kw_only=True)
class CallerCut(HistoryEvent):
    """A caller's connection to a VM ended before the answer on it did."""

    caller: str
    request: str
    address: str


@HISTORY.message("caller-not-connected")
@attrs.frozen(kw_only=True)
class CallerNotConnected(HistoryEvent):
    """A VM's address took no connection."""

    caller: str
    request: str
    address: str
