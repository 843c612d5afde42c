"""A deployment of real processes, for tests that need signals: stand-ins and entry VMs."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

import attrs
import msgspec
import trio

from lagoonlever.client.caller import Caller
from lagoonlever.fakes.cluster import MODEL
from lagoonlever.history.checkers import check_history
from lagoonlever.history.events import HistoryEvent, RunEnded
from lagoonlever.history.events_vms import AttemptDispatched
from lagoonlever.history.recorder import Recorder, read_history
from lagoonlever.http.client import fetch
from lagoonlever.http.messages import Address
from lagoonlever.tests.base import until, until_answer

READY = "listening on "
DATA_CENTERS = ("dc-a", "dc-b", "dc-c")


@attrs.define(kw_only=True)
class Process:
    """One process with its addresses, as it told them on its first line."""

    name: str
    role: str
    data_center: str
    popen: subprocess.Popen[str]
    address: Address
    peers: Address | None = None
    signalled: bool = False

    def send(self, number: signal.Signals) -> None:
        self.signalled = True
        self.popen.send_signal(number)

    def listed(self) -> dict[str, str | None]:
        return {
            "name": self.name,
            "address": str(self.address),
            "peer_address": str(self.peers) if self.peers else None,
            "data_center": self.data_center,
            "role": self.role,
        }


@attrs.define(kw_only=True)
class Fleet:
    """Processes by name; histories of VMs and callers are files in one directory."""

    directory: Path
    processes: dict[str, Process] = attrs.field(factory=dict)
    unread_logs: bool = False
    """Whether the logs of entry VMs go to pipes that nobody reads."""

    @property
    def vms(self) -> list[Process]:
        return [each for each in self.processes.values() if each.role == "entry"]

    @property
    def addresses(self) -> list[Address]:
        return [vm.address for vm in self.vms]

    def exit_codes(self) -> dict[str, int]:
        """Give how each process ended that has ended, for the reader of a failure."""
        codes = {name: each.popen.poll() for name, each in self.processes.items()}
        return {name: code for name, code in codes.items() if code is not None}

    def recorder(self) -> Recorder:
        return Recorder(process="callers", path=self.directory / "callers.history")

    def caller(self, recorder: Recorder, name: str = "caller", at: str | None = None) -> Caller:
        """Give a caller; one that goes to a certain VM first if named."""
        caller = Caller(addresses=self.addresses, name=name, recorder=recorder)
        if at is not None:
            caller.entries.use([self.processes[at].address], until=float("inf"))
        return caller

    def at(self, address: str) -> Process:
        """Give the process at an address."""
        return next(each for each in self.processes.values() if str(each.address) == address)

    def history(self) -> list[HistoryEvent]:
        events = read_history(self.directory.glob("*.history"))
        return [*events, RunEnded(at=Recorder(process="test").now, process="test")]

    def dispatched(self, request: str) -> list[AttemptDispatched]:
        """Give the attempts of a request so far, in order."""
        events = read_history(self.directory.glob("*.history"))
        return [e for e in events if isinstance(e, AttemptDispatched) and e.request == request]

    def check(self) -> None:
        violations = check_history(self.history())
        assert not violations, "\n".join(map(str, violations))

    def start(self, name: str, role: str, *arguments: str, number: int = 0) -> Process:
        command = [sys.executable, "-m", "lagoonlever", *arguments]
        with (self.directory / f"{name}.log").open("w") as log:
            unread = self.unread_logs and role == "entry"
            stderr = subprocess.PIPE if unread else log
            popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=stderr, text=True)
        process = Process(
            name=name,
            role=role,
            data_center=DATA_CENTERS[number % 3],
            popen=popen,
            address=Address(host="", port=0),
        )
        self.processes[name] = process
        return process

    def read_ready(self, process: Process) -> None:
        assert process.popen.stdout is not None
        line = process.popen.stdout.readline().strip()
        assert line.startswith(READY), (process.name, line)
        address, _, peers = line.removeprefix(READY).partition(", peers on ")
        process.address = Address.parse(address)
        process.peers = Address.parse(peers) if peers else None

    def start_vm(
        self,
        name: str,
        number: int,
        *,
        addresses: dict[str, float],
        machine: dict[str, int] | None = None,
    ) -> Process:
        platform = self.processes["platform"].address
        seeds = [str(vm.peers) for vm in self.vms if vm.peers]
        settings = {
            "name": name,
            "data_center": DATA_CENTERS[number % 3],
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "platform": {"addresses": [str(platform)]},
            "seeds": seeds,
            "history_file": str(self.directory / f"{name}.history"),
            "addresses": addresses,
            "machine": machine or {},
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self.start(name, "entry", "entry", "--settings", str(path), number=number)

    async def publish_list(self) -> None:
        listed = [each.listed() for each in self.processes.values() if each.role != "platform"]
        await self.order("platform", "/vms", {"vms": listed})

    async def order(self, name: str, path: str, document: object) -> None:
        response = await fetch(
            self.processes[name].address,
            method="POST",
            path=path,
            body=msgspec.json.encode(document),
            step="test",
            timeout_s=30,
        )
        assert response.status == 200, response

    async def get(self, name: str, path: str) -> dict:
        address = self.processes[name].address
        response = await fetch(address, path=path, step="test", timeout_s=30)
        return msgspec.json.decode(response.body)

    async def wait_serving(self) -> None:
        """Wait until every VM sees every other VM and the models of every engine."""
        engines = {name for name, each in self.processes.items() if each.role == "engine"}
        for vm in self.vms:
            await until_answer(partial(self._serves, vm, engines))

    async def _serves(self, vm: Process, engines: set[str]) -> bool:
        status = await self.get(vm.name, "/admin/status")
        alive = [member for member in status["members"] if member["state"] == "alive"]
        known = {target["name"] for target in status["targets"] if target["models"]}
        return len(alive) >= len(self.vms) and engines <= known


@contextlib.contextmanager
def fleet(
    directory: Path,
    *,
    engines: int = 3,
    vms: int = 3,
    token_interval_s: float = 0.02,
    address_lifetime_s: float = 30.0,
    machine: dict[str, int] | None = None,
    unread_logs: bool = False,
    applications: int = 0,
) -> Iterator[Fleet]:
    """Run a deployment until the block ends."""
    running = Fleet(directory=directory, unread_logs=unread_logs)
    try:
        running.start("platform", "platform", "fake", "platform")
        for number in range(engines):
            arguments = ("--model", MODEL, "--token-interval-s", str(token_interval_s))
            name = f"engine-{number + 1}"
            running.start(name, "engine", "fake", "engine", *arguments, number=number)
        for number in range(applications):
            name = f"app-{number + 1}"
            running.start(name, "application", "fake", "application", number=number)
        for process in list(running.processes.values()):
            running.read_ready(process)
        for number in range(vms):
            lifetime = {"lifetime_s": address_lifetime_s, "news_s": 1.0}
            vm = running.start_vm(f"vm-{number + 1}", number, addresses=lifetime, machine=machine)
            if not number:
                running.read_ready(vm)
        for vm in running.vms[1:]:
            running.read_ready(vm)
        yield running
    except BaseException as error:
        error.add_note(f"exit codes: {running.exit_codes()}")
        raise
    finally:
        ended = running.exit_codes()
        for process in running.processes.values():
            process.popen.kill()
            process.popen.wait()
    unasked = [name for name in ended if not running.processes[name].signalled]
    assert not unasked, f"ended unasked: {unasked} of {ended}"


def run_fleet(story: Callable[[Fleet], object], directory: Path, **options: float) -> None:
    """Run a story on real processes once all serve, and check the history."""

    async def main(running: Fleet) -> None:
        with trio.fail_after(90):
            await running.publish_list()
            await running.wait_serving()
            await story(running)
        running.check()

    with fleet(directory, **options) as running:
        trio.run(main, running)


async def wait_ended(process: Process) -> int:
    """Wait until a process has ended by itself, and give its exit code."""
    await until(lambda: process.popen.poll() is not None)
    return process.popen.returncode
