"""What targets did, and when the list of VMs told that they leave."""

from __future__ import annotations

import attrs

from lagoonlever.history.events import HISTORY, HistoryEvent


@HISTORY.message("engine-took")
@attrs.frozen(kw_only=True)
class EngineTook(HistoryEvent):
    """An engine took a stream."""

    target: str
    stream: str
    prompt_tokens: int
    max_tokens: int
    seed: int
    model_version: str


@HISTORY.message("engine-produced")
@attrs.frozen(kw_only=True)
class EngineProduced(HistoryEvent):
    """An engine computed output tokens; ``offset`` counts within its stream."""

    target: str
    stream: str
    offset: int
    token_ids: tuple[int, ...]


@HISTORY.message("service-executed")
@attrs.frozen(kw_only=True)
class ServiceExecuted(HistoryEvent):
    """An application service executed a call; a key executed twice ran twice."""

    target: str
    key: str
    operation: str
    request: str | None = None


@HISTORY.message("target-listed")
@attrs.frozen(kw_only=True)
class TargetListed(HistoryEvent):
    """The platform's list gives a target in a state: live, leaving or gone."""

    target: str
    state: str


@HISTORY.message("fault-injected")
@attrs.frozen(kw_only=True)
class FaultInjected(HistoryEvent):
    """A test or a benchmark brought a fault about."""

    place: str
    kind: str
