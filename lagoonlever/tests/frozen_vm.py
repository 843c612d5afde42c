"""A process that stands still at any point of its work on one request, as its targets read on."""

from __future__ import annotations

import contextlib
import sys
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from types import FrameType
from typing import Any

import attrs
import trio

from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners

WATCHED_CODE = ("/lagoonlever/gateway/", "/lagoonlever/http/")
"""Where a request is judged, written and answered."""
START_S = 10.0

Serve = Callable[[list[trio.SocketListener]], Awaitable[None]]


@contextlib.contextmanager
def outside_target(serve: Serve, address: Address) -> Iterator[None]:
    """Run a target in a thread of its own until the block ends."""
    started = threading.Event()
    stop: list[Callable[[], None]] = []

    async def main() -> None:
        listeners = await open_listeners(host=address.host, port=address.port)
        token = trio.lowlevel.current_trio_token()
        with trio.CancelScope() as scope:
            stop.append(lambda: token.run_sync_soon(scope.cancel))
            started.set()
            await serve(listeners)
        for listener in listeners:
            await listener.aclose()

    thread = threading.Thread(target=trio.run, args=(main,), daemon=True)
    thread.start()
    if not started.wait(START_S):
        raise RuntimeError(f"nothing serves at {address}")
    try:
        yield
    finally:
        stop[0]()
        thread.join()


@attrs.define(kw_only=True, eq=False)
class Freezer:
    """Counts the points of the work on one request, and stands still at one of them.

    A point is a call or a return of a function, and so each place too where a task waits.
    """

    at: int
    """The point; 0 for none."""
    seconds: float
    points: int = 0
    _task: trio.lowlevel.Task | None = None

    @property
    def has_frozen(self) -> bool:
        """Whether the point was reached."""
        return 0 < self.at <= self.points

    def watch(self) -> None:
        """Count from here on what the current task and its children do."""
        self._task = trio.lowlevel.current_task()

    @contextlib.contextmanager
    def watching(self) -> Iterator[None]:
        """Look at each call and return of this thread within the block."""
        sys.setprofile(self._look)
        try:
            yield
        finally:
            sys.setprofile(None)

    def _look(self, frame: FrameType, event: str, _: Any) -> None:
        if event not in ("call", "return") or not self._is_watched(frame):
            return
        self.points += 1
        if self.points == self.at:
            time.sleep(self.seconds)

    def _is_watched(self, frame: FrameType) -> bool:
        if not any(part in frame.f_code.co_filename for part in WATCHED_CODE):
            return False
        try:
            task: trio.lowlevel.Task | None = trio.lowlevel.current_task()
        except RuntimeError:
            # Between two tasks.
            return False
        while task is not None and task is not self._task:
            task = task.parent_nursery.parent_task if task.parent_nursery else None
        return task is not None
