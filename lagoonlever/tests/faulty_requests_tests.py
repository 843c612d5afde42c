"""Requests that no client sends on purpose: each harms nobody but its own caller."""

from __future__ import annotations

import random

import pytest
import trio

from lagoonlever.decisions.generation import GenerationLife
from lagoonlever.decisions.generation_messages import GenerationLimits, GenerationSpec
from lagoonlever.entry.generation_task import GenerationTask
from lagoonlever.http.client import fetch
from lagoonlever.http.messages import Address
from lagoonlever.http.server import Exchange, ServerLimits, ServerState, open_listeners, serve_http
from lagoonlever.outcomes import NotRun

TIMEOUT_S = 20


@pytest.mark.parametrize("target", ["//[", "/%", "/a?b=%zz"])
def test_an_odd_path_ends_no_server(target: str) -> None:
    """All callers of a VM lose their connections at once.

    One of them sent a path that the URL library refuses; the error left the
    connection's task and ended the server with every other connection.
    """

    async def answer(exchange: Exchange) -> None:
        await exchange.respond_json(status=200, payload={})

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: serve_http(
                    handler=answer,
                    listeners=listeners,
                    limits=ServerLimits(),
                    state=ServerState(),
                )
            )
            with trio.fail_after(TIMEOUT_S):
                odd = await trio.open_tcp_stream(address.host, address.port)
                await odd.send_all(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                assert (await odd.receive_some()).startswith(b"HTTP/1.1 ")
                response = await fetch(address, path="/", step="look", timeout_s=TIMEOUT_S)
            assert response.status == 200
            nursery.cancel_scope.cancel()

    trio.run(main)


class FaultyEngines:
    """Raises what no code expects, at the first placement."""

    async def place(self, *_: object) -> None:
        raise ZeroDivisionError


def test_a_fault_in_one_generation_ends_no_other() -> None:
    """Every stream of a VM breaks because one request met a fault in our own code."""

    async def main() -> None:
        spec = GenerationSpec(request_id="r", organisation="/", model="m", prompt="p", max_tokens=4)
        life = GenerationLife(spec=spec, limits=GenerationLimits(), rng=random.Random(1))
        task = GenerationTask(life=life, engines=FaultyEngines())  # type: ignore[arg-type]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(task.run)
            nursery.start_soon(trio.lowlevel.checkpoint)
        assert task.finished is not None
        assert isinstance(task.finished.outcome, NotRun)

    trio.run(main)
