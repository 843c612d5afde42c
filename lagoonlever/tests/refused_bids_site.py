"""A deployment of real processes: gateways and runners over loopback, store and clients here.

The gateways may run another state of the code than the rest, so that one judge compares states.
"""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import attrs
import msgspec
import trio

from lagoonlever.decisions.settings.configuration import (
    Configuration,
    Organisation,
    RouteKind,
    ServiceRoute,
    TargetService,
    WeightedService,
)
from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.fakes.metadata_store import FakeMetadataStore
from lagoonlever.gateway.settings import Bounds, GatewaySettings, StoreLimits
from lagoonlever.http.client import fetch
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.platform.configuration import CONFIGURATION_KEY
from lagoonlever.platform.documents import configuration_document, settings_text, target_entry
from lagoonlever.platform.early_sockets import PATH_VARIABLE
from lagoonlever.platform.targets import TARGETS_PREFIX
from lagoonlever.soak.gateway import PATH_PORT_VARIABLE
from lagoonlever.tests.refused_bids_clients import HOST, KEY, Clients, Habits
from lagoonlever.tests.refused_bids_judge import SentRequest
from lagoonlever.tests.refused_bids_runner import (
    CONNECTIONS,
    HEALTH_PATH,
    SLOTS,
    RunnerSettings,
    Trouble,
)

OWN_CODE = Path(__file__).parents[2]
DATA_CENTERS = ("dc-0", "dc-1", "dc-2", "dc-3")
SERVICE = "apps"
FRONT_PORT, READY_PORT, DIRECTORY_PORT, BUS_PORT, TUNNEL_PORT = 8740, 8749, 8746, 8748, 7200
RUNNER_PORT, FIRST_PATH_PORT, STORE_PORT = 9000, 9010, 8742
FIRST_RUNNER, STORE_HOST = 150, 250
REQUESTS_PER_S = 122.0
BURST_FACTOR, BURST_EVERY_S, BURST_S = 1.7, 8.0, 3.0
READY_S, SETTLE_S, CLOSING_S = 60.0, 2.0, 4.0
READY_MORE_S = 2.0
"""For each VM beside the time that the first ones have: all start on one machine."""
FIRST_START_MS = 1_700_000_000_000


@attrs.define(kw_only=True, eq=False)
class Vm:
    """One gateway and its process."""

    number: int
    settings: GatewaySettings
    process: subprocess.Popen[bytes] | None = None
    asked_to_end: bool = False

    @property
    def ended_unasked(self) -> bool:
        """Whether its process has ended by itself."""
        ended = self.process is not None and self.process.poll() is not None
        return ended and not self.asked_to_end


@attrs.define(kw_only=True, eq=False)
class RunnerProcess:
    """One runner and its process; another life of it may have another id."""

    number: int
    settings: RunnerSettings
    process: subprocess.Popen[bytes]


@attrs.define(kw_only=True, eq=False)
class RefusedBidsSite:
    """Starts the parts, and ends only the processes that it started."""

    folder: Path
    nursery: trio.Nursery
    seed: int
    code: Path = OWN_CODE
    """The root of the code that the gateways run."""
    over_paths: bool = False
    """Whether each VM has paths of its own to the runners, which can be lost."""
    store: FakeMetadataStore = attrs.field(factory=FakeMetadataStore)
    vms: list[Vm] = attrs.field(factory=list)
    runners: list[RunnerProcess] = attrs.field(factory=list)
    began_at: float = 0.0
    per_s: float = REQUESTS_PER_S
    habits: Habits = attrs.field(factory=Habits)
    """Of the clients."""
    _ended: bool = False
    _lives: int = 0
    _clients: list[Clients] = attrs.field(factory=list)

    @property
    def since_s(self) -> float:
        """The seconds since the play began."""
        return time.monotonic() - self.began_at

    @property
    def requests(self) -> list[SentRequest]:
        """What the clients have sent."""
        return [request for clients in self._clients for request in clients.sent]

    async def start(self, *, vms: int, troubles: list[tuple[Trouble, ...]]) -> None:
        """Start the parts; a runner for each item of ``troubles``."""
        host = self._host(STORE_HOST)
        listeners = await open_listeners(host=host, port=STORE_PORT)
        self.nursery.start_soon(self.store.run, listeners)
        self.store.put(CONFIGURATION_KEY, configuration_document(_configuration()))
        path_ports = tuple(FIRST_PATH_PORT + number for number in range(vms))
        for number, planned in enumerate(troubles):
            settings = RunnerSettings(
                target_id=f"runner-{number}",
                host=self._host(FIRST_RUNNER + number),
                port=RUNNER_PORT,
                path_ports=path_ports if self.over_paths else (),
                seed=self.seed * 100 + number,
                book=str(self.folder / f"runner-{number}.book"),
                troubles=planned,
            )
            self.runners.append(self._start_runner(number, settings))
        self.vms = [Vm(number=n, settings=self._vm_settings(n)) for n in range(vms)]
        for vm in self.vms:
            self.start_vm(vm)
        with trio.fail_after(READY_S + READY_MORE_S * vms):
            for vm in self.vms:
                await self._wait_ready(vm)
        await trio.sleep(SETTLE_S)

    async def play(
        self,
        ended: Callable[[], bool],
        acts: Iterable[Callable[[RefusedBidsSite], Awaitable[None]]],
    ) -> None:
        """Have clients send requests until the play has ended, and something act beside them."""
        self.began_at = time.monotonic()
        for runner in self.runners:
            self._begin(runner)
        async with trio.open_nursery() as acting:
            for act in acts:
                acting.start_soon(act, self)
            async with trio.open_nursery() as nursery:
                for vm in self.vms:
                    nursery.start_soon(self._add_clients(vm).run, ended)
            acting.cancel_scope.cancel()
        await trio.sleep(CLOSING_S)
        unasked = [vm.settings.name for vm in self.vms if vm.ended_unasked]
        assert not unasked, f"ended unasked: {unasked}"

    def _add_clients(self, vm: Vm) -> Clients:
        clients = Clients(
            vm=vm.settings.name,
            address=vm.settings.listen,
            rng=random.Random(f"{self.seed}-clients-{vm.number}"),
            per_s=self._per_s,
            habits=self.habits,
        )
        self._clients.append(clients)
        return clients

    def start_vm(self, vm: Vm) -> None:
        """Start a VM's process; it has none."""
        file = self.folder / f"{vm.settings.name}.conf"
        file.write_text(settings_text(vm.settings), encoding="utf-8")
        environment = {
            **os.environ,
            "PYTHONPATH": str(self.code),
            PATH_VARIABLE: str(file),
            PATH_PORT_VARIABLE: str(FIRST_PATH_PORT + vm.number),
        }
        vm.asked_to_end = False
        program = "lagoonlever.soak.gateway" if self.over_paths else "lagoonlever.gateway"
        with file.with_suffix(".log").open("ab") as log:
            vm.process = subprocess.Popen(
                [sys.executable, "-m", program],
                env=environment,
                cwd=self.code,
                stdout=log,
                stderr=log,
            )

    async def stop_vm(self, vm: Vm, number: signal.Signals) -> None:
        """End a VM's process by a signal, and start it again; one that ends already is left."""
        assert vm.process is not None
        if vm.asked_to_end:
            return
        vm.asked_to_end = True
        vm.process.send_signal(number)
        await trio.to_thread.run_sync(vm.process.wait)
        if not self._ended:
            self.start_vm(vm)

    async def pause(self, process: subprocess.Popen[bytes], seconds: float) -> None:
        """Have a process stand still."""
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    async def restart_runner(self, runner: RunnerProcess, *, after_s: float, same_id: bool) -> None:
        """Kill a runner; it comes back at its address, under its id or another one."""
        runner.process.kill()
        runner.process.wait()
        await trio.sleep(after_s)
        if not same_id:
            self.store.delete(f"{TARGETS_PREFIX}{runner.settings.target_id}")
            new_id = f"runner-{runner.number}-{self._lives}"
            runner.settings = msgspec.structs.replace(runner.settings, target_id=new_id)
        runner.process = self._start_runner(runner.number, runner.settings).process
        self._begin(runner)

    def end(self) -> None:
        """End every process that was started here."""
        self._ended = True
        for part in (*self.vms, *self.runners):
            if part.process is not None:
                part.process.kill()
                part.process.wait()

    def _begin(self, runner: RunnerProcess) -> None:
        assert runner.process.stdin is not None
        runner.process.stdin.write(f"{self.began_at}\n".encode())
        runner.process.stdin.close()

    def _start_runner(self, number: int, settings: RunnerSettings) -> RunnerProcess:
        self._lives += 1
        given = msgspec.json.encode(settings).decode()
        command = [sys.executable, "-m", "lagoonlever.tests.refused_bids_runner", given]
        environment = {**os.environ, "PYTHONPATH": str(OWN_CODE)}
        with (self.folder / f"runner-{number}.err").open("ab") as errors:
            process = subprocess.Popen(
                command, env=environment, stdin=subprocess.PIPE, stderr=errors, cwd=OWN_CODE
            )
        listed = ListedTarget(
            id=settings.target_id,
            service=SERVICE,
            address=Address(host=settings.host, port=settings.port),
            data_center=DATA_CENTERS[number % len(DATA_CENTERS)],
            slots=SLOTS,
            started_ms=FIRST_START_MS + self._lives,
            version="v1",
        )
        self.store.put(f"{TARGETS_PREFIX}{listed.id}", target_entry(listed))
        return RunnerProcess(number=number, settings=settings, process=process)

    def _per_s(self) -> float:
        """Return the requests a second of the clients of one VM."""
        in_burst = self.since_s % BURST_EVERY_S < BURST_S
        return self.per_s * (BURST_FACTOR if in_burst else 1.0) / len(self.vms)

    async def _wait_ready(self, vm: Vm) -> None:
        assert vm.settings.readiness is not None
        while True:
            try:
                answer = await fetch(
                    vm.settings.readiness, path="/-/ready", step="test", timeout_s=1.0
                )
                if answer.status == 200:
                    return
            except Exception:
                pass
            await trio.sleep(0.1)

    def _vm_settings(self, number: int) -> GatewaySettings:
        host = self._host(1 + number)
        seeds = tuple(Address(host=self._host(1 + n), port=BUS_PORT) for n in range(3))
        return GatewaySettings(
            name=f"vm-{number}",
            data_center=DATA_CENTERS[number % len(DATA_CENTERS)],
            region="r",
            listen=Address(host=host, port=FRONT_PORT),
            readiness=Address(host=host, port=READY_PORT),
            directory=Address(host=host, port=DIRECTORY_PORT),
            bus=Address(host=host, port=BUS_PORT),
            tunnel=Address(host=host, port=TUNNEL_PORT),
            store=StoreLimits(address=Address(host=self._host(STORE_HOST), port=STORE_PORT)),
            seeds=seeds,
            bounds=Bounds(drain_s=3.0, grace_s=8.0, apply_s=3.0),
            data_centers=DATA_CENTERS,
        )

    def _host(self, number: int) -> str:
        """Return the IP of a machine; each run has its own loopback addresses."""
        run = os.getpid()
        return f"127.{20 + run % 200}.{run // 200 % 250}.{number}"


def _configuration() -> Configuration:
    def route(name: str, kind: RouteKind, attempts: int) -> ServiceRoute:
        return ServiceRoute(
            name=name,
            host=HOST,
            prefix=f"/{name}/",
            kind=kind,
            services=(WeightedService(name=SERVICE),),
            timeout_s=1.5,
            objective_s=0.3,
            priority=2,
            max_attempts=attempts,
        )

    service = TargetService(name=SERVICE, health_path=HEALTH_PATH, max_connections=CONNECTIONS)
    return Configuration(
        version=1,
        routes=(
            route("bid", RouteKind.NON_IDEMPOTENT, 1),
            route("look", RouteKind.IDEMPOTENT, 2),
        ),
        services={SERVICE: service},
        organisations={KEY: Organisation(name="org-1", priority=2)},
        requires_key=True,
    )
