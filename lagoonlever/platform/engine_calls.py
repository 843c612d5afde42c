"""The calls on an engine beside requests: its report of itself, the prompts that it keeps."""

from __future__ import annotations

from typing import Any

import msgspec

from lagoonlever.gateway.messages import EngineReport, RunReport
from lagoonlever.http.messages import MOST_COUNT
from lagoonlever.platform.targets import DRAINING

REPORT_PATH = "/-/report"
KEPT_PATH = "/-/kv-list"
COPY_PATH = "/-/kv-move"
FREE_PATH = "/-/kv-handle/"
MS = 1000.0


class Report(msgspec.Struct, rename="pascal", kw_only=True):
    """``kv_used`` is the memory that cannot yield to other requests, in tokens.

    An odd value tells nothing, and spoils no report.
    """

    born: Any = msgspec.field(name="born", default=None)
    """The start of the process, in Unix milliseconds; some engines don't tell it."""
    queued: Any = 0
    running: Any = 0
    kv_used: Any = 0
    kv_total: Any = 0
    state: Any = None
    """``ready`` or ``draining``; anything else tells nothing."""
    leaves_ms: Any = msgspec.field(name="leaves_ms", default=None)
    """Milliseconds until the engine leaves, where it knows."""
    next: Any = None
    """The tokens of the first request that waits."""
    runs: Any = ()
    """Each run: its request, tokens in memory, events made, priority."""


class CopyAsk(msgspec.Struct, rename="pascal", kw_only=True):
    """Asks an engine to copy a run to another one; with ``last`` it stops the run first."""

    id: str
    """Of the request that the run serves."""
    to: str
    last: bool = False


class CopyMade(msgspec.Struct, rename="pascal", kw_only=True):
    """``handle`` names the copy at the engine that made it, not at the one that holds it."""

    handle: str = ""
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
    """Return the product's form of a report."""
    leaves_ms = _amount(raw.leaves_ms)
    first_waiting = _amount(raw.next)
    runs = raw.runs if isinstance(raw.runs, list) else []
    return EngineReport(
        running=_count(raw.running) or 0,
        waiting=_count(raw.queued) or 0,
        memory_used=_count(raw.kv_used) or 0,
        memory_total=_count(raw.kv_total) or 0,
        started_ms=_count(raw.born),
        leaves=raw.state == DRAINING,
        leaves_in_s=None if leaves_ms is None else leaves_ms / MS,
        first_waiting=round(first_waiting) if first_waiting else None,
        runs=tuple(run for run in map(_run, runs) if run is not None),
    )


def _run(raw: Any) -> RunReport | None:
    match raw:
        case [str(request_id), tokens, events, *_]:
            read, made = _count(tokens), _count(events)
        case _:
            return None
    if read is None or made is None:
        return None
    return RunReport(request_id=request_id, tokens=read, events=made)


def _count(raw: Any) -> int | None:
    """Return a whole number of a report, or None for an odd value."""
    amount = _amount(raw)
    return raw if amount is not None and isinstance(raw, int) else None


def _amount(raw: Any) -> float | None:
    """Return a number of a report, or None for an odd value."""
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        return None
    return float(raw) if 0 <= raw <= MOST_COUNT else None
