"""The gateway of a soak: the product's own, whose connections to targets go over paths of its own.

The paths are proxies of the soak, one for each VM and target, so that one VM may lose them.
"""

from __future__ import annotations

import os
import sys

from lagoonlever.gateway.early_signals import ignore_reloads
from lagoonlever.http.client import ClientConnection, open_stream
from lagoonlever.http.messages import Address
from lagoonlever.platform.early_sockets import open_early

PATH_PORT_VARIABLE = "LAGOONLEVER_SOAK_PATH_PORT"
"""The environment variable that holds the port of this VM's path at each target's machine."""


async def open_target(address: Address, *, timeout_s: float) -> ClientConnection:
    """Connect to a target over this VM's path."""
    path = Address(host=address.host, port=int(os.environ[PATH_PORT_VARIABLE]))
    stream = await open_stream(path, timeout_s=timeout_s)
    return ClientConnection(stream=stream, address=address)


if __name__ == "__main__":
    ignore_reloads()
    listening = open_early()
    from lagoonlever.gateway.program import run_gateway

    sys.exit(run_gateway(sockets=listening, open_target=open_target))
