"""``lagoonlever check``: all faults of a settings file together, by option."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.config.vm import load_vm_settings, warnings_of
from lagoonlever.exceptions import FaultsError


def check(
    file: Annotated[Path, typer.Argument(help="A VM's settings file: JSON with comments.")],
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


def _tell_faults(error: FaultsError) -> None:
    for fault in error.faults:
        typer.echo(f"fault: {fault}", err=True)
