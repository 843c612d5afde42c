"""The caller's library: what it does about an entry VM that accepts and then says nothing."""

from __future__ import annotations

import pytest
import trio

from lagoonlever.client.answers import HeldStream
from lagoonlever.client.caller import Caller, CompletionRequest
from lagoonlever.exceptions import BadResponse
from lagoonlever.fakes.cluster import MODEL
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.http.sse import ServerEvent
from lagoonlever.tests.base import PROMPT, Scene, expected_text, run_scene


@pytest.mark.parametrize(("silence_s", "finds_another"), [(0.2, True), (1e9, False)])
def test_a_silent_vm_is_left_for_another(tmp_path, silence_s, finds_another):
    """A caller's entry VM is paused before its first word; its kernel still accepts.

    The connection neither speaks nor ends. Without a limit on silence the caller
    waits for ever; with it, the caller asks whether the VM lives and goes elsewhere.
    """

    async def story(scene: Scene) -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        silent = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        caller = Caller(addresses=[silent, scene.address("vm-1")], silence_s=silence_s)
        caller.entries.use([silent], until=float("inf"))
        request = CompletionRequest(model=MODEL, prompt=PROMPT, max_tokens=5, seed=5)
        held = None
        with trio.move_on_after(60 if finds_another else 2):
            held = await caller.complete(request, on_arrival=lambda _: None)
        assert (held is not None) == finds_another
        assert held is None or held.text == expected_text(length=5, seed=5)

    run_scene(story, tmp_path, engines=1, vms=1)


def test_a_vm_that_only_waits_for_its_engine_is_not_left(tmp_path):
    """A long prompt takes its engine a while: leaving would have it prefilled again elsewhere."""

    async def story(scene: Scene) -> None:
        caller = Caller(addresses=scene.cluster.addresses(), silence_s=0.1)
        request = CompletionRequest(model=MODEL, prompt=PROMPT, max_tokens=5, seed=5)
        held = await caller.complete(request, on_arrival=lambda _: None)
        assert held.text == expected_text(length=5, seed=5)
        streams = [name for e in scene.cluster.engines.values() for name in e.work]
        assert len(streams) == 1

    run_scene(story, tmp_path, engines=2, vms=2, prefill_s_per_token=0.06)


def test_an_address_that_is_no_entry_vm_is_named():
    """A caller's only address is that of another server; the error must say which one."""

    async def answer(exchange: Exchange) -> None:
        await exchange.respond_json(status=200, payload="welcome")

    async def main() -> None:
        listeners = await open_listeners(host="127.0.0.1", port=0)
        address = Address(host="127.0.0.1", port=listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: serve_http(
                    handler=answer, listeners=listeners, limits=ServerLimits(), state=ServerState()
                )
            )
            with pytest.raises(BadResponse) as caught:
                await Caller(addresses=[address]).discover()
            assert (caught.value.peer, caught.value.step) == (str(address), "find an entry VM")
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_an_event_that_cannot_be_read_tells_step_and_peer() -> None:
    """`lagoonlever ask` ends with a traceback because something else answers at an old address."""
    with pytest.raises(BadResponse, match=r"read the answer with 10\.0\.0\.1:80"):
        HeldStream().feed(ServerEvent(data=b"<html>"), peer="10.0.0.1:80")
