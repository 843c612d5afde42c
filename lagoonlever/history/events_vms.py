"""What entry VMs did with requests, and when they stopped or were paused."""

from __future__ import annotations

import attrs

from lagoonlever.history.events import HISTORY, HistoryEvent


@HISTORY.message("attempt-dispatched")
@attrs.frozen(kw_only=True)
class AttemptDispatched(HistoryEvent):
    """A VM is about to write an attempt to a target."""

    request: str
    generation: int
    attempt: int
    target: str
    seed: int
    model_version: str | None = None
    """The version that the attempt must have; None where any will do."""
    prefix_tokens: int = 0
    prefix_digest: int = 0
    hedge: bool = False


@HISTORY.message("decided-not-run")
@attrs.frozen(kw_only=True)
class DecidedNotRun(HistoryEvent):
    """A VM decided to tell a caller that its request was not run."""

    request: str
    reason: str


@HISTORY.message("vm-stop-began")
@attrs.frozen(kw_only=True)
class VmStopBegan(HistoryEvent):
    """A VM was told to stop; its planned stop cuts no request."""

    vm: str
    address: str = ""
    """Where its callers connect."""


@HISTORY.message("vm-stop-ended")
@attrs.frozen(kw_only=True)
class VmStopEnded(HistoryEvent):
    """A VM's process ends; ``open_requests`` are those it still held."""

    vm: str
    open_requests: int = 0


@HISTORY.message("vm-paused")
@attrs.frozen(kw_only=True)
class VmPaused(HistoryEvent):
    """A VM noticed that its process had been paused."""

    vm: str
    seconds: float
