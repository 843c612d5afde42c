"""Which engines of a service are fast or slow, and which are slow just now.

The load that is answered: engines of one service take 0.7 or 1.7 times the usual time, and
each machine is several times slower for moments of some 0.6 s. A stream that goes to the
least busy engine goes to a slow one a third of the time, and waits there for a second more.
Only engines that tell how slow their machines are count as uneven; all others are judged as
alike but for those that are far slower than their service.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.engine_timings import EngineTimings
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives
from lagoonlever.decisions.targets.load_estimate import LoadSource
from lagoonlever.decisions.targets.load_view import MOMENT_S, TargetLoads

LEFT_OF_MOMENT_S = MOMENT_S / 2
"""A word is told at any time of a moment."""


@attrs.frozen(kw_only=True)
class EngineSeen:
    """What a choice knew of an engine."""

    engine: str
    pace: float
    """How many times as long as its service it takes."""
    slowness: float
    """Of its machine, as it counts now."""
    age_s: float | None
    """Of its word; None where it has told nothing."""
    source: LoadSource


@attrs.frozen(kw_only=True)
class UnevenChoice:
    """A choice that would be another one among engines that are alike."""

    taken: EngineSeen
    passed_over: EngineSeen


@attrs.define(kw_only=True)
class UnevenEngines:
    """What engines have shown and told; times are seconds of the monotonic clock."""

    _paces: EngineTimings
    _loads: TargetLoads

    def counts(self, engine: str) -> bool:
        """Tell whether an engine is judged by its own pace."""
        return self._loads.tells_slowness(engine) and _by_own_pace()

    def relative(self, service: str, engine: str, now: float) -> float:
        """Give how many times as long as its service an engine takes."""
        if not self.counts(engine):
            return 1.0
        return self._paces.relative(service, engine, now)

    def reading_s(self, service: str, engine: str, tokens: int, now: float) -> float:
        """Give the seconds that an engine takes to read so many tokens of a prompt."""
        if not self.counts(engine):
            return self._paces.reading_s(service, engine, tokens, now)
        usual_s = tokens * self._paces.prompt_token_s(service)
        return usual_s * self._paces.relative(service, engine, now)

    def moment_s(self, engine: str, work_s: float, now: float) -> float:
        """Give what a slow moment adds to some work: no more than is left of the moment."""
        if not self.counts(engine):
            return 0.0
        return _lost_s(work_s, self._loads.slowness(engine, now))

    def seen(self, service: str, engine: str, now: float) -> EngineSeen:
        """Give what is known of an engine, to tell of a choice."""
        known = self._loads.estimate(engine, now)
        return EngineSeen(
            engine=engine,
            pace=self.relative(service, engine, now),
            slowness=known.slowness,
            age_s=None if known.source is LoadSource.NONE else known.age_s,
            source=known.source,
        )


@MECHANISMS.register(
    "engine-own-pace",
    does="streams go by the own pace of engines that tell how slow their machines are",
    without="by the pace of the service, but for engines that are far slower",
    plain=gives(False),
)
def _by_own_pace() -> bool:
    return True


@MECHANISMS.register(
    "slow-moments",
    does="a stream goes past an engine whose machine has just told that it is slow",
    without="only what engines have shown counts",
    plain=gives(0.0),
)
def _lost_s(work_s: float, slowness: float) -> float:
    lost_s = LEFT_OF_MOMENT_S * (1.0 - 1.0 / max(1.0, slowness))
    return min(lost_s, work_s * max(0.0, slowness - 1.0))
