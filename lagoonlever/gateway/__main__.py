"""``python3 -m lagoonlever.gateway``: the gateway as VMs run it, listening before it is loaded."""

from __future__ import annotations

import sys

from lagoonlever.gateway.early_signals import ignore_reloads
from lagoonlever.platform.early_sockets import open_early

if __name__ == "__main__":
    ignore_reloads()
    listening = open_early()
    from lagoonlever.gateway.program import run_gateway

    sys.exit(run_gateway(sockets=listening))
