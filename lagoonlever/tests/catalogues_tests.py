"""The operators' pages of events and metrics say what the code declares."""

from __future__ import annotations

from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from lagoonlever.events import EVENTS
from lagoonlever.instruments import Metrics
from lagoonlever.metrics import CATALOGUE, InstrumentKind
from lagoonlever.report.catalogues import (
    EVENTS_PAGE,
    METRICS_PAGE,
    events_page,
    import_all_parts,
    metrics_page,
    scraped_name,
)

PAGES = Path(__file__).resolve().parents[2] / "docs" / "operators"
REMEDY = "run: python -m lagoonlever.report.catalogues"


def test_the_pages_are_those_that_the_declarations_give() -> None:
    import_all_parts()
    assert (PAGES / EVENTS_PAGE).read_text(encoding="utf-8") == events_page(), REMEDY
    assert (PAGES / METRICS_PAGE).read_text(encoding="utf-8") == metrics_page(), REMEDY


def test_every_event_tells_operators_what_it_means() -> None:
    import_all_parts()
    assert len(EVENTS) > 0
    for event in EVENTS:
        assert event.doc.endswith("."), event
        assert "|" not in event.text + event.doc, event


def test_the_page_gives_the_names_that_a_scraper_sees() -> None:
    metrics = Metrics()
    for spec in CATALOGUE:
        labels = ["x"] * len(spec.labels)
        if spec.kind is InstrumentKind.HISTOGRAM:
            metrics.record(spec, 1.0, *labels)
        elif spec.kind is InstrumentKind.GAUGE:
            metrics.set(spec, 1.0, *labels)
        else:
            metrics.add(spec, 1.0, *labels)
    text = metrics.exposition().decode()
    seen = {
        sample.name for family in text_string_to_metric_families(text) for sample in family.samples
    }
    for spec in CATALOGUE:
        suffix = "_count" if spec.kind is InstrumentKind.HISTOGRAM else ""
        assert scraped_name(spec) + suffix in seen
