"""The list of requests that end targets, as operators see it."""

from __future__ import annotations

import json
import time

import trio
from typer.testing import CliRunner, Result

from lagoonlever.__main__ import app
from lagoonlever.fakes.metadata_store import FakeMetadataStore
from lagoonlever.gateway.crash_records import RECORD_KEY
from lagoonlever.http.server import open_listeners
from lagoonlever.tests.gateway_site import free_address


def listed(value: bytes | None) -> Result:
    """Run the command beside a store that has a record, or none."""
    address = free_address()
    results: list[Result] = []

    async def main() -> None:
        store = FakeMetadataStore()
        if value is not None:
            store.put(RECORD_KEY, value)
        async with trio.open_nursery() as nursery:
            listeners = await open_listeners(host=address.host, port=address.port)
            nursery.start_soon(store.run, listeners)
            results.append(await trio.to_thread.run_sync(run, str(address)))
            nursery.cancel_scope.cancel()

    trio.run(main)
    return results[0]


def run(address: str) -> Result:
    return CliRunner().invoke(app, ["barred", address])


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
    away = run(str(free_address()))
    assert away.exit_code == 3
    odd = run("nowhere")
    assert odd.exit_code == 2
    assert "HOST:PORT" in odd.output
