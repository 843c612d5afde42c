"""Benchmark ``control``: what whole entry VMs spend on control, at rest and with demand.

Each VM is a process of its own; the platform, four engines and an application
service are stand-ins in this one. Bytes are those between the VMs. Processor time
at rest is all control: membership, sums, settings, probes, the lists.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import attrs
import trio

from lagoonlever.bench.control_vms import ControlFleet, VmCost, control_fleet, demand
from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark, column

SIZES = (3, 9, 27)
QUICK_SIZES = (3, 9)
ORGANISATIONS = 20
CALLERS = 2
WARM_UP_S = 5.0
WINDOW_S = 20.0
QUICK_WINDOW_S = 8.0
FLEET = 400
CPU_AIM_PERCENT = 3.7
BYTES_AIM_S = 3000.0
MEMORY_AIM_MB = 32.0
MB = 1e6
AT_REST = "at rest"
WITH_DEMAND = f"{ORGANISATIONS} organisations with demand"


@attrs.frozen(kw_only=True)
class ControlRow:
    """One number of VMs in one condition; the means over the VMs."""

    vms: int = column("VMs", digits=0)
    condition: str = column("condition")
    sent_bytes_s: float = column("sent B/s a VM", digits=0)
    received_bytes_s: float = column("received B/s a VM", digits=0)
    cpu_percent: float = column("% of a core a VM", digits=2)
    resident_mb: float = column("resident MB a VM", digits=1)
    platform_calls_s: float = column("platform calls/s in all", digits=1)


@attrs.frozen(kw_only=True)
class SlopeRow:
    """A straight line through one column, and where it leads at the size aimed for."""

    what: str = column("what")
    fixed: float = column("fixed", digits=1)
    each: float = column("for each further VM", digits=2)
    at_fleet: float = column(f"by that line at {FLEET} VMs", digits=0)


@attrs.frozen(kw_only=True)
class _Reading:
    at: float
    costs: list[VmCost]
    calls: int


async def _read(fleet: ControlFleet) -> _Reading:
    costs = [await vm.cost() for vm in fleet.vms]
    calls = sum(fleet.cluster.platform.calls.values())
    return _Reading(at=trio.current_time(), costs=costs, calls=calls)


async def _measure(fleet: ControlFleet, condition: str, window_s: float) -> ControlRow:
    await trio.sleep(WARM_UP_S)
    before = await _read(fleet)
    await trio.sleep(window_s)
    after = await _read(fleet)
    elapsed_s = after.at - before.at
    pairs = list(zip(before.costs, after.costs, strict=True))

    def rate(name: str) -> float:
        grown = [getattr(last, name) - getattr(first, name) for first, last in pairs]
        return statistics.fmean(grown) / elapsed_s

    return ControlRow(
        vms=len(fleet.vms),
        condition=condition,
        sent_bytes_s=rate("sent_bytes"),
        received_bytes_s=rate("received_bytes"),
        cpu_percent=100 * rate("cpu_s"),
        resident_mb=statistics.fmean(cost.resident_bytes for cost in after.costs) / MB,
        platform_calls_s=(after.calls - before.calls) / elapsed_s,
    )


async def _measure_size(size: int, window_s: float) -> list[ControlRow]:
    async with control_fleet(size) as fleet:
        rows = [await _measure(fleet, AT_REST, window_s)]
        await fleet.store_organisations(ORGANISATIONS)
        async with demand(fleet, organisations=ORGANISATIONS, callers=CALLERS):
            rows.append(await _measure(fleet, WITH_DEMAND, window_s))
    return rows


def _slopes(rows: Sequence[ControlRow]) -> list[SlopeRow]:
    found: list[SlopeRow] = []
    for condition in (AT_REST, WITH_DEMAND):
        chosen = [row for row in rows if row.condition == condition]
        sizes = [row.vms for row in chosen]
        found.append(
            _line(
                f"B/s sent and received, {condition}",
                sizes,
                [row.sent_bytes_s + row.received_bytes_s for row in chosen],
            )
        )
    at_rest = [row for row in rows if row.condition == AT_REST]
    sizes = [row.vms for row in at_rest]
    found.append(_line("% of a core, at rest", sizes, [row.cpu_percent for row in at_rest]))
    found.append(_line("resident MB, at rest", sizes, [row.resident_mb for row in at_rest]))
    return found


def _line(what: str, sizes: list[int], values: list[float]) -> SlopeRow:
    line = statistics.linear_regression(sizes, values)
    return SlopeRow(
        what=what,
        fixed=line.intercept,
        each=line.slope,
        at_fleet=line.intercept + line.slope * FLEET,
    )


def _aims(rows: Sequence[ControlRow]) -> list[Aim]:
    aims: list[Aim] = []
    for row in rows:
        at = f"{row.vms} VMs, {row.condition}"
        bytes_s = row.sent_bytes_s + row.received_bytes_s
        aims.append(
            Aim(text=f"control bytes, {at}", measured=bytes_s, bound=BYTES_AIM_S, unit="B/s")
        )
        if row.condition == AT_REST:
            aims.append(
                Aim(text=f"core, {at}", measured=row.cpu_percent, bound=CPU_AIM_PERCENT, unit="%")
            )
            aims.append(
                Aim(
                    text=f"whole process, {at}",
                    measured=row.resident_mb,
                    bound=MEMORY_AIM_MB,
                    unit="MB",
                )
            )
    return aims


@benchmark("control", summary="What whole entry VMs spend on control at 3, 9 and 27 VMs.")
def control(options: BenchOptions) -> BenchResult:
    """Measure each size in turn."""
    rows: list[ControlRow] = []
    for size in QUICK_SIZES if options.quick else SIZES:
        window_s = QUICK_WINDOW_S if options.quick else WINDOW_S
        rows += trio.run(_measure_size, size, window_s)
    return BenchResult(
        name="control",
        tables=(
            Rows(title="Whole entry VMs", rows=tuple(rows)),
            Rows(title="Straight lines through them", rows=tuple(_slopes(rows))),
        ),
        aims=tuple(_aims(rows)),
        notes=(
            "With demand the processor time includes the relay of answers.",
            "The lines are no measurement at 400 VMs: what is bounded or cut into subsets there "
            "bends them, either way.",
        ),
    )
