"""Loopback addresses for the servers of tests."""

from __future__ import annotations

import contextlib
import itertools
import os
import socket

from lagoonlever.http.messages import Address

FIRST_PORT = 12_000
"""Below the ports that the kernel gives to outgoing connections, from 32,768 on."""
PORTS_OF_WORKER = 2_000
_ports = itertools.count()


def free_address(host: str = "127.0.0.1") -> Address:
    """Return a loopback address that nothing listens on, nor will before it is used.

    A port that the kernel picks may be given to another connection between this and the
    use of it; so each test worker takes ports of a range of its own, in turn.
    """
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    first = FIRST_PORT + worker % 10 * PORTS_OF_WORKER
    while True:
        address = Address(host=host, port=first + next(_ports) % PORTS_OF_WORKER)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((address.host, address.port))
            return address
