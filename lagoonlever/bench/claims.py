"""Platform calls of each way to run a request at most once, counted by the stand-in platform.

Each VM's own claims run against the stand-in over sockets; arrivals are a
Poisson process over all VMs that does not wait for answers.
"""

from __future__ import annotations

import enum
import random

import attrs
import trio

from lagoonlever.bench.report import BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.decisions.claims.claim_queue import Bound
from lagoonlever.decisions.claims.key_table import KeyTable, Run
from lagoonlever.entry.fleet.claims import BUCKET_S, Claims
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.fakes.platform import FakePlatform, PlatformFault, PlatformFaultKind
from lagoonlever.http.messages import Address
from lagoonlever.http.server import open_listeners
from lagoonlever.identity import Incarnation
from lagoonlever.store import etcd_wire
from lagoonlever.store.etcd_json import EtcdPlatform
from lagoonlever.store.port import NewKey
from lagoonlever.timers import TimerService

HOST = "127.0.0.1"
FINGERPRINT = b"same"


class Way(enum.Enum):
    """Who decides which VM runs a request."""

    EACH = "a claim for each request"
    GROUPED = "claims in groups"
    HOME = "a home in the key"


@attrs.frozen(kw_only=True)
class Fleet:
    """Entry VMs, requests a second that may not be repeated, and the platform's answer time."""

    title: str
    vms: int
    rate: float
    platform_s: float


@attrs.frozen(kw_only=True)
class ClaimRow:
    """What one way cost one fleet."""

    fleet: str = column("fleet")
    way: str = column("way")
    rate: float = column("requests /s", digits=0)
    admitted: int = column("admitted", digits=0)
    refused: int = column("not bound", digits=0)
    txn_per_request: float = column("transactions per request", digits=3)
    txn_per_s: float = column("transactions /s", digits=1)
    leases_per_s: float = column("leases /s", digits=2)
    p50_ms: float = column("p50 ms", digits=1)
    p99_ms: float = column("p99 ms", digits=1)


@attrs.define(kw_only=True)
class ClaimingVm:
    """One VM's table of keys and its claims."""

    table: KeyTable
    claims: Claims
    platform: EtcdPlatform
    latencies: list[float] = attrs.field(factory=list)
    refused: int = 0

    async def request(self, way: Way, name: str) -> None:
        """Bind one new request to a home and admit it there."""
        began = trio.current_time()
        key = self.claims.key_home.mint(random=name)
        if way is Way.EACH:
            await self.platform.claim([NewKey(key=name, value=str(key).encode())])
        if way is Way.GROUPED:
            bound = await self.claims.bind(name)
            if not isinstance(bound, Bound):
                self.refused += 1
                return
            key = bound.home
        admission = self.table.admit(key, fingerprint=FINGERPRINT, now=trio.current_time())
        if not isinstance(admission, Run):
            raise RuntimeError(f"{name} was not admitted: {admission}")
        self.latencies.append(trio.current_time() - began)


def _vm(index: int, platform: EtcdPlatform) -> ClaimingVm:
    settings = ServiceSettings(home_bytes=1 << 30)
    timers = TimerService()
    table = KeyTable(
        own=Incarnation(name=f"vm{index}", started_ms=1, nonce=index),
        started_at=timers.now,
        limit_bytes=settings.home_bytes,
    )
    claims = Claims(
        platform=platform,
        table=table,
        timers=timers,
        settings=settings,
    )
    return ClaimingVm(table=table, claims=claims, platform=platform)


async def _measure(fleet: Fleet, way: Way, seconds: float, seed: int) -> ClaimRow:
    rng = random.Random(seed)
    platform = FakePlatform()
    async with trio.open_nursery() as nursery:
        listeners = await open_listeners(host=HOST, port=0)
        nursery.start_soon(platform.run, listeners)
        address = Address(host=HOST, port=listeners[0].socket.getsockname()[1])
        vms = [_vm(i, EtcdPlatform(addresses=[address])) for i in range(fleet.vms)]
        for vm in vms:
            nursery.start_soon(vm.claims.run)
        if way is Way.GROUPED:
            await _warm_up(vms, way)
        slow = PlatformFault(kind=PlatformFaultKind.SLOW, delay_s=fleet.platform_s)
        platform.inject(slow)
        before = platform.calls.get(etcd_wire.TXN_PATH, 0)
        await _arrivals(vms, fleet, way, seconds, rng)
        calls = platform.calls.get(etcd_wire.TXN_PATH, 0) - before
        nursery.cancel_scope.cancel()
    latencies = sorted(latency for vm in vms for latency in vm.latencies)
    requests = len(latencies) + sum(vm.refused for vm in vms)
    return ClaimRow(
        fleet=fleet.title,
        way=way.value,
        rate=fleet.rate,
        admitted=len(latencies),
        refused=requests - len(latencies),
        txn_per_request=calls / requests,
        txn_per_s=calls / seconds,
        leases_per_s=fleet.vms / BUCKET_S if way is Way.GROUPED else 0.0,
        p50_ms=1000 * latencies[len(latencies) // 2],
        p99_ms=1000 * latencies[int(0.99 * len(latencies))],
    )


async def _warm_up(vms: list[ClaimingVm], way: Way) -> None:
    """Take each VM's lease, which lasts far longer than a run."""
    for index, vm in enumerate(vms):
        await vm.request(way, f"warm-up-{index}")
        vm.latencies.clear()


async def _arrivals(
    vms: list[ClaimingVm], fleet: Fleet, way: Way, seconds: float, rng: random.Random
) -> None:
    due = trio.current_time()
    end = due + seconds
    number = 0
    async with trio.open_nursery() as nursery:
        while due < end:
            await trio.sleep_until(due)
            number += 1
            nursery.start_soon(rng.choice(vms).request, way, f"request-{number}")
            due += rng.expovariate(fleet.rate)


FLEETS = (
    Fleet(title="9 VMs", vms=9, rate=50, platform_s=0.005),
    Fleet(title="9 VMs, slow platform", vms=9, rate=50, platform_s=0.5),
    Fleet(title="400 VMs, a tenth of 3,200/s", vms=400, rate=320, platform_s=0.005),
    Fleet(title="400 VMs, a tenth of 3,200/s, slow platform", vms=400, rate=320, platform_s=0.5),
)


@benchmark("claims", summary="Platform calls of each way to run a request at most once.")
def run(options: BenchOptions) -> BenchResult:
    """Measure each way for each fleet."""
    seconds = 4.0 if options.quick else 15.0
    rows = tuple(
        trio.run(_measure, fleet, way, seconds, options.seed) for fleet in FLEETS for way in Way
    )
    return BenchResult(
        name="claims",
        tables=(Rows(title="requests that may not be repeated, each under a new key", rows=rows),),
        notes=(
            f"leases: one a VM in {BUCKET_S:g} s, worked out and not counted",
            "p50 and p99: from the request to its admission at its home",
        ),
    )
