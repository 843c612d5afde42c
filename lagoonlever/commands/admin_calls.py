"""What the commands of operators share: their options, and one question to a VM."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from typing import Annotated, TypeVar

import msgspec
import trio
import typer

from lagoonlever.commands.admin_client import AdminClient
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.exceptions import PeerError
from lagoonlever.http.messages import Address

C = TypeVar("C", bound=AdminClient)
T = TypeVar("T")

AddressOption = Annotated[
    str,
    typer.Option(
        envvar="LAGOONLEVER_ADDRESS",
        help="IP number and port of any entry VM, such as 10.0.0.1:8080.",
    ),
]
KeyOption = Annotated[
    str | None,
    typer.Option("--key", envvar="LAGOONLEVER_ADMIN_KEY", help="The operator's key."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def ask(
    client_of: Callable[..., C],
    address: str,
    key: str | None,
    question: Callable[[C], Awaitable[T]],
) -> T:
    """Ask a VM one question; ends the command if it can't be reached or refuses."""
    try:
        client = client_of(address=Address.parse(address), key=key)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--address") from error

    async def run() -> T:
        return await question(client)

    try:
        return trio.run(run)
    except PeerError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.UNREACHABLE) from error


def print_json(payload: object) -> None:
    """Print one line of JSON."""
    sys.stdout.buffer.write(msgspec.json.encode(payload) + b"\n")
