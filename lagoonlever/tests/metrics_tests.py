"""Metrics: what a scraper reads is what was recorded, under the declared labels."""

from __future__ import annotations

import pytest
from prometheus_client.parser import text_string_to_metric_families

from lagoonlever.instruments import Metrics
from lagoonlever.metrics import (
    CATALOGUE,
    PAUSES,
    QUEUE_DEPTH,
    REQUESTS,
    RESUME_LATENCY,
    Catalogue,
)


def _samples(metrics: Metrics) -> dict[tuple[str, frozenset[tuple[str, str]]], float]:
    text = metrics.exposition().decode()
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_a_scrape_gives_counters_gauges_and_distributions() -> None:
    metrics = Metrics()
    metrics.add(REQUESTS, 2, "motus", "done", "")
    metrics.add(REQUESTS, 1, "motus", "done", "")
    metrics.replace(QUEUE_DEPTH, {("motus",): 4, ("clerks",): 1})
    metrics.replace(QUEUE_DEPTH, {("clerks",): 2})
    metrics.record(RESUME_LATENCY, 0.3, "motus")
    samples = _samples(metrics)
    done = frozenset({("organisation", "motus"), ("outcome", "done"), ("reason", "")})
    assert samples["lagoonlever_requests_total", done] == 3
    depths = {key: value for key, value in samples.items() if "queue_depth" in key[0]}
    assert list(depths.values()) == [2]
    resumed = frozenset({("organisation", "motus")})
    assert samples["lagoonlever_resume_latency_seconds_count", resumed] == 1


def test_labels_that_are_not_declared_are_refused_where_they_are_recorded() -> None:
    metrics = Metrics()
    with pytest.raises(ValueError, match="organisation, outcome, reason"):
        metrics.add(REQUESTS, 1, "motus")
    with pytest.raises(ValueError, match="no label"):
        metrics.add(PAUSES, 1, "motus")
    with pytest.raises(ValueError, match="takes organisation"):
        metrics.record(RESUME_LATENCY, 0.1)


def test_a_name_is_declared_once() -> None:
    catalogue = Catalogue()
    catalogue.add(REQUESTS)
    with pytest.raises(ValueError, match="twice"):
        catalogue.add(REQUESTS)


def test_every_metric_has_a_page_text_and_the_prefix() -> None:
    for spec in CATALOGUE:
        assert spec.name.startswith("lagoonlever.")
        assert spec.doc.endswith(".")
