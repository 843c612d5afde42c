"""Requests that a deployment refuses or takes: wrong ones, repeated ones, a plain client's."""

from __future__ import annotations

from functools import partial

import msgspec
import pytest
import trio

from lagoonlever.client.answers import HeldStream
from lagoonlever.entry.generations.generations import GenerationSettings
from lagoonlever.fakes.cluster import DATA_CENTERS, MODEL
from lagoonlever.outcomes import NotRun, Reason
from lagoonlever.tests.base import (
    LONG,
    Scene,
    document,
    expected_text,
    live_streams,
    post,
    run_scene,
    until,
)
from lagoonlever.tree.nodes import Node, Override, TreeView
from lagoonlever.tree.options import api_key_digest


def test_a_request_that_was_not_run_can_be_asked_again_under_its_key(tmp_path):
    """A caller is told "not run", comes back as it was told to, and must get its answer.

    The engine is gone when the request first comes. The caller repeats it under the
    same key once another engine is there; the kept refusal must not answer it.
    """

    async def story(scene: Scene) -> None:
        scene.cluster.kill_target("engine-1")
        key = (("Idempotency-Key", "again"),)
        address = scene.address("vm-1")
        first = await post(address, document(length=5, seed=5), headers=key)
        assert first.headers.get("Lagoonlever-Outcome") == "not-run"
        assert first.headers.get("Retry-After")
        await scene.cluster.start_engine("engine-2", DATA_CENTERS[0])
        scene.cluster.publish_list()
        parts = scene.cluster.vms["vm-1"].daemon.parts
        await until(
            lambda: any(t.name == "engine-2" and t.models for t in parts.targets.view.value.targets)
        )
        second = await post(address, document(length=5, seed=5), headers=key)
        assert second.text == expected_text(length=5, seed=5)

    run_scene(story, tmp_path, engines=1, vms=1)


@pytest.mark.parametrize(
    ("why", "code"),
    [
        ("takes no new work", b"isolated"),
        ("is full", b"overloaded"),
        ("has no engine", b"no-target"),
    ],
)
def test_a_request_that_was_begun_elsewhere_is_never_told_not_run(tmp_path, why, code):
    """A caller that holds part of its answer comes to a VM that cannot serve it now.

    That VM has run nothing of it, but another one has, as the caller's event id
    says. "Not run" would be untrue; a new request is told so at the same VM.
    """

    async def story(scene: Scene) -> None:
        stream = HeldStream()
        await scene.visit("vm-1", stream, request="r", length=400, seed=5, stop_at=12)
        service = scene.cluster.vms["vm-2"].daemon.parts.generations.service
        scene.cluster.kill_vm("vm-1")
        if why == "takes no new work":
            service._refusal = lambda: NotRun(reason=Reason.ISOLATED, message="cut off")
        elif why == "is full":
            service._settings = GenerationSettings(running=1)
            scene.cluster._nursery.start_soon(partial(fill, scene))
            await until(lambda: service.running)
        else:
            scene.cluster.kill_target("engine-1")
        headers = (("Idempotency-Key", "r"), ("Lagoonlever-Accept", "resume, restart"))
        back = (*headers, ("Last-Event-ID", str(stream.last_event_id)))
        known = await post(scene.address("vm-2"), document(length=400, seed=5), headers=back)
        error = known.body.replace(b": ", b":").replace(b", ", b",")
        assert b'"type":"unknown","code":"' + code in error
        new = (("Idempotency-Key", "new"),)
        fresh = await post(scene.address("vm-2"), document(length=400, seed=5), headers=new)
        assert fresh.headers.get("Lagoonlever-Outcome") == "not-run"
        scene.recorder.events.clear()

    run_scene(story, tmp_path, engines=1, vms=2)


async def fill(scene: Scene) -> None:
    await post(scene.address("vm-2"), document(length=4000, seed=1))


WRONG = [
    (b"{", (), 400, "body"),
    (b"[]", (), 400, "body"),
    ({"prompt": "p"}, (), 400, "model"),
    ({"model": "none", "prompt": "p"}, (), 404, "model"),
    ({"model": MODEL, "prompt": 3}, (), 400, "prompt"),
    ({"model": MODEL, "prompt": "p", "max_tokens": 0}, (), 400, "max_tokens"),
    ({"model": MODEL, "prompt": "p", "max_tokens": 10**9}, (), 400, "max_tokens"),
    ({"model": MODEL, "prompt": "p", "stop": [""]}, (), 400, "stop"),
    ({"model": MODEL, "prompt": "p", "n": 2}, (), 400, "n"),
    ({"model": MODEL, "prompt": "p", "echo": True}, (), 400, "echo"),
    ({"model": MODEL, "prompt": "p", "logprobs": 1}, (), 400, "logprobs"),
    ({"model": MODEL, "prompt": "p"}, (("Idempotency-Key", "a b"),), 400, "Idempotency-Key"),
    (
        {"model": MODEL, "prompt": "p"},
        (("Lagoonlever-Deadline-S", "soon"),),
        400,
        "Lagoonlever-Deadline-S",
    ),
    (
        {"model": MODEL, "prompt": "p"},
        (("Idempotency-Key", "x"), ("Last-Event-ID", "7")),
        400,
        "Last-Event-ID",
    ),
    (
        {"model": MODEL, "prompt": "p"},
        (
            ("Idempotency-Key", "x"),
            ("Last-Event-ID", "other/1/1/0/3/00000000000000ff/engine-1/vm-1"),
        ),
        400,
        "Last-Event-ID",
    ),
    (b"x" * (5 * 1024 * 1024), (), 413, "body"),
    (b"{}", (("X-Large", "x" * 100_000),), 431, "request"),
]


HEAD_UNREAD = 431
"""Whether the request has a key is not known, and so whether a former copy of it has run."""


def test_wrong_requests_are_told_the_field_and_harm_nobody(tmp_path):
    """A client with a fault asks all the while that a dealer's summary streams at the same VM."""

    async def story(scene: Scene) -> None:
        address = scene.address("vm-1")
        async with trio.open_nursery() as nursery:

            async def neighbour() -> None:
                held = await scene.ask(length=LONG, seed=5, vm="vm-1")
                assert held.text == expected_text(length=LONG, seed=5)

            nursery.start_soon(neighbour)
            await until(lambda: live_streams(scene))
            for body, headers, status, field in WRONG:
                answer = await post(address, body, headers=headers)
                assert answer.status == status, (field, answer)
                assert answer.error["param"] == field
                outcome = "unknown" if status == HEAD_UNREAD else "not-run"
                assert answer.headers.get("Lagoonlever-Outcome") == outcome
            assert (await post(address, {}, path="/v1/none")).error["param"] == "path"
            assert (await post(address, {}, method="PUT")).error["param"] == "method"

    run_scene(story, tmp_path, engines=1, vms=1)


def test_an_unknown_key_is_refused(tmp_path):
    """A caller with a mistyped key is told the header, and its neighbour's answer goes on."""

    async def story(scene: Scene) -> None:
        tree = scene.cluster.vms["vm-1"].daemon.parts.tree
        keys = Override(option="api_keys", value=(api_key_digest("k1"),))
        tree.publish(
            TreeView(version=1, nodes=(Node(path="/"), Node(path="/a", overrides=(keys,))))
        )
        address = scene.address("vm-1")
        for headers in ((), (("Authorization", "Bearer k2"),)):
            answer = await post(address, document(length=5, seed=5), headers=headers)
            assert (answer.status, answer.error["param"]) == (401, "Authorization")
        right = await post(
            address, document(length=5, seed=5), headers=(("Authorization", "Bearer k1"),)
        )
        assert right.text == expected_text(length=5, seed=5)

    run_scene(story, tmp_path, engines=1, vms=1)


def test_a_plain_client_needs_only_the_address(tmp_path):
    """A client of streaming completions sends what it always sent, streamed and not."""

    async def story(scene: Scene) -> None:
        address = scene.address("vm-1")
        streamed = await post(address, document(length=20, seed=5))
        assert streamed.text == expected_text(length=20, seed=5)
        whole = await post(address, document(length=20, seed=5, stream=False))
        choice = msgspec.json.decode(whole.body)["choices"][0]
        assert choice["text"] == expected_text(length=20, seed=5)
        assert whole.headers.get("Lagoonlever-Outcome") == "done"

    run_scene(story, tmp_path, engines=1, vms=1)


def test_a_key_in_a_head_that_is_too_large_is_not_told_as_not_run(tmp_path):
    """Guards against a bid that is sent anew under another key though its first copy has run."""
    headers = (("Idempotency-Key", "large"), ("X-Large", "x" * 100_000))

    async def story(scene: Scene) -> None:
        answer = await post(scene.address("vm-1"), document(length=5, seed=5), headers=headers)
        assert answer.status == 431
        assert answer.headers.get("Lagoonlever-Outcome") == "unknown"

    run_scene(story, tmp_path, engines=1, vms=1)
