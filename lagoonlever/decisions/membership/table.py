"""The members that a VM knows, and the rule by which what peers report of them is merged.

The newest incarnation of a name wins. Within an incarnation ``leaving`` is never cleared, and
the highest (version, status) wins, where only the member itself raises its version. So late,
repeated and reordered messages don't change the result.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs
import xxhash

from lagoonlever.decisions.membership.membership import Member, MemberState
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation
from lagoonlever.peers.messages_membership import MemberUpdate, Status, Verdict

BUCKETS = 16
"""The number of groups of names whose digests two VMs compare to find where their views differ."""
MAX_LOAD_AGE_S = 120
"""A load that was reported longer ago counts as not known."""
TOMBSTONE_S = 3600.0
"""How long a dead incarnation is kept. It must be far longer than a message about it can be
delayed, since a late message would otherwise add it again."""


@attrs.define(kw_only=True, eq=False)
class MemberRecord:
    """One known incarnation of a member; times in seconds of the own monotonic clock."""

    incarnation: Incarnation
    data_center: str
    http: Address
    peers: Address
    status: Status = Status.ALIVE
    version: int = 0
    leaving: bool = False
    load: float = 0.0
    load_at: float = float("-inf")
    """When the member reported its load."""
    known_since: float = 0.0
    status_since: float = 0.0
    suspect_until: float | None = None
    """When the running suspicion ends in death; None if none runs."""
    _digest: int | None = attrs.field(default=None, init=False)

    @property
    def live(self) -> bool:
        """Whether the member is not dead, and therefore probed."""
        return self.status is not Status.DEAD

    @property
    def state(self) -> MemberState:
        """The state in the view: leaving takes precedence over suspected, but not over dead."""
        if self.status is Status.DEAD:
            return MemberState.DEAD
        if self.leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if self.status is Status.SUSPECT else MemberState.ALIVE

    @property
    def bucket(self) -> int:
        """The bucket of the member's name (0 to ``BUCKETS`` - 1)."""
        return xxhash.xxh32_intdigest(self.incarnation.name.encode()) % BUCKETS

    @property
    def digest(self) -> int:
        """A digest of what two VMs should agree on.

        The status is left out, since a suspicion is temporary and differs between VMs.
        """
        if self._digest is None:
            text = f"{self.incarnation}|{self.version}|{self.leaving}"
            self._digest = xxhash.xxh32_intdigest(text.encode())
        return self._digest

    @property
    def verdict(self) -> Verdict:
        """The short form that is sent to peers that know the incarnation."""
        return Verdict(
            name=self.incarnation.name,
            nonce=self.incarnation.nonce,
            status=self.status,
            version=self.version,
            leaving=self.leaving,
        )

    def is_load_known(self, now: float) -> bool:
        """Check whether the load was reported within the last ``MAX_LOAD_AGE_S``."""
        return now - self.load_at <= MAX_LOAD_AGE_S

    def member(self, now: float, *, default_load: float) -> Member:
        """Return the entry of the view, with ``default_load`` if the load is not known."""
        return Member(
            incarnation=self.incarnation,
            data_center=self.data_center,
            http=self.http,
            peers=self.peers,
            state=self.state,
            load=self.load if self.is_load_known(now) else default_load,
        )

    def to_update(self, now: float) -> MemberUpdate:
        """Return the full entry as it is sent to peers."""
        return MemberUpdate(
            name=self.incarnation.name,
            started_ms=self.incarnation.started_ms,
            nonce=self.incarnation.nonce,
            data_center=self.data_center,
            http=str(self.http),
            peers=str(self.peers),
            status=self.status,
            version=self.version,
            leaving=self.leaving,
            load_percent=round(self.load * 100),
            load_age_s=round(min(now - self.load_at, MAX_LOAD_AGE_S + 1)),
        )

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Merge an entry of the same incarnation; return whether peers are to receive a change.

        A load alone is not such a change.
        """
        self._merge_load(update, now)
        return self.merge_verdict(update.verdict, now)

    def merge_verdict(self, verdict: Verdict, now: float) -> bool:
        """Merge a verdict on the same incarnation; return whether peers are to receive a change."""
        changed = False
        if verdict.leaving and not self.leaving:
            self.set_leaving()
            changed = True
        status = self._status_to_take(verdict)
        if (verdict.version, status) > (self.version, self.status):
            self.set_status(version=verdict.version, status=status, now=now)
            changed = True
        return changed

    def set_status(self, *, version: int, status: Status, now: float) -> None:
        """Set the version and the status, and end a running suspicion."""
        self.version = version
        self.status = status
        self.status_since = now
        self.suspect_until = None
        self._digest = None

    def set_leaving(self) -> None:
        """Mark the incarnation as leaving; this cannot be undone."""
        self.leaving = True
        self._digest = None

    def set_version(self, version: int) -> None:
        """Set the version, which only the member itself raises."""
        self.version = version
        self._digest = None

    def _status_to_take(self, verdict: Verdict) -> Status:
        """Return the status to adopt: an alive member that a verdict calls dead becomes suspect.

        Guards against false deaths after a network partition: when it heals, each side receives
        verdicts that its own members are dead, and would drop them all at once. As suspects they
        have time to refute it. A member that left has nothing to refute, so its death is final.
        """
        skips_suspicion = verdict.status is Status.DEAD and self.status is Status.ALIVE
        return Status.SUSPECT if skips_suspicion and not verdict.leaving else verdict.status

    def _merge_load(self, update: MemberUpdate, now: float) -> None:
        """Adopt the load of an update if it was reported later than the known one."""
        reported_at = now - update.load_age_s
        if update.load_age_s <= MAX_LOAD_AGE_S and reported_at > self.load_at:
            self.load = update.load_percent / 100
            self.load_at = reported_at


def new_record(update: MemberUpdate, now: float) -> MemberRecord:
    """Return the record of an incarnation that was not known before."""
    record = MemberRecord(
        incarnation=update.incarnation,
        data_center=update.data_center,
        http=update.http_address,
        peers=update.peer_address,
        status=update.status,
        version=update.version,
        leaving=update.leaving,
        known_since=now,
        status_since=now,
    )
    record.merge(update, now)
    return record


@attrs.define(kw_only=True)
class MemberTable:
    """The newest known incarnation of each name."""

    _records: dict[str, MemberRecord] = attrs.field(factory=dict)

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    @property
    def digest(self) -> int:
        """A digest of all members that are not dead."""
        total = 0
        for record in self._records.values():
            if record.live:
                total ^= record.digest
        return total

    @property
    def buckets(self) -> tuple[int, ...]:
        """The digest of each bucket of names, over the members that are not dead."""
        totals = [0] * BUCKETS
        for record in self._records.values():
            if record.live:
                totals[record.bucket] ^= record.digest
        return tuple(totals)

    def find_by_name(self, name: str) -> MemberRecord | None:
        """Return the newest known incarnation of a name, or None."""
        return self._records.get(name)

    def find(self, incarnation: Incarnation) -> MemberRecord | None:
        """Return the record of exactly this incarnation, or None."""
        record = self._records.get(incarnation.name)
        return record if record is not None and record.incarnation == incarnation else None

    def put(self, record: MemberRecord) -> None:
        """Add a record, in the place of a former incarnation of its name."""
        self._records[record.incarnation.name] = record

    def differing(self, buckets: tuple[int, ...]) -> list[MemberRecord]:
        """Return the members, also dead ones, of the buckets whose digests differ from a peer's.

        ``buckets`` are the peer's digests; if their number is not ``BUCKETS``, all members differ.
        """
        own = self.buckets
        if len(buckets) != BUCKETS:
            return list(self)
        return [r for r in self if own[r.bucket] != buckets[r.bucket]]

    def expire_dead(self, now: float) -> None:
        """Remove members that have been dead for ``TOMBSTONE_S``, so that memory is bounded."""
        old = [r for r in self if not r.live and now - r.status_since > TOMBSTONE_S]
        for record in old:
            del self._records[record.incarnation.name]
