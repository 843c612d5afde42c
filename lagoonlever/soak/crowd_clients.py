"""Clients that don't behave: what each kind sends on its connections, and what it is told."""

from __future__ import annotations

import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable, Iterator

import attrs
import trio

from lagoonlever.http.messages import Address
from lagoonlever.soak.deployments import HOST

PIECE_BYTES = 64 * 1024
"""Of what a client hands to its socket at once."""
SHORT_BYTES = 64
"""By which a body stops short of its end."""
TINY_CHUNK = b"2\r\nab\r\n"
FAR_OVER_BYTES = 1_000_000_000
SMALL_RECEIVE_BUFFER = 4096
CONNECT_TRIES = 20
ANSWER_BYTES = 4096
TAKEN_S = 3.0

_numbers = itertools.count()


@attrs.define(kw_only=True, eq=False)
class Client:
    """One connection of a client, and the first bytes that it was answered."""

    address: Address
    key: str
    stream: trio.SocketStream | None = None
    answer: bytes = b""
    settled: bool = False
    """Whether it has done what it came for, or was cut off."""

    @property
    def status(self) -> int | None:
        """The status that it was answered, or None."""
        words = self.answer.split(b" ", 2)
        return int(words[1]) if self.answer.startswith(b"HTTP/1.1 ") and len(words) > 1 else None

    def head(
        self,
        *fields: str,
        method: str = "POST",
        path: str = "/look/1",
        key: str | None = None,
    ) -> bytes:
        """Return the head of a request, with its own API key if no other is named."""
        lines = (
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: crowd-{next(_numbers)}",
            f"Authorization: Bearer {self.key if key is None else key}",
            "Deadline-Ms: 60000",
            *fields,
            "",
            "",
        )
        return "\r\n".join(lines).encode()

    async def send(self, data: bytes) -> None:
        """Send bytes; raises ``trio.BrokenResourceError``."""
        assert self.stream is not None
        await self.stream.send_all(data)


Kind = Callable[[Client], Awaitable[None]]
"""What a client of one kind does on its open connection."""


@attrs.define(kw_only=True, eq=False)
class Crowd:
    """Clients of one kind, which hold their connections until they are told to leave."""

    address: Address
    kind: Kind
    count: int
    key: str
    """The API key of its clients."""
    reads: bool = True
    """Whether its clients read what they are answered."""
    gap_s: float = 0.0
    """Between the arrivals of two of its clients."""
    clients: list[Client] = attrs.field(factory=list)

    @property
    def is_settled(self) -> bool:
        """Whether every client has done what it came for."""
        return len(self.clients) == self.count and all(each.settled for each in self.clients)

    async def run(self) -> None:
        """Connect, do harm, and hold until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(self.count):
                client = Client(address=self.address, key=self.key)
                self.clients.append(client)
                nursery.start_soon(self._run_one, client)
                await trio.sleep(self.gap_s)

    async def _run_one(self, client: Client) -> None:
        client.stream = await self._connect()
        if client.stream is None:
            client.settled = True
            return
        async with client.stream, trio.open_nursery() as nursery:
            if self.reads:
                nursery.start_soon(self._read, client)
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                await self.kind(client)
            client.settled = True
            await trio.sleep_forever()

    async def _connect(self) -> trio.SocketStream | None:
        for _ in range(CONNECT_TRIES):
            own = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            if not self.reads:
                own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
            try:
                await own.connect((self.address.host, self.address.port))
            except OSError:
                own.close()
                await trio.sleep(0.1)
                continue
            return trio.SocketStream(own)
        return None

    async def _read(self, client: Client) -> None:
        assert client.stream is not None
        try:
            while data := await client.stream.receive_some(PIECE_BYTES):
                client.answer = (client.answer + data)[:ANSWER_BYTES]
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


def pieces(size: int) -> Iterator[bytes]:
    """Return a body of a size in pieces."""
    whole, rest = divmod(size, PIECE_BYTES)
    yield from itertools.repeat(b"x" * PIECE_BYTES, whole)
    if rest:
        yield b"x" * rest


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def unfinished_chunks(body_bytes: int) -> Kind:
    """Return a kind that sends large chunks, stops just short of the limit, and stays open."""

    async def kind(client: Client) -> None:
        await client.send(client.head("Transfer-Encoding: chunked"))
        for piece in pieces(body_bytes - SHORT_BYTES):
            await client.send(chunk(piece))

    return kind


def unfinished_length(body_bytes: int) -> Kind:
    """Return a kind that announces a body, sends nearly all of it, and stays open."""

    async def kind(client: Client) -> None:
        await client.send(client.head(f"Content-Length: {body_bytes}"))
        for piece in pieces(body_bytes - SHORT_BYTES):
            await client.send(piece)

    return kind


def far_over(body_bytes: int) -> Kind:
    """Return a kind that announces far more than the limit, and sends several times the limit."""

    async def kind(client: Client) -> None:
        await client.send(client.head(f"Content-Length: {FAR_OVER_BYTES}"))
        for piece in pieces(8 * body_bytes):
            await client.send(piece)

    return kind


def whole_bodies(body_bytes: int) -> Kind:
    """Return a kind that sends a whole body within the limit."""

    async def kind(client: Client) -> None:
        await client.send(client.head(f"Content-Length: {body_bytes}", path="/look/slow"))
        for piece in pieces(body_bytes):
            await client.send(piece)

    return kind


def tiny_chunks(body_bytes: int) -> Kind:
    """Return a kind that sends chunks of two bytes as fast as they go, and stays open."""
    per_piece = PIECE_BYTES // len(TINY_CHUNK)

    async def kind(client: Client) -> None:
        await client.send(client.head("Transfer-Encoding: chunked"))
        for _ in range(body_bytes // 2 // per_piece):
            await client.send(TINY_CHUNK * per_piece)

    return kind


def unfinished_heads(header_bytes: int) -> Kind:
    """Return a kind that sends a head up to just short of its limit, and stays open."""

    async def kind(client: Client) -> None:
        filler = "X-Filler: " + "x" * (header_bytes - 1024)
        await client.send(client.head(filler).removesuffix(b"\r\n"))

    return kind


async def silence(client: Client) -> None:
    """Send nothing, until the process has had time to take the connection."""
    await trio.sleep(TAKEN_S)


async def ask_for_a_large_answer(client: Client) -> None:
    """Ask for an answer that is never read."""
    await client.send(client.head(path="/look/large", method="GET"))
