"""What the settings commands share: their options, and one question to a VM."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

import typer

from lagoonlever.commands import settings_print as printing
from lagoonlever.commands.admin_calls import ask
from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.commands.settings_client import SettingsClient
from lagoonlever.decisions.settings.settings_watchers import InForce
from lagoonlever.exceptions import FaultsError
from lagoonlever.tree.document import parse_text
from lagoonlever.tree.nodes import TreeView

T = TypeVar("T")

WaitOption = Annotated[
    float, typer.Option(help="Seconds to wait until every VM has the version in force.")
]
NoteOption = Annotated[str, typer.Option(help="Why, for the history.")]
AuthorOption = Annotated[str, typer.Option(help="Who, for the history; by default the user.")]
FileArgument = Annotated[Path, typer.Argument(help="A settings document: JSON with comments.")]


def ask_vm(address: str, key: str | None, question: Callable[[SettingsClient], Awaitable[T]]) -> T:
    """Ask a VM one question; ends the command if it can't be reached or refuses."""
    return ask(SettingsClient, address, key, question)


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


def tell_in_force(told: InForce) -> None:
    """Print where a version is in force."""
    for line in printing.in_force_lines(told):
        typer.echo(line)
