"""Measures membership: cost a node, time to know a death, cuts, and false deaths."""

from __future__ import annotations

from lagoonlever.bench import membership_real, membership_runs
from lagoonlever.bench.membership_runs import SteadyCost
from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark

SIZES = (3, 9, 27, 100, 400)
QUICK_SIZES = (3, 9, 27)
LARGEST_SEARCHED = 100
"""Single deaths are measured up to this size; the spread grows with its logarithm."""
STEADY_S = 30.0
BYTES_AIM_S = 3000.0
CPU_AIM_PERCENT = 3.7
MEMORY_AIM_MB = 32.0


@benchmark("membership", summary="Cost a node, detection, cuts and false deaths at 3 to 400 VMs.")
def run(options: BenchOptions) -> BenchResult:
    """Run everything; the baseline of full heartbeats in the same run."""
    sizes = QUICK_SIZES if options.quick else SIZES
    seed = options.seed
    duration_s = STEADY_S / 3 if options.quick else STEADY_S
    steady = [membership_runs.steady(n, duration_s=duration_s, seed=seed) for n in sizes]
    baseline = [membership_runs.full_heartbeat(n, rounds=20, seed=seed) for n in sizes]
    searched = [n for n in sizes if 9 <= n <= LARGEST_SEARCHED]
    kills = 4 if options.quick else 12
    spread = [membership_runs.deaths(n, kills=kills, seed=seed) for n in searched]
    cuts = [membership_runs.cut(n, seed=seed) for n in sizes if n >= searched[0]]
    real = membership_real.measure(nodes=9, duration_s=duration_s, seed=seed)
    return BenchResult(
        name="membership",
        tables=(
            Rows(title="Steady, protocol and codec, virtual network", rows=(*steady, *baseline)),
            Rows(title="Deaths and leaving, virtual network", rows=tuple(spread)),
            Rows(title="A third cut off for 60 s, virtual network", rows=tuple(cuts)),
            Rows(title="Verdicts on the living, 27 nodes", rows=_false_deaths(options)),
            Rows(title="Nine VMs over ZeroMQ on loopback, real time", rows=(real,)),
        ),
        aims=_aims(steady[-1]),
        notes=(
            "Bytes are those of ZeroMQ messages; TCP and IP headers come on top.",
            "Virtual nodes tick every 0.1 s, so times are rounded up to that.",
        ),
    )


def _false_deaths(options: BenchOptions) -> tuple[membership_runs.FalseDeaths, ...]:
    duration_s = 60.0 if options.quick else 300.0
    losses = [(f"{loss:.0%} loss", loss, 0.0) for loss in (0.0, 0.01, 0.05, 0.2)]
    pauses = [(f"one pause of {pause:g} s a second", 0.0, pause) for pause in (0.5, 2.0)]
    return tuple(
        membership_runs.false_deaths(
            condition,
            nodes=27,
            duration_s=duration_s,
            seed=options.seed,
            loss=loss,
            pause_s=pause,
        )
        for condition, loss, pause in losses + pauses
    )


def _aims(largest: SteadyCost) -> tuple[Aim, ...]:
    at = f"at {largest.nodes} nodes"
    memory = membership_runs.table_megabytes(largest.nodes)
    return (
        Aim(
            text=f"bytes sent {at}",
            measured=largest.sent_bytes_s,
            bound=BYTES_AIM_S,
            unit="B/s a node",
        ),
        Aim(
            text=f"processor time {at}, protocol and codec",
            measured=largest.cpu_percent,
            bound=CPU_AIM_PERCENT,
            unit="% of a core",
        ),
        Aim(text=f"member table {at}", measured=memory, bound=MEMORY_AIM_MB, unit="MB"),
    )
