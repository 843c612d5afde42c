"""What bounds a server of HTTP: limits on a connection, the server's state, what servers share."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import attrs
import trio

from lagoonlever.decisions.admission.held_memory import (
    Holding,
    MemoryAccount,
    first_to_leave,
    usual_account,
)
from lagoonlever.http.parsing_turns import ParsingTurns

SPARE_PART = 4
"""To one in so many connections beyond the bound it is told that there is no room."""
LEAST_SPARE = 16


@attrs.frozen(kw_only=True)
class ServerLimits:
    """Bounds that keep one caller from harming another; sizes in bytes, times in seconds."""

    body_bytes: int = 4 * 1024 * 1024
    header_bytes: int = 32 * 1024
    header_timeout_s: float = 30.0
    """From the first byte of a request until its head is whole."""
    request_timeout_s: float = 30.0
    """For the body."""
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 30.0
    connections: int = 4096

    @property
    def spare_connections(self) -> int:
        """The connections beyond the bound that are told so, or read to their ends."""
        return max(LEAST_SPARE, self.connections // SPARE_PART)


@attrs.frozen(kw_only=True, eq=False)
class ServerGuard:
    """What all servers of a process share, so that clients together stay within the machine."""

    memory: MemoryAccount = attrs.field(factory=usual_account)
    parsing: ParsingTurns = attrs.field(init=False)

    @parsing.default
    def _make_parsing(self) -> ParsingTurns:
        return ParsingTurns(memory=self.memory)


@attrs.define(kw_only=True)
class ServerState:
    """What the server does now; a planned stop sets ``closing``."""

    closing: bool = False
    """Each response tells the caller to close the connection after it."""
    open_connections: int = 0
    open_exchanges: int = 0
    _holdings: set[Holding] = attrs.field(factory=set)
    _leaving: list[trio.CancelScope] = attrs.field(factory=list)
    """Of connections whose clients may still read their refusal, oldest first."""

    @property
    def leaving_connections(self) -> int:
        """How many connections are refused or have given way, and are not closed yet."""
        return len(self._leaving)

    def admit(self, holding: Holding) -> None:
        """Count a connection that is served."""
        self._holdings.add(holding)
        self.open_connections += 1

    def dismiss(self, holding: Holding) -> None:
        """Count a connection no more; a repeated call has no effect."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self.open_connections -= 1

    @contextlib.contextmanager
    def leaving(self, *, most: int) -> Iterator[None]:
        """Let a client read its refusal; of more than ``most`` the first has had its time."""
        with trio.CancelScope() as scope:
            self._leaving.append(scope)
            for first in self._leaving[:-most]:
                first.cancel()
            try:
                yield
            finally:
                self._leaving.remove(scope)

    def first_to_leave(self, now: float) -> Holding | None:
        """Return whose connection is closed for a new one, or None if all are being served."""
        return first_to_leave(self._holdings, now)
