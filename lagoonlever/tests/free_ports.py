"""Loopback addresses for the servers of tests."""

from __future__ import annotations

import contextlib
import functools
import itertools
import socket
from collections.abc import Iterator

from lagoonlever.http.messages import Address

LOCK_HOST = "127.0.0.1"
FIRST_PORT = 12_000
LAST_PORT = 31_999
"""Below the ports that the kernel gives to outgoing connections, from 32,768 on."""
PORTS_OF_PROCESS = 500


class NoPortsLeft(Exception):
    """Raised if other processes have claimed all ports."""


def free_address(host: str = "127.0.0.1") -> Address:
    """Return a loopback address that nothing listens on, nor will before it is used.

    A port that the kernel picks may be given to another connection between this and the
    use of it; so each process takes the ports of a range of its own, in turn.
    """
    for port in itertools.islice(_own_ports(), PORTS_OF_PROCESS):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return Address(host=host, port=port)
    raise NoPortsLeft


@functools.cache
def _own_ports() -> Iterator[int]:
    """Claim a range of ports until the end of this process, and return an endless round of it."""
    for first in range(FIRST_PORT, LAST_PORT, PORTS_OF_PROCESS):
        lock = socket.socket()
        try:
            lock.bind((LOCK_HOST, first))
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        return itertools.cycle(range(first + 1, first + PORTS_OF_PROCESS))
    raise NoPortsLeft


_locks: list[socket.socket] = []
"""The bound socket whose port shows other processes that its range is taken."""
