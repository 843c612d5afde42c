"""``python3 -m lagoonlever.gateway``: the gateway as VMs run it, listening before it is loaded."""

from __future__ import annotations

import sys

from lagoonlever.platform.early_sockets import open_early

if __name__ == "__main__":
    listening = open_early()
    from lagoonlever.gateway.program import run_gateway

    sys.exit(run_gateway(sockets=listening))
