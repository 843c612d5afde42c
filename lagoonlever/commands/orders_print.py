"""The orders commands' output for people."""

from __future__ import annotations

from collections.abc import Iterator

from rich.table import Table

from lagoonlever.decisions.orders.orders import OrderReport, WantedState
from lagoonlever.entry.admin.orders_messages import EngineShown, OrdersChangeTold, OrdersShown


def state_text(state: WantedState | None) -> str:
    """Give a state in the words of `set`; None is an engine that is left alone."""
    if state is None:
        return "(left alone)"
    models = sorted(
        f"{model.name}@{model.version}" + (f":{model.adapter}" if model.adapter else "")
        for model in state.models
    )
    drain = " draining" if state.draining else ""
    return f"{', '.join(models) or 'no models'}; role {state.role}{drain}"


def orders_table(shown: OrdersShown) -> Table:
    """Give a row for each engine."""
    holder = shown.holder
    by = f"{holder.vm} gives orders by number {holder.fencing}" if holder else "no VM gives orders"
    table = Table(title=f"revision {shown.revision}; {by}", title_justify="left")
    for heading in ("engine", "wanted", "reported", "number", "standing"):
        table.add_column(heading)
    for each in shown.engines:
        report = each.report
        table.add_row(
            each.engine,
            state_text(each.wanted),
            state_text(report.actual) if report else "-",
            str(report.fencing) if report else "-",
            _standing(each),
        )
    return table


def change_lines(told: OrdersChangeTold) -> Iterator[str]:
    """Give the lines on what became of a change."""
    if told.tag == "stored":
        yield (
            f"stored as revision {told.revision}; see `lagoonlever orders show`"
            if told.made
            else f"nothing to change: revision {told.revision} says so already"
        )
        return
    yield f"{told.tag}: {told.message}"
    for conflict in told.conflicts:
        yield (
            f"  {conflict.engine}: you saw {state_text(conflict.expected)}, "
            f"now {state_text(conflict.found)}, you want {state_text(conflict.wanted)}"
        )
    for fault in told.faults:
        yield f"  fault: {fault}"
    if told.tag == "undetermined":
        yield "  look at `lagoonlever orders show`, and set it again if it is not as wanted"


def _standing(each: EngineShown) -> str:
    if each.report is None:
        return f"not read: {each.error}"
    if each.wanted is None:
        return "left alone"
    if not each.report.wanted.same_as(each.wanted):
        return "order to be given"
    return "as wanted" if _has_all(each.report, each.wanted) else "loading"


def _has_all(report: OrderReport, wanted: WantedState) -> bool:
    """Tell whether the models are there; an engine may keep others a while."""
    return set(wanted.models) <= set(report.actual.models)
