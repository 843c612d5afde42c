"""Records of the runs at engines, by request and by prompt segment.

Placement needs the open runs of each engine, those whose prompts are not prefilled yet, and for
a caller that reconnects the engine that may still have its prompt in its cache. A record is kept
after the end of its run for as long as the prompt may be cached.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from lagoonlever.decisions.streams.engine_runs import EngineRun

RESERVATION_S = 1.0
"""How long a placement is reserved for a run of another VM.

That VM sends the run within the time that a connection takes, or asks for another placement.
"""


@attrs.define(kw_only=True)
class RunRecord:
    """Latest known state of one run; points in time are seconds of the monotonic clock."""

    run: EngineRun
    recorded_at: float
    """When the run was recorded or its placement reserved."""
    ended_at: float | None = None
    complete: bool = False
    """Whether the run ended with a complete answer."""
    shared_prefill: bool = False
    """Whether its engine had another prompt to prefill at the same time."""
    sent: bool = True
    """False while the run has only a reserved placement and was never sent to an engine."""

    def is_over(self, now: float, *, keep_s: float) -> bool:
        """Check whether the record can be removed.

        That is ``keep_s`` seconds after the run ended, when no engine has its prompt cached any
        more, or after its reservation lapsed.
        """
        if not self.sent:
            return now - self.recorded_at > RESERVATION_S
        return self.ended_at is not None and now - self.ended_at > keep_s


@attrs.define(kw_only=True)
class RunRecords:
    """Store of the latest run record of each request."""

    _keep_s: float
    """How long the record of an ended run is kept: as long as its prompt may be cached."""
    _records: dict[str, RunRecord] = attrs.field(factory=dict)
    _request_by_segment: dict[str, str] = attrs.field(factory=dict)
    """The id of the last request of each prompt segment."""
    _request_by_fingerprint: dict[str, str] = attrs.field(factory=dict)
    """The id of the last request that asked the same, by the fingerprint of the request."""
    _request_by_stream: dict[str, str] = attrs.field(factory=dict)
    """The id of the last request of each stream, by the request that began it."""

    def __iter__(self) -> Iterator[RunRecord]:
        """Return an iterator over all records."""
        return iter(self._records.values())

    def find(self, request: str) -> RunRecord | None:
        """Return the record of a request, or None."""
        return self._records.get(request)

    def find_by_segment(self, part: str) -> RunRecord | None:
        """Return the record of the last request of a prompt segment, or None.

        ``part`` is the id of the segment.
        """
        return self._records.get(self._request_by_segment.get(part, ""))

    def find_by_fingerprint(self, fingerprint: str) -> RunRecord | None:
        """Return the record of the last request with a fingerprint, or None."""
        return self._records.get(self._request_by_fingerprint.get(fingerprint, ""))

    def find_by_stream(self, begun_by: str) -> RunRecord | None:
        """Return the record of the last request of a stream, or None.

        ``begun_by`` is the request that began the stream.
        """
        return self._records.get(self._request_by_stream.get(begun_by, ""))

    def prefilling_at(self, engine: str) -> list[RunRecord]:
        """Return the open runs at an engine whose prompts are not prefilled yet."""
        return [
            record
            for record in self._records.values()
            if record.run.engine == engine and record.ended_at is None and not record.run.flowing
        ]

    def prefilling_by_engine(self) -> dict[str, list[RunRecord]]:
        """Return the open runs whose prompts are not prefilled yet, by engine."""
        by_engine: dict[str, list[RunRecord]] = {}
        for record in self._records.values():
            if record.ended_at is None and not record.run.flowing:
                by_engine.setdefault(record.run.engine, []).append(record)
        return by_engine

    def record_sent(self, run: EngineRun, now: float) -> None:
        """Record a run that was sent to an engine, in place of an earlier one of its request."""
        self._add(run, now)
        self._request_by_stream[run.stream] = run.request
        if run.part is not None:
            self._request_by_segment[run.part] = run.request
        if run.fingerprint is not None:
            self._request_by_fingerprint[run.fingerprint] = run.request

    def reserve(self, run: EngineRun, now: float) -> None:
        """Record a reserved placement for a run that another VM is about to send."""
        previous = self._records.get(run.request)
        self._add(run, now).sent = previous is not None and previous.sent

    def discard_others(self, vm: str) -> None:
        """Remove the runs of all VMs but ``vm``."""
        for record in list(self._records.values()):
            if record.run.vm != vm:
                self._remove(record)

    def expire(self, now: float) -> None:
        """Remove the records that have lapsed at ``now``."""
        for record in list(self._records.values()):
            if record.is_over(now, keep_s=self._keep_s):
                self._remove(record)

    def _add(self, run: EngineRun, now: float) -> RunRecord:
        """Store a new record, and mark the prefills that it shares its engine with."""
        record = RunRecord(run=run, recorded_at=now)
        for other in self.prefilling_at(run.engine):
            if other.run.request != run.request:
                record.shared_prefill = other.shared_prefill = True
        self._records[run.request] = record
        return record

    def _remove(self, record: RunRecord) -> None:
        run = record.run
        del self._records[run.request]
        if self._request_by_stream.get(run.stream) == run.request:
            del self._request_by_stream[run.stream]
        if run.part is not None and self._request_by_segment.get(run.part) == run.request:
            del self._request_by_segment[run.part]
        fingerprint = run.fingerprint
        if fingerprint and self._request_by_fingerprint.get(fingerprint) == run.request:
            del self._request_by_fingerprint[fingerprint]
