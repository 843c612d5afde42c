"""Which runners of services asked for rest as they refused a request, so that they get none."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

from lagoonlever.decisions.targets.backoffs import BackoffTargets
from lagoonlever.http.client import Response
from lagoonlever.outcomes import RETRY_AFTER_HEADER
from lagoonlever.timers import TimerService

REFUSED_FOR_LOAD = frozenset({429, 503})
MOST_REST_S = 3_600.0
"""A runner that wants nothing for longer is wrong about it: it would be gone by then."""


@attrs.define(kw_only=True)
class ServiceRests:
    """Shared by all that send requests to runners."""

    _timers: TimerService
    _resting: BackoffTargets = attrs.field(factory=BackoffTargets)

    def note(self, runner: str, response: Response) -> None:
        """Take how long a runner wants nothing, if its answer says so."""
        rest_s = _rest_s(response)
        if rest_s:
            self._resting.expire(self._timers.now)
            self._resting.record(runner, rest_s, self._timers.now)

    def awake(self, names: Iterable[str]) -> tuple[str, ...]:
        """Give the runners that have not asked for rest, or whose rest is over."""
        now = self._timers.now
        return tuple(name for name in names if not self._resting.remaining_s(name, now))

    def is_awake(self, name: str) -> bool:
        """Tell whether a runner takes a request; asked again right before each write."""
        return not self._resting.remaining_s(name, self._timers.now)


def _rest_s(response: Response) -> float | None:
    text = response.headers.get(RETRY_AFTER_HEADER)
    if response.status not in REFUSED_FOR_LOAD or text is None:
        return None
    try:
        rest_s = float(text)
    except ValueError:
        rest_s = math.nan
    # A date, as HTTP allows here, says nothing to a VM whose time of day may be wrong.
    return rest_s if 0 < rest_s <= MOST_REST_S else None
