"""Keeps the parts of a daemon running."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import logbook
import trio

from lagoonlever.gateway import events

log = logbook.Logger(__name__)

RESTART_S = 0.5
"""Before a part that failed is started again: a fault that repeats must not spin."""


async def run_part(name: str, part: Callable[[], Awaitable[None]]) -> None:
    """Run a part until it ends by itself or is cancelled; start it again after a fault.

    Guards against a fault of ours in one part, such as an answer of an outside system
    that was not foreseen: without it the whole process would end, and with it every
    request that it serves.
    """
    while True:
        try:
            await part()
            return
        except Exception:
            events.PART_FAILED.log(log, part=name, exc_info=True)
        await trio.sleep(RESTART_S)
