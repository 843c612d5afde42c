"""Targets that name limits: what they get, and how much of a limit is used, in virtual time."""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.bench.target_limits_model import LimitCase, LimitModel, Way

RUNS = 10
QUICK_RUNS = 2
FLEETS = (9, 75, 195, 300)
LIMITS_PER_S = (2.8, 5.0)
TARGETS = (1, 10)
LEAST_USED = {9: 0.9, 75: 0.8, 195: 0.8, 300: 0.8}
"""By the number of VMs."""


@attrs.frozen(kw_only=True)
class LimitRow:
    """What came of the runs of one fleet and way."""

    way: str = column("way")
    vms: int = column("VMs")
    targets: int = column("targets, all limited")
    per_s: float = column("limit a second", digits=1)
    worst: float = column("most in 4 s, of what is allowed", digits=2)
    used: float = column("used of the limit, mean", digits=2)


@benchmark("target-limits", summary="targets that name a limit: what all VMs send them together")
def run(options: BenchOptions) -> BenchResult:
    """Play each way at each size of fleet."""
    runs = QUICK_RUNS if options.quick else RUNS
    seeds = range(options.seed, options.seed + runs)
    rows = tuple(
        _row(LimitCase(vms=vms, targets=targets, per_s=per_s), way, seeds)
        for way in Way
        for vms in FLEETS
        for targets in TARGETS
        for per_s in LIMITS_PER_S
    )
    kept = [row for row in rows if row.way == Way.COUNTED.value]
    return BenchResult(
        name="target-limits",
        tables=(Rows(title=f"{runs} runs a row", rows=rows),),
        aims=(
            Aim(
                text="most that a target got in 4 s where one VM counts",
                measured=max(row.worst for row in kept),
                bound=1.0,
                unit="of what is allowed",
            ),
            Aim(
                text="limits left unused beyond the aim where one VM counts",
                measured=max(LEAST_USED[row.vms] - row.used for row in kept),
                bound=0.0,
                unit="of the limit, worst row",
            ),
        ),
        notes=("virtual time; 2 % of the messages are lost; one VM dies",),
    )


def _row(case: LimitCase, way: Way, seeds: Sequence[int]) -> LimitRow:
    played = [LimitModel(case=case, way=way, rng=random.Random(seed)).run() for seed in seeds]
    return LimitRow(
        way=way.value,
        vms=case.vms,
        targets=case.targets,
        per_s=case.per_s,
        worst=max(run.worst for run in played),
        used=sum(run.used for run in played) / len(played),
    )
