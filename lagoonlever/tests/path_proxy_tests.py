"""The stand-in for a path to a target: what a VM sees in each of its states."""

from __future__ import annotations

import socket

import pytest
import trio

from lagoonlever.exceptions import ConnectFailed
from lagoonlever.fakes.path_proxy import RESET_BY_CLOSE, PathProxy, PathState
from lagoonlever.fakes.platform_runner import FakeRunner
from lagoonlever.http.client import ClientConnection
from lagoonlever.http.messages import Headers
from lagoonlever.http.server import open_listeners
from lagoonlever.platform.headers import REQUEST_ID
from lagoonlever.soak.proxy import FaultyProxy
from lagoonlever.tests.free_ports import free_address

CONNECT_S = 0.3
ANSWER_S = 0.3
LIMIT_S = 30.0
MOMENT_S = 0.1
BEGUN = b"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n"


async def _start(nursery: trio.Nursery) -> PathProxy:
    target = free_address()
    listeners = await open_listeners(host=target.host, port=target.port)
    nursery.start_soon(FakeRunner(target_id="runner-0").run, listeners)
    proxy = PathProxy(listen=free_address(), target=target)
    await nursery.start(proxy.run)
    return proxy


async def _open(proxy: PathProxy, *, timeout_s: float = CONNECT_S) -> ClientConnection:
    return await proxy.open(proxy.target, timeout_s=timeout_s)


async def _is_answered(connection: ClientConnection) -> bool:
    """Send a request and check whether its whole answer comes."""
    with trio.move_on_after(ANSWER_S):
        headers = Headers(((REQUEST_ID, "r-1"),))
        await connection.start(method="GET", path="/", headers=headers, step="test")
        await connection.read_head()
        while await connection.next_piece() is not None:
            pass
        return True
    return False


@pytest.mark.parametrize("state", [s for s in PathState if s is not PathState.OPEN])
def test_new_connections_fail_until_the_path_is_open_again(state: PathState) -> None:
    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                proxy = await _start(nursery)
                proxy.set(state)
                for _ in range(3):
                    with pytest.raises(ConnectFailed):
                        await _open(proxy)
                proxy.set(PathState.OPEN)
                async with await _open(proxy, timeout_s=LIMIT_S) as connection:
                    assert await _is_answered(connection)
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("state", [PathState.REFUSED, PathState.SILENT, PathState.ONE_WAY])
def test_only_where_new_connections_alone_are_refused_does_an_open_one_carry(
    state: PathState,
) -> None:
    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                proxy = await _start(nursery)
                async with await _open(proxy, timeout_s=LIMIT_S) as connection:
                    assert await _is_answered(connection)
                    proxy.set(state)
                    assert await _is_answered(connection) == (state is PathState.REFUSED)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_target_that_is_down_refuses_and_the_path_is_the_same_once_it_is_back() -> None:
    """Guards against an address that takes connections of a process that is gone."""

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                proxy = await _start(nursery)
                proxy.set_target_down(True)
                with pytest.raises(ConnectFailed):
                    await _open(proxy)
                proxy.set(PathState.SILENT)
                proxy.set(PathState.OPEN)
                with pytest.raises(ConnectFailed):
                    await _open(proxy)
                proxy.set_target_down(False)
                async with await _open(proxy, timeout_s=LIMIT_S) as connection:
                    assert await _is_answered(connection)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def _begin_and_reset(stream: trio.SocketStream) -> None:
    await stream.receive_some(1_000)
    await stream.send_all(BEGUN)
    await trio.sleep(MOMENT_S)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_BY_CLOSE)
    stream.socket.close()


@pytest.mark.parametrize("kind", [PathProxy, FaultyProxy])
def test_a_reset_behind_a_proxy_is_no_orderly_end_before_it(
    kind: type[PathProxy | FaultyProxy],
) -> None:
    """Guards against stand-ins that show a broken answer as one that has ended."""

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                target, listen = free_address(), free_address()
                listeners = await trio.open_tcp_listeners(target.port, host=target.host)
                nursery.start_soon(trio.serve_listeners, _begin_and_reset, listeners)
                nursery.start_soon(kind(listen=listen, target=target).run)
                await trio.sleep(MOMENT_S)
                stream = await trio.open_tcp_stream(listen.host, listen.port)
                await stream.send_all(b"GET / HTTP/1.1\r\n\r\n")
                with pytest.raises(trio.BrokenResourceError):
                    while await stream.receive_some(1_000):
                        pass
                nursery.cancel_scope.cancel()

    trio.run(main)
