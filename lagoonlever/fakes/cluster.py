"""A whole deployment in one process: the platform, targets and entry VMs on loopback.

For the demonstration, tests and benchmarks. Every part is the real one but for
the stand-ins; killing a VM closes its sockets without a word, as a death does.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import trio

from lagoonlever.config.vm import PlatformSettings, VmSettings
from lagoonlever.entry.daemon import EntryDaemon
from lagoonlever.fakes.application import ApplicationOptions, FakeApplication
from lagoonlever.fakes.batch import ServedModel
from lagoonlever.fakes.engine import EngineOptions, FakeEngine
from lagoonlever.fakes.platform import FakePlatform
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.store.etcd_wire import WireVm
from lagoonlever.store.port import VmRole, VmState

HOST = "127.0.0.1"
FREE_PORT = f"{HOST}:0"
MODEL = "summary"
VERSION = "v1"
DATA_CENTERS = ("dc-a", "dc-b", "dc-c")

Run = Callable[[list[trio.SocketListener]], Awaitable[None]]


@attrs.define(kw_only=True, eq=False)
class RunningTarget:
    """A stand-in with its address; cancelling its scope closes its sockets."""

    name: str
    role: VmRole
    data_center: str
    address: Address
    scope: trio.CancelScope
    state: VmState = VmState.LIVE


@attrs.define(kw_only=True, eq=False)
class RunningVm:
    """An entry VM; cancelling its scope is its death."""

    name: str
    data_center: str
    daemon: EntryDaemon
    scope: trio.CancelScope
    state: VmState = VmState.LIVE


@attrs.define(kw_only=True, eq=False)
class EmbeddedCluster:
    """Starts and kills the parts of one deployment; everything ends with its nursery."""

    _nursery: trio.Nursery
    _engine_options: EngineOptions = attrs.field(
        factory=lambda: EngineOptions(models=(ServedModel(name=MODEL, version=VERSION),))
    )
    _adjust: Callable[[VmSettings], VmSettings] = lambda settings: settings
    """Changes the settings of each VM before it starts."""
    platform: FakePlatform = attrs.field(factory=FakePlatform)
    engines: dict[str, FakeEngine] = attrs.field(factory=dict)
    applications: dict[str, FakeApplication] = attrs.field(factory=dict)
    targets: dict[str, RunningTarget] = attrs.field(factory=dict)
    vms: dict[str, RunningVm] = attrs.field(factory=dict)
    platform_address: Address | None = None

    async def start(self, *, engines: int, vms: int, applications: int = 1) -> None:
        """Start everything and wait until every VM serves."""
        self.platform_address = (await self._serve(self.platform.run))[0]
        for number in range(engines):
            await self.start_engine(f"engine-{number + 1}", DATA_CENTERS[number % 3])
        for number in range(applications):
            await self.start_application(f"application-{number + 1}", DATA_CENTERS[number % 3])
        self.publish_list()
        for number in range(vms):
            await self.start_vm(f"vm-{number + 1}", DATA_CENTERS[number % 3])
        for vm in list(self.vms.values()):
            await vm.daemon.wait_serving(members=vms, targets=engines + applications)

    async def start_engine(self, name: str, data_center: str) -> None:
        """Start an engine; it is listed with the next ``publish_list``."""
        engine = FakeEngine(options=self._engine_options)
        self.engines[name] = engine
        await self._start_target(name, VmRole.ENGINE, data_center, engine.run)

    async def start_application(self, name: str, data_center: str) -> None:
        """Start a runner of the application service."""
        application = FakeApplication(options=ApplicationOptions())
        self.applications[name] = application
        await self._start_target(name, VmRole.APPLICATION, data_center, application.run)

    async def start_vm(self, name: str, data_center: str) -> RunningVm:
        """Start an entry VM and list it."""
        settings = VmSettings(
            name=name,
            data_center=data_center,
            listen=FREE_PORT,
            peer_listen=FREE_PORT,
            platform=PlatformSettings(addresses=(str(self.platform_address),)),
            seeds=tuple(str(vm.daemon.peer_address) for vm in self.vms.values())[:3],
        )
        daemon = EntryDaemon(settings=self._adjust(settings))
        scope = trio.CancelScope()

        async def run(*, task_status: trio.TaskStatus[None]) -> None:
            with scope:
                await daemon.run(task_status=task_status)

        await self._nursery.start(run)
        vm = RunningVm(name=name, data_center=data_center, daemon=daemon, scope=scope)
        self.vms[name] = vm
        self.publish_list()
        return vm

    def addresses(self) -> list[Address]:
        """Give the callers' addresses of the entry VMs that were not killed."""
        return [vm.daemon.address for vm in self.vms.values()]

    def kill_vm(self, name: str) -> None:
        """Kill an entry VM; the platform's list goes on naming it for a while, as it lags."""
        self.vms.pop(name).scope.cancel()

    def kill_target(self, name: str) -> None:
        """Kill a target; the platform's list goes on naming it."""
        self.targets[name].scope.cancel()

    def set_leaving(self, name: str) -> None:
        """Have the platform list a target or an entry VM as leaving."""
        running = self.targets.get(name) or self.vms[name]
        running.state = VmState.LEAVING
        self.publish_list()

    def publish_list(self) -> None:
        """Publish the platform's list of VMs."""
        listed = [
            WireVm(
                name=target.name,
                address=str(target.address),
                data_center=target.data_center,
                role=target.role.value,
                state=target.state.value,
            )
            for target in self.targets.values()
        ]
        listed += [
            WireVm(
                name=vm.name,
                address=str(vm.daemon.address),
                peer_address=str(vm.daemon.peer_address),
                data_center=vm.data_center,
                role=VmRole.ENTRY.value,
                state=vm.state.value,
            )
            for vm in self.vms.values()
        ]
        self.platform.set_vms(listed)

    async def _start_target(self, name: str, role: VmRole, data_center: str, run: Run) -> None:
        address, scope = await self._serve(run)
        self.targets[name] = RunningTarget(
            name=name, role=role, data_center=data_center, address=address, scope=scope
        )

    async def _serve(self, run: Run) -> tuple[Address, trio.CancelScope]:
        listeners = await open_listeners(host=HOST, port=0)
        address = Address(host=HOST, port=listeners[0].socket.getsockname()[1])
        scope = trio.CancelScope()

        async def serve() -> None:
            with scope:
                await run(listeners)

        self._nursery.start_soon(serve)
        return address, scope
