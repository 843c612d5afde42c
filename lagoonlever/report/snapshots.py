"""Snapshots of the objectives' counters, taken from the metrics of VMs over time.

A snapshot file holds a line for each VM and time. Counters start again from 0
when a VM is replaced; a counter that went down is taken to have started again.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

import attrs
from prometheus_client.parser import text_string_to_metric_families

from lagoonlever.codec import MessageRegistry
from lagoonlever.metrics import OBJECTIVE_EVENTS
from lagoonlever.report.burn import SeriesKey, Tally
from lagoonlever.report.objectives import BAD, GOOD

SNAPSHOTS = MessageRegistry()
_SAMPLE_NAME = OBJECTIVE_EVENTS.name.replace(".", "_") + "_total"


@attrs.frozen(kw_only=True)
class Count:
    """The events counted so far towards one organisation's objective."""

    organisation: str
    objective: str
    good: int
    bad: int

    @property
    def key(self) -> SeriesKey:
        """The series that it belongs to."""
        return SeriesKey(organisation=self.organisation, objective=self.objective)


@SNAPSHOTS.message("snapshot")
@attrs.frozen(kw_only=True)
class Snapshot:
    """What one VM had counted at a time, in wall-clock seconds of the collector."""

    at: float
    vm: str
    counts: tuple[Count, ...]


def snapshot_of(exposition: bytes, *, vm: str, at: float) -> Snapshot:
    """Read the counters from a VM's metrics text; raises ``ValueError`` for another format."""
    totals: dict[SeriesKey, dict[str, int]] = {}
    for family in text_string_to_metric_families(exposition.decode()):
        for sample in family.samples:
            if sample.name != _SAMPLE_NAME:
                continue
            key = SeriesKey(
                organisation=sample.labels["organisation"], objective=sample.labels["objective"]
            )
            totals.setdefault(key, {})[sample.labels["verdict"]] = int(sample.value)
    counts = tuple(
        Count(
            organisation=key.organisation,
            objective=key.objective,
            good=total.get(GOOD, 0),
            bad=total.get(BAD, 0),
        )
        for key, total in totals.items()
    )
    return Snapshot(at=at, vm=vm, counts=counts)


def append_snapshots(file: Path, snapshots: Iterable[Snapshot]) -> None:
    """Add snapshots to a file."""
    with file.open("ab") as out:
        out.writelines(SNAPSHOTS.encode_line(snapshot) for snapshot in snapshots)


def read_snapshots(file: Path) -> Iterator[Snapshot]:
    """Read a file of snapshots; raises ``UnknownMessage`` for a line of another kind."""
    with file.open("rb") as lines:
        for line in lines:
            message = SNAPSHOTS.decode_line(line)
            if isinstance(message, Snapshot):
                yield message


def tallies_of(snapshots: Iterable[Snapshot]) -> Iterator[Tally]:
    """Give what was counted between consecutive snapshots of each VM.

    The first snapshot of a VM counts for nothing: its events have no time.
    """
    last: dict[str, dict[SeriesKey, Count]] = {}
    for snapshot in sorted(snapshots, key=lambda one: one.at):
        before = last.get(snapshot.vm)
        last[snapshot.vm] = {count.key: count for count in snapshot.counts}
        if before is None:
            continue
        for count in snapshot.counts:
            yield _difference(before.get(count.key), count, at=snapshot.at)


def _difference(before: Count | None, after: Count, *, at: float) -> Tally:
    started_again = before is None or before.good > after.good or before.bad > after.bad
    base = Count(organisation="", objective="", good=0, bad=0) if started_again else before
    assert base is not None
    return Tally(at=at, key=after.key, good=after.good - base.good, bad=after.bad - base.bad)
