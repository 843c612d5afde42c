"""``python3 -m lagoonlever.gateway``: the gateway as VMs run it, listening before it is loaded."""

from __future__ import annotations

import gc
import sys

from lagoonlever.gateway.early_signals import ignore_reloads
from lagoonlever.platform.early_sockets import open_early

if __name__ == "__main__":
    # What the imports make lives as long as the process. The garbage collector would go
    # through it again and again while it grows: 10% of the processor time of a start
    # (0.58 s and 0.51 s in the mean of three, on a busy machine); and at each full
    # collection later on, where it is left out once it is frozen.
    gc.disable()
    ignore_reloads()
    listening = open_early()
    from lagoonlever.gateway.program import run_gateway

    gc.freeze()
    gc.enable()
    sys.exit(run_gateway(sockets=listening))
