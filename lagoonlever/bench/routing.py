"""Routing policies in one run: extra prefill, queue wait, spread of load, by the reports' lag.

The decision code of nine routers runs against queues in virtual time; each
policy gets the same arrivals. Then the subsets of 400 routers over 600 targets.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.bench.routing_model import BLOCK_TOKENS, ENGINES, ROUTERS, RoutingRun, Work
from lagoonlever.bench.statistics import quantile
from lagoonlever.decisions.routing.subsets import grouped_subset, rendezvous_subset

POLICIES = ("random", "round_robin", "least_loaded", "least_in_flight", "affinity")
LAGS_S = (0.0, 1.0, 5.0)
RUN_S = 400.0
QUICK_RUN_S = 120.0
WARM_UP_SHARE = 0.25
ARRIVALS_PER_S = 22.0
ORGANISATIONS = 10
ORGANISATION_BLOCKS = 32
SUBJECTS = 400
SUBJECT_BLOCKS = 64
SUBJECT_SKEW = 0.8
TAIL_BLOCKS = (8, 32)
SHORT_TOKENS = (50, 400)
LONG_TOKENS = (1000, 2000)
LONG_SHARE = 0.1

NODES_AT_SCALE = 400
TARGETS_AT_SCALE = 600
SUBSET_AT_SCALE = 48
MISSED_SHARE = 0.02

Subset = Callable[[str, Sequence[str], Sequence[str]], frozenset[str]]


@attrs.frozen(kw_only=True)
class PolicyRow:
    """What one policy did at one lag of the load reports."""

    lag_s: float = column("lag s", digits=0)
    policy: str = column("policy")
    extra_prefill: float = column("extra prefill %", digits=1)
    wait_p50_ms: float = column("queue wait p50 ms", digits=0)
    wait_p99_ms: float = column("queue wait p99 ms", digits=0)
    spread_mean: float = column("busiest / mean, mean", digits=2)
    spread_p99: float = column("busiest / mean, p99", digits=2)
    choice_us: float = column("choice p50 us", digits=0)


@attrs.frozen(kw_only=True)
class SubsetRow:
    """How evenly one way to choose subsets spreads routers over targets."""

    way: str = column("way")
    views: str = column("views")
    least: int = column("routers a target, least", digits=0)
    most: int = column("most", digits=0)
    most_share: float = column("most / mean", digits=2)
    moved: float = column("targets moved a router when one leaves", digits=2)
    meeting: int = column("targets that one prefix can meet", digits=0)


@benchmark("routing", summary="prefix affinity against plain policies, with late load reports")
def run(options: BenchOptions) -> BenchResult:
    """Measure the policies and the subsets."""
    seconds = QUICK_RUN_S if options.quick else RUN_S
    works = arrivals(random.Random(options.seed), seconds)
    rows = tuple(
        measure(policy, lag_s, works, seconds, options.seed)
        for lag_s in LAGS_S
        for policy in POLICIES
    )
    subsets = tuple(
        subset_row(way, subset, missed, random.Random(options.seed))
        for way, subset in _WAYS.items()
        for missed in (0.0, MISSED_SHARE)
    )
    return BenchResult(
        name="routing",
        tables=(
            Rows(title=f"{ROUTERS} routers, {ENGINES} engines, {seconds:g} s", rows=rows),
            Rows(title=f"{NODES_AT_SCALE} routers x {TARGETS_AT_SCALE} targets", rows=subsets),
        ),
        aims=_aims(rows),
        notes=(
            "virtual time; extra prefill is what was computed beyond one prefill of each block",
        ),
    )


def arrivals(rng: random.Random, seconds: float) -> list[Work]:
    """Give Poisson arrivals: an organisation's template, a subject's text, a tail of its own."""
    fresh = itertools.count(1)
    templates = [_new_blocks(fresh, ORGANISATION_BLOCKS) for _ in range(ORGANISATIONS)]
    subjects = [
        templates[index % ORGANISATIONS] + _new_blocks(fresh, SUBJECT_BLOCKS)
        for index in range(SUBJECTS)
    ]
    weights = [1.0 / (rank + 1) ** SUBJECT_SKEW for rank in range(SUBJECTS)]
    works = []
    now = 0.0
    while (now := now + rng.expovariate(ARRIVALS_PER_S)) < seconds:
        subject = rng.choices(subjects, weights)[0]
        tail = _new_blocks(fresh, rng.randint(*TAIL_BLOCKS))
        lengths = LONG_TOKENS if rng.random() < LONG_SHARE else SHORT_TOKENS
        works.append(
            Work(
                at=now,
                router=rng.randrange(ROUTERS),
                blocks=subject + tail,
                output_tokens=rng.randint(*lengths),
            )
        )
    return works


def measure(
    policy: str, lag_s: float, works: Sequence[Work], seconds: float, seed: int
) -> PolicyRow:
    """Run one policy at one lag."""
    routing = RoutingRun(policy=policy, load_lag_s=lag_s, seed=seed)
    warm_up_s = seconds * WARM_UP_SHARE
    routing.run(works, warm_up_s=warm_up_s)
    prefilled = sum(engine.prefill_tokens for engine in routing.engines)
    needed = _needed_tokens(works, warm_up_s)
    waits_s = [wait for engine in routing.engines for wait in engine.waits_s]
    return PolicyRow(
        lag_s=lag_s,
        policy=policy,
        extra_prefill=100.0 * (prefilled / needed - 1.0),
        wait_p50_ms=1000.0 * (quantile(waits_s, 0.5) or 0.0),
        wait_p99_ms=1000.0 * (quantile(waits_s, 0.99) or 0.0),
        spread_mean=sum(routing.spreads) / len(routing.spreads),
        spread_p99=quantile(routing.spreads, 0.99) or 0.0,
        choice_us=1e6 * (quantile(routing.choice_s, 0.5) or 0.0),
    )


def subset_row(way: str, subset: Subset, missed: float, rng: random.Random) -> SubsetRow:
    """Count the routers of each target, and what moves when one target leaves."""
    nodes = [f"vm-{index}" for index in range(NODES_AT_SCALE)]
    targets = [f"engine-{index}" for index in range(TARGETS_AT_SCALE)]
    used = [subset(node, _seen(nodes, missed, rng), targets) for node in nodes]
    counts = Counter(target for names in used for target in names)
    fewer = targets[:-1]
    after = [subset(node, nodes, fewer) for node in nodes]
    before = used if not missed else [subset(node, nodes, targets) for node in nodes]
    moved = sum(len(new - old) for old, new in zip(before, after, strict=True))
    routers = [counts.get(target, 0) for target in targets]
    return SubsetRow(
        way=way,
        views="same" if not missed else f"{missed:.0%} of VMs missed",
        least=min(routers),
        most=max(routers),
        most_share=max(routers) * TARGETS_AT_SCALE / sum(routers),
        moved=moved / NODES_AT_SCALE,
        meeting=len({min(names) for names in used}),
    )


def _grouped(node: str, nodes: Sequence[str], targets: Sequence[str]) -> frozenset[str]:
    names = grouped_subset(node=node, nodes=nodes, targets=targets, size=SUBSET_AT_SCALE)
    return names or frozenset(targets)


def _rendezvous(node: str, nodes: Sequence[str], targets: Sequence[str]) -> frozenset[str]:
    names = rendezvous_subset(node=node, targets=targets, size=SUBSET_AT_SCALE)
    return names or frozenset(targets)


_WAYS: dict[str, Subset] = {"rendezvous": _rendezvous, "groups": _grouped}


def _aims(rows: Sequence[PolicyRow]) -> tuple[Aim, ...]:
    def of(policy: str, lag_s: float) -> PolicyRow:
        return next(row for row in rows if row.policy == policy and row.lag_s == lag_s)

    return tuple(
        Aim(
            text=f"affinity's extra prefill against least loaded's, lag {lag_s:g} s",
            measured=of("affinity", lag_s).extra_prefill / of("least_loaded", lag_s).extra_prefill,
            bound=0.5,
            unit="times",
        )
        for lag_s in LAGS_S
    ) + tuple(
        Aim(
            text=f"affinity's queue wait p99 against the best other's, lag {lag_s:g} s",
            measured=of("affinity", lag_s).wait_p99_ms
            / min(of(policy, lag_s).wait_p99_ms for policy in POLICIES if policy != "affinity"),
            bound=1.0,
            unit="times",
        )
        for lag_s in LAGS_S
    )


def _needed_tokens(works: Sequence[Work], warm_up_s: float) -> int:
    """Give the tokens of one prefill of each block, the first use being after the warm-up."""
    seen: set[int] = set()
    needed = 0
    for work in works:
        new = [block for block in work.blocks if block not in seen]
        seen.update(new)
        if work.at > warm_up_s:
            needed += len(new) * BLOCK_TOKENS
    return needed


def _seen(nodes: Sequence[str], missed: float, rng: random.Random) -> list[str]:
    return [node for node in nodes if rng.random() >= missed]


def _new_blocks(fresh: itertools.count[int], count: int) -> tuple[int, ...]:
    return tuple(next(fresh) for _ in range(count))
