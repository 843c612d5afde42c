"""One attempt at one engine: the connection, the stream's events, and the cancel at the end."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import msgspec
import trio

from lagoonlever.decisions.generation_messages import Dispatch, GenerationSpec
from lagoonlever.exceptions import BadResponse, ConnectFailed, PeerError
from lagoonlever.http.client import ClientConnection, fetch
from lagoonlever.http.messages import Address
from lagoonlever.http.sse import DONE_DATA, EventParser
from lagoonlever.targets.completions import (
    COMPLETIONS_PATH,
    JSON_HEADERS,
    EngineChunk,
    cancel_path,
    completion_body,
    decode_chunk,
    reattach_path,
)

STATUS_OK = 200
STATUS_BUSY = frozenset({429, 503})
STREAM_STEP = "stream a completion"
REATTACH_STEP = "take up a stream"
CANCEL_STEP = "cancel a stream"
CANCEL_TIMEOUT_S = 2.0
CANCEL_RETRY_S = 5.0
CANCEL_TRIES = 6

ChunkHandler = Callable[[EngineChunk], None]


class EngineRefused(BadResponse):
    """The engine answered with an error status; ``busy`` where it may take the work later."""

    def __init__(self, message: str, *, step: str, peer: str, status: int) -> None:
        self.status = status
        super().__init__(message, step=step, peer=peer)

    @property
    def busy(self) -> bool:
        """Whether the engine only lacked room."""
        return self.status in STATUS_BUSY


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

    async def run(self) -> None:
        """Return at the stream's proper end; raise a ``PeerError`` at any other.

        ``ConnectFailed`` proves that the engine received nothing. The connection is
        fresh: on a reused one, a close that crosses the request leaves in doubt
        whether the engine began.
        """
        connection = await ClientConnection.open(self._address)
        try:
            if not self._before_write():
                raise ConnectFailed("takes no new work", step=STREAM_STEP, peer=str(self._address))
            if self._dispatch.reattach:
                await self._reattach(connection)
            else:
                await self._start(connection)
            await self._read(connection)
        finally:
            with trio.CancelScope(shield=True):
                await connection.aclose()

    async def _start(self, connection: ClientConnection) -> None:
        await connection.start(
            method="POST",
            path=COMPLETIONS_PATH,
            headers=JSON_HEADERS,
            body=completion_body(self._spec, self._dispatch, priority=self._priority),
            step=STREAM_STEP,
        )

    async def _reattach(self, connection: ClientConnection) -> None:
        path = reattach_path(
            self._spec, self._dispatch.attempt, starting_after=self._dispatch.reattach_after
        )
        await connection.start(method="GET", path=path, step=REATTACH_STEP)

    async def _read(self, connection: ClientConnection) -> None:
        head = await connection.read_head()
        if head.status != STATUS_OK:
            raise EngineRefused(
                f"status {head.status}",
                step=STREAM_STEP,
                peer=str(self._address),
                status=head.status,
            )
        parser = EventParser()
        while (piece := await connection.next_piece()) is not None:
            for event in parser.feed(piece):
                if event.data == DONE_DATA:
                    return
                self._on_chunk(self._decode(event.data))
        raise BadResponse("ended without its end marker", step=STREAM_STEP, peer=str(self._address))

    def _decode(self, data: bytes) -> EngineChunk:
        try:
            return decode_chunk(data)
        except msgspec.MsgspecError as error:
            raise BadResponse(str(error), step=STREAM_STEP, peer=str(self._address)) from error


async def cancel_stream(engine: Address, name: str) -> bool:
    """Cancel a stream at its engine; gives whether the engine answered.

    Tried again for a while: a frozen engine that thaws would go on generating
    an answer that nobody reads, up to its full length.
    """
    for tries in range(CANCEL_TRIES):
        if tries:
            await trio.sleep(CANCEL_RETRY_S)
        try:
            await fetch(
                engine,
                method="POST",
                path=cancel_path(name),
                step=CANCEL_STEP,
                timeout_s=CANCEL_TIMEOUT_S,
            )
        except ConnectFailed:
            return False
        except PeerError:
            continue
        return True
    return False
