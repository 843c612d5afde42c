"""Serves the metrics of this process, and keeps the gauges that are read elsewhere."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Callable

import attrs

from lagoonlever.decisions.admission.held_memory import MemoryAccount
from lagoonlever.decisions.targets.load_estimate import LoadSource
from lagoonlever.gateway import metrics
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.dialer import TargetDialer
from lagoonlever.gateway.tally import Tally
from lagoonlever.gateway.tunnel_desk import TunnelDesk
from lagoonlever.http.exchange import Exchange
from lagoonlever.http.messages import Headers
from lagoonlever.timers import TimerService

METRICS_PATH = "/metrics"
EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8"
OK = 200
NOT_FOUND = 404


@attrs.define(kw_only=True, eq=False)
class MetricsPage:
    """The handler of the metrics address."""

    _tally: Tally
    _beliefs: Beliefs
    _timers: TimerService
    _open_requests: Callable[[], int]
    _dialer: TargetDialer
    _tunnel_desk: TunnelDesk
    _client_memory: MemoryAccount

    async def handle(self, exchange: Exchange) -> None:
        """Answer a scrape."""
        if exchange.request.path != METRICS_PATH:
            await exchange.respond(status=NOT_FOUND, headers=Headers(), body=b"")
            return
        self._sample()
        body = await self._tally.exposition()
        headers = Headers((("Content-Type", EXPOSITION_TYPE),))
        await exchange.respond(status=OK, headers=headers, body=body)

    def _sample(self) -> None:
        fellows = self._beliefs.fellows
        offered = len(fellows.accepting_callers(self._timers.now))
        self._tally.set(metrics.OPEN_REQUESTS, float(self._open_requests()))
        self._tally.set(metrics.CLIENT_MEMORY, float(self._client_memory.held_bytes), "held")
        capacity = float(self._client_memory.capacity_bytes)
        self._tally.set(metrics.CLIENT_MEMORY, capacity, "capacity")
        self._tally.set(metrics.CONFIGURATION_VERSION, float(self._beliefs.version))
        self._tally.set(metrics.FELLOWS, float(offered), "offered")
        self._tally.set(metrics.FELLOWS, float(len(fellows.states) - offered), "silent")
        self._tally.set(metrics.PATHS_CUT, float(len(self._dialer.paths.cut_targets)))
        self._tally.set(metrics.TUNNELS_SERVED, float(self._tunnel_desk.tunnels))
        for service in self._beliefs.targets.versioned_services:
            shut_out = self._beliefs.targets.count_blocked_by_version(service)
            self._tally.set(metrics.SHUT_OUT, float(shut_out), service)
        self._sample_loads()

    def _sample_loads(self) -> None:
        now, loads = self._timers.now, self._beliefs.loads
        known = [loads.estimate(target.id, now) for target in self._beliefs.targets.targets]
        counts = Counter(each.source for each in known)
        for source in LoadSource:
            self._tally.set(metrics.TOLD_LOADS, float(counts[source]), source.value)
        ages_s = [each.age_s for each in known if each.source is not LoadSource.NONE]
        age_s = statistics.median(ages_s) if ages_s else 0.0
        self._tally.set(metrics.TOLD_LOAD_AGE, age_s)
