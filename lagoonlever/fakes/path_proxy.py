"""The path of one VM to one target, as a loopback proxy that can lose it in several ways.

The kernel itself refuses a new connection or lets it hang, as on a real network: a proxy that
accepted and then closed would look like a target that breaks off.
"""

from __future__ import annotations

import contextlib
import enum
import select
import socket
import struct

import attrs
import trio

from lagoonlever.http.client import ClientConnection, open_stream
from lagoonlever.http.messages import Address

PIECE_BYTES = 64 * 1024
BACKLOG = 128
FILLERS = 2
"""Connections that nobody accepts, which fill a queue of the least length."""
POLL_S = 0.01
RESET_BY_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER without time: closing then resets the connection."""


class PathState(enum.Enum):
    """What becomes of bytes and of new connections."""

    OPEN = "open"
    SILENT = "silent"
    """New connections hang; open ones carry nothing."""
    ONE_WAY = "one-way"
    """New connections hang; what the target sends on open ones is held up."""
    RESET = "reset"
    """New connections are refused; open ones are reset."""
    REFUSED = "refused"
    """New connections are refused; open ones live on."""


_HANGS = (PathState.SILENT, PathState.ONE_WAY)
_REFUSES = (PathState.RESET, PathState.REFUSED)


@attrs.define(kw_only=True, eq=False)
class PathProxy:
    """Forwards connections from ``listen`` to ``target`` as its state allows."""

    listen: Address
    target: Address
    _state: PathState = PathState.OPEN
    _started: bool = False
    _target_down: bool = False
    """Nobody listens at the target's address, so new connections are refused."""
    _listener: trio.socket.SocketType | None = None
    _fillers: list[socket.socket] = attrs.field(factory=list)
    _open: set[trio.SocketStream] = attrs.field(factory=set)
    _changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def state(self) -> PathState:
        """What the path does now."""
        return self._state

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        self._started = True
        self._listen()
        task_status.started()
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    await self._accept(nursery)
        finally:
            self._close_listener()

    def set(self, state: PathState) -> None:
        """Put the path into a state; one that does not run yet begins in it."""
        self._state = state
        if not self._started:
            return
        self._close_listener()
        if state is PathState.RESET:
            self._reset_open()
        self._listen_again()

    def set_target_down(self, down: bool) -> None:
        """Record whether the target's process is gone; nothing else of the path changes."""
        self._target_down = down
        if self._started:
            self._close_listener()
            self._listen_again()

    async def open(self, address: Address, *, timeout_s: float) -> ClientConnection:
        """Connect over this path; the connection counts as one to ``address``."""
        stream = await open_stream(self.listen, timeout_s=timeout_s)
        return ClientConnection(stream=stream, address=address)

    def _listen_again(self) -> None:
        self._listen()
        self._changed.set()
        self._changed = trio.Event()

    def _listen(self) -> None:
        """Listen as the state says: with room for new connections, without it, or not at all."""
        hangs = self._state in _HANGS
        if self._state not in _REFUSES and (hangs or not self._target_down):
            self._listener = self._new_listener()
        if hangs:
            self._fill()

    def _new_listener(self) -> trio.socket.SocketType:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.listen.host, self.listen.port))
        listener.listen(0 if self._state in _HANGS else BACKLOG)
        return trio.socket.from_stdlib_socket(listener)

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        while self._fillers:
            self._fillers.pop().close()

    def _fill(self) -> None:
        """Fill the queue of new connections, so that the kernel drops those of others."""
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((self.listen.host, self.listen.port))
            self._fillers.append(filler)

    async def _accept(self, nursery: trio.Nursery) -> None:
        """Accept one connection, unless the state changes first or takes none."""
        changed, listener = self._changed, self._listener
        if listener is None or self._state in _HANGS:
            await changed.wait()
            return
        try:
            accepted, _ = await listener.accept()
        except (trio.ClosedResourceError, OSError):
            # The state has changed.
            return
        nursery.start_soon(self._serve, trio.SocketStream(accepted))

    async def _serve(self, caller: trio.SocketStream) -> None:
        try:
            target = await trio.open_tcp_stream(self.target.host, self.target.port)
        except OSError:
            # The target is down; the caller sees its connection reset.
            _reset(caller)
            return
        pair = {caller, target}
        self._open |= pair
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, caller, target, (PathState.SILENT,))
                nursery.start_soon(self._pump, target, caller, _HANGS)
        finally:
            self._open -= pair
            for stream in pair:
                await trio.aclose_forcefully(stream)

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, held_by: tuple[PathState, ...]
    ) -> None:
        try:
            while piece := await source.receive_some(PIECE_BYTES):
                await self._hold(held_by, source)
                await sink.send_all(piece)
            await self._hold(held_by, source)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # One side broke or was reset; the other side is to see that too, by the same path.
            await self._until_open(held_by)
            for stream in (source, sink):
                _reset(stream)

    async def _hold(self, held_by: tuple[PathState, ...], source: trio.SocketStream) -> None:
        """Wait while the path carries nothing; what is held is lost if its sender resets."""
        if self._state not in held_by:
            return
        await self._until_open(held_by)
        if is_reset(source):
            raise trio.BrokenResourceError

    async def _until_open(self, held_by: tuple[PathState, ...]) -> None:
        while self._state in held_by:  # noqa: ASYNC110 - the state changes from outside
            await trio.sleep(POLL_S)

    def _reset_open(self) -> None:
        for stream in self._open:
            _reset(stream)


def is_reset(stream: trio.SocketStream) -> bool:
    """Check whether a connection is reset, by either side; nothing is taken from it."""
    if stream.socket.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(stream.socket.fileno(), 0)
    return any(event & select.POLLERR for _, event in poll.poll(0))


def _reset(stream: trio.SocketStream) -> None:
    """Reset a connection; one that has ended by itself is left as it is."""
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_BY_CLOSE)
    stream.socket.close()
