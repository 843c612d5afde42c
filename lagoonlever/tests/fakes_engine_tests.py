"""The stand-in engine over loopback: streams, resumes, cancels, freezes and dies as told."""

from __future__ import annotations

import contextlib
import json

import attrs
import pytest
import trio
import trio.testing

from lagoonlever.exceptions import ConnectFailed, ConnectionBroken
from lagoonlever.fakes.batch import ServedModel
from lagoonlever.fakes.engine import EngineOptions, FakeEngine
from lagoonlever.fakes.faults import FaultKind, FaultOrder
from lagoonlever.fakes.tokens import encode_prompt, expected_output
from lagoonlever.http.client import ClientConnection, fetch
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.http.sse import EventParser

PROMPT = "the car"
LENGTH = 24
EXPECTED = expected_output(model_version="v1", prompt=encode_prompt(PROMPT), max_tokens=LENGTH)
OPTIONS = EngineOptions(
    models=(ServedModel(name="summary", version="v1", adapters=("sk",)),),
    token_interval_s=0.001,
    load_lag_s=0,
    cache_event_lag_s=0,
    cache_event_gap=0,
)


@attrs.frozen
class Running:
    engine: FakeEngine
    address: Address

    async def call(self, method, path, **fields):
        body = json.dumps(fields).encode() if method == "POST" else b""
        response = await fetch(
            self.address, method=method, path=path, body=body, step="test", timeout_s=20
        )
        return response.status, json.loads(response.body)

    async def stream(self, method, path, **fields):
        """Give the chunks of a stream as they come; raises ``ConnectionBroken`` when cut."""
        connection = await ClientConnection.open(self.address)
        parser = EventParser()
        try:
            body = json.dumps(fields).encode() if method == "POST" else b""
            await connection.start(method=method, path=path, body=body, step="test")
            assert (await connection.read_head()).status == 200
            async for piece in connection.iter_body():
                for event in parser.feed(piece):
                    yield event.data if event.data == b"[DONE]" else json.loads(event.data)
        finally:
            await connection.aclose()

    def complete(self, **fields):
        asked = {"model": "summary", "prompt": PROMPT, "max_tokens": LENGTH, "stream": True}
        return self.stream("POST", "/v1/completions", **{**asked, **fields})

    def resume(self, request_id, offset):
        path = f"/v1/responses/{request_id}?stream=true&starting_after={offset}"
        return self.stream("GET", path)


def with_engine(scenario, options=OPTIONS):
    async def main():
        engine = FakeEngine(options=options)
        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(engine.run, listeners)
                await scenario(Running(engine, address))
                nursery.cancel_scope.cancel()

    trio.run(main)


async def collect(chunks, into):
    async for chunk in chunks:
        if chunk != b"[DONE]":
            into += [token for choice in chunk["choices"] for token in choice["token_ids"]]


async def until(condition):
    while not condition():  # noqa: ASYNC110 - the stand-in's state has no event for each change
        await trio.sleep(0.001)


def test_a_stream_is_the_expected_answer_and_repeats_are_cached():
    async def scenario(running):
        chunks = [chunk async for chunk in running.complete(prompt=PROMPT * 20, request_id="a")]
        prompt = encode_prompt(PROMPT * 20)
        expected = expected_output(model_version="v1", prompt=prompt, max_tokens=LENGTH)
        choices = [chunk["choices"][0] for chunk in chunks[:LENGTH]]
        assert choices[0]["prompt_token_ids"] == prompt
        assert [choice["token_ids"] for choice in choices] == [[t] for t in expected.token_ids]
        assert "".join(choice["text"] for choice in choices) == expected.text
        assert [choice["finish_reason"] for choice in choices] == [None] * (LENGTH - 1) + ["length"]
        assert chunks[LENGTH]["usage"]["completion_tokens"] == LENGTH
        assert chunks[LENGTH + 1 :] == [b"[DONE]"]
        _, again = await running.call(
            "POST",
            "/v1/completions",
            model="summary",
            prompt=prompt + list(expected.token_ids[:9]),
            max_tokens=LENGTH - 9,
            request_id="b",
        )
        assert again["choices"][0]["token_ids"] == list(expected.token_ids[9:])
        assert again["usage"]["prompt_tokens_details"]["cached_tokens"] >= len(prompt) - 16
        assert running.engine.work["b"].decode_tokens == LENGTH - 9
        assert running.engine.work["b"].prefill_tokens < 32
        _, events = await running.call("GET", "/cache_events?after=0")
        kinds = [event["kind"] for event in events["events"]]
        assert kinds == ["cleared", "stored", "stored"]  # the second stream has no new block

    with_engine(scenario)


@pytest.mark.parametrize("offset", range(LENGTH + 1))
def test_death_after_any_token_cuts_the_stream_right_there(offset):
    """The engine dies after a token: the caller has exactly those tokens, and a refusal next."""

    async def scenario(running):
        running.engine.inject(FaultOrder(kind=FaultKind.DIE, after_tokens=offset))
        tokens = []
        with pytest.raises(ConnectionBroken):
            await collect(running.complete(), tokens)
        assert tuple(tokens) == EXPECTED.token_ids[:offset]
        with pytest.raises(ConnectFailed):
            await running.call("GET", "/load")

    with_engine(scenario)


def test_a_frozen_stream_goes_on_after_the_thaw():
    """An engine freezes within a stream: no token, no answer, open sockets; a thaw gives the rest.

    The caller that left meanwhile fetches the rest of the background stream by its offset.
    """

    async def scenario(running):
        running.engine.inject(FaultOrder(kind=FaultKind.FREEZE, after_tokens=10))
        tokens = []
        async with trio.open_nursery() as nursery:
            stream = running.complete(request_id="a", background=True)
            nursery.start_soon(collect, stream, tokens)
            await until(lambda: len(tokens) == 10)
            await trio.testing.wait_all_tasks_blocked(0.05)
            nursery.cancel_scope.cancel()
        assert tuple(tokens) == EXPECTED.token_ids[:10]
        with trio.move_on_after(0.1) as scope:
            await running.call("GET", "/load")
        assert scope.cancelled_caught
        await running.call("POST", "/fault", kind="thaw")
        rest = []
        await collect(running.resume("a", 10), rest)
        assert tuple(tokens + rest) == EXPECTED.token_ids

    with_engine(scenario)


def test_streams_resume_at_every_offset_and_only_background_ones_outlive_their_caller():
    async def scenario(running):
        for name, background in (("kept", True), ("dropped", False)):
            stream = running.complete(request_id=name, background=background, max_tokens=5000)
            async with contextlib.aclosing(stream) as chunks:
                async for _ in chunks:
                    break
        await until(lambda: "dropped" not in running.engine.live_streams)
        assert "kept" in running.engine.live_streams
        status, _ = await running.call("POST", "/v1/responses/kept/cancel")
        assert status == 200
        assert not running.engine.live_streams
        decoded = running.engine.total_work.decode_tokens
        assert decoded < 10_000
        await collect(running.complete(request_id="whole", background=True), [])
        for offset in range(LENGTH + 1):
            tokens = []
            await collect(running.resume("whole", offset), tokens)
            assert tuple(tokens) == EXPECTED.token_ids[offset:]
        assert running.engine.total_work.decode_tokens == decoded + LENGTH

    with_engine(scenario)


def test_lower_priorities_run_first_and_the_load_says_so():
    async def scenario(running):
        finished = []

        async def run(name, priority):
            async for _ in running.complete(request_id=name, priority=priority):
                pass
            finished.append(name)

        async with trio.open_nursery() as nursery:
            await running.call("POST", "/fault", kind="slow", factor=20)
            nursery.start_soon(run, "first", 5)
            for waiting, (name, priority) in enumerate((("digest", 9), ("lookup", 0))):
                await until(lambda number=waiting: len(running.engine.live_streams) > number)
                nursery.start_soon(run, name, priority)
            await until(lambda: len(running.engine.live_streams) == 3)
            _, load = await running.call("GET", "/load")
            assert (load["running"], load["waiting"], load["slots"]) == (1, 2, 1)
            await running.call("POST", "/fault", kind="recover")
        assert finished == ["first", "lookup", "digest"]

    with_engine(scenario, attrs.evolve(OPTIONS, slots=1))


def test_wrong_input_names_its_field():
    async def scenario(running):
        good = {"model": "summary", "prompt": PROMPT, "max_tokens": 3}
        wrong = {
            "model": ({"model": "other"}, 404),
            "prompt": ({"prompt": []}, 400),
            "max_tokens": ({"max_tokens": "x"}, 400),
        }
        for field, (change, expected) in wrong.items():
            status, error = await running.call("POST", "/v1/completions", **{**good, **change})
            assert (status, error["error"]["param"]) == (expected, field)

    with_engine(scenario)


@pytest.mark.parametrize("checks", [True, False])
def test_an_old_fencing_number_is_refused_only_where_it_is_checked(checks):
    async def scenario(running):
        wanted = {"models": [{"name": "digest", "version": "v2"}], "draining": True}
        assert (await running.call("POST", "/orders", fencing=7, wanted=wanted))[0] == 200
        status, report = await running.call("POST", "/orders", fencing=6, wanted={"models": []})
        assert status == (409 if checks else 200)
        _, report = await running.call("GET", "/orders")
        assert report["fencing"] == (7 if checks else 6)
        _, models = await running.call("GET", "/v1/models")
        assert [each["id"] for each in models["data"]] == (["digest"] if checks else [])

    with_engine(scenario, attrs.evolve(OPTIONS, checks_fencing=checks, model_load_s=0))
