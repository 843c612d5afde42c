"""The burn report as a table, as JSON, and as a plot."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec
from rich.table import Table

from lagoonlever.exceptions import LagoonleverException
from lagoonlever.report.burn import WINDOW_PAIRS, Burn, Series, SeriesKey, timeline

PLOT_SIZE_INCHES = (9, 5)
PLOT_DPI = 120


class PlotUnavailable(LagoonleverException):
    """The library that draws plots is not installed."""


def burn_table(burns: Sequence[Burn]) -> Table:
    """Give a row for each organisation and objective."""
    table = Table(title="Service-level burn", title_justify="left")
    for column in ("organisation", "objective"):
        table.add_column(column, no_wrap=True)
    for column in ("goal", "bad of all", "spent"):
        table.add_column(column)
    for pair in burns[0].windows if burns else ():
        table.add_column(f"{_length(pair.long_s)} / {_length(pair.short_s)}")
    table.add_column("alert")
    for burn in burns:
        rates = [f"{window.long_rate:.1f} / {window.short_rate:.1f}" for window in burn.windows]
        table.add_row(
            burn.organisation,
            burn.objective,
            f"{100 * burn.goal:g}%",
            f"{burn.bad} of {burn.good + burn.bad}",
            f"{100 * burn.budget_spent:.0f}%",
            *rates,
            burn.severity.value,
        )
    return table


def burn_json(burns: Sequence[Burn]) -> bytes:
    """Give the report as a JSON list."""
    return msgspec.json.encode(burns)


def plot_burn(
    series: Mapping[SeriesKey, Series],
    *,
    goals: Mapping[str, float],
    start: float,
    end: float,
    period_s: float,
    file: Path,
) -> None:
    """Draw the burn rate of the first long window over time, a line for each series.

    Raises ``PlotUnavailable`` without the extra ``plots``.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlotUnavailable("install lagoonlever[plots] to draw plots") from error
    pair = WINDOW_PAIRS[0]
    window_s = pair.long_part * period_s
    figure = Figure(figsize=PLOT_SIZE_INCHES, layout="constrained")
    axes = figure.add_subplot()
    for key, one in series.items():
        if key.objective not in goals:
            continue
        points = timeline(one, goal=goals[key.objective], start=start, end=end, window_s=window_s)
        axes.plot(
            [point.at - start for point in points],
            [point.rate for point in points],
            label=f"{key.organisation} {key.objective}",
        )
    axes.axhline(pair.threshold, linestyle="--", color="grey", label="page")
    axes.set_xlabel("seconds from the first event")
    axes.set_ylabel(f"burn rate over {_length(window_s)}")
    axes.legend(fontsize="small")
    figure.savefig(file, dpi=PLOT_DPI)


def _length(seconds: float) -> str:
    for size, unit in ((86400, "d"), (3600, "h"), (60, "min")):
        if seconds >= size:
            return f"{seconds / size:.3g} {unit}"
    return f"{seconds:.3g} s"
