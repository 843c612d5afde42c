"""Generations through real processes that are killed, stopped and continued by signals."""

from __future__ import annotations

import signal
import subprocess
import sys
from functools import partial
from pathlib import Path

import pytest
import trio

from lagoonlever.client.caller import Arrival, CompletionRequest
from lagoonlever.fakes.cluster import MODEL
from lagoonlever.tests.base import PROMPT, expected_text, until, until_answer
from lagoonlever.tests.processes import Fleet, run_fleet

LENGTH = 120


def request(seed: int, length: int = LENGTH) -> CompletionRequest:
    return CompletionRequest(model=MODEL, prompt=PROMPT, max_tokens=length, seed=seed)


def test_engines_and_vms_are_killed_under_three_callers(tmp_path):
    """Three summaries are read while the machines under them die without a word.

    First the engine of one caller is killed, then that caller's entry VM, then
    engine and VM of another at the same moment. Every answer is whole.
    """

    async def story(fleet: Fleet) -> None:
        recorder = fleet.recorder()
        deaths = {0: [(20, "engine"), (60, "vm")], 1: [(85, "both")], 2: []}

        async def ask(number: int) -> None:
            left = deaths[number]

            def arrived(arrival: Arrival) -> None:
                if left and arrival.offset >= left[0][0]:
                    kind = left.pop(0)[1]
                    if kind != "vm":
                        fleet.processes[arrival.target].send(signal.SIGKILL)
                    if kind != "engine":
                        fleet.at(arrival.vm).send(signal.SIGKILL)

            caller = fleet.caller(recorder, name=f"caller-{number}")
            held = await caller.complete(request(number), on_arrival=arrived)
            assert not left
            assert held.text == expected_text(length=LENGTH, seed=number)
            assert held.restarts == 0

        async with trio.open_nursery() as nursery:
            for number in deaths:
                nursery.start_soon(ask, number)

    run_fleet(story, tmp_path, engines=4, vms=4)


@pytest.mark.parametrize("engine_dies", [False, True])
def test_a_vm_is_stopped_and_continued_within_an_answer(tmp_path, engine_dies):
    """A dealer's summary stops in the middle: the entry VM is paused, its connection stays open.

    The caller notices the silence and comes back at another VM, which reads on the
    same engine stream, or begins an attempt elsewhere if that engine died too. The
    paused VM wakes, finds its stream broken, and must write no attempt of its own.
    """

    async def story(fleet: Fleet) -> None:
        recorder = fleet.recorder()
        stopped = []

        def arrived(arrival: Arrival) -> None:
            if not stopped and arrival.offset >= 20:
                stopped.append(fleet.at(arrival.vm))
                stopped[0].send(signal.SIGSTOP)
                if engine_dies:
                    fleet.processes[arrival.target].send(signal.SIGKILL)

        caller = fleet.caller(recorder)
        held = await caller.complete(request(5), on_arrival=arrived, request_id="paused")
        assert held.text == expected_text(length=LENGTH, seed=5)
        assert held.restarts == 0
        before = fleet.dispatched("paused")
        stopped[0].send(signal.SIGCONT)
        await until_answer(partial(takes_work, fleet, stopped[0].name))
        again = fleet.caller(recorder, name="next", at=stopped[0].name)
        whole = await again.complete(request(6, 10), on_arrival=lambda _: None)
        assert whole.text == expected_text(length=10, seed=6)
        assert fleet.dispatched("paused") == before
        if not engine_dies:
            names = [name for name in fleet.processes if "engine" in name]
            work = [(await fleet.get(name, "/work"))["total"] for name in names]
            assert sum(each["decode_tokens"] for each in work) == LENGTH + 10

    run_fleet(story, tmp_path, engines=2, vms=3)


async def takes_work(fleet: Fleet, vm: str) -> bool:
    return (await fleet.get(vm, "/admin/status"))["vm"]["phase"] == "serving"


async def is_idle(fleet: Fleet, engine: str) -> bool:
    return not (await fleet.get(engine, "/load"))["running"]


def test_an_engine_is_stopped_and_continued_within_an_answer(tmp_path):
    """An engine hangs with open connections; its answer goes on elsewhere, and its own is void."""

    async def story(fleet: Fleet) -> None:
        stopped = []

        def arrived(arrival: Arrival) -> None:
            if not stopped and arrival.offset >= 20:
                stopped.append(arrival.target)
                fleet.processes[arrival.target].send(signal.SIGSTOP)

        caller = fleet.caller(fleet.recorder())
        held = await caller.complete(request(5), on_arrival=arrived)
        assert held.text == expected_text(length=LENGTH, seed=5)
        fleet.processes[stopped[0]].send(signal.SIGCONT)
        await until_answer(partial(is_idle, fleet, stopped[0]))

    run_fleet(story, tmp_path, engines=2, vms=2)


def start_ask(fleet: Fleet, output: Path) -> subprocess.Popen[bytes]:
    addresses = [part for each in fleet.addresses for part in ("--address", str(each))]
    command = [sys.executable, "-m", "lagoonlever", "ask", PROMPT, "--model", MODEL]
    options = ["--max-tokens", str(LENGTH), "--seed", "5"]
    with output.open("wb") as file:
        return subprocess.Popen([*command, *options, *addresses], stdout=file)


def test_the_command_ask_survives_the_death_of_its_vm(tmp_path):
    """The command is run by hand; the VM that it asks is killed, and what it prints is whole."""

    async def story(fleet: Fleet) -> None:
        output = tmp_path / "answer"
        ask = start_ask(fleet, output)
        try:
            await until(lambda: len(output.read_bytes()) > 50)
            for vm in fleet.vms:
                if (await fleet.get(vm.name, "/admin/status"))["vm"]["open_streams"]:
                    vm.send(signal.SIGKILL)
                    break
            await until(lambda: ask.poll() is not None)
        finally:
            ask.kill()
            ask.wait()
        assert ask.returncode == 0
        assert output.read_text() == expected_text(length=LENGTH, seed=5) + "\n"

    run_fleet(story, tmp_path, engines=2, vms=2)
