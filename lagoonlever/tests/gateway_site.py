"""A deployment of the users' platform in one process: store, engines, runners, gateways."""

from __future__ import annotations

import itertools
import json
import random
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any

import attrs
import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.fakes.metadata_store import FakeMetadataStore
from lagoonlever.fakes.platform_engine import (
    USUAL_VERSION,
    FakeEngine,
    event_bytes,
    version_of_event,
)
from lagoonlever.fakes.platform_runner import FakeRunner
from lagoonlever.gateway.daemon import GatewayDaemon
from lagoonlever.gateway.settings import Bounds, GatewaySettings, StoreLimits
from lagoonlever.http.client import ClientConnection, Response
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import open_listeners
from lagoonlever.platform.configuration import CONFIGURATION_KEY
from lagoonlever.platform.documents import target_entry
from lagoonlever.platform.targets import DRAINING, TARGETS_PREFIX
from lagoonlever.tests.cuttable_paths import CuttablePaths
from lagoonlever.tests.free_ports import free_address

HOST = "shop.example"
KEY = "key-1"
ORGANISATION = "org-1"
FIRST_HOST = 10
"""The last part of the IP number of the first gateway's bus."""
EVENT_END = b"\n\n"
LIMIT_S = 60.0
"""Generous: no test may depend on the machine's speed."""
POLL_S = 0.01
CONNECT_S = 30.0
"""A caller here connects from the process that it connects to, which may be busy for seconds."""


DEFAULT_BOUNDS = Bounds(grace_s=3.0)


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition of another part holds; bounded by the run's limit."""
    while True:
        if condition():
            return
        await trio.sleep(POLL_S)


async def until_within(seconds: float, condition: Callable[[], object]) -> None:
    """Wait until a condition holds, for so many seconds of this process's own turns.

    By the wall clock a bound would tell how busy the machine is: every part of the site
    runs in this process, and waits as long as this poll does while others have the
    processor. On an idle machine both are the same.
    """
    for _ in range(round(seconds / POLL_S)):
        if condition():
            return
        await trio.sleep(POLL_S)
    raise AssertionError(f"not within {seconds:g} s")


async def sleep_turns(seconds: float) -> None:
    """Sleep for so many seconds of this process's own turns."""
    for _ in range(round(seconds / POLL_S)):
        await trio.sleep(POLL_S)


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Give a route as operators write it."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 5_000,
        "TargetLatencyMs": 200,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "AllowAnonymous": False,
        **more,
    }


def configuration(version: int = 1, **more: Any) -> dict[str, Any]:
    """Give a configuration with a stream, a repeatable call and one that runs at most once."""
    return {
        "Version": version,
        "Routes": [
            route(
                "stream",
                "/stream/",
                "streaming",
                "engines",
                MaxAttempts=5,
                ResumeStreams=True,
                StickySessions=True,
                GapAimMs=700,
                TargetLatencyMs=4_500,
                TimeoutMs=25_000,
            ),
            route("bid", "/bid/", "non_idempotent", "apps"),
            route("look", "/look/", "idempotent", "apps", MaxAttempts=2),
        ],
        "Services": [
            {
                "Name": "engines",
                "HealthPath": "/healthz",
                "MaxConnections": 100,
                "Engine": {
                    "Slots": 12,
                    "KvCapacity": 55_000,
                    "KvTokenBytes": 18_432,
                    "Moves": True,
                    "Backups": True,
                    "HandleS": 4.0,
                    "Stride": 8,
                },
            },
            {"Name": "apps", "HealthPath": "/healthz", "MaxConnections": 100},
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 100_000,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": ORGANISATION, "ApiKeys": [KEY], "Priority": 1}],
        **more,
    }


@attrs.define(kw_only=True)
class Stream:
    """What a caller got of a stream: its status, its bytes, and whether its end was told.

    A refusal is no whole stream, however whole its body is.
    """

    status: int
    headers: Headers
    body: bytes = b""
    whole: bool = False
    request_id: str = ""
    after: int = 0
    """The last event that the caller had before."""

    def is_events(self, part: str, first: int, last: int, *, version: str = USUAL_VERSION) -> bool:
        """Check whether the body is exactly these events of a prompt, all by one version."""
        numbers = range(first, last + 1)
        return self.body == b"".join(event_bytes(part, n, version=version) for n in numbers)

    @property
    def last_event(self) -> int:
        """The number of the last event that came whole; 0 for none."""
        return self.body.count(EVENT_END) + self.after

    @property
    def versions(self) -> frozenset[str]:
        """The versions of the engines' software that wrote the events."""
        events = self.body.split(b"\n\n")[:-1]
        return frozenset(version_of_event(event) for event in events if b"data: " in event)


@attrs.define(kw_only=True, eq=False)
class Vm:
    """One gateway of the site."""

    settings: GatewaySettings
    daemon: GatewayDaemon
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def kill(self) -> None:
        """End it at once, with its connections."""
        self.scope.cancel()


@attrs.define(kw_only=True, eq=False, repr=False)
class GatewaySite:
    """Starts what a story needs; everything ends with its nursery.

    Without a ``repr`` of its fields: pytest writes that out for an assertion that fails, and all
    gateways with all their parts take minutes and gigabytes.
    """

    nursery: trio.Nursery
    bounds: Bounds
    store: FakeMetadataStore = attrs.field(factory=FakeMetadataStore)
    store_address: Address = attrs.field(factory=free_address)
    engines: dict[str, FakeEngine] = attrs.field(factory=dict)
    runners: dict[str, FakeRunner] = attrs.field(factory=dict)
    addresses: dict[str, Address] = attrs.field(factory=dict)
    scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict)
    vms: dict[str, Vm] = attrs.field(factory=dict)
    deadly: set[str] = attrs.field(factory=set)
    """Prompts and bodies of requests that end each target that runs them."""
    paths: CuttablePaths | None = None
    """The paths of each gateway to each target, where a story cuts some."""
    tunnel_port: int = attrs.field(factory=lambda: free_address().port)
    deaths: list[str] = attrs.field(factory=list)
    """The targets that ended so."""
    _fleet: dict[str, FakeEngine] = attrs.field(factory=dict)
    _starts: Iterator[int] = attrs.field(factory=lambda: itertools.count(1_700_000_000_000))
    """The starts of engines, one after the other."""
    _ids: Iterator[int] = attrs.field(factory=lambda: iter(range(1, 1_000_000)))

    async def start(self, *, engines: int = 3, runners: int = 2, vms: int = 2) -> None:
        """Start the store with a configuration, targets, and gateways that take callers."""
        listeners = await self._listen(self.store_address)
        self.nursery.start_soon(self.store.run, listeners)
        self.configure(configuration())
        for number in range(engines):
            await self.start_engine(f"engine-{number}", data_center=f"dc-{number % 3}")
        for number in range(runners):
            await self.start_runner(f"runner-{number}", data_center=f"dc-{number % 3}")
        for number in range(vms):
            await self.start_vm(f"vm-{number}", data_center=f"dc-{number % 3}")
        for vm in self.vms.values():
            await self.wait_ready(vm)

    def configure(self, document: dict[str, Any]) -> None:
        """Have the operator write a configuration."""
        self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())

    async def start_engine(
        self,
        name: str,
        *,
        data_center: str = "dc-0",
        version: str = USUAL_VERSION,
        listed: bool = True,
    ) -> FakeEngine:
        """Start an engine, and list it; one that was there before starts again under its id."""
        address = self.addresses.get(name) or free_address()
        engine = FakeEngine(
            target_id=name,
            fleet=self._fleet,
            started_ms=next(self._starts),
            version=version,
            deadly=self.deadly,
            die=lambda: self._die(name),
        )
        self._fleet[str(address)] = engine
        self.engines[name] = engine
        await self._start_target(name, address, engine.run)
        if not listed:
            return engine
        self.list_target(
            name,
            service="engines",
            data_center=data_center,
            started_ms=engine.started_ms,
            version=version,
        )
        return engine

    async def start_runner(
        self, name: str, *, data_center: str = "dc-0", version: str = "v1"
    ) -> FakeRunner:
        """Start an application runner and list it."""
        runner = FakeRunner(target_id=name, deadly=self.deadly, die=lambda: self._die(name))
        self.runners[name] = runner
        await self._start_target(name, free_address(), runner.run)
        self.list_target(name, service="apps", data_center=data_center, version=version)
        return runner

    async def start_listed(
        self, name: str, *, service: str, run: Callable[[list[Any]], Awaitable[None]]
    ) -> None:
        """Start a target of a test's own and list it; once all VMs know it, return."""
        await self._start_target(name, free_address(), run)
        self.list_target(name, service=service)
        known = [vm.daemon.parts.beliefs.targets for vm in self.vms.values()]
        await until(lambda: all(targets.find(name) is not None for targets in known))

    def list_target(
        self,
        name: str,
        *,
        service: str,
        data_center: str = "dc-0",
        state: str = "ready",
        started_ms: int | None = None,
        version: str = "v1",
    ) -> None:
        """Write a target's entry."""
        target = ListedTarget(
            id=name,
            service=service,
            address=self.addresses[name],
            data_center=data_center,
            slots=12,
            draining=state == DRAINING,
            started_ms=started_ms,
            version=version,
        )
        self.store.put(f"{TARGETS_PREFIX}{name}", target_entry(target))

    def unlist_target(self, name: str) -> None:
        """Remove a target's entry."""
        self.store.delete(f"{TARGETS_PREFIX}{name}")

    def crash(self, name: str) -> None:
        """End a target with its sockets; its entry stays."""
        self.scopes[name].cancel()

    def _die(self, name: str) -> None:
        self.deaths.append(name)
        self.crash(name)

    async def start_in_place_of(
        self, name: str, new_id: str, *, version: str = USUAL_VERSION
    ) -> FakeEngine:
        """Start another engine at the address of one that has crashed; it is not listed."""
        address = self.addresses[name]
        engine = FakeEngine(target_id=new_id, fleet=self._fleet, version=version)
        self._fleet[str(address)] = engine
        self.engines[new_id] = engine
        await self._start_target(new_id, address, engine.run)
        return engine

    async def start_vm(self, name: str, *, data_center: str = "dc-0") -> Vm:
        """Start a gateway; one of the same name comes back at the same addresses."""
        former = self.vms.get(name)
        settings = former.settings if former else self._settings(name, data_center)
        open_target = self.paths.opener(name) if self.paths else ClientConnection.open
        daemon = GatewayDaemon(settings=settings, rng=random.Random(name), open_target=open_target)
        vm = self.vms[name] = Vm(settings=settings, daemon=daemon)
        self.nursery.start_soon(self._run_vm, vm)
        return vm

    async def wait_ready(self, vm: Vm) -> None:
        """Wait until a gateway says that it takes callers."""
        while True:
            try:
                connection = await ClientConnection.open(vm.settings.readiness, timeout_s=CONNECT_S)
                async with connection:
                    await connection.start(method="GET", path="/-/ready", step="test")
                    if (await connection.read_head()).status == 200:
                        return
            except Exception:
                pass
            await trio.sleep(POLL_S)

    async def wait_met(self) -> None:
        """Wait until every gateway hears every other one."""

        def all_met() -> bool:
            now, others = trio.current_time(), len(self.vms) - 1
            tables = [vm.daemon.parts.beliefs.fellows for vm in self.vms.values()]
            return all(len(table.present(now)) == others for table in tables)

        await until(all_met)

    def headers(self, request_id: str | None = None, **more: str) -> Headers:
        """Give the head fields of a proper request; ``_`` in names stands for ``-``."""
        fields = {
            "Host": HOST,
            "Request-Id": request_id or f"r-{next(self._ids)}",
            "Deadline-Ms": "5000",
            "Authorization": f"Bearer {KEY}",
        }
        fields.update({name.replace("_", "-"): value for name, value in more.items()})
        return Headers(tuple((name, value) for name, value in fields.items() if value))

    async def call(
        self,
        path: str,
        *,
        vm: str = "vm-0",
        method: str = "POST",
        body: bytes = b"",
        headers: Headers | None = None,
    ) -> Response:
        """Send a request on a connection of its own, and read the whole answer."""
        address = self.vms[vm].settings.listen
        async with await ClientConnection.open(address, timeout_s=CONNECT_S) as connection:
            await connection.start(
                method=method, path=path, headers=headers or self.headers(), body=body, step="test"
            )
            head = await connection.read_head()
            pieces = [piece async for piece in connection.iter_body()]
            return attrs.evolve(head, body=b"".join(pieces))

    async def stream(
        self,
        part: str,
        *,
        vm: str = "vm-0",
        events: int = 10,
        prompt_tokens: int = 100,
        shared: Sequence[str] = ("shared",),
        question: bytes | None = None,
        on_event: Callable[[int], Any] = lambda count: None,
        **more: str,
    ) -> Stream:
        """Ask for a stream and read it until its end or its break.

        ``question`` is the body, by default the id of the prompt's own part. ``on_event`` is called
        with the number of each event, also where several events are read at once.
        """
        headers = self.headers(
            Token_Count=f"{prompt_tokens},{events * 8}",
            Prompt_Prefix=",".join(
                (*(f"{each}:10" for each in shared), f"{part}:{prompt_tokens - 10 * len(shared)}")
            ),
            Model=more.pop("Model", "m"),
            Deadline_Ms=more.pop("Deadline_Ms", "25000"),
            **more,
        )
        address = self.vms[vm].settings.listen
        body = part.encode() if question is None else question
        async with await ClientConnection.open(address, timeout_s=CONNECT_S) as connection:
            await connection.start(
                method="POST", path="/stream/1", headers=headers, body=body, step="test"
            )
            head = await connection.read_head()
            got = Stream(
                status=head.status,
                headers=head.headers,
                request_id=headers.get("Request-Id") or "",
                after=int(headers.get("Last-Event-Id") or 0),
            )
            try:
                while (piece := await connection.next_piece()) is not None:
                    former = got.body.count(EVENT_END)
                    got.body += piece
                    for count in range(former + 1, got.body.count(EVENT_END) + 1):
                        on_event(count)
                got.whole = head.status == 200
            except Exception:
                got.whole = False
            return got

    async def take_up(self, former: Stream, part: str, *, began: str = "", **more: Any) -> Stream:
        """Come back with what a caller has of a stream; ``began`` if not by ``former`` itself."""
        return await self.stream(
            part,
            Last_Event_Id=str(former.last_event),
            Resumes=began or former.request_id,
            **more,
        )

    def _settings(self, name: str, data_center: str) -> GatewaySettings:
        # VMs tell each other the host of their bus; the port of tunnels is the same on all.
        host = f"127.0.0.{FIRST_HOST + len(self.vms)}"
        return GatewaySettings(
            name=name,
            data_center=data_center,
            region="r",
            listen=free_address(),
            readiness=free_address(),
            directory=free_address(),
            bus=free_address(host),
            tunnel=Address(host=host, port=self.tunnel_port),
            store=StoreLimits(address=self.store_address),
            seeds=tuple(vm.settings.bus for vm in self.vms.values()),
            bounds=self.bounds,
        )

    async def _run_vm(self, vm: Vm) -> None:
        with vm.scope:
            await vm.daemon.run()

    async def _start_target(
        self, name: str, address: Address, run: Callable[[list[Any]], Awaitable[None]]
    ) -> None:
        self.addresses[name] = address
        listeners = await self._listen(address)
        scope = self.scopes[name] = trio.CancelScope()

        async def serve() -> None:
            with scope:
                await run(listeners)
            for listener in listeners:
                await listener.aclose()

        self.nursery.start_soon(serve)

    async def _listen(self, address: Address) -> list[trio.SocketListener]:
        return await open_listeners(host=address.host, port=address.port)


def running_engine(site: GatewaySite) -> str:
    """Give the name of an engine that has a run."""
    return next(name for name, engine in site.engines.items() if engine.runs)


def run_site(
    story: Callable[[GatewaySite], Awaitable[None]],
    *,
    bounds: Bounds = DEFAULT_BOUNDS,
    cuttable: bool = False,
    **sizes: int,
) -> None:
    """Run a story on a fresh deployment; ``cuttable`` puts a proxy on each path to a target."""

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                paths = CuttablePaths(nursery=nursery) if cuttable else None
                site = GatewaySite(nursery=nursery, bounds=bounds, paths=paths)
                await site.start(**sizes)
                await story(site)
                nursery.cancel_scope.cancel()

    trio.run(main)
