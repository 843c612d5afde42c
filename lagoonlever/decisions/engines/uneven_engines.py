"""Speed of engines that differ within one service, and their short slow periods.

Engines of one service may take 0.7 or 1.7 times the usual time, and each machine is several times
slower for periods of some 0.6 s. A stream that goes to the least busy engine goes to a slow one a
third of the time, and waits there for a second more. Only engines that report the slowdown factor
of their machines are judged by their own timings. All others are taken to be equal, except those
that are far slower than their service.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.engine_timings import EngineTimings
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.targets.load_estimate import LoadSource
from lagoonlever.decisions.targets.load_view import SLOWDOWN_DURATION_S, TargetLoads

SLOW_PERIOD_LEFT_S = SLOWDOWN_DURATION_S / 2
"""Mean remaining time of a slow period, as a report may come at any time within it."""


@attrs.frozen(kw_only=True)
class EngineSnapshot:
    """What was known of an engine when a choice was made."""

    engine: str
    pace: float
    """Ratio of its time per token to the usual one of its service."""
    slowness: float
    """Present slowdown factor of its machine; 1.0 is usual speed."""
    age_s: float | None
    """Age of its last load report; None if there was none."""
    source: LoadSource


@attrs.frozen(kw_only=True)
class UnevenChoice:
    """A choice that would have been another one if all engines were equally fast."""

    taken: EngineSnapshot
    passed_over: EngineSnapshot


@attrs.define(kw_only=True)
class UnevenEngines:
    """Measured timings and reported slowdown factors; ``now`` is the monotonic clock."""

    _timings: EngineTimings
    _loads: TargetLoads

    def uses_own_timings(self, engine: str) -> bool:
        """Check whether an engine is judged by its own timings, as it reports its slowdown."""
        return self._loads.reports_slowness(engine) and _own_timings_enabled()

    def relative_time(self, service: str, engine: str, now: float) -> float:
        """Return the ratio of an engine's time per token to the usual one of its service."""
        if not self.uses_own_timings(engine):
            return 1.0
        return self._timings.relative_time(service, engine, now)

    def prefill_s(self, service: str, engine: str, tokens: int, now: float) -> float:
        """Return the seconds that an engine takes for the prefill of so many prompt tokens."""
        if not self.uses_own_timings(engine):
            return self._timings.prefill_s(service, engine, tokens, now)
        usual_s = tokens * self._timings.prompt_token_s(service)
        return usual_s * self._timings.relative_time(service, engine, now)

    def slow_period_delay_s(self, engine: str, work_s: float, now: float) -> float:
        """Return what a slow period adds to some work: at most what is left of the period."""
        if not self.uses_own_timings(engine):
            return 0.0
        return _delay_s(work_s, self._loads.slowness(engine, now))

    def snapshot(self, service: str, engine: str, now: float) -> EngineSnapshot:
        """Return what is known of an engine, for the report of a choice."""
        known = self._loads.estimate(engine, now)
        return EngineSnapshot(
            engine=engine,
            pace=self.relative_time(service, engine, now),
            slowness=known.slowness,
            age_s=None if known.source is LoadSource.NONE else known.age_s,
            source=known.source,
        )


@MECHANISMS.register(
    "engine-own-pace",
    does="engines that report their slowdown factor are judged by their own timings",
    without="the timings of the service count, except for engines that are far slower",
    plain=gives(False),
)
def _own_timings_enabled() -> bool:
    return True


@MECHANISMS.register(
    "slow-moments",
    does="a stream avoids an engine whose machine has just reported that it is slow",
    without="only the measured timings of engines count",
    plain=gives(0.0),
)
def _delay_s(work_s: float, slowness: float) -> float:
    """Return the delay of some work by a machine's slowdown factor.

    It is at most the part of ``SLOW_PERIOD_LEFT_S`` that a machine at that factor loses.
    """
    max_delay_s = SLOW_PERIOD_LEFT_S * (1.0 - 1.0 / max(1.0, slowness))
    return min(max_delay_s, work_s * max(0.0, slowness - 1.0))
