"""Streams through crashes of engines, a loss of all VMs and overload: what policies are worth.

One policy a row; all rows of a table meet the same arrivals and the same crashes. The
table with seven engines is the load that hurts most: some thirty callers come back within
a quarter of a second where a third of the engines have left. The drawn deployments, one a
seed, are such as nobody has seen.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs

from lagoonlever.bench.deployments import draw_deployment, shipped_deployment
from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.bench.statistics import quantile
from lagoonlever.bench.stream_day_model import StreamDay
from lagoonlever.bench.stream_day_types import DayFigures, DayPlan, DayPolicy
from lagoonlever.decisions.engines.engine_scheduler import MAX_COPIES_SHARE

DAYS = 24
QUICK_DAYS = 3
POLICIES = (
    DayPolicy(name="no copies", copies=False),
    DayPolicy(name="copies wherever there is room", copies_most=1.0),
    DayPolicy(name="copies up to 0.6 of an engine", copies_most=0.6),
    DayPolicy(name="every prompt admitted", admission=False),
    DayPolicy(name=f"**copies up to {MAX_COPIES_SHARE:g} of an engine**"),
)
PLANS: dict[str, Callable[[int], DayPlan]] = {
    "twelve engines, one data centre's crash every 6.5 s": lambda _: DayPlan(),
    "seven engines, and all VMs end at 34 s": lambda _: DayPlan(engines=7, all_vms_end_at=34.0),
    "eighteen engines, all 1.9 times as slow as usual": lambda _: slowed(
        shipped_deployment("catering"), 1.9
    ),
    "deployments drawn by seed": draw_deployment,
}
LEAST_ON_TIME = 0.9


@attrs.frozen(kw_only=True)
class DayRow:
    """What one policy made of the days of one plan."""

    policy: str = column("policy")
    streams: int = column("streams", digits=0)
    on_time: float = column("on time %", digits=1)
    late: float = column("late %", digits=1)
    failed: float = column("failed %", digits=1)
    pause_p95_s: float = column("longest pause p95 s, streams that met a loss", digits=2)
    read_again: float = column("tokens read again a stream", digits=0)
    preempted: float = column("preempted a day", digits=1)
    refused: float = column("told to come back %", digits=1)


@benchmark("stream-day", summary="streams through crashes: what copies of runs are worth")
def run(options: BenchOptions) -> BenchResult:
    """Play each plan under each policy."""
    days = QUICK_DAYS if options.quick else DAYS
    seeds = range(options.seed, options.seed + days)
    tables = {
        title: tuple(day_row(policy, plan, seeds) for policy in POLICIES)
        for title, plan in PLANS.items()
    }
    usual = next(iter(tables.values()))[-1]
    return BenchResult(
        name="stream-day",
        tables=tuple(
            Rows(title=f"{title}, {days} days", rows=rows) for title, rows in tables.items()
        ),
        aims=(
            Aim(
                text="streams that are not on time at twelve engines",
                measured=1.0 - usual.on_time / 100.0,
                bound=1.0 - LEAST_ON_TIME,
                unit="of all",
            ),
        ),
        notes=("virtual time; one book stands for those of all VMs",),
    )


def slowed(plan: DayPlan, times: float) -> DayPlan:
    """Give a plan whose engines take so many times as long."""
    return attrs.evolve(plan, engine=plan.engine.slowed(times))


def day_row(policy: DayPolicy, plan_of: Callable[[int], DayPlan], seeds: Sequence[int]) -> DayRow:
    """Play the plan of each seed."""
    days = [StreamDay(plan=plan_of(seed), policy=policy, seed=seed).run() for seed in seeds]
    streams = sum(day.streams for day in days)
    pauses_s = [pause for day in days for pause in day.pauses_s]
    return DayRow(
        policy=policy.name,
        streams=streams,
        on_time=100.0 * _total(days, "on_time") / streams,
        late=100.0 * _total(days, "late") / streams,
        failed=100.0 * _total(days, "failed") / streams,
        pause_p95_s=quantile(pauses_s, 0.95) or 0.0,
        read_again=_total(days, "read_again") / streams,
        preempted=_total(days, "preempted") / len(days),
        refused=100.0 * _total(days, "refused") / streams,
    )


def _total(days: Sequence[DayFigures], field: str) -> int:
    return sum(getattr(day, field) for day in days)
