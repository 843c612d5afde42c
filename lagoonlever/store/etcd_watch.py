"""A watch by the etcd gateway: reconnects from the last revision seen, so none is left out."""

from __future__ import annotations

from collections import deque
from http import HTTPStatus

import logbook
import msgspec
import trio

from lagoonlever.exceptions import PeerError, PlatformError, PlatformUnavailable
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Address
from lagoonlever.revisions import Revision
from lagoonlever.store import etcd_wire as wire
from lagoonlever.store.etcd_servers import JSON_HEADERS, EtcdServers
from lagoonlever.store.events import WATCH_SILENT
from lagoonlever.store.port import KeyChange, WatchBatch, WatchCompacted

log = logbook.Logger(__name__)

SILENCE_S = 20.0
"""A watch that was silent for so long is opened anew."""


class EtcdWatch:
    """One watch; owned by one task.

    Guards against a watch that silently stops, as when a server lost it or a
    partition swallowed it: silence looks the same as no change, so after
    ``silence_s`` the watch is opened anew from the revision after the last one
    seen, which loses nothing and costs one call.
    """

    def __init__(
        self,
        *,
        servers: EtcdServers,
        prefix: str,
        after_revision: Revision,
        silence_s: float = SILENCE_S,
    ) -> None:
        self._servers = servers
        self._prefix = prefix.encode()
        self._revision = after_revision
        self._silence_s = silence_s
        self._connection: ClientConnection | None = None
        self._buffer = b""
        self._lines: deque[bytes] = deque()

    async def next(self) -> WatchBatch:
        """Wait for changes; after ``PlatformUnavailable`` the next call goes on from there."""
        while True:
            if self._connection is None:
                self._connection = await self._open()
            with trio.move_on_after(self._silence_s):
                return await self._next_batch(self._connection)
            await self.aclose()
            prefix = self._prefix.decode()
            WATCH_SILENT.log(log, prefix=prefix, silence_s=self._silence_s)

    async def aclose(self) -> None:
        """Stop watching."""
        connection, self._connection = self._connection, None
        self._buffer = b""
        self._lines.clear()
        if connection is not None:
            await connection.aclose()

    async def _open(self) -> ClientConnection:
        errors: list[str] = []
        for address in self._servers.in_turn():
            try:
                connection = await self._open_at(address)
            except PeerError as error:
                self._servers.count("watch", "error")
                errors.append(str(error))
                continue
            self._servers.count("watch", "ok")
            self._servers.reached(address)
            return connection
        raise self._servers.unavailable(errors, step="watch")

    async def _open_at(self, address: Address) -> ClientConnection:
        create = wire.WatchCreateRequest(
            key=wire.to_base64(self._prefix),
            range_end=wire.to_base64(wire.prefix_end(self._prefix)),
            start_revision=str(self._revision.number + 1),
        )
        body = wire.encode(wire.WatchRequest(create_request=create))
        timeout_s = self._servers.timeout_s
        connection = await ClientConnection.open(address, timeout_s=timeout_s)
        with trio.move_on_after(timeout_s):
            try:
                await connection.start(
                    method="POST",
                    path=wire.WATCH_PATH,
                    headers=JSON_HEADERS,
                    body=body,
                    step="watch",
                )
                if (await connection.read_head()).status == HTTPStatus.OK:
                    return connection
            except BaseException:
                # A cancellation too must not leave the connection open: the caller
                # gets it only once the watch is open.
                await connection.aclose()
                raise
        await connection.aclose()
        raise PlatformUnavailable("did not open the watch", step="watch", peer=str(address))

    async def _next_batch(self, connection: ClientConnection) -> WatchBatch:
        peer = str(connection.address)
        try:
            while not self._lines:
                self._feed(await connection.next_piece(), peer=peer)
            piece = msgspec.json.decode(self._lines.popleft(), type=wire.WatchPiece).result
            return self._batch(piece, peer=peer)
        except PlatformError:
            await self.aclose()
            raise
        except (PeerError, msgspec.MsgspecError) as error:
            await self.aclose()
            message = error.message if isinstance(error, PeerError) else str(error)
            raise PlatformUnavailable(message, step="watch", peer=peer) from error

    def _feed(self, piece: bytes | None, *, peer: str) -> None:
        if piece is None:
            raise PlatformUnavailable("ended the watch", step="watch", peer=peer)
        *lines, self._buffer = (self._buffer + piece).split(b"\n")
        self._lines.extend(line for line in lines if line.strip())

    def _batch(self, piece: wire.WatchResponse, *, peer: str) -> WatchBatch:
        if int(piece.compact_revision):
            text = f"changes up to {piece.compact_revision} are gone"
            raise WatchCompacted(text, step="watch", peer=peer)
        if piece.canceled:
            raise PlatformUnavailable("cancelled the watch", step="watch", peer=peer)
        changes = tuple(_change(event) for event in piece.events)
        if changes:
            self._revision = max(self._revision, changes[-1].revision)
        elif not piece.created:
            self._revision = max(self._revision, Revision(number=int(piece.header.revision)))
        return WatchBatch(revision=self._revision, changes=changes)


def _change(event: wire.WireEvent) -> KeyChange:
    entry = wire.key_value(event.kv)
    deleted = event.type == wire.DELETE
    return KeyChange(key=entry.key, revision=entry.revision, entry=None if deleted else entry)
