"""A VM that is told to reload while it starts."""

from __future__ import annotations

import signal
import subprocess
import sys

LOADS_SLOWLY = """
from lagoonlever.gateway.early_signals import ignore_reloads
ignore_reloads()
print("loading", flush=True)
import time
time.sleep(0.3)
"""


def test_a_reload_while_the_program_is_loaded_does_not_end_it() -> None:
    """The platform changes a VM's settings and sends SIGHUP while the VM is starting.

    Before the program waits for signals, SIGHUP ends the process: the VM was gone, to be
    started once more. Found by the soak.
    """
    with subprocess.Popen(
        (sys.executable, "-c", LOADS_SLOWLY), stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == "loading\n"
        process.send_signal(signal.SIGHUP)
        assert process.wait(10) == 0
