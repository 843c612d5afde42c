"""Requests that no client sends on purpose: each harms nobody but its own caller."""

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
from lagoonlever.entry.generations.generations import GenerationService, GenerationSettings
from lagoonlever.entry.generations.task import GenerationTask
from lagoonlever.http.client import fetch
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.outcomes import NotRun
from lagoonlever.timers import Tick

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
        life = GenerationLifecycle(spec=spec, limits=GenerationLimits(), rng=random.Random(1))
        task = GenerationTask(life=life, engines=FaultyEngines())  # type: ignore[arg-type]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(task.run)
            nursery.start_soon(trio.lowlevel.checkpoint)
        assert task.finished is not None
        assert isinstance(task.finished.outcome, NotRun)

    trio.run(main)


def kept_tokens(*, answers_kept: int, tokens_kept: int) -> list[int]:
    """Give the lengths of the answers that are kept of three with 4, 2 and 1 tokens."""
    kept: list[int] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            service = GenerationService(
                settings=GenerationSettings(answers_kept=answers_kept, tokens_kept=tokens_kept),
                callers=None,  # type: ignore[arg-type]
                engines=None,  # type: ignore[arg-type]
                rng=random.Random(1),
                background=nursery,
                resume_points=None,  # type: ignore[arg-type]
                peers=None,  # type: ignore[arg-type]
                refusal=lambda: None,
                moved_to=lambda: None,
                pause_since_last_tick=lambda: 0.0,
                metrics=None,  # type: ignore[arg-type]
                tasks={("/", str(length)): finished_task(length) for length in (4, 2, 1)},
            )
            service.on_tick(Tick(now=0.0))
            kept.extend(task.life.released_tokens for task in service.tasks)

    trio.run(main)
    return kept


def finished_task(length: int) -> GenerationTask:
    spec = GenerationSpec(
        request_id=str(length), organisation="/", model="m", prompt="p", max_tokens=length
    )
    life = GenerationLifecycle(spec=spec, limits=GenerationLimits(), rng=random.Random(1))
    (dispatch,) = life.start()
    assert isinstance(dispatch, Dispatch)
    life.on_opened(attempt=dispatch.attempt, model_version="v1", prompt_token_ids=(1,))
    life.on_chunk(
        attempt=dispatch.attempt,
        token_ids=tuple(range(300, 300 + length)),
        text="x",
        finish_reason="length",
    )
    task = GenerationTask(life=life, engines=FaultyEngines())  # type: ignore[arg-type]
    task.ended_at = 0.0
    return task


def test_long_answers_are_kept_within_a_bound_of_tokens() -> None:
    """A VM of 32 MB is killed for its memory after a morning of long digests.

    Finished answers were bounded by their number alone, however long they were.
    """
    assert kept_tokens(answers_kept=3, tokens_kept=7) == [4, 2, 1]
    assert kept_tokens(answers_kept=3, tokens_kept=3) == [2, 1]
    assert kept_tokens(answers_kept=1, tokens_kept=7) == [1]
    assert kept_tokens(answers_kept=3, tokens_kept=0) == []
