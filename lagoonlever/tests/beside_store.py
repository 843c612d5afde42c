"""Runs a command beside a store with some entries."""

from __future__ import annotations

import trio
from typer.testing import CliRunner, Result

from lagoonlever.__main__ import app
from lagoonlever.fakes.metadata_store import FakeMetadataStore
from lagoonlever.http.server import open_listeners
from lagoonlever.tests.free_ports import free_address


def run_beside_store(command: str, *entries: tuple[str, bytes]) -> Result:
    """Give what the command says, with the store's address as its argument."""
    address = free_address()
    results: list[Result] = []

    async def main() -> None:
        store = FakeMetadataStore()
        for key, value in entries:
            store.put(key, value)
        async with trio.open_nursery() as nursery:
            listeners = await open_listeners(host=address.host, port=address.port)
            nursery.start_soon(store.run, listeners)
            results.append(await trio.to_thread.run_sync(run_alone, command, str(address)))
            nursery.cancel_scope.cancel()

    trio.run(main)
    return results[0]


def run_alone(command: str, address: str) -> Result:
    """Give what the command says of an address at which there may be nothing."""
    return CliRunner().invoke(app, [command, address])
