"""Which version of a service's software began each stream, so that it goes on only there.

What two versions write does not fit together. A caller that lost its connection returns to any VM
with the events it has, and names the request that brought the first of them. By then the VM that
relayed the stream may be gone, its engine may have left the list, and another process may have the
engine's id or address. So the version is recorded with the stream's first event and never looked
up by an engine's name afterwards. A process that the list has not named yet has no known version;
it is resolved only by an entry of that same process.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.decisions.streams.engine_runs import EngineRun
from lagoonlever.decisions.targets.registry import TargetRegistry

MAX_ORIGINS = 50_000
"""Upper bound of the streams that are remembered, some 16 MB; beyond it the oldest are removed."""


@attrs.frozen(kw_only=True)
class Writer:
    """The process that wrote the first event of an answer, by its engine's own report."""

    proven: bool
    """Whether it is the process that the run was sent to, as the list names it."""
    started_ms: int | None = None
    """Its start, if the engine tells it."""


PROVEN = Writer(proven=True)
UNKNOWN = Writer(proven=False)
"""The question for it was lost."""


@attrs.frozen(kw_only=True)
class StreamOrigin:
    """The beginning of a stream: the request that brought the first event, and who wrote it."""

    request: str
    service: str
    version: str | None
    """The version of the engine's software; None while the list has not named its process."""
    engine: str = ""
    engine_started_ms: int | None = None
    """Start time of the engine's process, as known when the request was sent."""

    @classmethod
    def of_run(cls, run: EngineRun, writer: Writer) -> StreamOrigin:
        """Create the origin of the stream of a run that has given its first event.

        If another process wrote it than the one that the run was sent to, the version stays
        unknown until the list names that process.
        """
        if not writer.proven:
            return cls(
                request=run.stream,
                service=run.service,
                version=None,
                engine=run.engine if writer.started_ms is not None else "",
                engine_started_ms=writer.started_ms,
            )
        return cls(
            request=run.stream,
            service=run.service,
            version=run.version,
            engine=run.engine,
            engine_started_ms=run.engine_started_ms,
        )

    def resolve(self, targets: TargetRegistry) -> StreamOrigin:
        """Return the origin with its version, if the list has named the process since."""
        if self.version is not None:
            return self
        engine = targets.find(self.engine)
        if engine is None or engine.has_restarted_since(self.engine_started_ms):
            return self
        return attrs.evolve(self, version=engine.version)


@attrs.frozen(kw_only=True)
class _Entry:
    origin: StreamOrigin
    recorded_at: float


@attrs.define(kw_only=True)
class StreamOrigins:
    """The origins of streams that may still be resumed; times are monotonic seconds."""

    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    """By request, the oldest first."""
    _max_origins: int = MAX_ORIGINS

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, request: str) -> StreamOrigin | None:
        """Return the origin of the stream that a request began, or None if it is not known."""
        entry = self._entries.get(request)
        return entry.origin if entry is not None else None

    def newest(self, limit: int) -> tuple[StreamOrigin, ...]:
        """Return the origins that were recorded last, ``limit`` at most."""
        entries = list(self._entries.values())[-limit:]
        return tuple(entry.origin for entry in entries)

    def record(self, origin: StreamOrigin, now: float) -> None:
        """Record where a stream began, or that it goes on; a known version is never changed."""
        known = self._entries.pop(origin.request, None)
        if known is not None and known.origin.version is not None:
            origin = known.origin
        self._entries[origin.request] = _Entry(origin=origin, recorded_at=now)
        if len(self._entries) > self._max_origins:
            del self._entries[next(iter(self._entries))]

    def record_all(self, origins: Iterable[StreamOrigin], now: float) -> None:
        """Record origins that others have told, without making known ones any younger."""
        for origin in origins:
            known = self.find(origin.request)
            if known is None or known.version is None:
                self.record(origin, now)

    def discard(self, request: str) -> None:
        """Remove a stream that was completed."""
        self._entries.pop(request, None)

    def expire(self, now: float, *, keep_s: float) -> None:
        """Remove the streams that no caller can resume any more."""
        for request, entry in list(self._entries.items()):
            if now - entry.recorded_at <= keep_s:
                break
            del self._entries[request]
