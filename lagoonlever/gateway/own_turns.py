"""Waits for another VM's answer in this process's own turns.

A process that was paused finds every answer late, while the answers wait in its sockets. By the
wall clock it would take a VM for silent that has answered at once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import trio

T = TypeVar("T")

TURNS = 5
"""A pause takes up one of them, however long it is."""
PAUSE_FACTOR = 2.0
"""A turn that took this many times as long was a pause."""


async def receive_within(
    receive: trio.MemoryReceiveChannel[T], seconds: float, *, ask_again: Callable[[], None]
) -> T | None:
    """Return what comes within some seconds of this process's own turns, or None.

    ``ask_again`` is called after a pause, in which the question may have expired on its way.
    """
    turn_s = seconds / TURNS
    for _ in range(TURNS):
        began = trio.current_time()
        with trio.move_on_after(turn_s):
            return await receive.receive()
        if trio.current_time() - began > PAUSE_FACTOR * turn_s:
            ask_again()
    return None
