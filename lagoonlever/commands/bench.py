"""``lagoonlever bench``: run one benchmark, or list them."""

from __future__ import annotations

import sys
from typing import Annotated

import typer
from rich.console import Console

from lagoonlever.bench.report import (
    BENCHMARKS,
    BenchOptions,
    encode_result,
    load_benchmarks,
    print_result,
)

FILE_WIDTH = 160
"""Columns of a table that goes to a file or a pipe."""


def bench(
    name: Annotated[str | None, typer.Argument(help="The benchmark; none lists them.")] = None,
    *,
    json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    quick: Annotated[
        bool, typer.Option("--quick", help="Run shorter; the figures are coarser.")
    ] = False,
    seed: Annotated[int, typer.Option(help="Seed of everything random.")] = 1,
) -> None:
    """Measure one property on this machine, with its baseline in the same run."""
    load_benchmarks()
    if name is None:
        for each in sorted(BENCHMARKS.values(), key=lambda benchmark: benchmark.name):
            typer.echo(f"{each.name:<12} {each.summary}")
        return
    if name not in BENCHMARKS:
        known = ", ".join(sorted(BENCHMARKS))
        raise typer.BadParameter(f"{name!r} is none of: {known}", param_hint="NAME")
    result = BENCHMARKS[name].run(BenchOptions(quick=quick, seed=seed))
    if json:
        sys.stdout.buffer.write(encode_result(result) + b"\n")
        return
    console = Console()
    print_result(result, console if console.is_terminal else Console(width=FILE_WIDTH))
