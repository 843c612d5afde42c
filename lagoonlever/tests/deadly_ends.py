"""Engines that end under a request or a part, and the requests that reach others long after."""

from __future__ import annotations

from collections.abc import Callable

import trio

from lagoonlever.fakes.platform_engine import FakeEngine
from lagoonlever.tests.deadly_parts_tests import MOST_ENDED, PART
from lagoonlever.tests.gateway_site import GatewaySite

STABLE_S = 3.0
"""From the last end that is allowed until every VM refuses the request."""
BACK_S = 1.5
"""From an engine's end until it is back under its id."""


class Ends(list[str]):
    """Names of engines that ended, each of which may be back a moment later."""

    def __init__(
        self,
        site: GatewaySite,
        *,
        prepare: Callable[[FakeEngine], None] | None = None,
        on_end: Callable[[str], None] = lambda name: None,
    ) -> None:
        """Keep the ends of a site; with ``prepare`` engines are back, changed by it."""
        super().__init__()
        self._site = site
        self._prepare = prepare
        self._on_end = on_end
        self.at: list[float] = []
        """When they ended."""
        self._arrivals: set[float] = set()
        """When requests with the part had reached engines that have ended since."""

    def append(self, name: str) -> None:
        """Record an end, just before the engine's connections are closed."""
        super().append(name)
        self.at.append(trio.current_time())
        self._arrivals.update(_deadly_arrivals(self._site.engines[name]))
        self._on_end(name)
        if self._prepare is not None:
            self._site.nursery.start_soon(self._start_again, name, self._prepare)

    def late(self, most: int = MOST_ENDED) -> int:
        """Return how many requests have reached engines long after the last of ``most`` ends."""
        if len(self.at) < most:
            return 0
        arrivals = set(self._arrivals)
        for engine in self._site.engines.values():
            arrivals.update(_deadly_arrivals(engine))
        return sum(at > self.at[most - 1] + STABLE_S for at in arrivals)

    async def _start_again(self, name: str, prepare: Callable[[FakeEngine], None]) -> None:
        await trio.sleep(BACK_S)
        number = int(name.rpartition("-")[2])
        prepare(await self._site.start_engine(name, data_center=f"dc-{number % 3}"))


def _deadly_arrivals(engine: FakeEngine) -> list[float]:
    arrived = zip(engine.seen, engine.arrived_at, strict=True)
    return [at for headers, at in arrived if PART in (headers.get("Prompt-Prefix") or "")]
