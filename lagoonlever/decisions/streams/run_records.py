"""The records of runs, by request and by the prompt's own part, and when they are forgotten."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from lagoonlever.decisions.streams.booked_runs import BookedRun

RESERVED_S = 1.0
"""How long a place is kept for a run that another VM asked it for: it is sent within the time
of a connection, or asks again."""


@attrs.define(kw_only=True)
class RunRecord:
    """One run as last heard of; times are seconds of the monotonic clock."""

    run: BookedRun
    since: float
    """When it was booked."""
    ended_at: float | None = None
    whole: bool = False
    beside_prompts: bool = False
    """Its engine had another prompt to read meanwhile."""
    sent: bool = True
    """False while it has only a place that was kept for it, and never reached an engine."""

    def is_over(self, now: float, *, keep_s: float) -> bool:
        """Tell whether nothing of it can be cached any more, or it was never sent."""
        if not self.sent:
            return now - self.since > RESERVED_S
        return self.ended_at is not None and now - self.ended_at > keep_s


@attrs.define(kw_only=True)
class RunRecords:
    """The last record of each request."""

    _keep_s: float
    """How long an ended run is remembered: as long as its prompt may still be cached."""
    _records: dict[str, RunRecord] = attrs.field(factory=dict)
    _by_part: dict[str, str] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[RunRecord]:
        """Give every record."""
        return iter(self._records.values())

    def find(self, request: str) -> RunRecord | None:
        """Give the record of a request, or None."""
        return self._records.get(request)

    def last_of(self, part: str) -> RunRecord | None:
        """Give the last record of a prompt's own part, or None."""
        return self._records.get(self._by_part.get(part, ""))

    def unread_at(self, engine: str) -> list[RunRecord]:
        """Give the open runs at an engine whose prompts are not read yet."""
        return [
            record
            for record in self._records.values()
            if record.run.engine == engine and record.ended_at is None and not record.run.flowing
        ]

    def unread(self) -> dict[str, list[RunRecord]]:
        """Give the open runs whose prompts are not read yet, by engine."""
        by_engine: dict[str, list[RunRecord]] = {}
        for record in self._records.values():
            if record.ended_at is None and not record.run.flowing:
                by_engine.setdefault(record.run.engine, []).append(record)
        return by_engine

    def enter(self, run: BookedRun, now: float) -> None:
        """Begin the record of a run that was sent to an engine."""
        self._enter(run, now)
        if run.part is not None:
            self._by_part[run.part] = run.request

    def reserve(self, run: BookedRun, now: float) -> None:
        """Begin the record of a run that another VM is about to send."""
        former = self._records.get(run.request)
        self._enter(run, now).sent = former is not None and former.sent

    def forget_others(self, vm: str) -> None:
        """Forget the runs of all VMs but one."""
        for record in list(self._records.values()):
            if record.run.vm != vm:
                self._forget(record)

    def expire(self, now: float) -> None:
        """Forget what is over."""
        for record in list(self._records.values()):
            if record.is_over(now, keep_s=self._keep_s):
                self._forget(record)

    def _enter(self, run: BookedRun, now: float) -> RunRecord:
        record = RunRecord(run=run, since=now)
        for other in self.unread_at(run.engine):
            if other.run.request != run.request:
                record.beside_prompts = other.beside_prompts = True
        self._records[run.request] = record
        return record

    def _forget(self, record: RunRecord) -> None:
        run = record.run
        del self._records[run.request]
        if run.part is not None and self._by_part.get(run.part) == run.request:
            del self._by_part[run.part]
