"""What an engine's stream may not contain: each fault is told as the engine's, and which."""

from __future__ import annotations

import random

import pytest
import trio

from lagoonlever.decisions.streams.generation import GenerationLifecycle
from lagoonlever.decisions.streams.generation_messages import (
    Dispatch,
    GenerationLimits,
    GenerationSpec,
)
from lagoonlever.entry.generations.attempt import EngineAttempt
from lagoonlever.exceptions import BadResponse
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.http.sse import MAX_EVENT_BYTES
from lagoonlever.targets.completions import EngineChunk

TIMEOUT_S = 20
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
CHUNK = b'data: {"choices":[{"text":"a","token_ids":[7]}]}\n\n'
ENDLESS_EVENT = b"data: " + b"x" * (MAX_EVENT_BYTES + 1)


@pytest.mark.parametrize(
    ("after_chunk", "message"),
    [
        (ENDLESS_EVENT, "larger than"),
        (b"data: no JSON\n\n", "JSON"),
        (b"", "without its end marker"),
    ],
)
def test_a_faulty_stream_is_a_bad_response_of_its_engine(after_chunk: bytes, message: str) -> None:
    """A caller is told of a fault within the system while another engine could go on.

    Its engine sends one token and then an event without an end, or no chunk, or
    closes without the end marker. Only a ``PeerError`` leads to the next attempt.
    """
    chunks: list[EngineChunk] = []

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(HEAD + CHUNK + after_chunk)
        await stream.aclose()

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            with trio.fail_after(TIMEOUT_S), pytest.raises(BadResponse, match=message) as caught:
                await attempt(address).run()
            assert caught.value.peer == str(address)
            nursery.cancel_scope.cancel()

    def attempt(address: Address) -> EngineAttempt:
        spec = GenerationSpec(request_id="r", organisation="/", model="m", prompt="p", max_tokens=4)
        life = GenerationLifecycle(spec=spec, limits=GenerationLimits(), rng=random.Random(1))
        (dispatch,) = life.start()
        assert isinstance(dispatch, Dispatch)
        return EngineAttempt(
            spec=spec,
            dispatch=dispatch,
            address=address,
            on_chunk=chunks.append,
            before_write=lambda: True,
        )

    trio.run(main)
    assert [chunk.choices[0].token_ids for chunk in chunks] == [(7,)]
