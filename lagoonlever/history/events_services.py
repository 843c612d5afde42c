"""What callers asked of application services, what they were told, and what VMs wrote.

What a service did is a ``ServiceExecuted``.
"""

from __future__ import annotations

import attrs

from lagoonlever.history.events import HISTORY, HistoryEvent


@attrs.frozen(kw_only=True)
class ServiceCallEvent(HistoryEvent):
    """Base: what one caller saw of one request; copies of a request share its name."""

    caller: str
    request: str


@HISTORY.message("caller-called-service")
@attrs.frozen(kw_only=True)
class CallerCalledService(ServiceCallEvent):
    """A caller sent one copy of a request; ``key`` is empty where it gave none."""

    vm: str
    operation: str
    key: str = ""
    deadline_s: float | None = None


@HISTORY.message("caller-told-of-call")
@attrs.frozen(kw_only=True)
class CallerToldOfCall(ServiceCallEvent):
    """A caller got the final answer to one copy of a request."""

    tag: str
    status: int
    reason: str | None = None
    body: str = ""


@HISTORY.message("dispatch-written")
@attrs.frozen(kw_only=True)
class DispatchWritten(HistoryEvent):
    """A VM is about to write a request that may not be repeated; recorded before the write.

    ``homed_key`` is empty for a request without a key; no two requests share one.
    """

    key: str
    target: str
    homed_key: str = ""
