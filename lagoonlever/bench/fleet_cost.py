"""What a fleet of gateways costs each of its VMs: at rest, and by runs that others have.

The parts that tell who lives, place runs and tell of them run for every VM of a fleet, on a
network in memory and in virtual time. Messages and bytes are counted as on the real bus.
Processor time is that of the parts' own code; what the kernel and the sockets take for a
message comes on top, some 0.3 ms each on small VMs.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator

import attrs
import trio

from lagoonlever.bench.local_fleet import Fleet, run_fleet, start_many
from lagoonlever.bench.placing_fleet import PlacingVm, placing_fleet
from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.peers.messages_gateway import RunEnded

SIZES = (9, 75, 195, 300)
QUICK_SIZES = (9, 195)
WIDE = 9
"""VMs with wide links, of which hubs are chosen."""
SETTLE_S = 6.0
MEASURED_S = 3.0
QUICK_MEASURED_S = 1.2
RUNS_PER_VM_S = 0.1
"""A stream every ten seconds at each VM, which is what a deployment of 195 VMs has."""
READ_S = 0.5
LIFE_S = 1.0
ENGINES_PER_VM = 0.35
CONTROL_BYTES_S = 3_000.0
"""The aim for all control traffic of a VM."""


@attrs.frozen(kw_only=True)
class CostRow:
    """One fleet in one state; figures are of a VM and second."""

    vms: int = column("VMs", digits=0)
    state: str = column("state")
    processor_ms: float = column("own code, ms", digits=2)
    messages: float = column("messages got", digits=2)
    bytes: float = column("bytes got", digits=0)
    busiest_messages: float = column("messages sent, busiest", digits=1)
    told_to_all: float | None = column("messages if runs were told to all", digits=1)


@attrs.frozen(kw_only=True)
class _Count:
    got: float
    got_bytes: float
    sent: dict[str, float]
    processor_s: float


@benchmark(
    "fleet-cost", summary="what each VM of a fleet pays for the others, at rest and with runs"
)
def run_fleet_cost(options: BenchOptions) -> BenchResult:
    """Measure each size at rest, then with runs; the last column is worked out."""
    sizes = QUICK_SIZES if options.quick else SIZES
    seconds = QUICK_MEASURED_S if options.quick else MEASURED_S
    rows = tuple(row for vms in sizes for row in measured(vms, seconds))
    rest = [row for row in rows if row.state == "at rest"]
    return BenchResult(
        name="fleet-cost",
        tables=(Rows(title="a VM and second", rows=rows),),
        aims=tuple(
            Aim(
                text=f"bytes that a VM of {row.vms} gets at rest",
                measured=row.bytes,
                bound=CONTROL_BYTES_S,
                unit="B/s",
            )
            for row in rest
        ),
        notes=("told to all is worked out: five messages a run to each other VM",),
    )


def measured(vms: int, seconds: float) -> list[CostRow]:
    """Measure a fleet of so many VMs at rest and with runs, each for so long."""
    rows: list[CostRow] = []

    async def story(fleet: Fleet) -> None:
        start_many(fleet, vms, wide=WIDE)
        await trio.sleep(SETTLE_S)
        placing = placing_fleet(fleet, engine_count=max(6, round(ENGINES_PER_VM * vms)))
        await trio.sleep(0.5)
        before = _count(fleet)
        await trio.sleep(seconds)
        rows.append(_row(vms, "at rest", before, _count(fleet), seconds))
        before = _count(fleet)
        async with trio.open_nursery() as nursery:
            for number in range(round(RUNS_PER_VM_S * vms * seconds)):
                nursery.start_soon(_run_stream, placing, number, seconds)
        runs_s = seconds + LIFE_S
        rows.append(_row(vms, "with runs", before, _count(fleet), runs_s))

    run_fleet(story)
    return rows


async def _run_stream(placing: dict[str, PlacingVm], number: int, within_s: float) -> None:
    """Have one VM place a run, tell of its first event and of its end."""
    names = sorted(placing)
    await trio.sleep(within_s * (number * 0.618034 % 1.0))
    vm = placing[names[number * 7 % len(names)]]
    request = f"r-{number}"
    await vm.place(request)
    await trio.sleep(READ_S)
    vm.peers.flows(request)
    await trio.sleep(LIFE_S - READ_S)
    vm.peers.end(RunEnded(request=request, whole=True))


def _row(vms: int, state: str, before: _Count, after: _Count, seconds: float) -> CostRow:
    vm_seconds = vms * seconds
    sent = {name: after.sent[name] - before.sent[name] for name in after.sent}
    has_runs = state != "at rest"
    return CostRow(
        vms=vms,
        state=state,
        processor_ms=1000.0 * (after.processor_s - before.processor_s) / vm_seconds,
        messages=(after.got - before.got) / vm_seconds,
        bytes=(after.got_bytes - before.got_bytes) / vm_seconds,
        busiest_messages=max(sent.values()) / seconds,
        told_to_all=5.0 * RUNS_PER_VM_S * (vms - 1) if has_runs else None,
    )


def _count(fleet: Fleet) -> _Count:
    received = list(itertools.chain.from_iterable(_received(fleet)))
    return _Count(
        got=sum(messages for messages, _ in received),
        got_bytes=sum(size for _, size in received),
        sent={
            name: float(sum(count.messages for count in vm.bus.traffic.sent.values()))
            for name, vm in fleet.vms.items()
        },
        processor_s=time.thread_time(),
    )


def _received(fleet: Fleet) -> Iterator[list[tuple[int, int]]]:
    for vm in fleet.vms.values():
        yield [(count.messages, count.bytes) for count in vm.bus.traffic.received.values()]
