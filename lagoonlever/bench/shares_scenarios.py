"""The scenarios of the shares benchmark: what each sets up and what it reads."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from lagoonlever.bench.shares_model import LONG_PART, ROUTERS, Organisation, PolicyKind
from lagoonlever.bench.shares_run import SharesRun, entitlements, worst_error

ORGANISATIONS = (
    Organisation(path="/large", weight=8),
    Organisation(path="/second", weight=6),
    Organisation(path="/third", weight=4, routers=(0, 1, 2, 3)),
    Organisation(path="/one-router", weight=2, routers=(4,)),
    Organisation(path="/spread", weight=2),
    Organisation(path="/e", weight=1, routers=(5,)),
    Organisation(path="/f", weight=1, routers=(6, 7)),
    Organisation(path="/g", weight=1),
    Organisation(path="/h", weight=0.5, routers=(8,)),
    Organisation(path="/small", weight=0.5, routers=(0,), long_part=0.0),
)
"""Ten organisations, a few of them large; their callers use all, some or one of the routers."""

BACK = "/second"
GROWING = "/spread"
GROWN_WEIGHT = 8.0
CALLER = "/small"
DEAD_ROUTER = 3
CUT_ROUTERS = (4, 5, 8)
CONVERGED = 0.9
"""A change has converged once the organisation gets this part of its entitlement."""
WINDOW_S = 10.0
"""It must get that over this much time from then on."""
SAMPLE_S = 0.5
SETTLE_S = 90.0


@attrs.frozen(kw_only=True)
class Windows:
    """How long the scenarios run, in seconds of virtual time."""

    warm_up_s: float = 120.0
    steady_s: float = 300.0
    lookups: int = 100
    failure_s: float = 120.0


QUICK = Windows(warm_up_s=40.0, steady_s=60.0, lookups=10, failure_s=40.0)


@attrs.frozen(kw_only=True)
class Steady:
    """A steady flood of all organisations."""

    worst_error: float
    idle_part: float
    bytes_per_s: float
    messages_per_s: float


def new_run(kind: PolicyKind, seed: int, *, long_part: float = LONG_PART) -> SharesRun:
    """Give a run of the ten organisations; ``long_part`` of their generations run for minutes."""
    organisations = {
        one.path: attrs.evolve(one, long_part=min(long_part, one.long_part))
        for one in ORGANISATIONS
    }
    return SharesRun(kind=kind, organisations=organisations, rng=random.Random(seed))


def steady(kind: PolicyKind, seed: int, windows: Windows) -> Steady:
    """All organisations flood; read each one's part of the work."""
    run = _flooded(kind, seed, windows)
    idle, sent, messages = run.idle_slot_seconds, sum(run.sent_bytes), run.sent_messages
    work = run.advance(windows.steady_s)
    slot_seconds = run.pool.slots * windows.steady_s
    router_seconds = ROUTERS * windows.steady_s
    return Steady(
        worst_error=worst_error(work, entitlements(ORGANISATIONS)),
        idle_part=(run.idle_slot_seconds - idle) / slot_seconds,
        bytes_per_s=(sum(run.sent_bytes) - sent) / router_seconds,
        messages_per_s=(run.sent_messages - messages) / router_seconds,
    )


def demand_returns(
    kind: PolicyKind, seed: int, windows: Windows, *, long_part: float = LONG_PART
) -> float | None:
    """Measure seconds until an organisation has back the slots that others had borrowed."""
    run = new_run(kind, seed, long_part=long_part)
    run.flooding = {one.path for one in ORGANISATIONS} - {BACK}
    run.advance(windows.warm_up_s)
    return _seconds_to_converge(run, BACK, lambda: run.flooding.add(BACK))


def weight_grows(kind: PolicyKind, seed: int, windows: Windows) -> float | None:
    """Measure seconds until an organisation whose weight grew fourfold has its slots."""
    run = _flooded(kind, seed, windows)
    return _seconds_to_converge(run, GROWING, lambda: run.set_weight(GROWING, GROWN_WEIGHT))


def smallest_caller(kind: PolicyKind, seed: int, windows: Windows) -> float:
    """One caller looks up again and again in the largest organisation's flood; longest wait."""
    run = new_run(kind, seed)
    run.flooding = {ORGANISATIONS[0].path}
    run.advance(windows.warm_up_s)
    longest = 0.0
    for _ in range(windows.lookups):
        job = run.ask(CALLER, 0)
        while job.started_at is None and run.now < job.asked_at + windows.warm_up_s:
            run.advance(0.1)
        started_at = run.now if job.started_at is None else job.started_at
        longest = max(longest, started_at - job.asked_at)
        run.advance(5.0)
    return longest


@attrs.frozen(kw_only=True)
class Failure:
    """Worst errors of shares: without a failure, during it, and after it."""

    before: float
    during: float
    after: float


def router_dies(kind: PolicyKind, seed: int, windows: Windows) -> Failure:
    """One router dies in a steady flood; its callers' requests come to the others."""
    run = _flooded(kind, seed, windows)
    entitled = entitlements(ORGANISATIONS)
    before = worst_error(run.advance(windows.failure_s), entitled)
    run.kill(DEAD_ROUTER)
    during = worst_error(run.advance(windows.failure_s), entitled)
    after = worst_error(run.advance(windows.failure_s), entitled)
    return Failure(before=before, during=during, after=after)


def routers_cut(kind: PolicyKind, seed: int, windows: Windows) -> Failure:
    """Three of nine routers lose the others, and some organisations use only these three."""
    run = _flooded(kind, seed, windows)
    entitled = entitlements(ORGANISATIONS)
    before = worst_error(run.advance(windows.failure_s), entitled)
    run.cut(CUT_ROUTERS)
    during = worst_error(run.advance(windows.failure_s), entitled)
    run.cut(())
    after = worst_error(run.advance(windows.failure_s), entitled)
    return Failure(before=before, during=during, after=after)


def _flooded(kind: PolicyKind, seed: int, windows: Windows) -> SharesRun:
    run = new_run(kind, seed)
    run.flooding = {one.path for one in ORGANISATIONS}
    run.advance(windows.warm_up_s)
    return run


def _seconds_to_converge(run: SharesRun, path: str, change: Callable[[], None]) -> float | None:
    change()
    entitled = entitlements(run.organisations.values())[path]
    works = [run.advance(SAMPLE_S) for _ in range(round((SETTLE_S + WINDOW_S) / SAMPLE_S))]
    own = [work.get(path, 0.0) for work in works]
    total = [sum(work.values()) for work in works]
    width = round(WINDOW_S / SAMPLE_S)
    for index in range(len(works) - width):
        part = sum(own[index : index + width]) / sum(total[index : index + width])
        if part >= CONVERGED * entitled:
            return index * SAMPLE_S
    return None
