"""Service-level burn by the multi-window, multi-burn-rate method; pure reckoning.

The burn rate is the part of bad events divided by the part that the objective
allows: at 1 the error budget lasts exactly the period. An alert fires when both
the long and the short window burn faster than the pair's threshold: the long one
shows that the loss matters, the short one that it still goes on.
"""

from __future__ import annotations

import bisect
import enum
import itertools
from collections.abc import Iterable, Mapping

import attrs

DEFAULT_PERIOD_S = 30 * 24 * 3600.0
TIMELINE_POINTS = 200


class Severity(enum.Enum):
    """What a firing alert asks for."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@attrs.frozen(kw_only=True)
class WindowPair:
    """A long and a short window, as parts of the period, and the rate that fires for both."""

    long_part: float
    short_part: float
    threshold: float
    severity: Severity


WINDOW_PAIRS = (
    WindowPair(long_part=1 / 720, short_part=1 / 8640, threshold=14.4, severity=Severity.PAGE),
    WindowPair(long_part=1 / 120, short_part=1 / 1440, threshold=6.0, severity=Severity.PAGE),
    WindowPair(long_part=1 / 10, short_part=1 / 120, threshold=1.0, severity=Severity.TICKET),
)
"""For a period of 30 days: 1 h and 5 min, 6 h and 30 min, 3 days and 6 h."""


@attrs.frozen(kw_only=True)
class SeriesKey:
    """Whose events, and which objective they count towards."""

    organisation: str
    objective: str


@attrs.frozen(kw_only=True)
class Tally:
    """Good and bad events at one time, in seconds of the source's clock."""

    at: float
    key: SeriesKey
    good: int = 0
    bad: int = 0


@attrs.frozen(kw_only=True)
class WindowBurn:
    """The burn of one pair of windows; lengths in seconds."""

    long_s: float
    short_s: float
    threshold: float
    severity: Severity
    long_rate: float
    short_rate: float

    @property
    def fires(self) -> bool:
        """Whether both windows burn at the threshold or faster."""
        return min(self.long_rate, self.short_rate) >= self.threshold


@attrs.frozen(kw_only=True)
class Burn:
    """One organisation's burn of one objective, over the period that ends at ``now``."""

    organisation: str
    objective: str
    goal: float
    good: int
    bad: int
    budget_spent: float
    """Part of the period's budget that its bad events used, by the events seen so far."""
    windows: tuple[WindowBurn, ...]
    severity: Severity


@attrs.frozen(kw_only=True)
class BurnPoint:
    """The burn rate over the window that ends at ``at``."""

    at: float
    rate: float


class Series:
    """The tallies of one key in the order of time, with their running sums."""

    def __init__(self, tallies: Iterable[Tally]) -> None:
        ordered = sorted(tallies, key=lambda tally: tally.at)
        self._times = [tally.at for tally in ordered]
        self._good = [0, *itertools.accumulate(tally.good for tally in ordered)]
        self._bad = [0, *itertools.accumulate(tally.bad for tally in ordered)]

    def counts(self, *, start: float, end: float) -> tuple[int, int]:
        """Give the good and the bad events after ``start`` up to and with ``end``."""
        first = bisect.bisect_right(self._times, start)
        last = bisect.bisect_right(self._times, end)
        return self._good[last] - self._good[first], self._bad[last] - self._bad[first]

    def rate(self, *, start: float, end: float, goal: float) -> float:
        """Give the burn rate of a window; 0 where it holds no events."""
        good, bad = self.counts(start=start, end=end)
        return burn_rate(good=good, bad=bad, goal=goal)


def burn_rate(*, good: int, bad: int, goal: float) -> float:
    """Give how many times faster than allowed the error budget burns."""
    total = good + bad
    return 0.0 if total == 0 else bad / total / (1 - goal)


def series_by_key(tallies: Iterable[Tally]) -> dict[SeriesKey, Series]:
    """Sort tallies into the series of each organisation and objective."""
    grouped: dict[SeriesKey, list[Tally]] = {}
    for tally in tallies:
        grouped.setdefault(tally.key, []).append(tally)
    return {key: Series(grouped[key]) for key in sorted(grouped, key=_order)}


def burns(
    series: Mapping[SeriesKey, Series],
    *,
    goals: Mapping[str, float],
    now: float,
    period_s: float = DEFAULT_PERIOD_S,
) -> tuple[Burn, ...]:
    """Give the burn of every series whose objective has a goal."""
    return tuple(
        _burn(key, one, goal=goals[key.objective], now=now, period_s=period_s)
        for key, one in series.items()
        if key.objective in goals
    )


def timeline(
    series: Series, *, goal: float, start: float, end: float, window_s: float
) -> tuple[BurnPoint, ...]:
    """Give the burn rate of a sliding window at even steps from start to end."""
    step = (end - start) / TIMELINE_POINTS
    times = [start + step * place for place in range(TIMELINE_POINTS + 1)]
    return tuple(
        BurnPoint(at=at, rate=series.rate(start=at - window_s, end=at, goal=goal)) for at in times
    )


def _burn(key: SeriesKey, series: Series, *, goal: float, now: float, period_s: float) -> Burn:
    good, bad = series.counts(start=now - period_s, end=now)
    windows = tuple(
        _window(pair, series, goal=goal, now=now, period_s=period_s) for pair in WINDOW_PAIRS
    )
    return Burn(
        organisation=key.organisation,
        objective=key.objective,
        goal=goal,
        good=good,
        bad=bad,
        budget_spent=burn_rate(good=good, bad=bad, goal=goal),
        windows=windows,
        severity=_severity(windows),
    )


def _window(
    pair: WindowPair, series: Series, *, goal: float, now: float, period_s: float
) -> WindowBurn:
    long_s, short_s = pair.long_part * period_s, pair.short_part * period_s
    return WindowBurn(
        long_s=long_s,
        short_s=short_s,
        threshold=pair.threshold,
        severity=pair.severity,
        long_rate=series.rate(start=now - long_s, end=now, goal=goal),
        short_rate=series.rate(start=now - short_s, end=now, goal=goal),
    )


def _severity(windows: Iterable[WindowBurn]) -> Severity:
    firing = {window.severity for window in windows if window.fires}
    if Severity.PAGE in firing:
        return Severity.PAGE
    return Severity.TICKET if firing else Severity.NONE


def _order(key: SeriesKey) -> tuple[str, str]:
    return key.organisation, key.objective
