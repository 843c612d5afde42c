"""Targets whose answers come in many small pieces: what they cost, and whom they hold up."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.lowlevel

from lagoonlever.exceptions import BadResponse
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.event_reader import EventReader
from lagoonlever.http.messages import Address
from lagoonlever.http.parsing_turns import TURN_PIECES
from lagoonlever.http.sse import MAX_EVENT_BYTES, EventParser, RawEvent, RawEventSplitter
from lagoonlever.tests.working_time import works_at_most

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECES = 8_192
AT_ONCE = 8

Read = Callable[[ClientConnection], Awaitable[int]]


@pytest.mark.parametrize("splitter", [RawEventSplitter, EventParser])
def test_the_work_for_an_event_grows_with_its_bytes_and_not_with_their_square(
    splitter: type[RawEventSplitter] | type[EventParser],
) -> None:
    """Guards against a process that stands still for seconds over one event in tiny pieces.

    With the square the pieces here are over a minute of work, and else some tenths of a second.
    """
    events = splitter()
    with works_at_most(20.0):
        for _ in range(MAX_EVENT_BYTES):
            assert not events.feed(b"x")
        with pytest.raises(ValueError, match="larger"):
            events.feed(b"x")


@pytest.mark.parametrize("splitter", [RawEventSplitter, EventParser])
def test_the_work_for_many_events_in_one_piece_grows_with_their_bytes(
    splitter: type[RawEventSplitter] | type[EventParser],
) -> None:
    """Guards against a search of all that follows for each event of a piece."""
    count = MAX_EVENT_BYTES // 4
    with works_at_most(20.0):
        found = splitter().feed(b":\n\n" * count)
    assert len(found) in (0, count)


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1_000])
def test_events_are_the_same_in_pieces_of_any_size(size: int) -> None:
    """Guards against an end of an event that is missed as two pieces meet within it."""
    wire = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\nid: 4\ndata: d\n\nid: 5\nda"
    splitter, parser = RawEventSplitter(), EventParser()
    raw: list[RawEvent] = []
    parsed: list[str | None] = []
    for begin in range(0, len(wire), size):
        piece = wire[begin : begin + size]
        raw += splitter.feed(piece)
        parsed += [event.id for event in parser.feed(piece)]
    assert [event.id for event in raw] == [1, 2, None, 4]
    assert b"".join(event.data for event in raw) == wire[: -len(b"id: 5\nda")]
    assert splitter.partial
    assert parsed == ["1", "2", "4"]


async def _serve(stream: trio.SocketStream, wire: bytes) -> None:
    """Answer one request."""
    await stream.receive_some()
    await stream.send_all(wire)
    await trio.sleep_forever()


async def _read_all(wire: bytes, read: Read, *, connections: int = 1) -> int:
    """Read an answer over some connections at once; return the most pieces within one turn.

    Each of them is there as a whole before any is read.
    """
    total = most = 0
    readers = connections

    async def reader(connection: ClientConnection) -> None:
        nonlocal total, readers
        while (read_now := await read(connection)) != 0:
            total += read_now
        readers -= 1

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, lambda s: _serve(s, wire), listeners)
        opened = []
        for _ in range(connections):
            connection = await ClientConnection.open(Address(host="127.0.0.1", port=port))
            await connection.start(method="GET", path="/", step="test")
            await connection.read_head()
            opened.append(connection)
        await trio.sleep(0.2)
        for connection in opened:
            nursery.start_soon(reader, connection)
        while readers:
            before = total
            await trio.lowlevel.checkpoint()
            most = max(most, total - before)
        nursery.cancel_scope.cancel()
    assert total == PIECES * connections
    return most


async def _piece(connection: ClientConnection) -> int:
    return len(await connection.next_piece() or b"")


@pytest.mark.parametrize("connections", [1, AT_ONCE])
def test_others_have_a_turn_while_an_answer_of_many_pieces_is_read(connections: int) -> None:
    """Guards against a process that does nothing else until all that has come is parsed.

    However many such answers there are, one of them has a turn in a round of the event loop.
    """
    wire = HEAD + b"1\r\nx\r\n" * PIECES + b"0\r\n\r\n"
    most = trio.run(lambda: _read_all(wire, _piece, connections=connections))
    assert TURN_PIECES <= most <= 2 * TURN_PIECES + connections * TURN_PIECES * (connections > 1)


def test_others_have_a_turn_while_many_events_are_passed_on() -> None:
    """Guards against a stand-still over the events of one large piece."""
    block = b"data: x\n\n" * PIECES
    wire = HEAD + b"%x\r\n%s\r\n0\r\n\r\n" % (len(block), block)
    readers: dict[ClientConnection, EventReader] = {}

    async def event(connection: ClientConnection) -> int:
        reader = readers.setdefault(connection, EventReader(connection=connection, step="test"))
        return 0 if await reader.next_event() is None else 1

    assert trio.run(lambda: _read_all(wire, event)) <= 2 * TURN_PIECES


def test_what_follows_pieces_that_were_read_together_is_told_after_them() -> None:
    """Guards against an end, or a fault in the framing, that is lost or told before the bytes."""

    async def story(wire: bytes) -> list[bytes]:
        got: list[bytes] = []

        async def read(connection: ClientConnection) -> int:
            piece = await connection.next_piece()
            got.append(piece or b"")
            return PIECES if piece else 0

        await _read_all(wire, read)
        return got

    assert trio.run(story, HEAD + b"1\r\nx\r\n" * 3 + b"0\r\n\r\n") == [b"xxx", b""]
    with pytest.RaisesGroup(BadResponse, flatten_subgroups=True):
        trio.run(story, HEAD + b"1\r\nx\r\n" * 3 + b"no size\r\n")


def test_an_answer_in_tiny_pieces_without_end_is_given_up() -> None:
    """Guards against a processor that is busy with framing for as long as a call may take."""

    async def story() -> None:
        wire = HEAD + b"1\r\nx\r\n" * 200_000

        async def read(connection: ClientConnection) -> int:
            await connection.read_body(max_bytes=len(wire))
            return 0

        await _read_all(wire, read)

    with pytest.RaisesGroup(BadResponse, flatten_subgroups=True):
        trio.run(story)
