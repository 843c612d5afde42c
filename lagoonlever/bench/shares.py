"""Shares of a pool among ten organisations at nine routers, against simpler ways to share."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.bench.report import (
    Aim,
    BenchOptions,
    BenchResult,
    Rows,
    benchmark,
    column,
)
from lagoonlever.bench.shares_costs import (
    measure_costs,
    measure_memory,
    measure_slopes,
    ways_at_scale,
)
from lagoonlever.bench.shares_model import POLICIES, SHARES, PolicyKind
from lagoonlever.bench.shares_scenarios import (
    QUICK,
    Failure,
    Steady,
    Windows,
    demand_returns,
    router_dies,
    routers_cut,
    smallest_caller,
    steady,
    weight_grows,
)

SEEDS = 2
CONVERGE_AIM_S = 5.0
STEADY_AIM_PERCENT = 5.0
BYTES_AIM = 3000.0


@attrs.frozen(kw_only=True)
class PolicyRow:
    """One way to share, the worst over the seeds."""

    policy: str = column("way")
    worst_percent: float = column("worst share off, steady flood, %", digits=1)
    idle_percent: float = column("slots idle, %", digits=1)
    demand_s: float | None = column("demand back: s to converge", digits=1)
    short_demand_s: float | None = column("same without minutes, s", digits=1)
    weight_s: float | None = column("weight x4: s to converge", digits=1)
    wait_s: float = column("smallest caller's longest wait, s", digits=1)


@attrs.frozen(kw_only=True)
class FailureRow:
    """Worst difference of a share in windows of a failure, the worst over the seeds."""

    failure: str = column("failure")
    before_percent: float = column("before, %", digits=1)
    during_percent: float = column("during, %", digits=1)
    after_percent: float = column("after, %", digits=1)


@benchmark("shares", summary="Fair shares at nine routers, in virtual time, with baselines.")
def run(options: BenchOptions) -> BenchResult:
    """Measure shares, convergence, waits, failures and control bytes."""
    windows = QUICK if options.quick else Windows()
    seeds = [options.seed + number for number in range(1 if options.quick else SEEDS)]
    floods = {kind.name: [steady(kind, seed, windows) for seed in seeds] for kind in POLICIES}
    policies = [_policy_row(kind, floods[kind.name], seeds, windows) for kind in POLICIES]
    failures = [
        _failure_row("router dead", [router_dies(SHARES, seed, windows) for seed in seeds]),
        _failure_row("three cut off", [routers_cut(SHARES, seed, windows) for seed in seeds]),
    ]
    slopes = measure_slopes()
    control = max(one.bytes_per_s for one in floods[SHARES.name])
    messages = max(one.messages_per_s for one in floods[SHARES.name])
    return BenchResult(
        name="shares",
        tables=(
            Rows(title="nine routers, 192 slots, a tenth of minutes", rows=tuple(policies)),
            Rows(title="failures, shares by work", rows=tuple(failures)),
            Rows(title="400 routers, 200 organisations", rows=tuple(ways_at_scale(slopes))),
            Rows(title="processor time", rows=tuple(measure_costs())),
            Rows(title="memory of one pool", rows=tuple(measure_memory())),
        ),
        aims=tuple(_aims(policies[0], control)),
        notes=(
            f"seeds {seeds}; windows {windows}",
            f"nine routers: {control:.0f} B/s and {messages:.1f} messages/s sent by a router, "
            "without frames",
            f"message: {slopes.fixed:.0f} B and {slopes.leaf:.1f} B a leaf, without frames",
        ),
    )


def _policy_row(
    kind: PolicyKind, floods: list[Steady], seeds: list[int], windows: Windows
) -> PolicyRow:
    return PolicyRow(
        policy=kind.name,
        worst_percent=100 * max(one.worst_error for one in floods),
        idle_percent=100 * max(one.idle_part for one in floods),
        demand_s=_worst(demand_returns(kind, seed, windows) for seed in seeds),
        short_demand_s=_worst(demand_returns(kind, seed, windows, long_part=0.0) for seed in seeds),
        weight_s=_worst(weight_grows(kind, seed, windows) for seed in seeds),
        wait_s=max(smallest_caller(kind, seed, windows) for seed in seeds),
    )


def _failure_row(name: str, failures: list[Failure]) -> FailureRow:
    return FailureRow(
        failure=name,
        before_percent=100 * max(one.before for one in failures),
        during_percent=100 * max(one.during for one in failures),
        after_percent=100 * max(one.after for one in failures),
    )


def _worst(values: Iterable[float | None]) -> float | None:
    known = list(values)
    measured = [value for value in known if value is not None]
    return max(measured) if len(measured) == len(known) else None


def _aims(shares: PolicyRow, control: float) -> Iterable[Aim]:
    yield Aim(
        text="worst share in a steady flood",
        measured=shares.worst_percent,
        bound=STEADY_AIM_PERCENT,
        unit="%",
    )
    for text, value in (
        ("demand", shares.demand_s),
        ("demand, no generations of minutes", shares.short_demand_s),
        ("weight", shares.weight_s),
    ):
        yield Aim(text=f"time to converge, {text}", measured=value, bound=CONVERGE_AIM_S, unit="s")
    yield Aim(text="control bytes of a router", measured=control, bound=BYTES_AIM, unit="B/s")
