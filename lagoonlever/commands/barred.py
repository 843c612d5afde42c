"""``lagoonlever barred``: the requests that end the targets that run them, by the store."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from typing import Annotated

import msgspec
import typer

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.commands.store_reads import read_store
from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.target_crashes import Crash
from lagoonlever.gateway.crash_records import RECORD_KEY
from lagoonlever.platform.store import MetadataStore


def barred(
    store: Annotated[str, typer.Argument(help="The platform's store, HOST:PORT.")],
) -> None:
    """List the requests under which targets ended, and which of them are refused.

    One line each: fingerprint, ends, the last one, and for how long it is refused; the lines of
    the gateways' logs with that fingerprint tell whose it is. Exits with 3 or 1 if the store
    or what it has can't be read.
    """
    try:
        ends = read_store(store, _read)
    except (msgspec.MsgspecError, RecursionError) as error:
        typer.echo(f"{RECORD_KEY} is none of the gateways': {error}; delete it", err=True)
        raise typer.Exit(ExitCode.FAULTS) from error
    if not ends:
        typer.echo("no request is on record")
        return
    for text in _rows(ends, time.time()):
        typer.echo(text)


async def _read(store: MetadataStore) -> dict[str, dict[str, Crash]]:
    read = await store.get(RECORD_KEY)
    if read.entry is None:
        return {}
    return msgspec.json.decode(read.entry.value, type=dict[str, dict[str, Crash]])


def _rows(ends: dict[str, dict[str, Crash]], now: float) -> list[str]:
    """Give a line for each request, those whose last end was latest first."""
    known = {fingerprint: processes for fingerprint, processes in ends.items() if processes}
    suspects = CrashSuspects()
    suspects.record_reported_crashes(known)
    last = {f: max(end.at for end in processes.values()) for f, processes in known.items()}
    rows = []
    for fingerprint in sorted(last, key=lambda f: -last[f]):
        bar = suspects.find_block(fingerprint, now)
        state = f"refused for {bar.remaining_s:.0f} s" if bar is not None else "may run"
        at = datetime.fromtimestamp(last[fingerprint], UTC).isoformat(timespec="seconds")
        processes = ", ".join(sorted(known[fingerprint]))
        rows.append(
            f"{fingerprint}  {len(known[fingerprint])} ends, last {at}, {state}: {processes}"
        )
    return rows
