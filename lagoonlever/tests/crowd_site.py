"""A gateway as a process on a small machine, its store and a runner, and what it holds."""

from __future__ import annotations

import contextlib
import itertools
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import attrs
import msgspec
import trio

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.exceptions import PeerError
from lagoonlever.fakes.metadata_store import FakeMetadataStore
from lagoonlever.gateway.events import FELLOW_LISTED, FELLOW_SILENT
from lagoonlever.gateway.settings import Bounds, GatewaySettings, MachineLimits, StoreLimits
from lagoonlever.http.client import Response, fetch
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Address, Headers
from lagoonlever.http.server import open_listeners, serve_http
from lagoonlever.http.server_limits import ServerLimits, ServerState
from lagoonlever.platform.configuration import CONFIGURATION_KEY
from lagoonlever.platform.documents import caller_headers, settings_text, target_entry
from lagoonlever.platform.early_sockets import PATH_VARIABLE
from lagoonlever.platform.entry_calls import READY_PATH
from lagoonlever.platform.headers import REQUEST_ID, SEAL
from lagoonlever.platform.settings_file import METRICS_PORT
from lagoonlever.platform.targets import TARGETS_PREFIX
from lagoonlever.soak.crowd_clients import Crowd
from lagoonlever.tests.base import until, until_answer
from lagoonlever.tests.gateway_site import HOST, KEY, configuration

OWN_CODE = Path(__file__).parents[2]
MACHINE_MB = 96
"""Of the gateway's machine, whose process has about half of it at rest."""
MACHINE_DESCRIPTORS = 300
BODY_BYTES = 1024 * 1024
HEADER_BYTES = 16 * 1024
SMALL_STEP_BYTES = 64 * 1024
LARGE_ANSWER_BYTES = 4 * 1024 * 1024
FRONT_PORT, READY_PORT, DIRECTORY_PORT, BUS_PORT, TUNNEL_PORT = 8740, 8749, 8746, 8748, 7200
STORE_PORT, RUNNER_PORT = 8742, 9000
LOGS = ("vm-0.log", "vm-1.log")
LOOK_S = 0.02
SETTLE_S = 20.0
"""Time for a crowd to do what it came for; what is checked then does not depend on it."""
WAIT_S = 60.0
READY_TRIES = 2
"""Questions of the platform, of which it takes a VM out that answers none."""
KB = 1024
MB = 1024 * 1024

_runs = itertools.count()


@attrs.define(kw_only=True)
class Held:
    """The most that a process was seen to hold."""

    memory_bytes: int = 0
    """Of its memory and of received bytes that it has not read, at one moment."""
    descriptors: int = 0


class ProcessWatch:
    """Looks at what a process holds, by the kernel's account."""

    def __init__(self, *, process: subprocess.Popen[Any], ports: frozenset[int]) -> None:
        self._process = process
        self._ports = ports
        self.most = Held()

    @property
    def lives(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def descriptors(self) -> int:
        """The descriptors that are open now."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    @property
    def peak_bytes(self) -> int:
        """The most memory that the process has had since its start."""
        return self._status_bytes("VmHWM")

    async def run(self) -> None:
        """Look again and again until cancelled or the process ends."""
        while self.lives:
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                held = self._status_bytes("VmRSS") + self._unread_bytes()
                self.most.memory_bytes = max(self.most.memory_bytes, held, self.peak_bytes)
                self.most.descriptors = max(self.most.descriptors, self.descriptors)
            await trio.sleep(LOOK_S)

    def _status_bytes(self, name: str) -> int:
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        lines = dict(line.split(":", 1) for line in status.splitlines() if ":" in line)
        return int(lines[name].split()[0]) * KB if name in lines else 0

    def _unread_bytes(self) -> int:
        """Return what the kernel has received for the process and nobody has read."""
        unread = 0
        for line in Path(f"/proc/{self._process.pid}/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            own_port = int(fields[1].partition(":")[2], 16)
            is_connection = fields[3] in ("01", "08")
            if own_port in self._ports and is_connection:
                unread += int(fields[4].partition(":")[2], 16)
        return unread


@attrs.define(kw_only=True, eq=False)
class CrowdSite:
    """The parts; ``gateway`` is a process, the rest is served here."""

    folder: Path
    settings: GatewaySettings
    watch: ProcessWatch
    store: FakeMetadataStore
    released: trio.Event = attrs.field(factory=trio.Event)
    """Set once the runner answers what it was asked slowly."""
    runs: int = 0

    def judged_silent(self) -> bool:
        """Check whether one of two gateways has ever judged the other one silent."""
        return any(FELLOW_SILENT.name in (self.folder / name).read_text() for name in LOGS)

    async def ordinary(self, *, body: bytes = b"a small question") -> Response:
        """Send one ordinary request, again if it is told to, and return its answer."""
        for attempt in itertools.count():
            headers = caller_headers(
                request_id=f"ordinary-{next(_runs)}", host=HOST, key=KEY, deadline_s=20.0
            )
            answer = await fetch(
                self.settings.listen,
                method="POST",
                path="/look/ordinary",
                headers=headers,
                body=body,
                step="test",
                timeout_s=WAIT_S,
            )
            if attempt or answer.headers.get("Retry-After") is None:
                return answer
            await trio.sleep(float(answer.headers.get("Retry-After") or 0))
        raise AssertionError

    async def is_ready(self) -> bool:
        """Ask as the platform does whether the gateway is ready."""
        assert self.settings.readiness is not None
        for _ in range(READY_TRIES):
            with contextlib.suppress(PeerError):
                answer = await fetch(
                    self.settings.readiness, path=READY_PATH, step="test", timeout_s=WAIT_S
                )
                if answer.status == 200:
                    return True
        return False

    async def bear(self, *crowds: Crowd) -> None:
        """Bear crowds until they have done what they came for, and check what must hold.

        An ordinary request is answered beside them and after them, and the gateway is ready.
        """
        async with trio.open_nursery() as nursery:
            for crowd in crowds:
                nursery.start_soon(crowd.run)
            with trio.move_on_after(SETTLE_S):
                await until(lambda: all(crowd.is_settled for crowd in crowds))
            self.check()
            beside = await self.ordinary()
            assert await self.is_ready()
            nursery.cancel_scope.cancel()
        self.released.set()
        after = await self.ordinary()
        await self.until_left()
        self.check()
        assert (beside.status, after.status) == (200, 200)
        assert await self.is_ready()

    async def until_left(self) -> None:
        """Wait until the connections of clients that have left are closed."""
        few = MACHINE_DESCRIPTORS // 4
        with trio.move_on_after(WAIT_S):
            await until(lambda: not self.watch.lives or self.watch.descriptors <= few)
        assert self.watch.lives
        assert self.watch.descriptors <= few

    async def change_limits(self, *, version: int, body_bytes: int, header_bytes: int) -> None:
        """Store other limits, and wait until a body beyond the usual limit is judged by them."""
        limits = {"MaxBodyBytes": body_bytes, "MaxHeaderBytes": header_bytes}
        self.store.put(CONFIGURATION_KEY, _stored_configuration(version, **limits))
        expected = 200 if body_bytes > BODY_BYTES else 413
        larger = b"x" * (BODY_BYTES + SMALL_STEP_BYTES)
        with trio.fail_after(WAIT_S):
            await until_answer(partial(self._is_answered, larger, expected))

    async def _is_answered(self, body: bytes, status: int) -> bool:
        return (await self.ordinary(body=body)).status == status

    def check(self) -> None:
        """Check that the process lives within its machine."""
        assert self.watch.lives, "the process has ended"
        most = self.watch.most
        told = f"{most.memory_bytes // MB} MB, {most.descriptors} descriptors"
        assert most.memory_bytes <= MACHINE_MB * MB, told
        assert most.descriptors <= MACHINE_DESCRIPTORS, told

    async def _serve(self, exchange: Exchange) -> None:
        """Answer as a runner."""
        request = exchange.request
        request_id = request.headers.get(REQUEST_ID) or ""
        self.runs += 1
        if request.path == "/look/slow":
            await self.released.wait()
        large = request.path == "/look/large"
        body = b"x" * LARGE_ANSWER_BYTES if large else b"answer to %d bytes" % len(request.body)
        fields = Headers(((REQUEST_ID, request_id), (SEAL, f"seal-{request_id}")))
        await exchange.respond(status=200, headers=fields, body=body)

    async def run_runner(self, listeners: list[trio.SocketListener]) -> None:
        """Serve as the only runner until cancelled."""
        await serve_http(
            handler=self._serve, listeners=listeners, limits=ServerLimits(), state=ServerState()
        )


def site_settings(
    name: str = "vm-0", *, store: StoreLimits | None = None, seeds: tuple[Address, ...] = ()
) -> GatewaySettings:
    """Return the settings of a gateway on a small machine, at a loopback address of its own."""
    run = os.getpid()
    host = f"127.{20 + run % 200}.{run // 200 % 250}.{1 + next(_runs) % 250}"

    def at(port: int) -> Address:
        return Address(host=host, port=port)

    return GatewaySettings(
        name=name,
        data_center="dc-0",
        region="r",
        listen=at(FRONT_PORT),
        readiness=at(READY_PORT),
        directory=at(DIRECTORY_PORT),
        bus=at(BUS_PORT),
        tunnel=at(TUNNEL_PORT),
        metrics=at(METRICS_PORT),
        store=store or StoreLimits(address=at(STORE_PORT)),
        bounds=Bounds(grace_s=3.0),
        machine=MachineLimits(memory_mb=MACHINE_MB, descriptors=MACHINE_DESCRIPTORS),
        data_centers=("dc-0",),
        seeds=seeds,
    )


def _stored_configuration(version: int = 1, **more: int) -> bytes:
    limits = {
        "MaxHeaderBytes": HEADER_BYTES,
        "MaxBodyBytes": BODY_BYTES,
        "HeaderTimeoutMs": 3_000,
        "IdleTimeoutMs": 15_000,
        **more,
    }
    stored = configuration(version, Limits=limits)
    for route in stored["Routes"]:
        route["TimeoutMs"] = 60_000
    return msgspec.json.encode(stored)


@contextlib.asynccontextmanager
async def _open(folder: Path, *, with_neighbor: bool) -> AsyncIterator[CrowdSite]:
    settings = site_settings()
    runner = Address(host=settings.listen.host, port=RUNNER_PORT)
    target = ListedTarget(
        id="runner-0", service="apps", address=runner, data_center="dc-0", slots=200, version="v1"
    )
    store = FakeMetadataStore()
    store.put(CONFIGURATION_KEY, _stored_configuration())
    store.put(f"{TARGETS_PREFIX}{target.id}", target_entry(target))
    async with trio.open_nursery() as nursery:
        at_store = settings.store.address
        listeners = await open_listeners(host=at_store.host, port=at_store.port)
        nursery.start_soon(store.run, listeners)
        process = _start(folder, settings)
        started = [process]
        ports = frozenset((FRONT_PORT, READY_PORT, DIRECTORY_PORT, TUNNEL_PORT, METRICS_PORT))
        site = CrowdSite(
            folder=folder,
            settings=settings,
            watch=ProcessWatch(process=process, ports=ports),
            store=store,
        )
        nursery.start_soon(
            site.run_runner, await open_listeners(host=runner.host, port=runner.port)
        )
        try:
            await _wait_serving(site)
            if with_neighbor:
                neighbor = site_settings("vm-1", store=settings.store, seeds=(settings.bus,))
                started.append(_start(folder, neighbor))
                await _wait_heard(folder)
            nursery.start_soon(site.watch.run)
            yield site
        finally:
            for each in started:
                each.kill()
                each.wait()
            nursery.cancel_scope.cancel()


def _start(folder: Path, settings: GatewaySettings) -> subprocess.Popen[bytes]:
    settings_file = folder / f"{settings.name}.conf"
    settings_file.write_text(settings_text(settings), encoding="utf-8")
    environment = {**os.environ, "PYTHONPATH": str(OWN_CODE), PATH_VARIABLE: str(settings_file)}
    with (folder / f"{settings.name}.log").open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "lagoonlever.gateway"],
            env=environment,
            cwd=OWN_CODE,
            stdout=log,
            stderr=log,
        )


async def _wait_serving(site: CrowdSite) -> None:
    with trio.fail_after(WAIT_S):
        while True:
            with contextlib.suppress(Exception):
                if (await site.ordinary()).status == 200:
                    return
            await trio.sleep(0.1)


async def _wait_heard(folder: Path) -> None:
    """Wait until each of two gateways has heard the other."""
    logs = [folder / name for name in LOGS]
    with trio.fail_after(WAIT_S):
        await until(lambda: all(FELLOW_LISTED.name in log.read_text() for log in logs))


def run_crowd(
    story: Callable[[CrowdSite], Awaitable[None]], folder: Path, *, with_neighbor: bool = False
) -> None:
    """Run a story on a gateway that serves, with another gateway beside it if asked to."""

    async def main() -> None:
        async with _open(folder, with_neighbor=with_neighbor) as site:
            await story(site)

    trio.run(main)
