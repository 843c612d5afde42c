"""What a benchmark gives: typed rows and aims, printed as tables or as JSON."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from rich.console import Console
from rich.table import Table

from lagoonlever import bench

_COLUMN = "lagoonlever.column"


@attrs.frozen(kw_only=True)
class BenchOptions:
    """What every benchmark is told: ``quick`` runs are shorter and their figures coarser."""

    quick: bool = False
    seed: int = 1


@attrs.frozen(kw_only=True)
class Aim:
    """One bound that was measured against; ``met`` is None where it could not be measured."""

    text: str
    measured: float | None
    bound: float
    unit: str

    @property
    def met(self) -> bool | None:
        """Whether the figure is within the bound."""
        return None if self.measured is None else self.measured <= self.bound


@attrs.frozen(kw_only=True)
class Rows:
    """Rows of one attrs class; ``column`` on its fields gives headings and formats."""

    title: str
    rows: tuple[Any, ...]


@attrs.frozen(kw_only=True)
class BenchResult:
    """All that one run of a benchmark measured, baselines included."""

    name: str
    tables: tuple[Rows, ...]
    aims: tuple[Aim, ...] = ()
    notes: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Benchmark:
    """A registered benchmark."""

    name: str
    summary: str
    run: Callable[[BenchOptions], BenchResult]


BENCHMARKS: dict[str, Benchmark] = {}
Run = Callable[[BenchOptions], BenchResult]


def benchmark(name: str, *, summary: str) -> Callable[[Run], Run]:
    """Register the decorated function under a name of the command line."""

    def register(run: Run) -> Run:
        BENCHMARKS[name] = Benchmark(name=name, summary=summary, run=run)
        return run

    return register


def load_benchmarks() -> None:
    """Import every module of this package, so that the registry is filled."""
    for module in pkgutil.iter_modules(bench.__path__):
        importlib.import_module(f"{bench.__name__}.{module.name}")


def column(heading: str, *, digits: int | None = None) -> Any:
    """Declare a field of a row class with its heading, and digits after the point."""
    return attrs.field(metadata={_COLUMN: (heading, digits)})


def encode_result(result: BenchResult) -> bytes:
    """Give the JSON form: the result's fields, and whether each aim was met."""
    document = msgspec.to_builtins(result)
    document["aims"] = [{**msgspec.to_builtins(aim), "met": aim.met} for aim in result.aims]
    return msgspec.json.encode(document)


def print_result(result: BenchResult, console: Console) -> None:
    """Print tables, then aims, then notes."""
    for rows in result.tables:
        console.print(_table(rows))
    for aim in result.aims:
        measured = "not measured" if aim.measured is None else f"{aim.measured:.4g} {aim.unit}"
        word = {True: "met", False: "MISSED", None: "open"}[aim.met]
        console.print(f"aim {word}: {aim.text}: {measured} (at most {aim.bound:g} {aim.unit})")
    for note in result.notes:
        console.print(f"note: {note}")


def _table(rows: Rows) -> Table:
    table = Table(title=rows.title, title_justify="left")
    if not rows.rows:
        return table
    fields = attrs.fields(type(rows.rows[0]))
    for field in fields:
        heading, digits = field.metadata[_COLUMN]
        table.add_column(heading, justify="left" if digits is None else "right")
    for row in rows.rows:
        table.add_row(*(_cell(row, field) for field in fields))
    return table


def _cell(row: Any, field: attrs.Attribute[Any]) -> str:
    value = getattr(row, field.name)
    _, digits = field.metadata[_COLUMN]
    if value is None:
        return "-"
    return str(value) if digits is None else f"{value:.{digits}f}"
