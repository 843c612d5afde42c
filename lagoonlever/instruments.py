"""The instruments that a process records its metrics with, and their text for scrapers.

Counters and gauges are kept as plain numbers and read by OpenTelemetry only at a
scrape: its own counters cost some 15 microseconds an addition, too dear for the
relay of a token.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    ProcessCollector,
    generate_latest,
)

from lagoonlever.metrics import CATALOGUE, InstrumentKind, InstrumentSpec

EXPOSITION_TYPE = CONTENT_TYPE_LATEST
RECENT_DURATIONS = 64
"""Durations of each distribution that are kept as they are, for the status of a VM."""


class Metrics:
    """The instruments of one process; tests and daemons make their own.

    Label values are given in the order of the metric's declaration.
    """

    def __init__(self) -> None:
        self._values: dict[str, dict[tuple[str, ...], float]] = {}
        self._histograms: dict[str, Any] = {}
        self._recent: dict[tuple[str, tuple[str, ...]], deque[float]] = {}
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider(metric_readers=[reader], shutdown_on_exit=False)
        self._create_instruments()

    def value(self, spec: InstrumentSpec, *labels: str) -> float:
        """Give the present value of a counter or a gauge; 0 if never set."""
        return self._values[spec.name].get(labels, 0)

    def recent(self, spec: InstrumentSpec, *labels: str) -> tuple[float, ...]:
        """Give the last durations recorded in a distribution, oldest first."""
        return tuple(self._recent.get((spec.name, labels), ()))

    def exposition(self) -> bytes:
        """Give all metrics in the text format that scrapers read."""
        return generate_latest(self._registry)

    def add(self, spec: InstrumentSpec, amount: float, *labels: str) -> None:
        """Add to a counter."""
        values = self._values[spec.name]
        if labels not in values:
            _check_labels(spec, labels)
            values[labels] = 0
        values[labels] += amount

    def set(self, spec: InstrumentSpec, value: float, *labels: str) -> None:
        """Set a gauge."""
        values = self._values[spec.name]
        if labels not in values:
            _check_labels(spec, labels)
        values[labels] = value

    def replace(self, spec: InstrumentSpec, values: dict[tuple[str, ...], float]) -> None:
        """Set all values of a gauge; those of label values that are not given vanish."""
        for labels in values:
            _check_labels(spec, labels)
        self._values[spec.name] = dict(values)

    def record(self, spec: InstrumentSpec, duration_s: float, *labels: str) -> None:
        """Record one duration of a distribution."""
        key = (spec.name, labels)
        if key not in self._recent:
            _check_labels(spec, labels)
            self._recent[key] = deque(maxlen=RECENT_DURATIONS)
        self._recent[key].append(duration_s)
        self._histograms[spec.name].record(duration_s, _attributes(spec, labels))

    def shutdown(self) -> None:
        """Release what the library holds; the instruments are dead after it."""
        self._provider.shutdown()

    def _create_instruments(self) -> None:
        meter = self._provider.get_meter("lagoonlever")
        observed = {
            InstrumentKind.COUNTER: meter.create_observable_counter,
            InstrumentKind.GAUGE: meter.create_observable_gauge,
        }
        for spec in CATALOGUE:
            if spec.kind is InstrumentKind.HISTOGRAM:
                self._histograms[spec.name] = meter.create_histogram(
                    spec.name,
                    unit=spec.unit,
                    description=spec.doc,
                    explicit_bucket_boundaries_advisory=spec.bounds,
                )
                continue
            self._values[spec.name] = {}
            observed[spec.kind](
                spec.name, [self._observer_of(spec)], unit=spec.unit, description=spec.doc
            )

    def _observer_of(
        self, spec: InstrumentSpec
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [
                Observation(value, _attributes(spec, labels))
                for labels, value in self._values[spec.name].items()
            ]

        return observe


def _check_labels(spec: InstrumentSpec, labels: tuple[str, ...]) -> None:
    if len(labels) != len(spec.labels):
        wanted = ", ".join(spec.labels) or "no label"
        raise ValueError(f"metric {spec.name!r} takes {wanted}; got {labels!r}")


def _attributes(spec: InstrumentSpec, labels: tuple[str, ...]) -> dict[str, str]:
    return dict(zip(spec.labels, labels, strict=True))
