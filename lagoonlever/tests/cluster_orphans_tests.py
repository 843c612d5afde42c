"""Streams at engines that nobody will read any more: they end, wherever the VM or caller went."""

from __future__ import annotations

import attrs
import trio

from lagoonlever.client.answers import HeldStream
from lagoonlever.decisions.streams import orphans
from lagoonlever.entry.targets.targets import TargetWatch
from lagoonlever.tests.base import (
    Scene,
    decoded,
    document,
    live_streams,
    post,
    run_scene,
    until,
)


def test_streams_end_at_the_engine_when_nobody_will_read_them(tmp_path, monkeypatch):
    """Engines must not write long answers for callers that left, nor for VMs that died.

    A plain client, which cannot come back, leaves: its stream is cancelled at once.
    A VM dies with a long stream and its caller stays away: a peer cancels it.
    """
    monkeypatch.setattr(orphans, "GRACE_S", 0.5)
    monkeypatch.setattr(orphans, "RECORD_AFTER_S", 0.2)

    async def story(scene: Scene) -> None:
        with trio.CancelScope() as scope:
            await post(
                scene.address("vm-1"),
                document(length=2000, seed=5),
                on_piece=lambda _: scope.cancel(),
            )
        await until(lambda: not live_streams(scene))
        assert decoded(scene) < 1000
        stream = HeldStream()
        await scene.visit("vm-1", stream, request="r", length=4000, seed=5, stop_at=40)
        parts = [vm.daemon.parts for vm in scene.cluster.vms.values()]
        await until(lambda: any(part.orphans._holder.records for part in parts))
        scene.cluster.kill_vm("vm-1")
        await until(lambda: not live_streams(scene))
        assert decoded(scene) < 3000
        scene.recorder.events.clear()

    run_scene(story, tmp_path, engines=1, vms=3, adjust=quick_membership)


def test_an_engine_is_not_passed_over_because_a_caller_left(tmp_path, monkeypatch):
    """Guards against an engine that others leave out as a VM cancelled a stream there."""
    blamed: list[str] = []
    monkeypatch.setattr(TargetWatch, "connect_failed", lambda _, target: blamed.append(target.name))

    async def story(scene: Scene) -> None:
        with trio.CancelScope() as scope:
            await post(
                scene.address("vm-1"),
                document(length=2000, seed=5),
                on_piece=lambda _: scope.cancel(),
            )
        await until(lambda: not live_streams(scene))
        assert not blamed
        scene.recorder.events.clear()

    run_scene(story, tmp_path, engines=1, vms=3)


def quick_membership(settings):
    membership = attrs.evolve(settings.membership, period_s=0.2, ack_timeout_s=0.1)
    return attrs.evolve(settings, membership=membership)
