"""The members that a VM knows, and the rule by which news of them is merged.

The newest life of a name wins; within a life ``leaving`` never goes back, and
the highest (version, status) wins, where only the member raises its version. So
late, repeated and reordered news does no harm.
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
MAX_LOAD_AGE_S = 120
"""A load older than this says nothing."""
TOMBSTONE_S = 3600.0
"""Seconds for which a dead life is remembered, far longer than its news can travel."""


@attrs.define(kw_only=True, eq=False)
class MemberRecord:
    """One known life of a member; times in seconds of the own monotonic clock."""

    incarnation: Incarnation
    data_center: str
    http: Address
    peers: Address
    status: Status = Status.ALIVE
    version: int = 0
    leaving: bool = False
    load: float = 0.0
    load_at: float = float("-inf")
    known_since: float = 0.0
    status_since: float = 0.0
    suspect_until: float | None = None
    _digest: int | None = attrs.field(default=None, init=False)

    @property
    def live(self) -> bool:
        """Whether the member is worth a probe."""
        return self.status is not Status.DEAD

    @property
    def state(self) -> MemberState:
        """The state as the view tells it; leaving hides a suspicion but not a death."""
        if self.status is Status.DEAD:
            return MemberState.DEAD
        if self.leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if self.status is Status.SUSPECT else MemberState.ALIVE

    @property
    def bucket(self) -> int:
        """The bucket of the member's name, in which digests are compared."""
        return xxhash.xxh32_intdigest(self.incarnation.name.encode()) % BUCKETS

    @property
    def digest(self) -> int:
        """A digest of what two VMs should agree on; a passing suspicion is not part of it."""
        if self._digest is None:
            text = f"{self.incarnation}|{self.version}|{self.leaving}"
            self._digest = xxhash.xxh32_intdigest(text.encode())
        return self._digest

    @property
    def verdict(self) -> Verdict:
        """What peers that know the life are told of it."""
        return Verdict(
            name=self.incarnation.name,
            nonce=self.incarnation.nonce,
            status=self.status,
            version=self.version,
            leaving=self.leaving,
        )

    def load_known(self, now: float) -> bool:
        """Tell whether the load was reported lately."""
        return now - self.load_at <= MAX_LOAD_AGE_S

    def member(self, now: float, *, usual_load: float) -> Member:
        """Give the entry of the view; a load that is not known counts as the usual one."""
        return Member(
            incarnation=self.incarnation,
            data_center=self.data_center,
            http=self.http,
            peers=self.peers,
            state=self.state,
            load=self.load if self.load_known(now) else usual_load,
        )

    def news(self, now: float) -> MemberUpdate:
        """Give what peers are told."""
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

    def merge(self, news: MemberUpdate, now: float) -> bool:
        """Join news of the same life; tells whether peers should hear of it."""
        self._merge_load(news, now)
        return self.merge_verdict(news.verdict, now)

    def merge_verdict(self, verdict: Verdict, now: float) -> bool:
        """Join a verdict on the same life; tells whether peers should hear of it."""
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
        """Set what is believed of the member; ends a running suspicion."""
        self.version = version
        self.status = status
        self.status_since = now
        self.suspect_until = None
        self._digest = None

    def set_leaving(self) -> None:
        """Mark the life as leaving, which never goes back."""
        self.leaving = True
        self._digest = None

    def set_version(self, version: int) -> None:
        """Raise the version, which only the member itself does."""
        self.version = version
        self._digest = None

    def _status_to_take(self, verdict: Verdict) -> Status:
        """Take a death that comes without a suspicion before it as a suspicion.

        Guards against the false deaths of a cut: when it heals, each side hears
        that its own members are dead, and would drop them all at once. So they
        get the time to answer; a member that left has nothing to answer.
        """
        unheralded = verdict.status is Status.DEAD and self.status is Status.ALIVE
        return Status.SUSPECT if unheralded and not verdict.leaving else verdict.status

    def _merge_load(self, news: MemberUpdate, now: float) -> None:
        reported_at = now - news.load_age_s
        if news.load_age_s <= MAX_LOAD_AGE_S and reported_at > self.load_at:
            self.load = news.load_percent / 100
            self.load_at = reported_at


def record_of(news: MemberUpdate, now: float) -> MemberRecord:
    """Give the record of a life heard of for the first time."""
    record = MemberRecord(
        incarnation=news.incarnation,
        data_center=news.data_center,
        http=news.http_address,
        peers=news.peer_address,
        status=news.status,
        version=news.version,
        leaving=news.leaving,
        known_since=now,
        status_since=now,
    )
    record.merge(news, now)
    return record


@attrs.define(kw_only=True)
class MemberTable:
    """The newest known life of each name."""

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
        """The digests of the members that are not dead, by the bucket of their names."""
        totals = [0] * BUCKETS
        for record in self._records.values():
            if record.live:
                totals[record.bucket] ^= record.digest
        return tuple(totals)

    def find_by_name(self, name: str) -> MemberRecord | None:
        """Give the newest known life of a name."""
        return self._records.get(name)

    def find(self, incarnation: Incarnation) -> MemberRecord | None:
        """Give the record of exactly this life."""
        record = self._records.get(incarnation.name)
        return record if record is not None and record.incarnation == incarnation else None

    def put(self, record: MemberRecord) -> None:
        """Set the newest life of a name."""
        self._records[record.incarnation.name] = record

    def differing(self, buckets: tuple[int, ...]) -> list[MemberRecord]:
        """Give the members, dead ones too, of the buckets whose digests differ."""
        own = self.buckets
        if len(buckets) != BUCKETS:
            return list(self)
        return [r for r in self if own[r.bucket] != buckets[r.bucket]]

    def forget_old_dead(self, now: float) -> None:
        """Drop the lives that have been dead for long, so that memory stays bounded."""
        old = [r for r in self if not r.live and now - r.status_since > TOMBSTONE_S]
        for record in old:
            del self._records[record.incarnation.name]
