"""The list of requests that end targets, as operators see it."""

from __future__ import annotations

import json
import time

from typer.testing import Result

from lagoonlever.gateway.crash_records import RECORD_KEY
from lagoonlever.tests.beside_store import run_alone, run_beside_store
from lagoonlever.tests.free_ports import free_address


def listed(value: bytes | None) -> Result:
    """Run the command beside a store that has a record, or none."""
    entries = [(RECORD_KEY, value)] if value is not None else []
    return run_beside_store("barred", *entries)


def test_a_request_that_is_refused_is_told_with_its_ends() -> None:
    now = time.time()
    three = {name: {"at": now - 60.0, "weight": 1.0} for name in ("e1", "e2", "e3")}
    two = {name: {"at": now - 90.0, "weight": 1.0} for name in ("e4", "e5")}
    told = listed(json.dumps({"f2": two, "f1": three}).encode())
    assert told.exit_code == 0
    first, second = told.output.splitlines()
    assert first.startswith("f1  3 ends") and "refused for 5" in first and "e1, e2, e3" in first
    assert second.startswith("f2  2 ends") and "may run" in second


def test_an_empty_store_has_none() -> None:
    told = listed(None)
    assert (told.exit_code, told.output) == (0, "no request is on record\n")


def test_what_others_wrote_there_is_told() -> None:
    told = listed(b"[1]")
    assert told.exit_code == 1
    assert "delete it" in told.output


def test_a_store_that_is_away_and_an_odd_address_are_told() -> None:
    away = run_alone("barred", str(free_address()))
    assert away.exit_code == 3
    odd = run_alone("barred", "nowhere")
    assert odd.exit_code == 2
    assert "HOST:PORT" in odd.output
