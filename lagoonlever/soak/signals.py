"""What the kernel says of a process's signals."""

from __future__ import annotations

import signal
from pathlib import Path

MASKS = ("SigIgn", "SigCgt")
"""The signals that a process ignores, and those that it handles, in hexadecimal."""


def heeds(pid: int, number: signal.Signals) -> bool:
    """Check whether a process ignores or handles a signal; False once it is gone."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii", errors="replace")
    except OSError:
        # A process that has ended heeds nothing.
        return False
    fields = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
    ignored, handled = (int(fields.get(mask, "0"), 16) for mask in MASKS)
    return bool((ignored | handled) >> (number - 1) & 1)
