"""Counts and durations as plain numbers, until somebody asks for the metrics.

Loading OpenTelemetry takes 0.2 s and 10 MB, and a start after a crash of all VMs has
no time for it. So it is loaded at the first scrape, by a thread beside the requests,
and is given then what was counted before.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs
import trio

from lagoonlever.metrics import InstrumentSpec

if TYPE_CHECKING:
    from lagoonlever.instruments import Metrics

MOST_DURATIONS = 4096
"""Durations of one metric that wait for the next scrape; of more, the oldest are lost."""


@attrs.define(kw_only=True, eq=False)
class Tally:
    """The numbers of one process; safe for use by its tasks, not by threads."""

    _counts: dict[tuple[InstrumentSpec, tuple[str, ...]], float] = attrs.field(factory=dict)
    _values: dict[tuple[InstrumentSpec, tuple[str, ...]], float] = attrs.field(factory=dict)
    _durations: dict[tuple[InstrumentSpec, tuple[str, ...]], deque[float]] = attrs.field(
        factory=dict
    )
    _told: dict[tuple[InstrumentSpec, tuple[str, ...]], float] = attrs.field(factory=dict)
    _metrics: Metrics | None = None

    def add(self, spec: InstrumentSpec, *labels: str, amount: float = 1.0) -> None:
        """Add to a counter."""
        key = (spec, labels)
        self._counts[key] = self._counts.get(key, 0.0) + amount

    def set(self, spec: InstrumentSpec, value: float, *labels: str) -> None:
        """Set a gauge, or a counter that is kept elsewhere."""
        self._values[(spec, labels)] = value

    def record(self, spec: InstrumentSpec, duration_s: float, *labels: str) -> None:
        """Record one duration."""
        key = (spec, labels)
        if key not in self._durations:
            self._durations[key] = deque(maxlen=MOST_DURATIONS)
        self._durations[key].append(duration_s)

    def count(self, spec: InstrumentSpec, *labels: str) -> float:
        """Return what was counted so far."""
        return self._counts.get((spec, labels), 0.0)

    async def exposition(self) -> bytes:
        """Return all metrics in the text format that scrapers read."""
        if self._metrics is None:
            self._metrics = await trio.to_thread.run_sync(_load_metrics)
        self._hand_over(self._metrics)
        return self._metrics.exposition()

    def _hand_over(self, metrics: Metrics) -> None:
        for key, total in self._counts.items():
            spec, labels = key
            metrics.add(spec, total - self._told.get(key, 0.0), *labels)
            self._told[key] = total
        for (spec, labels), value in self._values.items():
            metrics.set(spec, value, *labels)
        for (spec, labels), durations in self._durations.items():
            while durations:
                metrics.record(spec, durations.popleft(), *labels)


def _load_metrics() -> Metrics:
    from lagoonlever.instruments import Metrics

    return Metrics()
