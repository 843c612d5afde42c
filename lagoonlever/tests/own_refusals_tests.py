"""What a VM's own HTTP server tells callers by itself: never "not run" of what a handler has."""

from __future__ import annotations

from collections.abc import Callable

import h11
import pytest
import trio

from lagoonlever.exceptions import RequestRefused
from lagoonlever.http.messages import Address
from lagoonlever.http.server import Exchange, ServerLimits, ServerState, open_listeners, serve_http
from lagoonlever.outcomes import NOT_RUN_STATUSES

LIMIT_S = 30
HEAD = b"POST /bid/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3\r\n"


async def read_all(stream: trio.SocketStream) -> bytes:
    """Read until the server closes."""
    answer = b""
    while piece := await stream.receive_some(65_536):
        answer += piece
    return answer


def status_of(answer: bytes) -> int | None:
    """Return the status of the first answer, or None if the connection just ended."""
    return int(answer.split(b" ", 2)[1]) if answer else None


@pytest.mark.parametrize(
    "fault",
    [
        lambda: RequestRefused(status=408, field="body", message="did not arrive in time"),
        lambda: RequestRefused(status=503, message="a target is full"),
        lambda: h11.RemoteProtocolError("a target sent no HTTP", error_status_hint=503),
    ],
    ids=["late", "full", "no-http"],
)
def test_what_a_handler_raises_is_not_told_as_a_refusal(fault: Callable[[], Exception]) -> None:
    """Guards against "not run" for a request that was handed on before its handler failed."""
    handed_on: list[bytes] = []

    async def hand_on(exchange: Exchange) -> None:
        handed_on.append(exchange.request.body)
        raise fault()

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:

                async def serve() -> None:
                    await serve_http(
                        handler=hand_on,
                        listeners=listeners,
                        limits=ServerLimits(),
                        state=ServerState(),
                    )

                nursery.start_soon(serve)
                async with await trio.open_tcp_stream(address.host, address.port) as stream:
                    await stream.send_all(HEAD + b"\r\nbid")
                    answer = await read_all(stream)
                assert handed_on == [b"bid"]
                assert status_of(answer) not in NOT_RUN_STATUSES, answer
                nursery.cancel_scope.cancel()

    trio.run(main)
