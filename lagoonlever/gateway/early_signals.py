"""Keeps a process that is still being loaded from ending at a signal that asks for a reload."""

from __future__ import annotations

import signal


def ignore_reloads() -> None:
    """Ignore SIGHUP until the program obeys it.

    Its default is to end the process. A VM whose settings change while it starts would
    be down for a second start. Nothing is lost: the settings are read after this.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
