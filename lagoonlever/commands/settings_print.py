"""The settings commands' output for people."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime

from rich.table import Table

from lagoonlever.commands.exit_codes import ExitCode
from lagoonlever.decisions.settings.settings_watchers import InForce
from lagoonlever.entry.admin.messages import ChangeTold, NodeShown, RecordShown
from lagoonlever.tree.changes import NODE, Edit
from lagoonlever.tree.options import OptionValue

EXIT_CODES = {
    "stored": ExitCode.OK,
    "invalid": ExitCode.FAULTS,
    "conflict": ExitCode.NOT_RUN,
    "not-stored": ExitCode.NOT_RUN,
    "undetermined": ExitCode.UNKNOWN,
}
"""By the tag of a change's outcome."""


def value_text(value: OptionValue | None) -> str:
    """Give a value as `set` takes it; None is an option that is inherited."""
    if value is None:
        return "(inherited)"
    return ",".join(value) if isinstance(value, tuple) else str(value)


def node_table(node: NodeShown) -> Table:
    """Give the options of a node with where each comes from."""
    title = f"{node.path} in version {node.version}: {node.share:.1%} of the pool"
    table = Table(title=title, title_justify="left")
    for heading in ("option", "value", "stated by"):
        table.add_column(heading)
    for shown in node.options:
        table.add_row(shown.option, value_text(shown.value), shown.origin or "default")
    return table


def edit_lines(edits: Iterable[Edit]) -> Iterator[str]:
    """Give a line for each edit."""
    for edit in edits:
        if edit.option == NODE:
            yield f"{edit.path}: {'added' if edit.after else 'removed'}"
        else:
            yield f"{edit.key}: {value_text(edit.before)} -> {value_text(edit.after)}"


def record_lines(record: RecordShown) -> Iterator[str]:
    """Give the lines of one accepted change."""
    at = datetime.fromtimestamp(record.at_ms / 1000, tz=UTC).strftime("%Y-%m-%d %H:%M:%S")
    yield f"version {record.version}  {at} UTC  {record.author}  {record.note}".rstrip()
    for line in edit_lines(record.edits):
        yield f"  {line}"


def change_lines(told: ChangeTold) -> Iterator[str]:
    """Give the lines on what became of a change."""
    if told.tag == "stored":
        yield from _stored_lines(told)
        return
    yield f"{told.tag}: {told.message}"
    for conflict in told.keys:
        yield (
            f"  {conflict.key}: you saw {value_text(conflict.expected)}, "
            f"now {value_text(conflict.found)}, you want {value_text(conflict.wanted)}"
        )
    for fault in told.faults:
        yield f"  fault: {fault}"
    if told.tag == "undetermined":
        yield f"  look for the change {told.change_id} in `lagoonlever settings history --json`"


def in_force_lines(told: InForce) -> Iterator[str]:
    """Give the lines on where a version is in force."""
    yield f"in force on {len(told.in_force)} VMs: {', '.join(told.in_force) or '-'}"
    if told.behind:
        yield f"not yet on: {', '.join(told.behind)}"
    if told.unreachable:
        yield f"not reached: {', '.join(told.unreachable)}"


def _stored_lines(told: ChangeTold) -> Iterator[str]:
    if not told.made:
        yield f"nothing to change: version {told.version} says so already"
        return
    merged = ", merged with others' changes" if told.merged else ""
    yield f"stored as version {told.version}{merged}"
    for line in edit_lines(told.edits):
        yield f"  {line}"
