"""The members as one VM knows them, and how it handles what peers report of them.

The roster merges updates and verdicts into the member table, refutes a suspicion of this VM,
runs the timers of the suspicions of other members, and queues the changes that peers have yet
to receive.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.decisions.membership.membership import Member, MemberView
from lagoonlever.decisions.membership.probe import LocalHealth
from lagoonlever.decisions.membership.rings import Neighbours, neighbours
from lagoonlever.decisions.membership.settings import MembershipSettings
from lagoonlever.decisions.membership.table import MemberRecord, MemberTable, new_record
from lagoonlever.decisions.membership.update_queue import UpdateQueue
from lagoonlever.peers.messages_membership import Gossip, MemberUpdate, Status, Verdict


@attrs.frozen(kw_only=True)
class _Summary:
    """Values derived from the table, computed once after a change and not for each message."""

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
    queue: UpdateQueue = attrs.field(factory=UpdateQueue, init=False)
    health: LocalHealth = attrs.field(factory=LocalHealth, init=False)
    own: MemberRecord = attrs.field(init=False)
    changed: bool = attrs.field(default=True, init=False)
    superseded: bool = attrs.field(default=False, init=False)
    """Whether a newer incarnation of this VM's name is known."""
    _cached_summary: _Summary | None = attrs.field(default=None, init=False)
    _suspected: set[str] = attrs.field(factory=set, init=False)
    """Names of the members whose suspicion timer may be running."""
    _load_turn: int = attrs.field(default=0, init=False)

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
        return self._summary.others

    @property
    def digest(self) -> int:
        """A digest of all members that are not dead."""
        return self._summary.digest

    @property
    def neighbours(self) -> Neighbours:
        """The neighbours on the overlay of the members that are not dead."""
        return self._summary.neighbours

    @property
    def watched(self) -> list[MemberRecord]:
        """The members that this one probes in turn."""
        return self._records(self.neighbours.watched)

    @property
    def adjacent(self) -> list[MemberRecord]:
        """The members that this one passes changes to."""
        return self._records(self.neighbours.adjacent)

    @property
    def _summary(self) -> _Summary:
        """The derived values, computed again if the table has changed."""
        if self._cached_summary is None:
            others = tuple(r for r in self.table if r.live and r is not self.own)
            names = (record.incarnation.name for record in others)
            self._cached_summary = _Summary(
                others=others,
                digest=self.table.digest,
                neighbours=neighbours(self._own.incarnation.name, names),
            )
        return self._cached_summary

    def view(self, now: float) -> MemberView:
        """Return the view that the rest of this VM reads."""
        mean_load = self._mean_load(now)
        entries = (record.member(now, default_load=mean_load) for record in self.table)
        members = sorted(entries, key=lambda member: member.name)
        return MemberView(members=tuple(members), own=self._own.incarnation)

    def own_update(self, now: float) -> MemberUpdate:
        """Return the entry of this VM as it is sent to peers."""
        return self.own.to_update(now)

    def take_load_updates(
        self, now: float, *, receiver: MemberRecord | None = None
    ) -> tuple[MemberUpdate, ...]:
        """Return the entries for one message: the next member in turn, to pass on its load.

        A ``receiver`` that is suspected or dead here also gets its own entry, since only it can
        refute that.
        """
        names: dict[str, None] = {}
        if receiver is not None and receiver.status is not Status.ALIVE:
            names[receiver.incarnation.name] = None
        next_name = self._next_load_name()
        if next_name is not None:
            names[next_name] = None
        return tuple(record.to_update(now) for record in self._records(names))

    def take_piggyback_verdicts(self) -> tuple[Verdict, ...]:
        """Return the recent changes that the next ping or ack carries."""
        return tuple(record.verdict for record in self._records(self.queue.take_piggyback()))

    def correction(self, update: MemberUpdate, now: float) -> tuple[MemberUpdate, ...]:
        """Return the sender's entry as known here if it differs from the sender's own.

        That is the case where the sender is suspected, dead or leaving here, or where a newer
        incarnation of its name is known; otherwise the result is empty.
        """
        record = self.table.find_by_name(update.name)
        if record is None:
            return ()
        same = record.incarnation == update.incarnation
        if same and record.status is Status.ALIVE and record.leaving == update.leaving:
            return ()
        return (record.to_update(now),)

    def merge_updates(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Merge entries of members that a peer sent."""
        for update in updates:
            self._merge_update(update, now)

    def merge_verdicts(self, verdicts: Iterable[Verdict], now: float) -> None:
        """Merge verdicts on members that a peer sent."""
        for verdict in verdicts:
            self._merge_verdict(verdict, now)

    def take_flood(self, now: float) -> Gossip | None:
        """Remove and return the changes to flood to the neighbours now, or None.

        Neighbours may not know a new incarnation yet, so its full entry is sent; of the other
        members a verdict is enough.
        """
        changes = self.queue.take_flood(now)
        full = self._records(change.name for change in changes if change.full)
        known = self._records(change.name for change in changes if not change.full)
        if not full and not known:
            return None
        return Gossip(
            news=tuple(record.to_update(now) for record in full),
            verdicts=tuple(record.verdict for record in known),
        )

    def suspect(self, record: MemberRecord, now: float) -> None:
        """Mark a member as suspected, and start the time in which it can refute that."""
        record.set_status(version=record.version, status=Status.SUSPECT, now=now)
        self.record_change(record)
        self._start_suspicion(record, now)

    def end_suspicions(self, now: float) -> None:
        """Mark the members as dead that have not refuted their suspicion in time."""
        for record in self._suspected_records():
            if record.suspect_until is not None and now >= record.suspect_until:
                record.set_status(version=record.version, status=Status.DEAD, now=now)
                self.record_change(record)

    def restart_suspicions(self, now: float) -> None:
        """Restart the timer of every suspicion at its full length."""
        for record in self._suspected_records():
            self._start_suspicion(record, now)

    def mark_leaving(self, record: MemberRecord) -> None:
        """Mark an incarnation as leaving; this cannot be undone."""
        if record.leaving:
            return
        record.set_leaving()
        self.record_change(record)

    def record_change(self, record: MemberRecord, *, full: bool = False) -> None:
        """Queue a change for the peers, and mark the view and the summary as out of date."""
        self.queue.add(record.incarnation.name, full=full)
        self.changed = True
        self._cached_summary = None

    def _merge_update(self, update: MemberUpdate, now: float) -> None:
        record = self.table.find_by_name(update.name)
        if record is None or update.incarnation > record.incarnation:
            self._add_incarnation(update, record, now)
        elif update.incarnation < record.incarnation:
            return
        elif record is self.own:
            self._apply_to_own(update.verdict)
        elif record.merge(update, now):
            self._on_merged(record, now)

    def _merge_verdict(self, verdict: Verdict, now: float) -> None:
        """Merge a verdict; one on an unknown incarnation is ignored, as digests will find it."""
        record = self.table.find_by_name(verdict.name)
        if record is None or record.incarnation.nonce != verdict.nonce:
            return
        if record is self.own:
            self._apply_to_own(verdict)
        elif record.merge_verdict(verdict, now):
            self._on_merged(record, now)

    def _on_merged(self, record: MemberRecord, now: float) -> None:
        """Queue a change that was merged; start the timer if it is a new suspicion."""
        self.record_change(record)
        if record.status is Status.SUSPECT and record.suspect_until is None:
            self._start_suspicion(record, now)

    def _add_incarnation(
        self, update: MemberUpdate, former: MemberRecord | None, now: float
    ) -> None:
        """Add an incarnation that was not known before; ``former`` is the one it replaces.

        A dead incarnation of an unknown name is not added. Each VM expires its dead members at
        a time of its own, so VMs would otherwise send them back and forth forever.
        """
        if former is None and update.status is Status.DEAD:
            return
        record = new_record(update, now)
        self.table.put(record)
        self.superseded = self.superseded or former is self.own
        self.record_change(record, full=True)
        if record.status is Status.SUSPECT:
            self._start_suspicion(record, now)

    def _apply_to_own(self, verdict: Verdict) -> None:
        """Apply a verdict on this VM: adopt leaving, and refute a suspicion or death.

        A refutation is a version above that of the verdict. That a peer suspected this VM also
        lowers its confidence in its own observations.
        """
        if verdict.leaving:
            self.mark_leaving(self.own)
        if verdict.status is Status.ALIVE or verdict.version < self.own.version:
            return
        self.health.record_own_fault()
        self.own.set_version(verdict.version + 1)
        self.record_change(self.own)

    def _start_suspicion(self, record: MemberRecord, now: float) -> None:
        """Set the time until which a suspected member can refute its suspicion."""
        suspicion_s = self._settings.suspicion_periods * self._settings.period_s
        record.suspect_until = now + suspicion_s * self.health.factor
        self._suspected.add(record.incarnation.name)

    def _suspected_records(self) -> list[MemberRecord]:
        """Return the members whose suspicion timer runs, and drop the others from the set."""
        records = self._records(sorted(self._suspected))
        running = [record for record in records if record.suspect_until is not None]
        self._suspected = {record.incarnation.name for record in running}
        return running

    def _mean_load(self, now: float) -> float:
        """Return the mean of the known loads, which stands for each load that is not known.

        In a large fleet most loads are not known. If they counted as zero, callers would be
        drawn to these members and away from the few that are known to have capacity.
        """
        known = [r.load for r in self.table if r.live and r.is_load_known(now)]
        return sum(known) / len(known) if known else 0.0

    def _next_load_name(self) -> str | None:
        """Return the name of the next other member in turn, or None if there is none."""
        others = self.others
        if not others:
            return None
        self._load_turn = (self._load_turn + 1) % len(others)
        return others[self._load_turn].incarnation.name

    def _records(self, names: Iterable[str]) -> list[MemberRecord]:
        """Return the records of those names that are still known."""
        found = (self.table.find_by_name(name) for name in names)
        return [record for record in found if record is not None]
