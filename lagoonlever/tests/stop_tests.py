"""Planned stops of an entry VM under load, whatever else happens meanwhile: nothing is cut."""

from __future__ import annotations

import contextlib
import signal

import attrs
import pytest
import trio

from lagoonlever.client.answers import HeldStream
from lagoonlever.client.caller import Arrival, Caller, CompletionRequest
from lagoonlever.decisions.fleet.addresses import AddressesSettings
from lagoonlever.decisions.fleet.planned_stop import OpenWork, PlannedStop
from lagoonlever.entry import stopping
from lagoonlever.entry.daemon import EntryDaemon
from lagoonlever.exceptions import ConnectFailed, ConnectionBroken
from lagoonlever.fakes.cluster import MODEL
from lagoonlever.fakes.faults import FaultKind, FaultOrder
from lagoonlever.fakes.platform import PlatformFault, PlatformFaultKind
from lagoonlever.history.checkers.planned_stop import check
from lagoonlever.history.events_stops import CallerToldAddresses
from lagoonlever.history.events_vms import VmStopEnded
from lagoonlever.http.client import ClientConnection
from lagoonlever.tests.base import (
    PROMPT,
    Scene,
    document,
    expected_text,
    post,
    run_scene,
    until,
)
from lagoonlever.tests.processes import Fleet, run_fleet, wait_ended

LENGTH = 150
LIFETIME_S = 2.0


def short_lifetime(settings):
    addresses = attrs.evolve(settings.addresses, lifetime_s=LIFETIME_S, news_s=1.0)
    return attrs.evolve(settings, addresses=addresses)


def has_ended(scene: Scene) -> bool:
    return any(isinstance(event, VmStopEnded) for event in scene.history())


async def moved_caller(scene: Scene, number: int) -> None:
    """Ask at the VM that stops and be sent elsewhere in the middle."""
    arrivals: list[Arrival] = []
    held = await scene.ask(
        name=f"moved-{number}", length=LENGTH, seed=number, vm="vm-1", on_arrival=arrivals.append
    )
    assert held.text == expected_text(length=LENGTH, seed=number)
    assert held.restarts == 0
    assert len({arrival.vm for arrival in arrivals}) >= 2


async def plain_client(scene: Scene) -> None:
    """Stream from the VM that stops, unable to come back elsewhere."""
    answer = await post(scene.address("vm-1"), document(length=LENGTH, seed=77))
    assert answer.text == expected_text(length=LENGTH, seed=77)


async def old_address(scene: Scene, number: int) -> None:
    """Ask again and again at the VM that stops, for as long as the address was told for."""
    caller = Caller(
        addresses=scene.cluster.addresses(), name=f"old-{number}", recorder=scene.recorder
    )
    vm = scene.address("vm-1")
    await caller.discover()
    known_until = caller.entries.known_until
    while trio.current_time() < known_until - 0.1:
        caller.entries.use([vm])
        request = CompletionRequest(model=MODEL, prompt=PROMPT, max_tokens=3, seed=number)
        held = await caller.complete(request, on_arrival=lambda _: None)
        assert held.text == expected_text(length=3, seed=number)


async def last_request(scene: Scene, connection: ClientConnection) -> None:
    """Send one more request on a connection that was kept alive."""
    await connection.start(method="GET", path="/v1/models", step="test")
    head = await connection.read_head()
    assert head.status == 200
    assert head.headers.get("Connection") == "close"
    while await connection.next_piece() is not None:
        pass
    await connection.aclose()


async def bid(scene: Scene, key: str) -> None:
    """Send a bid to the VM that stops, which takes its service a second."""
    headers = (("Idempotency-Key", key),)
    path = "/services/application/bids"
    answer = await post(scene.address("vm-1"), {}, path=path, headers=headers)
    assert answer.headers.get("Lagoonlever-Outcome") == "done"
    assert scene.cluster.applications["application-1"].executions.by_key[key] == 1


def disturb(scene: Scene, disturbance: str) -> None:
    if disturbance == "engine dies":
        name = next(name for name, e in scene.cluster.engines.items() if e.live_streams)
        scene.cluster.kill_target(name)
    elif disturbance == "platform down":
        scene.cluster.platform.inject(PlatformFault(kind=PlatformFaultKind.DOWN))
    elif disturbance == "other VM dies":
        scene.cluster.kill_vm("vm-3")


@pytest.mark.parametrize(
    "disturbance", ["nothing", "engine dies", "platform down", "other VM dies"]
)
def test_a_planned_stop_cuts_nothing(tmp_path, disturbance):
    """An operator replaces a VM at noon, while summaries stream from it.

    Callers that can are sent elsewhere; a plain client's answer finishes; callers
    with the old address and a kept-alive connection are served; bids on their way are
    answered; a second signal changes nothing. Meanwhile an engine, the platform or
    another VM fails.
    """

    async def story(scene: Scene) -> None:
        vm = scene.cluster.vms["vm-1"]
        kept = await ClientConnection.open(vm.daemon.address)
        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(moved_caller, scene, number)
            nursery.start_soon(plain_client, scene)
            service = vm.daemon.parts.generations.service
            await until(lambda: service.running >= 4)
            await until(lambda: all(task.life.released_tokens >= 10 for task in service.tasks))
            slow = FaultOrder(kind=FaultKind.SLOW, factor=200)
            scene.cluster.applications["application-1"].inject(slow)
            for number in range(2):
                nursery.start_soon(bid, scene, f"bid-{number}")
            await until(lambda: vm.daemon.parts.services.open_keys == 2)
            for number in range(3):
                nursery.start_soon(old_address, scene, number)
            vm.daemon.stop()
            disturb(scene, disturbance)
            await last_request(scene, kept)
            vm.daemon.stop()
        await until(lambda: has_ended(scene))
        with pytest.raises(ConnectFailed):
            await ClientConnection.open(vm.daemon.address)

    run_scene(story, tmp_path, token_interval_s=0.02, adjust=short_lifetime)


async def no_wait(*_: object) -> None:
    pass


@pytest.mark.parametrize("broken", ["nothing", "cuts what is held", "forgets old addresses"])
def test_a_stop_that_does_not_wait_is_seen_by_its_checker(tmp_path, monkeypatch, broken):
    """A caller that cannot move, and one with an old address, meet a VM that is told to stop.

    Without the waits for what is held, the VM ends and cuts the first. Without the
    wait for the addresses that were told, it is gone when the second comes.
    """
    if broken == "cuts what is held":
        observe = PlannedStop.observe
        monkeypatch.setattr(
            PlannedStop, "observe", lambda self, _, now: observe(self, OpenWork(), now + 1000)
        )
        monkeypatch.setattr(EntryDaemon, "_close", no_wait)
    if broken == "forgets old addresses":
        monkeypatch.setattr(AddressesSettings, "served_after_leaving_s", 0.0)
        monkeypatch.setattr(stopping, "QUIET_S", 0.0)

    async def story(scene: Scene) -> None:
        daemon = scene.cluster.vms["vm-1"].daemon
        stream = HeldStream()

        async def visit() -> None:
            asked = {"request": "r", "length": 60, "seed": 5, "accept": "resume, restart"}
            with contextlib.suppress(ConnectionBroken):
                await scene.visit("vm-1", stream, **asked)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(visit)
            await until(lambda: stream.token_ids)
            nursery.start_soon(old_address, scene, 1)
            await until(lambda: any(isinstance(e, CallerToldAddresses) for e in scene.history()))
            daemon.stop()
        await until(lambda: has_ended(scene))
        assert bool(check(scene.history())) == (broken != "nothing")
        scene.recorder.events.clear()
        for file in tmp_path.glob("*.history"):
            file.unlink()

    run_scene(story, tmp_path, engines=1, vms=2, adjust=short_lifetime)


def test_whoever_comes_at_the_very_end_is_served_or_not_connected(tmp_path, monkeypatch):
    """A client with an address from last week connects while the VM takes its leave.

    Its request must not be accepted and then cut: it is served, or gets no
    connection, which proves that nothing was run.
    """
    monkeypatch.setattr(stopping, "QUIET_S", 0.2)
    results = []

    async def story(scene: Scene) -> None:
        daemon = scene.cluster.vms["vm-1"].daemon
        address = daemon.address
        daemon.stop()
        await daemon.parts.stopping._ended.wait()
        for _ in range(3):
            try:
                results.append((await post(address, document(length=100, seed=5))).status)
            except ConnectFailed:
                results.append("not connected")
        assert set(results) <= {200, "not connected"}

    run_scene(story, tmp_path, engines=1, vms=2, token_interval_s=0.02, adjust=short_lifetime)


def test_sigterm_ends_the_process_by_itself_after_its_last_answer(tmp_path):
    """SIGTERM under load, and again: callers go on elsewhere, the process exits with success."""

    async def story(fleet: Fleet) -> None:
        recorder = fleet.recorder()
        stopped = []

        async def ask(number: int) -> None:
            def arrived(arrival: Arrival) -> None:
                if not stopped and arrival.offset >= 20:
                    stopped.append(fleet.at(arrival.vm))
                    stopped[0].send(signal.SIGTERM)
                    plain.start_soon(finish_plain, stopped[0])

            caller = fleet.caller(recorder, name=f"caller-{number}", at="vm-1")
            request = CompletionRequest(model=MODEL, prompt=PROMPT, max_tokens=LENGTH, seed=number)
            held = await caller.complete(request, on_arrival=arrived)
            assert held.text == expected_text(length=LENGTH, seed=number)

        async def finish_plain(vm) -> None:
            answer = await post(vm.address, document(length=LENGTH, seed=77))
            vm.send(signal.SIGTERM)
            assert answer.text == expected_text(length=LENGTH, seed=77)

        async with trio.open_nursery() as plain:
            for number in range(4):
                plain.start_soon(ask, number)
        assert await wait_ended(stopped[0]) == 0

    run_fleet(story, tmp_path, engines=2, vms=3, address_lifetime_s=1.0)
