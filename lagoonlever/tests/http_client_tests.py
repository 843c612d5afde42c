"""The client side of HTTP: what its errors tell of a connection that ended early."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from lagoonlever.exceptions import BadResponse, ConnectionBroken
from lagoonlever.http.client import ClientConnection, fetch
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"


@pytest.mark.parametrize(
    ("answer", "error", "message"),
    [
        (b"", ConnectionBroken, "closed before it answered"),
        (HEAD[:20], ConnectionBroken, "closed before it answered"),
        (HEAD + b"he", ConnectionBroken, "without sending complete message body"),
        (b"no HTTP at all\r\n\r\n", BadResponse, "illegal"),
        (HEAD[:15] + HEAD + b"hello", BadResponse, "broke off within a head"),
        (HEAD[:-4] + HEAD + b"hello", BadResponse, "bad Content-Length"),
        (HEAD[:-23] + b"X: 1" + HEAD + b"hello", BadResponse, "broke off within a head"),
        (HEAD.replace(b"200", b"000") + b"hello", BadResponse, "status"),
        (HEAD.replace(b"200", b"099") + b"hello", BadResponse, "status"),
        (HEAD.replace(b"200", b"600") + b"hello", BadResponse, "no status"),
        (HEAD.replace(b"200", b"999") + b"hello", BadResponse, "no status"),
    ],
)
def test_an_early_end_is_a_broken_connection_and_no_bad_response(answer, error, message):
    """A peer closes before or within its answer, as an idle connection does when it is reused.

    An operator reads the message in the log, so it tells what the peer did.
    """

    async def main():
        async def serve(stream):
            await stream.receive_some(65536)
            await stream.send_all(answer)
            await stream.aclose()

        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            with pytest.raises(error, match=message):
                await fetch(address, path="/", step="test", timeout_s=20)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_field_may_name_a_version_of_http():
    """Guards against answers that are lost behind a proxy which tells of itself."""

    async def main():
        async def serve(stream):
            await stream.receive_some(65536)
            await stream.send_all(HEAD[:-2] + b"Via: HTTP/1.1 gate, 1.0 HTTP/1.0\r\n\r\nhello")

        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            assert (await fetch(address, path="/", step="test", timeout_s=20)).body == b"hello"
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("waits", [False, True])
def test_a_request_whose_connection_was_aborted_is_told_so(waits: bool) -> None:
    """Guards against a fault, and no answer, as the VM that a connection leads by is found gone.

    More than once: the event loop must not be left with a task that reads a closed socket.
    """

    async def abort_and_read(address: Address) -> None:
        async with await ClientConnection.open(address) as connection:
            await connection.start(method="GET", path="/", step="test")
            async with trio.open_nursery() as nursery:
                if waits:
                    nursery.start_soon(abort_later, connection)
                else:
                    connection.abort()
                with pytest.raises(ConnectionBroken):
                    await connection.read_head()

    async def abort_later(connection: ClientConnection) -> None:
        await trio.testing.wait_all_tasks_blocked()
        connection.abort()

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        for _ in range(3):
            await abort_and_read(address)

    trio.run(main)
