"""When the soak may ask a process to reload."""

from __future__ import annotations

import signal
import subprocess
import sys

from lagoonlever.soak.signals import heeds

IGNORES = (
    "import signal; signal.signal(signal.SIGHUP, signal.SIG_IGN); print(1, flush=True); input()"
)
PLAIN = "import signal; signal.signal(signal.SIGHUP, signal.SIG_DFL); print(1, flush=True); input()"
"""Whatever it inherits, as from a shell that ignores the signal."""


def _heeds(program: str) -> bool:
    with subprocess.Popen(
        (sys.executable, "-c", program), stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        heeded = heeds(process.pid, signal.SIGHUP)
        process.kill()
    assert not heeds(process.pid, signal.SIGHUP)
    return heeded


def test_a_process_that_would_end_at_a_reload_is_told_from_one_that_ignores_it() -> None:
    """Guards against a SIGHUP of the soak that reaches a VM whose interpreter is still starting."""
    assert _heeds(IGNORES)
    assert not _heeds(PLAIN)
