"""``lagoonlever check``: all faults of a settings file together, by option."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.config.vm import load_vm_settings, warnings_of
from lagoonlever.exceptions import FaultsError
from lagoonlever.platform.settings_file import load_settings


def check(
    file: Annotated[
        Path,
        typer.Argument(help="A VM's settings file: JSON with comments, or the platform's lines."),
    ],
    *,
    strict: Annotated[
        bool, typer.Option("--strict", help="Count warnings as faults, as a release check does.")
    ] = False,
) -> None:
    """Check a VM's settings file, and tell every fault with what to change.

    Prints a line for each fault, the option's path first, and exits with 1 if
    there is any. Warnings name what is allowed but seldom meant.
    """
    try:
        if _is_platform_file(file):
            load_settings(file)
            typer.echo(f"{file}: in order, for a gateway")
            return
        settings = load_vm_settings(file)
    except FaultsError as error:
        _tell_faults(error)
        raise typer.Exit(ExitCode.FAULTS) from error
    warnings = warnings_of(settings)
    for warning in warnings:
        typer.echo(f"warning: {warning}", err=True)
    if strict and warnings:
        raise typer.Exit(ExitCode.FAULTS)
    typer.echo(f"{file}: in order")


def _is_platform_file(file: Path) -> bool:
    """Tell by its first line of content whether a file has the platform's format, NAME=VALUE."""
    try:
        lines = file.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError):
        # The reader of the usual format tells what is wrong with the file.
        return False
    first = next((line.strip() for line in lines if line.strip() and line.strip()[0] != "#"), "")
    return "=" in first and not first.startswith(("{", "/"))


def _tell_faults(error: FaultsError) -> None:
    for fault in error.faults:
        typer.echo(f"fault: {fault}", err=True)
