"""What the settings commands share: their options, and one question to a VM."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

import msgspec
import trio
import typer

from lagoonlever.commands import settings_print as printing
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.commands.settings_client import SettingsClient
from lagoonlever.decisions.settings_watchers import InForce
from lagoonlever.exceptions import FaultsError, PeerError
from lagoonlever.http.messages import Address
from lagoonlever.tree.document import parse_text
from lagoonlever.tree.nodes import TreeView

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
WaitOption = Annotated[
    float, typer.Option(help="Seconds to wait until every VM has the version in force.")
]
NoteOption = Annotated[str, typer.Option(help="Why, for the history.")]
AuthorOption = Annotated[str, typer.Option(help="Who, for the history; by default the user.")]
FileArgument = Annotated[Path, typer.Argument(help="A settings document: JSON with comments.")]


def ask_vm(address: str, key: str | None, question: Callable[[SettingsClient], Awaitable[T]]) -> T:
    """Ask a VM one question; ends the command if it can't be reached or refuses."""
    try:
        client = SettingsClient(address=Address.parse(address), key=key)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--address") from error

    async def ask() -> T:
        return await question(client)

    try:
        return trio.run(ask)
    except PeerError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.UNREACHABLE) from error


def read_tree(text: str) -> TreeView:
    """Read a document; ends the command with every fault told."""
    try:
        return parse_text(text)
    except FaultsError as error:
        fail_with_faults(error)


def fail_with_faults(error: FaultsError) -> NoReturn:
    """Tell every fault and end the command."""
    for fault in error.faults:
        typer.echo(f"fault: {fault}", err=True)
    raise typer.Exit(ExitCode.FAULTS) from error


def read_file(file: Path) -> str:
    """Read a document's text; ends the command if that fails."""
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise typer.BadParameter(str(error), param_hint="FILE") from error


def print_json(payload: object) -> None:
    """Print one line of JSON."""
    sys.stdout.buffer.write(msgspec.json.encode(payload) + b"\n")


def tell_in_force(told: InForce) -> None:
    """Print where a version is in force."""
    for line in printing.in_force_lines(told):
        typer.echo(line)
