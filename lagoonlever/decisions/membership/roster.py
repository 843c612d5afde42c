"""What one VM knows of the members, and what it does with news of them.

The roster joins news into the table, answers a suspicion of the own life, runs
the suspicions of others, and notes which changes are still to be passed on.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.decisions.membership.membership import Member, MemberView
from lagoonlever.decisions.membership.news import NewsQueue
from lagoonlever.decisions.membership.probe import LocalHealth
from lagoonlever.decisions.membership.rings import Neighbours, neighbours
from lagoonlever.decisions.membership.settings import MembershipSettings
from lagoonlever.decisions.membership.table import MemberRecord, MemberTable, record_of
from lagoonlever.peers.messages_membership import Gossip, MemberUpdate, Status, Verdict


@attrs.frozen(kw_only=True)
class _Summary:
    """What follows from the table; made anew after a change, not for each message."""

    others: tuple[MemberRecord, ...]
    digest: int
    neighbours: Neighbours


@attrs.define(kw_only=True, eq=False)
class Roster:
    """The members as this VM knows them; times in seconds of its monotonic clock."""

    _own: Member
    _settings: MembershipSettings
    _started_at: float
    table: MemberTable = attrs.field(factory=MemberTable, init=False)
    queue: NewsQueue = attrs.field(factory=NewsQueue, init=False)
    health: LocalHealth = attrs.field(factory=LocalHealth, init=False)
    own: MemberRecord = attrs.field(init=False)
    changed: bool = attrs.field(default=True, init=False)
    superseded: bool = attrs.field(default=False, init=False)
    _summary: _Summary | None = attrs.field(default=None, init=False)
    _suspected: set[str] = attrs.field(factory=set, init=False)
    _fill_turn: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.own = MemberRecord(
            incarnation=self._own.incarnation,
            data_center=self._own.data_center,
            http=self._own.http,
            peers=self._own.peers,
            known_since=self._started_at,
        )
        self.table.put(self.own)

    @property
    def others(self) -> tuple[MemberRecord, ...]:
        """The other members that are not dead."""
        return self._summed_up.others

    @property
    def digest(self) -> int:
        """A digest of all members that are not dead."""
        return self._summed_up.digest

    @property
    def neighbours(self) -> Neighbours:
        """The neighbours on the overlay of the members that are not dead."""
        return self._summed_up.neighbours

    @property
    def watched(self) -> list[MemberRecord]:
        """The members that this one probes in turn."""
        return self._records(self.neighbours.watched)

    @property
    def adjacent(self) -> list[MemberRecord]:
        """The members that this one passes changes to."""
        return self._records(self.neighbours.adjacent)

    @property
    def _summed_up(self) -> _Summary:
        if self._summary is None:
            others = tuple(r for r in self.table if r.live and r is not self.own)
            names = (record.incarnation.name for record in others)
            self._summary = _Summary(
                others=others,
                digest=self.table.digest,
                neighbours=neighbours(self._own.incarnation.name, names),
            )
        return self._summary

    def view(self, now: float) -> MemberView:
        """Give the members as others may read them."""
        usual = self._usual_load(now)
        entries = (record.member(now, usual_load=usual) for record in self.table)
        members = sorted(entries, key=lambda member: member.name)
        return MemberView(members=tuple(members), own=self._own.incarnation)

    def own_news(self, now: float) -> MemberUpdate:
        """Give the news of this VM."""
        return self.own.news(now)

    def take_fill(
        self, now: float, *, about: MemberRecord | None = None
    ) -> tuple[MemberUpdate, ...]:
        """Give the news for one message: of one member in turn, for its load.

        A receiver that is suspected is told so, since only it can answer.
        """
        names: dict[str, None] = {}
        if about is not None and about.status is not Status.ALIVE:
            names[about.incarnation.name] = None
        fill = self._next_fill()
        if fill is not None:
            names[fill] = None
        return tuple(record.news(now) for record in self._records(names))

    def take_riding_verdicts(self) -> tuple[Verdict, ...]:
        """Give the recent changes that ride on one message."""
        return tuple(record.verdict for record in self._records(self.queue.take_piggyback()))

    def correction(self, news: MemberUpdate, now: float) -> tuple[MemberUpdate, ...]:
        """Give what a sender must hear of itself: a suspicion, its death, its newer life."""
        record = self.table.find_by_name(news.name)
        if record is None:
            return ()
        same = record.incarnation == news.incarnation
        if same and record.status is Status.ALIVE and record.leaving == news.leaving:
            return ()
        return (record.news(now),)

    def merge_news(self, news: Iterable[MemberUpdate], now: float) -> None:
        """Join news of members."""
        for one in news:
            self._merge(one, now)

    def merge_verdicts(self, verdicts: Iterable[Verdict], now: float) -> None:
        """Join verdicts on members."""
        for verdict in verdicts:
            self._merge_verdict(verdict, now)

    def take_flood(self, now: float) -> Gossip | None:
        """Give the changes to pass on to the neighbours now, or None."""
        changes = self.queue.take_flood(now)
        whole = self._records(change.name for change in changes if change.whole)
        known = self._records(change.name for change in changes if not change.whole)
        if not whole and not known:
            return None
        return Gossip(
            news=tuple(record.news(now) for record in whole),
            verdicts=tuple(record.verdict for record in known),
        )

    def suspect(self, record: MemberRecord, now: float) -> None:
        """Start to suspect a member."""
        record.set_status(version=record.version, status=Status.SUSPECT, now=now)
        self.note_change(record)
        self._start_suspicion(record, now)

    def end_suspicions(self, now: float) -> None:
        """Count as dead whoever has not answered its suspicion in time."""
        for record in self._under_suspicion():
            if record.suspect_until is not None and now >= record.suspect_until:
                record.set_status(version=record.version, status=Status.DEAD, now=now)
                self.note_change(record)

    def restart_suspicions(self, now: float) -> None:
        """Give every suspected member its full time again."""
        for record in self._under_suspicion():
            self._start_suspicion(record, now)

    def mark_leaving(self, record: MemberRecord) -> None:
        """Mark a life as leaving; there is no way back."""
        if record.leaving:
            return
        record.set_leaving()
        self.note_change(record)

    def note_change(self, record: MemberRecord, *, whole: bool = False) -> None:
        """Note that peers must hear of a member, and readers see a new view."""
        self.queue.add(record.incarnation.name, whole=whole)
        self.changed = True
        self._summary = None

    def _merge(self, news: MemberUpdate, now: float) -> None:
        record = self.table.find_by_name(news.name)
        if record is None or news.incarnation > record.incarnation:
            self._learn(news, record, now)
        elif news.incarnation < record.incarnation:
            return
        elif record is self.own:
            self._answer(news.verdict)
        elif record.merge(news, now):
            self._note_merged(record, now)

    def _merge_verdict(self, verdict: Verdict, now: float) -> None:
        """Join a verdict; one on a life not known here is left to the digests."""
        record = self.table.find_by_name(verdict.name)
        if record is None or record.incarnation.nonce != verdict.nonce:
            return
        if record is self.own:
            self._answer(verdict)
        elif record.merge_verdict(verdict, now):
            self._note_merged(record, now)

    def _note_merged(self, record: MemberRecord, now: float) -> None:
        self.note_change(record)
        if record.status is Status.SUSPECT and record.suspect_until is None:
            self._start_suspicion(record, now)

    def _learn(self, news: MemberUpdate, former: MemberRecord | None, now: float) -> None:
        """Take a life heard of for the first time.

        The death of a name never heard of is not kept: each VM forgets its dead at
        its own time, and they would learn them from one another for ever.
        """
        if former is None and news.status is Status.DEAD:
            return
        record = record_of(news, now)
        self.table.put(record)
        self.superseded = self.superseded or former is self.own
        self.note_change(record, whole=True)
        if record.status is Status.SUSPECT:
            self._start_suspicion(record, now)

    def _answer(self, verdict: Verdict) -> None:
        """Answer a verdict on the own life: leaving is taken over, a suspicion is refuted."""
        if verdict.leaving:
            self.mark_leaving(self.own)
        if verdict.status is Status.ALIVE or verdict.version < self.own.version:
            return
        self.health.note_own_fault()
        self.own.set_version(verdict.version + 1)
        self.note_change(self.own)

    def _start_suspicion(self, record: MemberRecord, now: float) -> None:
        patience_s = self._settings.suspicion_periods * self._settings.period_s
        record.suspect_until = now + patience_s * self.health.factor
        self._suspected.add(record.incarnation.name)

    def _under_suspicion(self) -> list[MemberRecord]:
        records = self._records(sorted(self._suspected))
        running = [record for record in records if record.suspect_until is not None]
        self._suspected = {record.incarnation.name for record in running}
        return running

    def _usual_load(self, now: float) -> float:
        """Give the mean of the known loads.

        In a large fleet most loads are not known; counted as idle, those members
        would draw the callers away from the few that are known to have room.
        """
        known = [r.load for r in self.table if r.live and r.load_known(now)]
        return sum(known) / len(known) if known else 0.0

    def _next_fill(self) -> str | None:
        others = self.others
        if not others:
            return None
        self._fill_turn = (self._fill_turn + 1) % len(others)
        return others[self._fill_turn].incarnation.name

    def _records(self, names: Iterable[str]) -> list[MemberRecord]:
        found = (self.table.find_by_name(name) for name in names)
        return [record for record in found if record is not None]
