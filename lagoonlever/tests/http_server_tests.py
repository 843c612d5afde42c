"""The server and the pool of HTTP: one caller's fault, slowness or timeout harms no other."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
import pytest
import trio

from lagoonlever.exceptions import ConnectionBroken, PeerTimeout
from lagoonlever.http.client import ClientConnection, Pool, fetch
from lagoonlever.http.exchange import Exchange, Handler
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.tests.base import until

LIMITS = ServerLimits(
    body_bytes=100_000,
    header_bytes=8_000,
    header_timeout_s=0.5,
    write_timeout_s=0.3,
    connections=3,
)
LIMIT_S = 30


def serving(
    handler: Handler,
    story: Callable[[Address, ServerState], Awaitable[None]],
    *,
    keyed_callers: bool = False,
) -> None:
    """Run a story against a server."""

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        state = ServerState()
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:

                async def serve() -> None:
                    await serve_http(
                        handler=handler,
                        listeners=listeners,
                        limits=LIMITS,
                        state=state,
                        keyed_callers=keyed_callers,
                    )

                nursery.start_soon(serve)
                await story(address, state)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def echo(exchange: Exchange) -> None:
    await exchange.respond(status=200, headers=Headers(), body=exchange.request.body)


@pytest.mark.parametrize(
    ("headers", "body", "status", "field"),
    [
        (Headers(), b"x" * 5_000_000, 413, "body"),
        (Headers((("X-Large", "x" * 200_000),)), b"", 431, "request"),
    ],
)
def test_a_request_over_its_bounds_is_refused_where_its_caller_sees_it(
    headers, body, status, field
):
    """A client that sends too much is told so, though it is still sending when it is refused.

    The server answered and closed with unread bytes in its buffer; that resets the
    connection, and the client saw a broken connection in place of the answer.
    """

    async def story(address: Address, state: ServerState) -> None:
        response = await fetch(
            address, method="POST", path="/", headers=headers, body=body, step="t", timeout_s=20
        )
        error = msgspec.json.decode(response.body)["error"]
        assert (response.status, error["param"]) == (status, field)
        assert response.headers.get("Lagoonlever-Outcome") == "not-run"
        same = await fetch(address, method="POST", path="/", body=b"a", step="t", timeout_s=20)
        assert same.body == b"a"

    serving(echo, story)


def test_a_keyed_request_that_was_not_read_whole_is_unknown() -> None:
    """A dealer is told "not run", bids anew under another key, and has two bids.

    The first copy of the bid ran and its answer was lost. The repeat was cut short
    on its way; the VM that could not read it knows nothing of the first copy.
    """
    headers = Headers((("Idempotency-Key", "bid-4711"),))

    async def story(address: Address, state: ServerState) -> None:
        response = await fetch(
            address,
            method="POST",
            path="/",
            headers=headers,
            body=b"x" * 200_000,
            step="t",
            timeout_s=20,
        )
        assert response.status == 413
        assert response.headers.get("Lagoonlever-Outcome") == "unknown"

    serving(echo, story)


KEYED_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nIdempotency-Key: bid-4711\r\n"


class Busy:
    """Connections whose requests are being served, so that none of them can be closed."""

    def __init__(self) -> None:
        self._ended = trio.Event()
        self._taken: list[ClientConnection] = []

    async def handle(self, exchange: Exchange) -> None:
        if exchange.request.path == "/busy":
            await self._ended.wait()
        await echo(exchange)

    async def fill(self, address: Address, state: ServerState) -> None:
        for _ in range(LIMITS.connections):
            connection = await ClientConnection.open(address)
            await connection.start(method="GET", path="/busy", step="t")
            self._taken.append(connection)
        await until(lambda: state.open_exchanges == LIMITS.connections)

    async def free_one(self, state: ServerState) -> None:
        await self._taken.pop().aclose()
        self._ended.set()
        await until(lambda: state.open_connections < LIMITS.connections)

    async def end(self) -> None:
        self._ended.set()
        for connection in self._taken:
            await connection.aclose()


def test_a_request_whose_key_was_never_read_is_unknown_where_callers_use_keys() -> None:
    """Guards against "not run" to the repeat of a bid that ran, as the VM takes no connection."""
    busy = Busy()

    async def story(address: Address, state: ServerState) -> None:
        await busy.fill(address, state)
        response = await fetch(address, path="/", step="t", timeout_s=20)
        assert response.status == 503
        assert response.headers.get("Lagoonlever-Outcome") == "unknown"
        await busy.end()

    serving(busy.handle, story, keyed_callers=True)


@pytest.mark.parametrize("rest", [b"X-Large: " + b"x" * 20_000, b""], ids=["too-large", "late"])
def test_a_head_with_a_key_that_was_not_read_whole_is_unknown(rest: bytes) -> None:
    """Guards against "not run" by the head of the request before, which had no key."""

    async def story(address: Address, state: ServerState) -> None:
        async with await trio.open_tcp_stream(address.host, address.port) as stream:
            await stream.send_all(b"GET /first HTTP/1.1\r\nHost: h\r\n\r\n" + KEYED_HEAD + rest)
            answers = b""
            while piece := await stream.receive_some(65_536):
                answers += piece
        assert answers.count(b"HTTP/1.1 ") == 2
        assert b"Lagoonlever-Outcome: unknown" in answers
        assert b"not-run" not in answers

    serving(echo, story, keyed_callers=True)


def test_a_pooled_connection_is_not_used_again_after_a_timeout():
    """A clerk's lookup times out; the next clerk must not read the first one's late answer."""
    late = trio.Event()

    async def handler(exchange: Exchange) -> None:
        if exchange.request.path == "/late":
            await late.wait()
        await exchange.respond(status=200, headers=Headers(), body=exchange.request.path.encode())

    async def story(address: Address, state: ServerState) -> None:
        pool = Pool()
        assert (await get(address, "/one", pool)).body == b"/one"
        with pytest.raises(PeerTimeout):
            await fetch(address, path="/late", step="t", timeout_s=0.1, pool=pool)
        late.set()
        for path in ("/two", "/three"):
            assert (await get(address, path, pool)).body == path.encode()
        await until(lambda: state.open_connections == 1)
        await pool.aclose()

    serving(handler, story)


def test_a_kept_connection_is_given_to_one_request_only():
    """A request that closes an old connection must not then take one that another has got."""

    async def story(address: Address, state: ServerState) -> None:
        pool = Pool()
        kept, old = [await ClientConnection.open(address) for _ in range(2)]
        await pool.put_back(kept)
        await pool.put_back(old)
        old.retired = True
        taken: list[ClientConnection | None] = []

        async def take() -> None:
            taken.append(await pool.take_kept(address))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(take)
            nursery.start_soon(take)
        assert {id(connection) for connection in taken} == {id(kept), id(None)}
        await kept.aclose()

    serving(echo, story)


@pytest.mark.parametrize("turn", range(6))
def test_a_path_that_is_lost_while_a_request_looks_for_a_connection_harms_neither(turn: int):
    """Both walked through one list, and the one that came second ended with an error.

    Tasks take their turns by chance, so it is tried several times.
    """

    async def story(address: Address, state: ServerState) -> None:
        pool = Pool()
        connections = [await ClientConnection.open(address) for _ in range(5)]
        for connection in connections:
            await pool.put_back(connection)
        for connection in connections[1:]:
            connection.retired = True
        taken: list[ClientConnection | None] = []

        async def take() -> None:
            taken.append(await pool.take_kept(address))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(take)
            nursery.start_soon(pool.drop, address)
        assert taken in ([None], [connections[0]])
        if taken[0] is not None:
            assert taken[0].quiet
            await taken[0].aclose()
        await until(lambda: state.open_connections == 0)

    serving(echo, story)


def test_a_kept_connection_that_leads_by_a_certain_vm_is_passed_over():
    async def story(address: Address, state: ServerState) -> None:
        pool = Pool()
        own, by_peer = [await ClientConnection.open(address) for _ in range(2)]
        by_peer.via = "vm-1"
        await pool.put_back(own)
        await pool.put_back(by_peer)
        assert await pool.take_kept(address, apart_from="vm-1") is own
        assert await pool.take_kept(address, apart_from="vm-1") is None
        assert await pool.take_kept(address, apart_from="vm-2") is by_peer
        await own.aclose()
        await by_peer.aclose()

    serving(echo, story)


async def get(address: Address, path: str, pool: Pool | None = None):
    return await fetch(address, path=path, step="t", timeout_s=LIMIT_S, pool=pool)


def test_a_caller_that_does_not_read_stalls_no_other_and_is_let_go():
    """One caller on a dead line holds its stream's task and nothing else, and that not for long."""
    gone = []

    async def handler(exchange: Exchange) -> None:
        if exchange.request.path != "/stream":
            await echo(exchange)
            return
        await exchange.start_stream(status=200, headers=Headers())
        try:
            while True:
                await exchange.write(b"x" * 65536)
        finally:
            gone.append(exchange)

    async def story(address: Address, state: ServerState) -> None:
        slow = await ClientConnection.open(address)
        await slow.start(method="GET", path="/stream", step="t")
        assert (await get(address, "/")).status == 200
        await until(lambda: gone)
        await until(lambda: state.open_connections == 0)
        await slow.aclose()

    serving(handler, story)


def test_a_caller_that_goes_on_sending_is_cut_off_within_its_bounds():
    """A client pours bytes into the connection on which its answer streams.

    What it sends is kept for its next request; without a bound one client would
    fill the VM's memory.
    """
    taken = []

    async def handler(exchange: Exchange) -> None:
        await exchange.start_stream(status=200, headers=Headers())
        await exchange.wait_gone()
        taken.append(len(exchange._connection._h11.trailing_data[0]))

    async def story(address: Address, state: ServerState) -> None:
        flood = await ClientConnection.open(address)
        await flood.start(method="GET", path="/", step="t")
        with pytest.raises(ConnectionBroken):
            while not taken:
                await flood._send(b"x" * 65536)
            raise ConnectionBroken("was cut off", step="t", peer=str(address))
        await flood.aclose()
        assert taken[0] <= LIMITS.header_bytes + 2 * 65536

    serving(handler, story)


def test_a_caller_beyond_the_bound_on_connections_is_told_not_run():
    """A VM with every connection taken told a new caller nothing: the connection just ended."""
    busy = Busy()

    async def story(address: Address, state: ServerState) -> None:
        await busy.fill(address, state)
        response = await fetch(address, method="POST", path="/", body=b"a", step="t", timeout_s=20)
        assert response.status == 503
        assert response.headers.get("Lagoonlever-Outcome") == "not-run"
        assert int(response.headers.get("Retry-After")) >= 1
        await busy.free_one(state)
        assert (await get(address, "/")).status == 200
        await busy.end()

    serving(busy.handle, story)


def test_the_longest_idle_connection_makes_room_for_a_new_one():
    """Guards against clients that open connections, send nothing, and shut everybody out."""

    async def story(address: Address, state: ServerState) -> None:
        idle = [await ClientConnection.open(address) for _ in range(LIMITS.connections)]
        await until(lambda: state.open_connections == LIMITS.connections)
        assert (await get(address, "/")).status == 200
        await until(lambda: not idle[0].quiet)
        assert [each.quiet for each in idle[1:]] == [True] * (LIMITS.connections - 1)
        for connection in idle:
            await connection.aclose()

    serving(echo, story)
