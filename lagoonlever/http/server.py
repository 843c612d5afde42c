"""The server side of HTTP: h11 over trio, one task a connection."""

from __future__ import annotations

import socket
from collections.abc import Callable

import logbook
import trio

from lagoonlever.decisions.admission.held_memory import Holding
from lagoonlever.events import event
from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.exchange import CallerGone, Handler, HeadCheck
from lagoonlever.http.refusals import OVERLOADED
from lagoonlever.http.server_connection import ServerConnection
from lagoonlever.http.server_limits import ServerGuard, ServerLimits, ServerState

log = logbook.Logger(__name__)

CONNECTION_FAULT = event(
    111,
    "connection-fault",
    "error",
    "The connection {peer} met a fault within this process and was closed.",
    "A fault of the system itself; other connections go on. Report it with the lines around.",
)

RECEIVE_BUFFER_BYTES = 64 * 1024
"""What the kernel may hold of a connection that nobody reads; it takes this twice."""

LimitsSource = Callable[[], ServerLimits]
"""Gives the limits in force; a connection keeps those that held as it was opened."""


async def _turn_away(connection: ServerConnection) -> None:
    """Tell a caller beyond the bound that nothing of its request was run."""
    await connection.refuse(
        RequestRefused(status=OVERLOADED, message="this VM has as many connections as it may")
    )


async def serve_http(
    *,
    handler: Handler,
    listeners: list[trio.SocketListener],
    limits: ServerLimits | LimitsSource,
    state: ServerState,
    guard: ServerGuard | None = None,
    check_head: HeadCheck | None = None,
    keyed_callers: bool = False,
) -> None:
    """Serve until cancelled; one caller's error ends only its own connection.

    Once the listeners are closed, connections are served to their ends. ``check_head`` refuses
    requests with long bodies before these are read. With ``keyed_callers`` a request whose head
    was not read counts as one under a key.
    """
    shared = guard or ServerGuard()

    async def serve_one(stream: trio.SocketStream) -> None:
        in_force = limits if isinstance(limits, ServerLimits) else limits()
        holding: Holding | None = None
        try:
            host, port = stream.socket.getpeername()[:2]
            connection = ServerConnection(
                stream=stream,
                peer=f"{host}:{port}",
                limits=in_force,
                state=state,
                guard=shared,
                check_head=check_head,
                keyed_callers=keyed_callers,
            )
            holding = connection.memory.holding
            if _has_room(holding, state, shared, in_force):
                state.admit(holding)
                await connection.serve(handler)
            else:
                await _turn_away(connection)
        except (CallerGone, OSError):
            return
        except Exception:
            # A fault of ours in one connection's task would end the server, and with
            # it every other caller's connection.
            CONNECTION_FAULT.log(log, peer=str(stream.socket), exc_info=True)
        finally:
            if holding is not None:
                state.dismiss(holding)
                shared.memory.close(holding)
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await trio.aclose_forcefully(stream)

    async with trio.open_nursery() as connections:
        try:
            await trio.serve_listeners(serve_one, listeners, handler_nursery=connections)
        except* trio.ClosedResourceError:
            pass


def _has_room(
    holding: Holding, state: ServerState, guard: ServerGuard, limits: ServerLimits
) -> bool:
    """Admit a new connection to the account, if need be in place of one that can be closed."""
    now = trio.current_time()
    if state.open_connections >= limits.connections:
        leaver = state.first_to_leave(now)
        if leaver is None:
            return False
        guard.memory.yield_room(leaver, now=now)
    return guard.memory.open(holding, now=now)


async def open_listeners(*, host: str, port: int) -> list[trio.SocketListener]:
    """Open a listening socket on an IP number; port 0 takes a free one."""
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=512)
    for listener in listeners:
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return listeners
