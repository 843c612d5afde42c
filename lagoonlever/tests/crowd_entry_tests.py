"""Clients that don't behave at an entry VM: its process outlives them within its machine."""

from __future__ import annotations

import contextlib
import itertools
from pathlib import Path

import msgspec
import pytest
import trio

from lagoonlever.client.caller import CompletionRequest
from lagoonlever.fakes.cluster import MODEL
from lagoonlever.http.client import fetch
from lagoonlever.http.messages import Address, Headers
from lagoonlever.soak import crowd_clients as kinds
from lagoonlever.soak.crowd_clients import Client, Crowd, Kind
from lagoonlever.tests.base import PROMPT, expected_text, until
from lagoonlever.tests.crowd_site import MB, SETTLE_S, WAIT_S, ProcessWatch
from lagoonlever.tests.gateway_site import KEY
from lagoonlever.tests.processes import Fleet, fleet

pytestmark = pytest.mark.timeout(300)

MACHINE_MB = 160
"""Of the entry VM, whose process has about half of it at rest."""
MACHINE_DESCRIPTORS = 300
FEW_DESCRIPTORS = MACHINE_DESCRIPTORS // 4
BODY_BYTES = 4 * 1024 * 1024
"""The largest body that an entry VM takes."""
HEADER_BYTES = 32 * 1024
BODIES = 40
TINY = 20
CONNECTIONS = 400
LENGTH = 20
COMPLETIONS = "/v1/completions"
ASKING, ASKED_EACH = 8, 30
CALLS = 80
ANSWER_BYTES = 1_000_000
"""Short of the largest answer of a service that is passed on by default."""
REFUSED = 1000
"""Their lines are more than a pipe holds."""
LONG_PROMPT_BYTES = 60_000
PROMPTS = 40
PROMPT_TOKENS = 131_072
"""The longest prompt that is taken by default."""
LARGE_TOKEN = 100_000
"""Of a usual vocabulary; numbers below some hundreds cost a process nothing each."""

KINDS: dict[str, tuple[Kind, int]] = {
    "unfinished-chunks": (kinds.unfinished_chunks(BODY_BYTES), BODIES),
    "unfinished-length": (kinds.unfinished_length(BODY_BYTES), BODIES),
    "far-over": (kinds.far_over(BODY_BYTES), BODIES),
    "whole": (kinds.whole_bodies(BODY_BYTES), BODIES),
    "tiny-chunks": (kinds.tiny_chunks(BODY_BYTES), TINY),
    "silent": (kinds.silence, CONNECTIONS),
    "unfinished-heads": (kinds.unfinished_heads(HEADER_BYTES), CONNECTIONS),
}


@pytest.mark.parametrize("name", KINDS)
def test_a_crowd_at_an_entry_vm_stays_within_the_machine(tmp_path: Path, name: str) -> None:
    """Guards against an entry VM that ends as it holds what many clients send at once."""
    kind, count = KINDS[name]

    async def main(running: Fleet) -> None:
        await running.publish_list()
        with trio.fail_after(WAIT_S):
            await running.wait_serving()
        address = running.vms[0].address
        async with trio.open_nursery() as nursery:
            crowd = Crowd(address=address, key=KEY, kind=kind, count=count)
            await _bear(running, nursery, crowd)
            nursery.cancel_scope.cancel()

    with fleet(tmp_path, engines=1, vms=1, machine=_machine()) as running:
        trio.run(main, running)


@pytest.mark.parametrize(
    ("path", "status"),
    [(COMPLETIONS, 413), ("/nowhere", 404), ("/v1/models", 405), ("/services/nobody/x", 404)],
    ids=["too-large", "no-route", "no-method", "no-service"],
)
def test_a_body_that_will_be_refused_is_not_waited_for_by_an_entry_vm(
    tmp_path: Path, path: str, status: int
) -> None:
    """Guards against memory and time for bodies whose heads tell already that they are refused."""
    length = kinds.FAR_OVER_BYTES if status == 413 else BODY_BYTES

    async def only_head(client: Client) -> None:
        await client.send(client.head(f"Content-Length: {length}", path=path))

    async def main(running: Fleet) -> None:
        await running.publish_list()
        vm = running.vms[0]
        watch = ProcessWatch(process=vm.popen, ports=frozenset((vm.address.port,)))
        with trio.fail_after(WAIT_S):
            await running.wait_serving()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            crowd = Crowd(address=vm.address, key=KEY, kind=only_head, count=1)
            nursery.start_soon(crowd.run)
            await until(lambda: crowd.clients and crowd.clients[0].status is not None)
            await _ask(running)
            nursery.cancel_scope.cancel()
        assert crowd.clients[0].status == status
        _check(watch)

    with fleet(tmp_path, engines=1, vms=1, machine=_machine()) as running:
        trio.run(main, running)


def test_requests_that_are_over_do_not_fill_an_entry_vm(tmp_path: Path) -> None:
    """Guards against prompts that stay, with their tokens, for as long as answers are kept."""

    async def main(running: Fleet) -> None:
        await running.publish_list()
        vm = running.vms[0]
        watch = ProcessWatch(process=vm.popen, ports=frozenset((vm.address.port,)))
        with trio.fail_after(WAIT_S):
            await running.wait_serving()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            async with trio.open_nursery() as asking:
                for number in range(ASKING):
                    asking.start_soon(_ask_long, vm.address, number)
            nursery.cancel_scope.cancel()
        await _ask(running)
        _check(watch)

    with fleet(tmp_path, engines=1, vms=1, machine=_machine()) as running:
        trio.run(main, running)


@pytest.mark.parametrize("field", ["prompt", "lagoonlever_held", "unknown"])
@pytest.mark.parametrize("piece", ["[]", "{}", "1", "99999"])
def test_small_pieces_of_a_document_do_not_fill_an_entry_vm(
    tmp_path: Path, field: str, piece: str
) -> None:
    """Guards against a body within its limit that takes many times its size once it is read."""
    listed = ",".join([piece] * ((BODY_BYTES - LONG_PROMPT_BYTES) // (len(piece) + 1)))
    value = f"[{listed}]"
    if field == "lagoonlever_held":
        value = f'{{"model_version":"v","prompt_token_ids":{value},"token_ids":[]}}'
    document = f'{{"model":"{MODEL}","stream":true,"{field}":{value}}}'
    _bear_documents(tmp_path, document.encode(), count=TINY)


@pytest.mark.parametrize("stream", [True, False], ids=["stream", "whole"])
def test_prompts_that_are_being_answered_do_not_fill_an_entry_vm(
    tmp_path: Path, stream: bool
) -> None:
    """Guards against many prompts within their limit, each of which costs ten times its size."""
    prompt = list(range(LARGE_TOKEN, LARGE_TOKEN + PROMPT_TOKENS))
    document = {"model": MODEL, "prompt": prompt, "max_tokens": 16_000, "stream": stream}
    _bear_documents(tmp_path, msgspec.json.encode(document), count=PROMPTS)


@pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "plain"])
@pytest.mark.parametrize("reads", [True, False], ids=["read", "unread"])
def test_calls_with_large_answers_do_not_fill_an_entry_vm(
    tmp_path: Path, keyed: bool, reads: bool
) -> None:
    """Guards against answers of services that fill the memory as they come, wait and are kept."""
    numbers = itertools.count()
    document = b'{"filler":"%s"}' % (b"x" * ANSWER_BYTES)

    async def call(client: Client) -> None:
        fields = [f"Content-Length: {len(document)}"]
        if keyed:
            fields.append(f"Idempotency-Key: crowd-{next(numbers)}")
        await client.send(client.head(*fields, path="/services/application/bids") + document)

    async def main(running: Fleet) -> None:
        await running.publish_list()
        vm = running.vms[0]
        with trio.fail_after(WAIT_S):
            await running.wait_serving()
        crowd = Crowd(address=vm.address, key=KEY, kind=call, count=CALLS, reads=reads)
        async with trio.open_nursery() as nursery:
            await _bear(running, nursery, crowd)
            nursery.cancel_scope.cancel()

    with fleet(tmp_path, engines=1, vms=1, machine=_machine(), applications=3) as running:
        trio.run(main, running)


def test_refusals_that_nobody_reads_in_the_log_do_not_stop_an_entry_vm(tmp_path: Path) -> None:
    """Guards against a process that waits for the reader of its log, and serves nobody."""

    async def refused(address: Address) -> None:
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            client = Client(address=address, key=KEY, stream=stream)
            await client.send(client.head(f"Content-Length: {kinds.FAR_OVER_BYTES}"))
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.receive_some()

    async def main(running: Fleet) -> None:
        await running.publish_list()
        vm = running.vms[0]
        with trio.fail_after(WAIT_S):
            await running.wait_serving()
            watch = ProcessWatch(process=vm.popen, ports=frozenset((vm.address.port,)))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                for _ in range(REFUSED):
                    await refused(vm.address)
                await _ask(running)
                nursery.cancel_scope.cancel()
        _check(watch)

    with fleet(tmp_path, engines=1, vms=1, machine=_machine(), unread_logs=True) as running:
        trio.run(main, running)


def _bear_documents(tmp_path: Path, document: bytes, *, count: int) -> None:
    """Bear clients that each send a whole document as a question."""

    async def ask(client: Client) -> None:
        length = f"Content-Length: {len(document)}"
        await client.send(client.head(length, path=COMPLETIONS) + document)

    async def main(running: Fleet) -> None:
        await running.publish_list()
        with trio.fail_after(WAIT_S):
            await running.wait_serving()
        async with trio.open_nursery() as nursery:
            address = running.vms[0].address
            await _bear(running, nursery, Crowd(address=address, key=KEY, kind=ask, count=count))
            nursery.cancel_scope.cancel()

    with fleet(tmp_path, engines=1, vms=1, machine=_machine()) as running:
        trio.run(main, running)


async def _ask_long(address: Address, number: int) -> None:
    """Ask long questions one after the other, each another one."""
    for turn in range(ASKED_EACH):
        prompt = "w" * LONG_PROMPT_BYTES + f" {number}-{turn}"
        document = {"model": MODEL, "prompt": prompt, "max_tokens": 1, "stream": True}
        answer = await fetch(
            address,
            method="POST",
            path=COMPLETIONS,
            headers=Headers((("Content-Type", "application/json"),)),
            body=msgspec.json.encode(document),
            step="test",
            timeout_s=WAIT_S,
        )
        assert answer.status == 200, answer


def _machine() -> dict[str, int]:
    return {"memory_mb": MACHINE_MB, "descriptors": MACHINE_DESCRIPTORS}


async def _bear(running: Fleet, nursery: trio.Nursery, crowd: Crowd) -> None:
    vm = running.vms[0]
    watch = ProcessWatch(process=vm.popen, ports=frozenset((vm.address.port,)))
    nursery.start_soon(watch.run)
    async with trio.open_nursery() as crowded:
        crowded.start_soon(crowd.run)
        with trio.move_on_after(SETTLE_S):
            await until(lambda: crowd.is_settled)
        _check(watch)
        await _ask(running)
        crowded.cancel_scope.cancel()
    await _ask(running)
    with trio.move_on_after(WAIT_S):
        await until(lambda: not watch.lives or watch.descriptors <= FEW_DESCRIPTORS)
    _check(watch)
    assert watch.descriptors <= FEW_DESCRIPTORS


def _check(watch: ProcessWatch) -> None:
    assert watch.lives, "the process has ended"
    told = f"{watch.most.memory_bytes // MB} MB, {watch.most.descriptors} descriptors"
    assert watch.most.memory_bytes <= MACHINE_MB * MB, told
    assert watch.most.descriptors <= MACHINE_DESCRIPTORS, told


async def _ask(running: Fleet) -> None:
    """Ask one ordinary question, and check its answer."""
    with trio.fail_after(WAIT_S):
        caller = running.caller(running.recorder())
        request = CompletionRequest(model=MODEL, prompt=PROMPT, max_tokens=LENGTH, seed=1)
        held = await caller.complete(request, on_arrival=lambda _: None)
    assert held.text == expected_text(length=LENGTH, seed=1)
