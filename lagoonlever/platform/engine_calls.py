"""The calls on an engine beside requests: its report of itself, the prompts that it keeps."""

from __future__ import annotations

from typing import Any

import msgspec

from lagoonlever.gateway.messages import EngineReport, RunReport
from lagoonlever.platform.targets import DRAINING

REPORT_PATH = "/-/report"
KEPT_PATH = "/-/kv-list"
COPY_PATH = "/-/kv-move"
FREE_PATH = "/-/kv-handle/"


class Report(msgspec.Struct, rename="pascal", kw_only=True):
    """``kv_used`` is the memory that cannot yield to other requests, in tokens."""

    born: int | None = msgspec.field(name="born", default=None)
    """The start of the process, in Unix milliseconds; some engines don't tell it."""
    queued: int = 0
    running: int = 0
    kv_used: int = 0
    kv_total: int = 0
    state: Any = None
    """``ready`` or ``draining``; anything else tells nothing, and spoils no report."""
    runs: list[tuple[str, int, int, int]] = []
    """Each run: its request, tokens in memory, events made, priority."""


class CopyAsk(msgspec.Struct, rename="pascal", kw_only=True):
    """Asks an engine to copy a run to another one; without ``last`` the run goes on."""

    id: str
    """Of the request that the run serves."""
    to: str
    last: bool = False


class CopyMade(msgspec.Struct, rename="pascal", kw_only=True):
    """``handle`` names the copy at the engine that made it, not at the one that holds it."""

    handle: str
    created: int = 0
    """Events that the copy covers; no time."""


class Kept(msgspec.Struct, kw_only=True):
    """The parts of prompts in an engine's memory; an entry begins with a text that is empty."""

    held: list[tuple[str, str, int, str]] = []
    """Each part: nothing, its id, its tokens that are kept, its model."""


def read_kept(raw: Kept) -> dict[str, int]:
    """Give the tokens that an engine keeps, by the id of the part."""
    return {part: tokens for _, part, tokens, _ in raw.held}


def read_report(raw: Report) -> EngineReport:
    """Give the product's form of a report."""
    return EngineReport(
        running=raw.running,
        waiting=raw.queued,
        memory_used=raw.kv_used,
        memory_total=raw.kv_total,
        started_ms=raw.born,
        leaves=raw.state == DRAINING,
        runs=tuple(RunReport(request_id=r[0], tokens=r[1], events=r[2]) for r in raw.runs),
    )
