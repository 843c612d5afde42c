"""Log events: unique numbers, and lines for people and for collectors."""

from __future__ import annotations

import io
import json

import logbook
import pytest

from lagoonlever.events import EventRegistry, LogEvent
from lagoonlever.logs import LogFormat, log_handler

STARTED = LogEvent(
    number=101, name="started", level="info", text="VM {vm} started", doc="Nothing to do."
)


def _logged(format: LogFormat, **fields: object) -> str:
    stream = io.StringIO()
    with log_handler(format=format, stream=stream):
        STARTED.log(logbook.Logger("part"), **fields)
    return stream.getvalue()


def test_a_taken_number_or_name_and_a_number_of_no_part_are_refused() -> None:
    registry = EventRegistry()
    registry.add(STARTED)
    for number, name in ((101, "other"), (102, "started"), (50, "early")):
        with pytest.raises(ValueError, match=r"taken|range"):
            registry.add(LogEvent(number=number, name=name, level="info", text="", doc=""))
    assert list(registry) == [STARTED]


def test_a_field_name_of_the_logger_is_refused() -> None:
    with pytest.raises(ValueError, match="field name"):
        EventRegistry().add(LogEvent(number=101, name="a", level="info", text="{level}", doc=""))


def test_a_line_for_people_holds_number_name_and_message() -> None:
    line = _logged(LogFormat.HUMAN, vm="e1")
    assert line.rstrip().endswith("101 started: VM e1 started")


def test_a_line_for_collectors_is_one_object_with_the_fields() -> None:
    payload = json.loads(_logged(LogFormat.JSON, vm="e1", detail="kept though not in the text"))
    assert payload["event"] == 101
    assert payload["message"] == "VM e1 started"
    assert payload["fields"] == {"vm": "e1", "detail": "kept though not in the text"}
