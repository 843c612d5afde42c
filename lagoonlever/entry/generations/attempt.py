"""One attempt at one engine: the connection, the stream's events, and the cancel at the end."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import trio

from lagoonlever.decisions.streams.generation_messages import Dispatch, GenerationSpec
from lagoonlever.entry.callers.chunk_reader import ChunkReader
from lagoonlever.exceptions import ConnectFailed, PeerError
from lagoonlever.http.client import ClientConnection, fetch
from lagoonlever.http.messages import Address
from lagoonlever.targets.completions import (
    COMPLETIONS_PATH,
    JSON_HEADERS,
    EngineChunk,
    cancel_path,
    completion_body,
    reattach_path,
)

STREAM_STEP = "stream a completion"
REATTACH_STEP = "take up a stream"
CANCEL_STEP = "cancel a stream"
CANCEL_TIMEOUT_S = 2.0
CANCEL_PAUSES_S = (0.25, 0.5, 1.0, 2.0, 4.0, 5.0, 5.0, 5.0, 5.0)
"""Before each further try: short at first, as a path that was lost is often back soon."""

ChunkHandler = Callable[[EngineChunk], None]


@attrs.define(kw_only=True)
class EngineAttempt:
    """Runs one dispatch; every chunk goes to ``on_chunk`` in its order."""

    _spec: GenerationSpec
    _dispatch: Dispatch
    _address: Address
    _on_chunk: ChunkHandler
    _before_write: Callable[[], bool]
    """Asked on the open connection; False means that nothing may be written any more."""
    _priority: int = 0

    @property
    def _step(self) -> str:
        return REATTACH_STEP if self._dispatch.reattach else STREAM_STEP

    async def run(self) -> None:
        """Return at the stream's proper end; raise a ``PeerError`` at any other.

        ``ConnectFailed`` proves that the engine received nothing. The connection is
        fresh: on a reused one, a close that crosses the request leaves in doubt
        whether the engine began.
        """
        async with await ClientConnection.open(self._address) as connection:
            if not self._before_write():
                raise ConnectFailed("takes no new work", step=self._step, peer=str(self._address))
            if self._dispatch.reattach:
                await self._reattach(connection)
            else:
                await self._start(connection)
            await self._read(connection)

    async def _start(self, connection: ClientConnection) -> None:
        await connection.start(
            method="POST",
            path=COMPLETIONS_PATH,
            headers=JSON_HEADERS,
            body=completion_body(self._spec, self._dispatch, priority=self._priority),
            step=self._step,
        )

    async def _reattach(self, connection: ClientConnection) -> None:
        path = reattach_path(
            self._spec, self._dispatch.attempt, starting_after=self._dispatch.reattach_after
        )
        await connection.start(method="GET", path=path, step=self._step)

    async def _read(self, connection: ClientConnection) -> None:
        reader = ChunkReader(connection=connection, step=self._step)
        await reader.read_head()
        while (chunk := await reader.next_chunk()) is not None:
            self._on_chunk(chunk)


async def cancel_stream(engine: Address, name: str) -> bool:
    """Cancel a stream at its engine; return whether the engine answered.

    Guards against an engine that goes on with an answer that nobody reads: one that was frozen, or
    one whose path was lost, which looks like an engine that has ended.
    """
    if await _cancel_once(engine, name):
        return True
    for pause_s in CANCEL_PAUSES_S:
        await trio.sleep(pause_s)
        if await _cancel_once(engine, name):
            return True
    return False


async def _cancel_once(engine: Address, name: str) -> bool:
    try:
        await fetch(
            engine,
            method="POST",
            path=cancel_path(name),
            step=CANCEL_STEP,
            timeout_s=CANCEL_TIMEOUT_S,
        )
    except PeerError:
        return False
    return True
