"""Opens the sockets that callers connect to before the rest of the program is loaded.

After a crash of every VM at once callers find nobody for as long as the slowest start
takes, and most of a start is loading: a caller whose connection is taken meanwhile
waits in the queue of the socket, one that finds no listener gives up. So this module
uses nothing beyond the standard library's own sockets.
"""

from __future__ import annotations

import os
import socket

PATH_VARIABLE = "LAGOONLEVER_NODE_FILE"
"""The environment variable that names the settings file."""
LISTENED = ("Listen.Front", "Listen.Ready", "Listen.Directory")
RECEIVE_BUFFER_BYTES = 64 * 1024
"""What the kernel may hold of a connection that nobody reads; it takes this twice."""
BACKLOG = 512
"""Connections that wait while the program is loaded."""


def open_early(path: str | None = None) -> dict[str, socket.socket]:
    """Give the listening sockets by address; none for what can't be read or opened.

    Whatever is wrong here is told by the program itself when it reads the settings
    and opens the rest.
    """
    try:
        with open(path or os.environ.get(PATH_VARIABLE, ""), encoding="utf-8") as file:
            lines = file.read().splitlines()
    except (OSError, UnicodeDecodeError):
        return {}
    fields = dict(line.split("=", 1) for line in lines if "=" in line)
    addresses = {fields[name].strip() for name in LISTENED if fields.get(name)}
    opened = {address: _listen(address) for address in addresses}
    return {address: listening for address, listening in opened.items() if listening is not None}


def _listen(address: str) -> socket.socket | None:
    host, _, port = address.rpartition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
        listening.setblocking(False)
    except (OSError, ValueError):
        listening.close()
        return None
    return listening
