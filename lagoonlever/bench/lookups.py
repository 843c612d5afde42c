"""Lookups over sockets: one of three runners stalled, and twice the load that runners carry.

The entry VMs' own code calls stand-in runners, all in one process. Arrivals
are a Poisson process that does not wait for answers.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable

import attrs
import trio

from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.decisions.admission.runners import TARGET_LATENCY_S, Runners
from lagoonlever.decisions.shares.budgets import FULL_RATIO, RetryBudget
from lagoonlever.decisions.targets.targets import Target, TargetKind
from lagoonlever.entry.services.answers import ComeBack
from lagoonlever.entry.services.call import ServiceCall
from lagoonlever.entry.services.lookups import Lookups
from lagoonlever.entry.services.rests import ServiceRests
from lagoonlever.entry.services.settings import ServiceSettings
from lagoonlever.fakes.application import ApplicationOptions, FakeApplication
from lagoonlever.fakes.entry_parts import FixedTargets
from lagoonlever.fakes.faults import FaultKind, FaultOrder
from lagoonlever.http.messages import Address, Headers, Request
from lagoonlever.http.server import open_listeners
from lagoonlever.outcomes import OutcomeTag
from lagoonlever.timers import TimerService

HOST = "127.0.0.1"
RUNNERS = 3
VMS = 9
ITEMS = 1000
ENDLESS_RATIO = 1000.0
"""One success fills the whole budget of an organisation."""
NEVER_S = 60.0
WARM_UP_S = 2.0
AMPLIFICATION_BOUND = 1.1


class Way(enum.Enum):
    """How extra attempts are allowed."""

    NONE = "no hedge"
    UNBOUNDED = "hedged, no budget"
    BUDGETED = "hedged out of budgets"


class EndlessBudget(RetryBudget):
    """Allows every extra attempt: the baseline that budgets are measured against."""

    @property
    def allows(self) -> bool:
        """Whether an extra attempt may be taken: always."""
        return True


@attrs.frozen(kw_only=True)
class Load:
    """One load on the runners: calls a second over all VMs, and what the runners are like."""

    title: str
    rate: float
    seconds: float
    stalled: int
    limited: bool
    application: ApplicationOptions


@attrs.frozen(kw_only=True)
class LookupRow:
    """What one way made of one load."""

    load: str = column("load")
    way: str = column("extra attempts")
    calls: int = column("calls", digits=0)
    answered: float = column("answered /s", digits=1)
    p50_ms: float = column("p50 ms", digits=1)
    p99_ms: float = column("p99 ms", digits=1)
    p999_ms: float = column("p99.9 ms", digits=1)
    unanswered: int = column("no answer", digits=0)
    refused: int = column("refused at once", digits=0)
    amplification: float = column("attempts per call sent", digits=3)


@attrs.define(kw_only=True)
class Tally:
    """What the callers saw after the warm-up."""

    latencies: list[float] = attrs.field(factory=list)
    calls: int = 0
    unanswered: int = 0
    refused: int = 0

    def quantile_ms(self, quantile: float) -> float:
        """Give a quantile of the latencies of calls that were sent."""
        if not self.latencies:
            return float("nan")
        ordered = sorted(self.latencies)
        return 1000 * ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _lookups(
    way: Way, targets: FixedTargets, settings: ServiceSettings, rng: random.Random
) -> Lookups:
    unbounded = way is Way.UNBOUNDED
    new_budget: Callable[[], RetryBudget] = EndlessBudget if unbounded else RetryBudget
    ratio = ENDLESS_RATIO if unbounded else FULL_RATIO
    return Lookups(
        guard=targets,
        runners=Runners(
            rng=rng,
            max_outstanding=settings.max_outstanding,
            target_s=settings.lookup_target_s,
            new_budget=new_budget,
        ),
        timers=TimerService(),
        rests=ServiceRests(timers=TimerService()),
        settings=settings,
        come_back=ComeBack(base_s=settings.retry_after_s, rng=rng),
        retry_ratio_of=lambda organisation: ratio,
    )


def _call(settings: ServiceSettings, item: int) -> ServiceCall:
    path = f"/prices/{item}"
    request = Request(method="GET", path=path, query={}, headers=Headers(), body=b"", peer="caller")
    service = settings.services[0]
    return ServiceCall(
        service=service, request=request, path=path, organisation="clerks", deadline=None
    )


async def _one(vm: Lookups, call: ServiceCall, tally: Tally | None) -> None:
    began = trio.current_time()
    answer = await vm.call(call)
    if tally is None:
        return
    tally.calls += 1
    if answer.outcome.tag is OutcomeTag.NOT_RUN:
        tally.refused += 1
        return
    tally.latencies.append(trio.current_time() - began)
    if answer.outcome.tag is not OutcomeTag.DONE:
        tally.unanswered += 1


async def _arrivals(
    vms: list[Lookups], load: Load, settings: ServiceSettings, tally: Tally | None, seconds: float
) -> None:
    rng = random.Random(7)
    due = trio.current_time()
    end = due + seconds
    async with trio.open_nursery() as nursery:
        while due < end:
            await trio.sleep_until(due)
            call = _call(settings, rng.randrange(ITEMS))
            nursery.start_soon(_one, rng.choice(vms), call, tally)
            due += rng.expovariate(load.rate)


async def _start(nursery: trio.Nursery, app: FakeApplication, name: str) -> Target:
    listeners = await open_listeners(host=HOST, port=0)
    nursery.start_soon(app.run, listeners)
    address = Address(host=HOST, port=listeners[0].socket.getsockname()[1])
    return Target(name=name, address=address, kind=TargetKind.APPLICATION)


async def _measure(load: Load, way: Way, seed: int) -> LookupRow:
    settings = ServiceSettings(
        hedge=way is not Way.NONE, lookup_target_s=TARGET_LATENCY_S if load.limited else NEVER_S
    )
    apps = [FakeApplication(options=load.application) for _ in range(RUNNERS)]
    tally = Tally()
    async with trio.open_nursery() as nursery:
        targets = FixedTargets(
            targets=tuple([await _start(nursery, app, f"a{i}") for i, app in enumerate(apps)])
        )
        vms = [_lookups(way, targets, settings, random.Random(seed + i)) for i in range(VMS)]
        await _arrivals(vms, load, settings, None, WARM_UP_S)
        sent_before = sum(vm.counts.sent for vm in vms)
        extra_before = sum(vm.counts.extra_attempts for vm in vms)
        for app in apps[: load.stalled]:
            app.inject(FaultOrder(kind=FaultKind.FREEZE))
        await _arrivals(vms, load, settings, tally, load.seconds)
        for vm in vms:
            await vm.aclose()
        nursery.cancel_scope.cancel()
    sent = sum(vm.counts.sent for vm in vms) - sent_before
    extra = sum(vm.counts.extra_attempts for vm in vms) - extra_before
    return LookupRow(
        load=load.title,
        way=way.value,
        calls=tally.calls,
        answered=(len(tally.latencies) - tally.unanswered) / load.seconds,
        p50_ms=tally.quantile_ms(0.5),
        p99_ms=tally.quantile_ms(0.99),
        p999_ms=tally.quantile_ms(0.999),
        unanswered=tally.unanswered,
        refused=tally.refused,
        amplification=(sent + extra) / max(1, sent),
    )


def _loads(*, quick: bool) -> tuple[Load, ...]:
    seconds = 4.0 if quick else 30.0
    calm = ApplicationOptions(service_s=0.005, slots=32)
    small = ApplicationOptions(service_s=0.040, slots=4)
    well = Load(
        title="all well", rate=150, seconds=seconds, stalled=0, limited=True, application=calm
    )
    twice = Load(
        title="twice the load",
        rate=600,
        seconds=seconds / 2,
        stalled=0,
        limited=True,
        application=small,
    )
    return (
        well,
        attrs.evolve(well, title="one of three stalled", stalled=1),
        attrs.evolve(twice, title="twice the load, calls not limited", limited=False),
        twice,
    )


@benchmark("lookups", summary="Latency with a stalled runner; retry amplification in overload.")
def run(options: BenchOptions) -> BenchResult:
    """Measure each way under each load."""
    rows = tuple(
        trio.run(_measure, load, way, options.seed)
        for load in _loads(quick=options.quick)
        for way in Way
    )
    budgeted = rows[-1]
    return BenchResult(
        name="lookups",
        tables=(Rows(title=f"{RUNNERS} runners, {VMS} VMs, one process", rows=rows),),
        aims=(
            Aim(
                text="retry amplification at twice the load",
                measured=budgeted.amplification,
                bound=AMPLIFICATION_BOUND,
                unit="attempts per call",
            ),
        ),
        notes=(
            "the runners' work is 5 ms, 40 ms in overload",
            "a call that was sent and got no answer counts with the time it waited",
        ),
    )
