"""The deployment of one run: gateways as processes, everything that they talk to in this one."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.fakes.metadata_store import FakeMetadataStore
from lagoonlever.fakes.path_proxy import PathProxy, PathState
from lagoonlever.fakes.platform_engine import USUAL_VERSION, DeathStage, EngineRun, FakeEngine
from lagoonlever.fakes.platform_runner import FakeRunner
from lagoonlever.gateway.settings import Bounds, GatewaySettings, MachineLimits, StoreLimits
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.platform.configuration import CONFIGURATION_KEY
from lagoonlever.platform.documents import configuration_document, settings_text, target_entry
from lagoonlever.platform.early_sockets import PATH_VARIABLE
from lagoonlever.platform.targets import TARGETS_PREFIX
from lagoonlever.soak.deployments import MOMENT_S, PLAIN, SHORT_STREAMS, Deployment, Shape
from lagoonlever.soak.former_runs import FormerRuns
from lagoonlever.soak.gateway import PATH_PORT_VARIABLE
from lagoonlever.soak.judge import Judge
from lagoonlever.soak.proxy import FaultyProxy
from lagoonlever.soak.watched import WatchedEngine, WatchedRunner

PLACES = ("dc-0", "dc-1", "dc-2")
FIRST_ENGINE = 100
"""The number of the first engine's machine."""
GATEWAY = (sys.executable, "-m", "lagoonlever.soak.gateway")
FRONT_PORT, READY_PORT, DIRECTORY_PORT, BUS_PORT, TUNNEL_PORT = 8740, 8749, 8746, 8748, 7200
TARGET_PORT = 9000
FIRST_PATH_PORT = 9010
"""Of the first VM at each target's machine; the next VMs have the next ports."""
GRACE_S = 8.0
CALLERS_LEARN_S = 3.0
"""From a VM's order to stop until every caller could know of it."""
BACK_AFTER_S = 0.3
"""Between the end of a target and the start of another one at its address."""
FIRST_START_MS = 1_700_000_000_000
"""The starts of targets are counted from here, one a life."""
CALM_S = 3.0
"""A part that was harmed within this is held to no bound of time."""
DRAIN_S = 2.5
"""In which every VM has learnt that a target drains, and what was on its way has arrived."""
LEAVES_AFTER_S = 1.5
"""For how long it stays after that."""
LAPSE_S = 1.2
"""How long the entry of a target that crashed stays."""


@attrs.define(kw_only=True, eq=False)
class SoakTarget:
    """An engine or a runner behind its proxy; another life of it has another id."""

    target: ListedTarget
    proxy: FaultyProxy
    server: FakeEngine | FakeRunner
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def is_ending(self) -> bool:
        """Whether it was ended before, by a fault or a prompt, and another one is on its way."""
        return self.scope.cancel_called


@attrs.define(kw_only=True, eq=False)
class SoakVm:
    """One gateway process and its link to the store."""

    settings: GatewaySettings
    store_link: FaultyProxy
    log: Path
    process: subprocess.Popen[bytes] | None = None
    asked_to_end: bool = False
    """A signal of this run ends the process, so its end is no finding."""
    started_at: float = 0.0
    disturbed_at: float = 0.0
    """When this VM was last harmed, or had just come back."""
    told_to_stop_at: float | None = None
    """When its process got its order to stop; None if it got none."""
    ended_at: float | None = None
    """When a process of this VM was last seen to have ended."""
    paths_lost_at: float | None = None
    """When it lost its paths to all targets; None while it has them."""
    paths_back_at: float = 0.0

    @property
    def name(self) -> str:
        """The VM's name."""
        return self.settings.name


@attrs.define(kw_only=True, eq=False)
class SoakSite:
    """Starts and ends the parts; ends only processes that it started, by their ids."""

    nursery: trio.Nursery
    judge: Judge
    folder: Path
    rng: random.Random
    program: tuple[str, ...] = GATEWAY
    deployment: Deployment = PLAIN
    shape: Shape = SHORT_STREAMS
    dies_at: DeathStage = DeathStage.HEAD
    """How much of its answer an engine has written when a prompt ends it."""
    back_after_s: float = BACK_AFTER_S
    machine: MachineLimits = attrs.field(factory=MachineLimits)
    """What each VM has."""
    store: FakeMetadataStore = attrs.field(factory=FakeMetadataStore)
    vms: list[SoakVm] = attrs.field(factory=list)
    engines: list[SoakTarget] = attrs.field(factory=list)
    runners: list[SoakTarget] = attrs.field(factory=list)
    keys: tuple[str, ...] = ("key-a", "key-b", "key-c")
    """The keys of the newest version, oldest first.

    Callers use the middle one: it is in the version before and in the one to come, so
    that they are served while VMs have different versions in force.
    """
    deadly: set[str] = attrs.field(factory=set)
    """Prompts that end each engine that begins to run them."""
    revoked: str = ""
    """The key that the newest version took away."""
    version: int = 0
    runners_at: int = 150
    """The number of the first runner's machine; those of a new version stand beside them."""
    runners_version: int = 1
    targets_disturbed_at: float = 0.0
    store_disturbed_at: float = 0.0
    _takers: dict[str, SoakVm] = attrs.field(factory=dict)
    """The VM that took each stream from its caller."""
    _fleet: dict[str, FakeEngine] = attrs.field(factory=dict)
    _lives: int = 0
    _proxies: dict[int, FaultyProxy] = attrs.field(factory=dict)
    """By the number of the machine."""
    _paths: dict[tuple[int, int], PathProxy] = attrs.field(factory=dict)
    """By the numbers of the VM and of the machine."""
    _vm_count: int = 0
    former_runs: FormerRuns = attrs.field(init=False)

    @former_runs.default
    def _make_former_runs(self) -> FormerRuns:
        return FormerRuns(site=self)

    @property
    def engine_servers(self) -> tuple[FakeEngine, ...]:
        """The engines that are there."""
        servers = (kept.server for kept in self.engines if not kept.is_ending)
        return tuple(server for server in servers if isinstance(server, FakeEngine))

    async def start(self, *, vms: int, engines: int, runners: int) -> None:
        """Start everything; returns once the processes are running."""
        self._vm_count = vms
        store = self._address(250, TARGET_PORT)
        self.nursery.start_soon(self.store.run, await open_listeners(host=store.host, port=9000))
        self.configure()
        for number in range(engines):
            self.engines.append(await self.start_target("engines", FIRST_ENGINE + number))
        for number in range(runners):
            self.runners.append(await self.start_target("apps", self.runners_at + number))
        for number in range(vms):
            self.vms.append(self._vm(number, store))
        seeds = tuple(vm.settings.bus for vm in self.vms[:3])
        for vm in self.vms:
            vm.settings = attrs.evolve(vm.settings, seeds=seeds)
            self.nursery.start_soon(vm.store_link.run)
            self.start_vm(vm)
        self.nursery.start_soon(self._vary_runners)

    async def _vary_runners(self) -> None:
        """Have the runners' machines be slow for moments, where the deployment says so."""
        while True:
            for runner in self.runners:
                runner.server.says.slowness = self.deployment.draw_slowness(self.rng)
            await trio.sleep(MOMENT_S)

    def configure(self) -> None:
        """Write the next version: a new key comes, the oldest goes."""
        self.version += self.rng.randint(1, 4)
        self.revoked = self.keys[0]
        self.keys = (*self.keys[1:], f"key-{self.version}")
        configuration = self.deployment.configuration(self.version, self.keys, self.shape)
        self.store.put(CONFIGURATION_KEY, configuration_document(configuration))

    def start_vm(self, vm: SoakVm) -> None:
        """Start a VM's process; it has none."""
        file = vm.log.with_suffix(".conf")
        file.write_text(settings_text(vm.settings), encoding="utf-8")
        path_port = str(FIRST_PATH_PORT + self.vms.index(vm))
        environment = {**os.environ, PATH_VARIABLE: str(file), PATH_PORT_VARIABLE: path_port}
        with vm.log.open("ab") as log:
            vm.process = subprocess.Popen(self.program, env=environment, stdout=log, stderr=log)
        vm.asked_to_end = False
        vm.told_to_stop_at = None
        vm.disturbed_at = vm.started_at = trio.current_time()

    def signal(self, vm: SoakVm, number: signal.Signals, *, ends: bool = False) -> None:
        """Send a signal to a VM's process, if it has one."""
        vm.disturbed_at = trio.current_time()
        if number == signal.SIGTERM:
            vm.told_to_stop_at = vm.disturbed_at
        vm.asked_to_end = vm.asked_to_end or ends
        if vm.process is not None and vm.process.poll() is None:
            vm.process.send_signal(number)

    def end_bad_answers(self) -> None:
        """Have runners answer well that a fault made answer badly, but those of a bad version."""
        for runner in self.runners:
            if isinstance(runner.server, WatchedRunner) and not runner.server.is_bad:
                runner.server.conducts.clear()

    async def wait_end(self, vm: SoakVm) -> None:
        """Wait until a VM's process has ended."""
        while vm.process is not None and vm.process.poll() is None:  # noqa: ASYNC110
            await trio.sleep(0.02)
        vm.ended_at = trio.current_time()

    async def restart_target(
        self, kept: list[SoakTarget], place: int, *, version: str | None = None
    ) -> None:
        """End a target with its connections; another one comes at its address.

        It is of the same version, or of the given one.
        """
        former = kept[place]
        if former.is_ending:
            return
        former.scope.cancel()
        former.proxy.reset_all()
        number = (FIRST_ENGINE if former in self.engines else self.runners_at) + place
        self._set_machine_down(number, down=True)
        await trio.sleep(self.back_after_s)
        self._set_machine_down(number, down=False)
        kept[place] = await self.start_target(
            former.target.service, number, version=version or former.target.version
        )
        await trio.sleep(LAPSE_S)
        self.store.delete(f"{TARGETS_PREFIX}{former.target.id}")

    def _set_machine_down(self, machine: int, *, down: bool) -> None:
        for (_, number), path in self._paths.items():
            if number == machine:
                path.set_target_down(down)

    async def start_target_again(
        self, kept: list[SoakTarget], place: int, *, after_s: float, version: str | None = None
    ) -> None:
        """End a target with its connections; it starts again under its id, and holds nothing.

        It is of the same version, or of the given one.
        """
        former = kept[place]
        if former.is_ending:
            return
        former.scope.cancel()
        former.proxy.reset_all()
        await trio.sleep(after_s)
        number = (FIRST_ENGINE if former in self.engines else self.runners_at) + place
        kept[place] = await self.start_target(
            former.target.service,
            number,
            target_id=former.target.id,
            version=version or former.target.version,
        )

    def engine_dies(self, target_id: str) -> None:
        """End an engine by the prompt that it runs; another one comes at its address."""
        places = [n for n, kept in enumerate(self.engines) if kept.target.id == target_id]
        runs = self._runs_of(places)
        for part in self.deadly & {part for run in runs for part in (run.part, *run.shared)}:
            self.judge.ended(part, trio.current_time())
        for place in places:
            self.nursery.start_soon(self.restart_target, self.engines, place)

    def is_calm(self, now: float) -> bool:
        """Check whether neither a VM nor the store was disturbed recently."""
        harmed = [vm.disturbed_at for vm in self.vms if not vm.store_link.harmed]
        if len(harmed) < len(self.vms) or self.store.harmed:
            return False
        return now - max(*harmed, self.store_disturbed_at) > CALM_S

    def record_taker(self, request: str, address: Address) -> None:
        """Record which VM takes a stream from its caller."""
        vm = self._vm_at(address)
        if vm is not None:
            self._takers[request] = vm

    def taker(self, request: str) -> SoakVm | None:
        """Return the VM that took a stream from its caller."""
        return self._takers.get(request)

    def reaches(self, vm: SoakVm, engine: str) -> bool:
        """Check whether a VM has a path to an engine now."""
        number = next((n for n, kept in enumerate(self.engines) if kept.target.id == engine), None)
        if number is None or self.engines[number].proxy.harmed:
            return False
        path = self._paths[(self.vms.index(vm), FIRST_ENGINE + number)]
        return path.state is PathState.OPEN

    def was_in_touch(self, vm: SoakVm, engine: str, now: float) -> bool:
        """Check whether nothing but its paths to targets was harmed of a VM for a while.

        The link of the engine counts as the VM's.
        """
        if vm.store_link.harmed or self.store.harmed:
            return False
        proxies = [kept.proxy for kept in self.engines if kept.target.id == engine]
        harmed = [at for proxy in proxies for at in (proxy.harmed_until, proxy.reset_at)]
        return now - max(vm.disturbed_at, self.store_disturbed_at, *harmed) > CALM_S

    def name_at(self, address: Address) -> str:
        """Return the name of the VM that callers reach at an address."""
        vm = self._vm_at(address)
        return vm.name if vm is not None else "no VM"

    def was_sent_in_touch(self, request: str, engine: str, now: float) -> bool:
        """Check whether a stream that reaches an engine now was sent there by a VM in touch.

        One that the engine's link may have held up was sent earlier.
        """
        vm = self._takers.get(request)
        kept = next((kept for kept in self.engines if kept.target.id == engine), None)
        if vm is None or kept is None or vm.store_link.harmed or self.store.harmed:
            return False
        if kept.proxy.harmed:
            return False
        last = max(vm.disturbed_at, self.store_disturbed_at, kept.proxy.harmed_until)
        return now - last > CALM_S

    def calm_since(self, since: float) -> bool:
        """Check whether neither a VM nor the store was disturbed since a moment."""
        harmed = [vm.disturbed_at for vm in self.vms]
        return max(*harmed, self.store_disturbed_at) < since

    def vms_calm_since(self, since: float) -> bool:
        """Check whether neither a VM nor a target's link was disturbed since a moment."""
        harmed = [vm.disturbed_at for vm in self.vms]
        return max(*harmed, self.targets_disturbed_at) < since

    def _runs_of(self, places: list[int]) -> list[EngineRun]:
        servers = [self.engines[place].server for place in places]
        engines = [server for server in servers if isinstance(server, FakeEngine)]
        return [run for engine in engines for run in engine.runs.values() if run.flowing]

    async def replace_runner(self, place: int) -> None:
        """Have a runner drain and go, and another one come beside it."""
        former = self.runners[place]
        self.list_target(attrs.evolve(former.target, draining=True))
        await trio.sleep(DRAIN_S)
        if isinstance(former.server, WatchedRunner) and self.is_calm(trio.current_time()):
            former.server.known_to_leave_at = trio.current_time()
        await trio.sleep(LEAVES_AFTER_S)
        self.store.delete(f"{TARGETS_PREFIX}{former.target.id}")
        former.scope.cancel()
        await trio.sleep(0.1)
        number = self.runners_at + place
        self.runners[place] = await self.start_target("apps", number, version=former.target.version)

    def list_target(self, target: ListedTarget) -> None:
        """Write a target's entry."""
        self.store.put(f"{TARGETS_PREFIX}{target.id}", target_entry(target))

    def kill_all(self) -> None:
        """End every process that was started here and still runs."""
        for vm in self.vms:
            self.signal(vm, signal.SIGKILL, ends=True)
            if vm.process is not None:
                vm.process.wait()

    async def start_target(
        self, service: str, number: int, *, target_id: str | None = None, version: str | None = "v1"
    ) -> SoakTarget:
        """Start a target on a machine, behind the machine's proxy, and list it."""
        self._lives += 1
        target_id = target_id or f"{service}-{number}-{self._lives}"
        started_ms = FIRST_START_MS + self._lives
        own = self._address(number, TARGET_PORT)
        proxy = self._proxies.get(number)
        if proxy is None:
            proxy = FaultyProxy(listen=self._address(number, TARGET_PORT + 1), target=own)
            self._proxies[number] = proxy
            self.nursery.start_soon(proxy.run)
            await self._start_paths(number, proxy.listen)
        server: FakeEngine | FakeRunner
        if service == "engines":
            pace = self.deployment.pace(number)
            server = self.new_engine(target_id, started_ms, pace, version or USUAL_VERSION)
            self._fleet[str(proxy.listen)] = server
        else:
            server = self.new_runner(target_id)
        listed = ListedTarget(
            id=target_id,
            service=service,
            address=proxy.listen,
            data_center=PLACES[number % len(PLACES)],
            slots=self.deployment.slots_of(service),
            started_ms=started_ms,
            version=version,
        )
        started = SoakTarget(target=listed, proxy=proxy, server=server)
        listeners = await open_listeners(host=own.host, port=own.port)
        self.nursery.start_soon(_serve_in, started.scope, server.run, listeners)
        self.list_target(listed)
        return started

    def new_engine(
        self, target_id: str, started_ms: int, pace: float, version: str
    ) -> WatchedEngine:
        """Return the server of an engine that starts."""
        return WatchedEngine(
            target_id=target_id,
            fleet=self._fleet,
            judge=self.judge,
            started_ms=started_ms,
            pace=pace,
            room=self.deployment.engine_room(),
            version=version,
            site=self,
            shape=self.shape,
            dies_at=self.dies_at,
        )

    def new_runner(self, target_id: str) -> WatchedRunner:
        """Return the server of a runner that starts."""
        return WatchedRunner(target_id=target_id, judge=self.judge, site=self)

    async def _start_paths(self, machine: int, target: Address) -> None:
        """Start the path of each VM to a machine of targets."""
        for vm in range(self._vm_count):
            path = PathProxy(listen=self._address(machine, FIRST_PATH_PORT + vm), target=target)
            self._paths[(vm, machine)] = path
            await self.nursery.start(path.run)

    def set_paths(self, vm: SoakVm, state: PathState) -> None:
        """Put all paths of a VM into a state."""
        number, now = self.vms.index(vm), trio.current_time()
        for (owner, _), path in self._paths.items():
            if owner == number:
                path.set(state)
        vm.paths_lost_at = None if state is PathState.OPEN else now
        vm.paths_back_at = now if state is PathState.OPEN else vm.paths_back_at

    def must_be_served(self, address: Address, since: float) -> bool:
        """Check whether the callers of a VM are served though it has no paths: a VM has some.

        ``since`` is when a call was sent; all that could have failed it was calm for a while then.
        """
        calm_since = since - CALM_S
        vm = self._vm_at(address)
        if vm is None or vm.paths_lost_at is None or vm.paths_lost_at > calm_since:
            return False
        helpers = [o for o in self.vms if o.paths_lost_at is None and o.paths_back_at < calm_since]
        if vm.disturbed_at > calm_since or all(o.disturbed_at > calm_since for o in helpers):
            return False
        return self.targets_disturbed_at < calm_since and all(map(_is_plain, self.runners))

    def must_not_cut(self, address: Address, since: float) -> bool:
        """Check whether a VM that stops has to end what was sent to it at a moment.

        It came late, so that the VM could tell whether there is time for it, and since the order
        to stop neither the VM nor a target was harmed.
        """
        vm = self._vm_at(address)
        if vm is None or vm.told_to_stop_at is None or vm.disturbed_at > vm.told_to_stop_at:
            return False
        if since < vm.told_to_stop_at + CALLERS_LEARN_S:
            return False
        calm = self.targets_disturbed_at < vm.told_to_stop_at and vm.paths_lost_at is None
        return calm and all(map(_is_plain, self.runners))

    def has_ended(self, address: Address, at: float, *, within_s: float) -> bool:
        """Check whether a VM's process has ended at about a moment."""
        vm = self._vm_at(address)
        return vm is not None and vm.ended_at is not None and abs(vm.ended_at - at) <= within_s

    def _vm_at(self, address: Address) -> SoakVm | None:
        return next((vm for vm in self.vms if vm.settings.listen == address), None)

    def _vm(self, number: int, store: Address) -> SoakVm:
        link = FaultyProxy(listen=self._address(1 + number, TARGET_PORT + 2), target=store)
        name = f"vm-{number}"
        settings = GatewaySettings(
            name=name,
            data_center=PLACES[number % len(PLACES)],
            region="r",
            listen=self._address(1 + number, FRONT_PORT),
            readiness=self._address(1 + number, READY_PORT),
            directory=self._address(1 + number, DIRECTORY_PORT),
            bus=self._address(1 + number, BUS_PORT),
            tunnel=self._address(1 + number, TUNNEL_PORT),
            store=StoreLimits(address=link.listen),
            bounds=Bounds(grace_s=GRACE_S),
            machine=self.machine,
            data_centers=PLACES,
        )
        return SoakVm(settings=settings, store_link=link, log=self.folder / f"{name}.log")

    def _address(self, number: int, port: int) -> Address:
        """Return an address of a machine; each machine and each run has its own loopback IP."""
        run = os.getpid()
        return Address(host=f"127.{20 + run % 200}.{run // 200 % 250}.{number}", port=port)


def _is_plain(runner: SoakTarget) -> bool:
    """Check whether a runner answers all that it gets, and says nothing of itself."""
    server, says = runner.server, runner.server.says
    if runner.is_ending or runner.proxy.harmed or not isinstance(server, FakeRunner):
        return False
    words = (says.limit, says.leaving, says.rest, says.brittle)
    return not server.conducts and all(word is None for word in words)


async def _serve_in(
    scope: trio.CancelScope,
    run: Callable[[list[trio.SocketListener]], Awaitable[None]],
    listeners: list[trio.SocketListener],
) -> None:
    with scope:
        await run(listeners)
    for listener in listeners:
        await listener.aclose()
