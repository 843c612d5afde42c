"""The stand-in application service: executions are counted, and answers can be lost."""

from __future__ import annotations

import json

import pytest
import trio
import trio.testing

from lagoonlever.exceptions import ConnectFailed, ConnectionBroken
from lagoonlever.fakes.application import ApplicationOptions, FakeApplication
from lagoonlever.fakes.faults import FaultKind, FaultOrder
from lagoonlever.http.client import Pool, fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import open_listeners


def with_application(scenario):
    async def main():
        fake = FakeApplication(options=ApplicationOptions(service_s=0.001))
        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])

        async def call(method, path, *, key=None, pool=None):
            headers = Headers() if key is None else Headers((("Idempotency-Key", key),))
            response = await fetch(
                address,
                method=method,
                path=path,
                headers=headers,
                body=b'{"lot": 7}' if method == "POST" else b"",
                step="test",
                timeout_s=20,
                pool=pool,
            )
            return response.status, json.loads(response.body)

        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fake.run, listeners)
                await scenario(fake, call)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_lookups_repeat_and_bids_count():
    async def scenario(fake, call):
        assert await call("GET", "/lots/7") == await call("GET", "/lots/7")
        status, bid = await call("POST", "/bids", key="k1")
        assert (status, bid["idempotency_key"], bid["request"]) == (201, "k1", {"lot": 7})
        await call("POST", "/notices", key="k1")
        await call("POST", "/notices")
        assert await call("GET", "/executions") == (200, {"by_key": {"k1": 2}, "without_key": 1})
        assert (await call("GET", "/lots"))[0] == 404

    with_application(scenario)


def test_a_dropped_answer_was_executed_and_a_closed_idle_connection_was_not():
    """Both look the same to the caller: the connection ends and no answer comes."""

    async def scenario(fake, call):
        fake.inject(FaultOrder(kind=FaultKind.DROP_ANSWER))
        with pytest.raises(ConnectionBroken):
            await call("POST", "/bids", key="dropped")
        pool = Pool()
        await call("GET", "/lots/7", pool=pool)
        fake.inject(FaultOrder(kind=FaultKind.CLOSE_IDLE))
        await call("GET", "/prices/7")
        with pytest.raises(ConnectionBroken):
            await call("POST", "/bids", key="closed", pool=pool)
        await pool.aclose()
        assert fake.executions.by_key == {"dropped": 1}

    with_application(scenario)


def test_a_stalled_service_executes_after_the_thaw_and_a_dead_one_never():
    """A caller gives up on a stalled service; the bid runs nevertheless once it goes on."""

    async def scenario(fake, call):
        fake.inject(FaultOrder(kind=FaultKind.FREEZE))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lambda: call("POST", "/bids", key="late"))
            await trio.testing.wait_all_tasks_blocked(0.05)
            nursery.cancel_scope.cancel()
        assert not fake.executions.by_key
        fake.inject(FaultOrder(kind=FaultKind.THAW))
        while not fake.executions.by_key:
            await call("GET", "/executions")
        assert fake.executions.by_key == {"late": 1}
        fake.inject(FaultOrder(kind=FaultKind.FREEZE))
        async with trio.open_nursery() as nursery:

            async def bid():
                with pytest.raises(ConnectionBroken):
                    await call("POST", "/bids", key="lost")

            nursery.start_soon(bid)
            await trio.testing.wait_all_tasks_blocked(0.05)
            fake.inject(FaultOrder(kind=FaultKind.DIE))
        with pytest.raises(ConnectFailed):
            await call("GET", "/load")
        assert "lost" not in fake.executions.by_key

    with_application(scenario)
