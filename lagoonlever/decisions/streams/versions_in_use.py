"""Which versions of a service's software may have begun a stream that can still be resumed.

If all VMs lose power, nobody is left who knows where a returning caller's stream began. While one
version alone is in use there is nothing to know: any stream began there. So the versions of each
service are recorded in the platform's store, and a new stream begins only at a recorded version
if there is one to choose. A version is taken out of the record once it has been gone from the list
for longer than any stream lives. While several versions are recorded, the origin of each stream
is recorded, too; without its record a stream of unknown origin goes on nowhere.

A version that has come gets no stream before the record names it, also where no other version
takes any: power may go in the time of one write, and the VMs that come back would take its streams
for those of the version that is recorded. While the store takes no write such a stream is refused,
unless the record names several versions, or proves nothing: then an unknown one goes on nowhere.

A process that no entry names yet may begin streams, of any version. Before the caller gets the
first event of one the record tells so, and then it is open for as long as streams live at which
version a stream began that nobody knows of.

A store that is restored from an older copy may lack a version. Its record then names an era before
the store's own, and proves nothing until every stream of that time is over.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from lagoonlever.decisions.targets.listed_target import ListedTarget
from lagoonlever.revisions import NOWHERE, Revision

MAX_HOLD_S = 5.0
"""A new stream waits for the record of a version so long. Where the record names several versions
it begins then: an outage of the store, which lasts seconds, must not end the service."""

UNNAMED = ""
"""Recorded in place of a version while streams live that a process began which no entry names."""

VersionsByService = Mapping[str, frozenset[str]]
EMPTY: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class RecordedVersions:
    """The record as it stands in the store."""

    versions: VersionsByService
    revision: Revision
    proven: bool
    """Whether no version can be missing from it."""


_Place = tuple[str, str, int | None]
"""A service and a process: its engine and start, or the request if nobody knows the engine."""


@attrs.frozen(kw_only=True)
class _Begin:
    """The beginning of a stream at a process of no recorded version."""

    at: float
    version: str | None
    """The version of the process, if it is known and only its record is not there yet."""
    engine: str
    started_ms: int | None


@attrs.define(kw_only=True)
class VersionsInUse:
    """The record, and what this VM has seen of the list since; times are monotonic seconds."""

    _recorded: RecordedVersions = RecordedVersions(versions={}, revision=NOWHERE, proven=False)
    _last_listed: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """When each version of a service was last on the list, or last began a stream."""
    _unproven_since: float | None = None
    _unnamed: dict[_Place, _Begin] = attrs.field(factory=dict)
    """The last beginning at each process of no recorded version."""
    _held_since: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """When a stream first had to wait for the record of a version."""

    @property
    def recorded(self) -> RecordedVersions:
        """The newest record that is known."""
        return self._recorded

    def of(self, service: str) -> frozenset[str]:
        """Return the recorded versions of a service."""
        return self._recorded.versions.get(service, EMPTY)

    def only_version(self, service: str, targets: Iterable[ListedTarget]) -> str | None:
        """Return the version at which any stream of a service began, or None if that is open.

        It is open while one of the ``targets`` that are listed has a version that is not recorded,
        or a stream began at a process of unknown version.
        """
        versions = self.of(service)
        if not self._recorded.proven or len(versions) != 1:
            return None
        listed = {t.version for t in targets if t.service == service and t.version is not None}
        if not listed <= versions:
            return None
        if any(place[0] == service for place in self._unnamed):
            return None
        return next(iter(versions))

    def has_several(self, service: str) -> bool:
        """Check whether streams of a service may have begun at more than one version."""
        return len(self.of(service)) > 1

    def has_newcomer(self, service: str, targets: Iterable[ListedTarget]) -> bool:
        """Check whether a version is listed that the service's record does not name yet."""
        recorded = self.of(service)
        listed = {t.version for t in targets if t.service == service and t.version is not None}
        return bool(recorded) and not listed <= recorded

    def holds_back(self, engine: ListedTarget, now: float) -> bool:
        """Check whether a new stream has to wait until the record names an engine's version.

        Not at a process whose version is unknown: there is nothing to record of it.
        """
        if engine.version is None:
            return False
        key = (engine.service, engine.version)
        if engine.version in self.of(engine.service):
            self._held_since.pop(key, None)
            return False
        return now - self._held_since.setdefault(key, now) < MAX_HOLD_S

    def may_begin_unrecorded(self, service: str) -> bool:
        """Check whether no stream of a service would be taken for one of the recorded version.

        A record that names none is no better than one that names another: the next one would.
        """
        return len(self.of(service)) > 1 or not self._recorded.proven

    def bars(self, engine: ListedTarget) -> bool:
        """Check whether no new stream may begin at an engine, however long it has waited."""
        if engine.version is None or engine.version in self.of(engine.service):
            return False
        return not self.may_begin_unrecorded(engine.service)

    def prefer_recorded(self, engines: Iterable[ListedTarget]) -> tuple[ListedTarget, ...]:
        """Return the engines at which new streams begin: of recorded versions, if there are any.

        A process whose version is unknown is not held back. In an outage of the store nearly all
        engines may be such processes.
        """
        able = tuple(engines)
        preferred = tuple(e for e in able if e.version is None or e.version in self.of(e.service))
        return preferred or able

    def apply_record(self, record: RecordedVersions, now: float) -> bool:
        """Apply a record unless a newer one is known; return whether it was applied."""
        if record.revision < self._recorded.revision:
            return False
        if record.revision == self._recorded.revision and not record.proven:
            return False
        self._recorded = record
        for service, version in list(self._held_since):
            if version in self.of(service):
                del self._held_since[service, version]
        self._unproven_since = None if record.proven else now
        return True

    def name_processes(self, targets: Iterable[ListedTarget]) -> None:
        """Record which processes have been named since streams began there.

        A process is named by its own entry, and not by that of another one under its id.
        """
        listed = {(target.service, target.id): target for target in targets}
        for key, begin in list(self._unnamed.items()):
            service = key[0]
            if self._is_named(service, begin, listed.get((service, begin.engine))):
                del self._unnamed[key]

    def _is_named(self, service: str, begin: _Begin, entry: ListedTarget | None) -> bool:
        if begin.version is not None:
            return begin.version in self.of(service)
        if entry is None or entry.has_restarted_since(begin.started_ms):
            return False
        return entry.version in self.of(service)

    def record_begin(
        self,
        service: str,
        version: str | None,
        engine: str,
        now: float,
        *,
        started_ms: int | None = None,
        request: str = "",
    ) -> None:
        """Record that a stream begins at a process, or which process began it.

        The ``engine`` of a process that nobody knows is empty.
        """
        self._unnamed.pop((service, request, None), None)
        place = service, engine or request, started_ms
        self._last_listed[service, version or UNNAMED] = now
        if version is not None and version in self.of(service):
            self._unnamed.pop(place, None)
            return
        self._unnamed[place] = _Begin(at=now, version=version, engine=engine, started_ms=started_ms)

    def record_unnamed(self, service: str, now: float) -> None:
        """Record that a process which no entry names is about to begin a stream of a service."""
        self._last_listed[service, UNNAMED] = now

    def is_marked(self, service: str) -> bool:
        """Check whether the record tells that a process which no entry names began streams."""
        return UNNAMED in self.of(service)

    def record_restore(self, era: int) -> None:
        """Record that the store was restored: what this VM knows is newer than its record."""
        revision = Revision(era=era, number=0)
        if self._recorded.revision < revision:
            self._recorded = attrs.evolve(self._recorded, revision=revision)

    def expire(self, now: float, *, keep_s: float) -> None:
        """Forget begins so old that none of their streams can be resumed any more."""
        for key in [k for k, begin in self._unnamed.items() if now - begin.at > keep_s]:
            del self._unnamed[key]

    def is_proven(self, now: float, *, keep_s: float) -> bool:
        """Check whether a record written now would name every version of a living stream."""
        if self._recorded.proven:
            return True
        since = self._unproven_since
        return since is not None and now - since > keep_s

    def wanted(
        self,
        services: Iterable[str],
        targets: Iterable[ListedTarget],
        now: float,
        *,
        keep_s: float,
    ) -> VersionsByService:
        """Return what the record should say, by the list as it is now.

        ``services`` are those that answer with streams. A version that is not on the list, also
        one that was there for a moment only, stays until this VM has not seen it for ``keep_s``.
        """
        listed = {(t.service, t.version) for t in targets if t.version is not None}
        for key in listed:
            self._last_listed[key] = now
        wanted: dict[str, frozenset[str]] = {}
        for service in services:
            known = self.of(service) | {v for of, v in self._last_listed if of == service}
            kept = {v for v in known if self._is_in_use(service, v, now, keep_s=keep_s)}
            if kept:
                wanted[service] = frozenset(kept)
        return wanted

    def _is_in_use(self, service: str, version: str, now: float, *, keep_s: float) -> bool:
        seen_at = self._last_listed.setdefault((service, version), now)
        return now - seen_at <= keep_s
