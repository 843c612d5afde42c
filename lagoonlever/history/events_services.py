"""What callers asked of application services, and what VMs wrote to them.

A caller's outcome is a ``CallerGotOutcome`` with the body in ``text``; what a
service did is a ``ServiceExecuted``.
"""

from __future__ import annotations

import attrs

from lagoonlever.history.events import HISTORY, HistoryEvent
from lagoonlever.history.events_callers import CallerEvent


@HISTORY.message("caller-called-service")
@attrs.frozen(kw_only=True)
class CallerCalledService(CallerEvent):
    """A caller sent one copy of a request; ``key`` is empty where it gave none."""

    vm: str
    operation: str
    key: str = ""
    deadline_s: float | None = None


@HISTORY.message("dispatch-written")
@attrs.frozen(kw_only=True)
class DispatchWritten(HistoryEvent):
    """A VM is about to write a request that may not be repeated; recorded before the write."""

    key: str
    target: str
    home: str = ""
