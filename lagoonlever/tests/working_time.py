"""Bounds a test by what it works, for simulations in virtual time, which never wait.

By the wall clock their bound would tell how many other processes the machine runs.
"""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator
from types import FrameType

WAITS_AT_MOST_S = 900
"""For such a test by the wall clock: one that waits for something that never comes ends too."""


class WorkedTooLong(Exception):
    """A test has used more of the processor's time than it may."""


@contextlib.contextmanager
def works_at_most(seconds: float) -> Iterator[None]:
    """Raise ``WorkedTooLong`` in the main thread once the process has worked for so long.

    The block is left by way of an interrupt, as from the keyboard: trio delivers that to a task.
    Any other exception out of a signal's handler may hit trio's own code, and break its loop.
    """
    over = False

    def interrupt(number: int, frame: FrameType | None) -> None:
        nonlocal over
        over = True
        signal.raise_signal(signal.SIGINT)

    former = signal.signal(signal.SIGPROF, interrupt)
    former_interrupt = signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.setitimer(signal.ITIMER_PROF, seconds)
    try:
        yield
    except BaseException as error:
        if not over:
            raise
        raise WorkedTooLong(f"more than {seconds:g} s of the processor's time") from error
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        signal.signal(signal.SIGINT, former_interrupt)
        signal.signal(signal.SIGPROF, former)
