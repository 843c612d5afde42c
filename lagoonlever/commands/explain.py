"""``lagoonlever explain``: what the logs of all VMs say of one request."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.report.explain import LogLine, explain, format_steps, read_lines, surroundings


def explain_request(
    request: Annotated[str, typer.Argument(help="The request's id, as its caller sent it.")],
    files: Annotated[list[Path], typer.Argument(help="Logs of VMs, in JSON lines.")],
) -> None:
    """Tell a request's way through the system, from the logs of all VMs.

    Prints each decision with its inputs, the configuration in force on that VM, whether
    it reached the store, and the last news of the target; and, marked with a bar, what
    its VMs noticed meanwhile. Exits with 1 if no log knows the request.
    """
    lines: list[LogLine] = []
    for file in files:
        try:
            texts = file.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"{file}: cannot be read ({error.strerror}); give readable files", err=True)
            raise typer.Exit(ExitCode.FAULTS) from error
        lines.extend(read_lines(texts, process=file.stem))
    steps = explain(lines, request)
    if not steps:
        typer.echo(f"no line is about {request}; give the logs of all VMs", err=True)
        raise typer.Exit(ExitCode.FAULTS)
    for text in format_steps(steps, surroundings(lines, steps)):
        typer.echo(text)
