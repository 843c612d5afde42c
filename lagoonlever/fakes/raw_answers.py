"""Heads of answers that a library for HTTP would not write."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable, Iterable

from lagoonlever.http.exchange import CallerGone

PIECE = b"x" * 16_384


class Endless(enum.Enum):
    """Bytes without end, until the other side closes."""

    HEAD = "head"
    """In a field of the head."""
    INTERIM = "interim"
    """Interim answers, one after the other."""
    BODY = "body"
    """In the body of an answer that tells neither a length nor chunks."""
    CHUNKS = "chunks"
    """In the chunks of a body."""
    TINY_CHUNKS = "tiny-chunks"
    """In chunks of one byte."""
    EMPTY_EVENTS = "empty-events"
    """In the blank lines that end events, with no event before them."""
    REFUSAL = "refusal"
    """In the body of a refusal."""
    JUNK = "junk"
    """From the first byte on, and no answer at all."""


def raw_head(fields: Iterable[tuple[str, str]], *, status: str = "200 OK") -> bytes:
    """Return the head of an answer that tells neither a length nor chunks."""
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields), "", ""]
    return "\r\n".join(lines).encode()


def raw_answer(fields: Iterable[tuple[str, str]], *, status: str, body: bytes = b"") -> bytes:
    """Return a whole answer, as a server sends it a second time."""
    return raw_head((*fields, ("Content-Length", str(len(body)))), status=status) + body


async def write_endless(
    write: Callable[[bytes], Awaitable[None]],
    kind: Endless,
    fields: Iterable[tuple[str, str]],
    *,
    refused: tuple[str, str] = ("X", "1"),
) -> int:
    """Write bytes without end, and return how many the other side took before it closed."""
    chunk = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
    head, piece = {
        Endless.HEAD: (raw_head(fields)[:-2] + b"X: ", PIECE),
        Endless.INTERIM: (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 256),
        Endless.BODY: (raw_head(fields), PIECE),
        Endless.CHUNKS: (raw_head((*fields, ("Transfer-Encoding", "chunked"))), chunk),
        Endless.TINY_CHUNKS: (
            raw_head((*fields, ("Transfer-Encoding", "chunked"))),
            b"1\r\nx\r\n" * 4_096,
        ),
        Endless.EMPTY_EVENTS: (raw_head(fields), b"\n" * len(PIECE)),
        Endless.REFUSAL: (raw_head((*fields, refused), status="503 Busy"), PIECE),
        Endless.JUNK: (b"", PIECE),
    }[kind]
    taken = 0
    try:
        await write(head)
        while True:
            await write(piece)
            taken += len(piece)
    except CallerGone:
        # The other side has closed, which is what it has to do.
        return taken
