"""Reads the platform's store for a command, with errors that say what to change."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
import typer

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.exceptions import PlatformError
from lagoonlever.http.messages import Address
from lagoonlever.platform.store import MetadataStore

T = TypeVar("T")


def read_store(store: str, read: Callable[[MetadataStore], Awaitable[T]]) -> T:
    """Give what ``read`` finds in the store at ``HOST:PORT``; ends the command where it can't."""
    try:
        address = Address.parse(store)
    except ValueError as error:
        typer.echo(f"{error}; give the store's address", err=True)
        raise typer.Exit(ExitCode.USAGE) from error

    async def main() -> T:
        return await read(MetadataStore(address=address))

    try:
        return trio.run(main)
    except PlatformError as error:
        typer.echo(f"{error}; give the address of the store, or wait for it", err=True)
        raise typer.Exit(ExitCode.UNREACHABLE) from error
