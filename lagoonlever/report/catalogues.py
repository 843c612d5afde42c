"""The operators' pages of log events and of metrics, made from their declarations.

``python -m lagoonlever.report.catalogues`` writes them; a test holds them to it.
"""

from __future__ import annotations

import importlib
import pkgutil
import sys
from pathlib import Path

import lagoonlever
from lagoonlever.events import EVENTS, RANGES, EventRange
from lagoonlever.metrics import CATALOGUE, InstrumentKind, InstrumentSpec

EVENTS_PAGE = "events.md"
METRICS_PAGE = "metrics.md"
LEFT_OUT = ("lagoonlever.tests", "lagoonlever.__main__")
SCRAPED_UNITS = {"s": "_seconds", "By": "_bytes"}

_EVENTS_HEAD = """# Log events

Every event that a process logs has a number that stays the same over releases.
A line for people shows it after the level; with `--log-format json` it is the
field `event`, beside `name` and the event's own `fields`. This page is generated
from the declarations: `python -m lagoonlever.report.catalogues`.
"""

_METRICS_HEAD = """# Metrics

Every entry VM answers `GET /metrics` in the text format that scrapers of
Prometheus read. The names below are those of OpenTelemetry; a scraper sees them
as the last column says. `process_*` metrics of the processor time, memory and
open files of the process come beside them. This page is generated from the
declarations: `python -m lagoonlever.report.catalogues`.
"""


def import_all_parts() -> None:
    """Import every module of the package, so that every declaration has been made."""
    for module in pkgutil.walk_packages(lagoonlever.__path__, prefix="lagoonlever."):
        if not module.name.startswith(LEFT_OUT):
            importlib.import_module(module.name)


def events_page() -> str:
    """Give the page of log events: a table for each part of the system."""
    sections = [_EVENTS_HEAD, *(_events_section(range_) for range_ in RANGES)]
    return "\n".join(section for section in sections if section)


def metrics_page() -> str:
    """Give the page of metrics: one table."""
    rows = [_metric_row(spec) for spec in sorted(CATALOGUE, key=lambda spec: spec.name)]
    head = (
        "| metric | kind | unit | labels | what it tells | scraped as |\n|---|---|---|---|---|---|"
    )
    return "\n".join([_METRICS_HEAD, head, *rows, ""])


def scraped_name(spec: InstrumentSpec) -> str:
    """Give the name under which a scraper finds a metric."""
    name = spec.name.replace(".", "_")
    unit = SCRAPED_UNITS.get(spec.unit, "")
    if not name.endswith(unit):
        name += unit
    return name + "_total" if spec.kind is InstrumentKind.COUNTER else name


def write_pages(folder: Path) -> None:
    """Write both pages into the folder of the operators' guide."""
    import_all_parts()
    (folder / EVENTS_PAGE).write_text(events_page(), encoding="utf-8")
    (folder / METRICS_PAGE).write_text(metrics_page(), encoding="utf-8")


def _events_section(range_: EventRange) -> str:
    events = EVENTS.of_range(range_)
    if not events:
        return ""
    rows = [
        f"| {event.number} | `{event.name}` | {event.level} | {event.text} | {event.doc} |"
        for event in events
    ]
    head = "| number | name | level | text | what it means and what to do |\n|---|---|---|---|---|"
    return "\n".join([f"## {range_.part}\n", head, *rows, ""])


def _metric_row(spec: InstrumentSpec) -> str:
    labels = ", ".join(f"`{label}`" for label in spec.labels)
    cells = (
        f"`{spec.name}`",
        spec.kind.value,
        f"`{spec.unit}`",
        labels,
        spec.doc,
        f"`{scraped_name(spec)}`",
    )
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    write_pages(Path(sys.argv[1]) if len(sys.argv) > 1 else Path("docs/operators"))
