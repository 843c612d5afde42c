"""Benchmark ``resume``: resume latency against extra resource use, by way to detect death.

First a model in virtual time with hundreds of deaths a setting, then the real
entry code against in-process stand-in engines. Extra use is engine tokens
computed beyond what a run without failures needs.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

import attrs
import trio

from lagoonlever.bench.report import Aim, BenchOptions, BenchResult, Rows, benchmark, column
from lagoonlever.bench.resume_live import LiveOptions, LivePoint, LiveRun
from lagoonlever.bench.resume_model import EngineModel, EngineRun, FaultKind, Tally
from lagoonlever.bench.statistics import quantile
from lagoonlever.decisions.suspicion.budget import HedgeBudget
from lagoonlever.decisions.suspicion.settings import (
    HEDGE_OFF,
    HEDGE_RACE,
    LOW_LATENCY,
    NO_HEDGING,
    DetectionSettings,
)

KILL_AIM_S = 0.3
FREEZE_AIM_S = 2.0
EXTRA_AIM_PERCENT = 1.0
P99 = 0.99
WARM_UP_S = (20.0, 40.0)
AFTER_FAULT_S = 30.0
FREE_RUNS = 4
BASELINE = "baseline: closed, or 10 s"


@attrs.frozen(kw_only=True)
class Way:
    """One way to detect death, with its thresholds."""

    name: str
    settings: DetectionSettings


@attrs.frozen(kw_only=True)
class CurvePoint:
    """One way's place on the curve; latencies in seconds beyond the new engine's prefill."""

    way: str = column("way")
    deaths: int = column("deaths each", digits=0)
    kill_p99_s: float | None = column("kill p99 s", digits=2)
    freeze_p50_s: float | None = column("freeze p50 s", digits=2)
    freeze_p99_s: float | None = column("freeze p99 s", digits=2)
    slow_p50_s: float | None = column("slow p50 s", digits=2)
    slow_left: float = column("slow left", digits=2)
    """Share of the streams of a slow engine that were moved before their end."""
    extra_percent: float = column("extra % no failure", digits=2)
    false_hedges: int = column("false hedges", digits=0)
    false_switches: int = column("false switches", digits=0)
    generations: int = column("of generations", digits=0)


def _fixed(timeout_s: float) -> Way:
    settings = DetectionSettings(method="fixed", fixed_timeout_s=timeout_s, hedge=HEDGE_OFF)
    return Way(name=f"fixed {timeout_s:g} s", settings=settings)


def _learnt(method: str, dead_s: float, suspect_share: float | None) -> Way:
    settings = DetectionSettings(
        method=method,
        dead_at_least_s=dead_s,
        dead_at_most_s=max(DetectionSettings().dead_at_most_s, dead_s),
        suspect_share=suspect_share or DetectionSettings().suspect_share,
        hedge=HEDGE_RACE if suspect_share else HEDGE_OFF,
    )
    hedge = f", hedge at {suspect_share:g}" if suspect_share else ""
    return Way(name=f"{method} {dead_s:g} s{hedge}", settings=settings)


def ways(*, quick: bool) -> Iterator[Way]:
    """Give the ways compared; the first is the baseline."""
    yield Way(name=BASELINE, settings=_fixed(10.0).settings)
    yield Way(name="Motus: least extra use", settings=NO_HEDGING)
    yield Way(name="Sembrani: low latency", settings=LOW_LATENCY)
    if quick:
        return
    for timeout_s in (0.5, 1.0, 2.0, 5.0):
        yield _fixed(timeout_s)
    for method in ("gap", "pooled"):
        for dead_s in (0.6, 0.8, 1.0, 1.6):
            yield _learnt(method, dead_s, None)
        for dead_s, share in ((0.8, 0.5), (1.3, 0.4), (1.3, 0.6)):
            yield _learnt(method, dead_s, share)


@attrs.define(kw_only=True)
class CurveRun:
    """Measures ways over the same faults and the same random draws."""

    _options: BenchOptions
    _model: EngineModel = attrs.field(factory=EngineModel)

    @property
    def model(self) -> EngineModel:
        """The model's figures."""
        return self._model

    @property
    def deaths(self) -> int:
        """How many streams each fault hits, for each way."""
        return self._fault_runs * self._model.streams

    @property
    def _fault_runs(self) -> int:
        return 5 if self._options.quick else 25

    @property
    def _free_s(self) -> float:
        return 300.0 if self._options.quick else 1500.0

    def measure(self, way: Way) -> CurvePoint:
        """Measure one way."""
        kill = self._fault(way, FaultKind.KILL)
        freeze = self._fault(way, FaultKind.FREEZE)
        slow = self._fault(way, FaultKind.SLOW)
        free = self._failure_free(way)
        return CurvePoint(
            way=way.name,
            deaths=self.deaths,
            kill_p99_s=_latency(kill, P99),
            freeze_p50_s=_latency(freeze, 0.5),
            freeze_p99_s=_latency(freeze, P99),
            slow_p50_s=_latency(slow, 0.5),
            slow_left=len(slow.resume_s) / self.deaths,
            extra_percent=100 * free.extra_tokens / free.needed_tokens,
            false_hedges=free.false_hedges,
            false_switches=free.false_switches,
            generations=free.generations,
        )

    def _fault(self, way: Way, kind: FaultKind) -> Tally:
        tallies = []
        for index in range(self._fault_runs):
            rng = random.Random(f"{self._options.seed}/{index}")
            fault_s = rng.uniform(*WARM_UP_S)
            run = EngineRun(
                settings=way.settings,
                model=self._model,
                rng=rng,
                fault=kind,
                fault_s=fault_s,
                end_s=fault_s + AFTER_FAULT_S,
                budget=HedgeBudget(settings=way.settings),
            )
            tallies.append(run.run())
        return _sum(tallies)

    def _failure_free(self, way: Way) -> Tally:
        budget = HedgeBudget(settings=way.settings)
        tallies = []
        for index in range(FREE_RUNS):
            run = EngineRun(
                settings=way.settings,
                model=self._model,
                rng=random.Random(f"{self._options.seed}/free/{index}"),
                fault=FaultKind.NONE,
                fault_s=0.0,
                end_s=self._free_s,
                budget=budget,
            )
            tallies.append(run.run())
        return _sum(tallies)


def _sum(tallies: list[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total.resume_s += tally.resume_s
        total.not_resumed += tally.not_resumed
        total.needed_tokens += tally.needed_tokens
        total.extra_tokens += tally.extra_tokens
        total.false_hedges += tally.false_hedges
        total.false_switches += tally.false_switches
        total.generations += tally.generations
    return total


def _latency(tally: Tally, share: float) -> float | None:
    """Give a quantile of the latencies; None where it falls on a stream that never went on."""
    missing = [math.inf] * tally.not_resumed
    latency = quantile([*tally.resume_s, *missing], share)
    return None if latency == math.inf else latency


def _model_aims(points: list[CurvePoint]) -> Iterator[Aim]:
    for point in points[1:3]:
        yield _aim(point.way, "model, kill p99", point.kill_p99_s, KILL_AIM_S, "s")
        yield _aim(point.way, "model, freeze p99", point.freeze_p99_s, FREEZE_AIM_S, "s")
        yield _aim(point.way, "model, no failure", point.extra_percent, EXTRA_AIM_PERCENT, "%")


def _live_aims(points: list[LivePoint]) -> Iterator[Aim]:
    bounds = {FaultKind.KILL.value: KILL_AIM_S, FaultKind.FREEZE.value: FREEZE_AIM_S}
    for point in points:
        if point.way == BASELINE:
            continue
        if point.fault in bounds:
            text = f"live, {point.fault} p99"
            yield _aim(point.way, text, point.p99_s, bounds[point.fault], "s")
        elif point.fault == FaultKind.NONE.value:
            yield _aim(point.way, "live, no failure", point.extra_percent, EXTRA_AIM_PERCENT, "%")


def _aim(way: str, text: str, measured: float | None, bound: float, unit: str) -> Aim:
    return Aim(text=f"{way}: {text}", measured=measured, bound=bound, unit=unit)


def _live(options: BenchOptions) -> list[LivePoint]:
    chosen = list(ways(quick=True))
    faults = list(FaultKind)
    live = LiveOptions()
    if options.quick:
        chosen, faults, live = chosen[2:], [FaultKind.KILL, FaultKind.FREEZE], LiveOptions(faults=1)
    return [
        trio.run(
            LiveRun(
                name=way.name,
                detection=way.settings,
                fault=fault,
                seed=options.seed,
                options=live,
            ).run
        )
        for way in chosen
        for fault in faults
        if way.name != BASELINE or fault in (FaultKind.KILL, FaultKind.FREEZE)
    ]


@benchmark("resume", summary="Resume latency against extra use, by way to detect death.")
def run(options: BenchOptions) -> BenchResult:
    """Measure every way on the model, and the chosen ones through the entry code."""
    curve = CurveRun(options=options)
    points = [curve.measure(way) for way in ways(quick=options.quick)]
    live = _live(options)
    return BenchResult(
        name="resume",
        tables=(
            Rows(title="model of one engine, virtual time", rows=tuple(points)),
            Rows(title="entry code over sockets, four engines", rows=tuple(live)),
        ),
        aims=(*_model_aims(points), *_live_aims(live)),
        notes=(
            f"model: {curve.model}",
            "kill and freeze of the live runs need the resumed prefixes' prefill: their extra "
            "use is no waste",
        ),
    )
