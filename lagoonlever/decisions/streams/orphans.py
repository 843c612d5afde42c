"""Cancellation of orphaned streams, which run at an engine after their VM has died.

A VM reports each stream that has run for a while to one peer. If the VM dies and no other VM
takes the stream over within a grace time, the peer cancels it at its engine. The records are
soft state: if one is lost, the engine finishes a stream that no VM reads.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.decisions.membership.membership import MemberState, MemberView
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

RECORD_AFTER_S = 2.0
"""Age in seconds at which a stream is reported; shorter streams end before a peer could act."""
GRACE_S = 20.0
"""Time in seconds after the loss of its owner until a stream is cancelled.

It is longer than a caller takes to reconnect to another VM, and that VM to report the stream.
"""
RECORD_TTL_S = 900.0
"""Age in seconds at which the record of a live owner is removed, in case its end was not
reported."""


@attrs.frozen(kw_only=True)
class StreamRecord:
    """A stream at an engine, by the id that the engine gave it."""

    stream_id: str
    engine: Address


@attrs.define(kw_only=True)
class _KeptRecord:
    record: StreamRecord
    owner: Incarnation
    reported_at: float
    lost_at: float | None = None


@attrs.define(kw_only=True)
class StreamReporter:
    """Tracks which of this VM's own streams were reported, and to which peer."""

    _reported_to: dict[str, Incarnation] = attrs.field(factory=dict)

    def due_reports(self, open_since: dict[str, float], now: float) -> list[str]:
        """Return the ids of the open streams that are now old enough to be reported.

        Streams that were reported already are left out.
        """
        return [
            stream_id
            for stream_id, since in open_since.items()
            if stream_id not in self._reported_to and now - since >= RECORD_AFTER_S
        ]

    def record_report(self, stream_id: str, holder: Incarnation) -> None:
        """Record that a stream was reported to the peer ``holder``."""
        self._reported_to[stream_id] = holder

    def pop_ended(self, open_since: dict[str, float]) -> list[tuple[str, Incarnation]]:
        """Return the reported streams that have ended, each with its peer, and remove them."""
        ended = [(name, at) for name, at in self._reported_to.items() if name not in open_since]
        for name, _ in ended:
            del self._reported_to[name]
        return ended


@attrs.define(kw_only=True)
class OrphanRegistry:
    """Stream records that this VM keeps for its peers."""

    _records: dict[str, _KeptRecord] = attrs.field(factory=dict)

    @property
    def records(self) -> int:
        """The number of records."""
        return len(self._records)

    def add_record(self, record: StreamRecord, *, owner: Incarnation, now: float) -> None:
        """Add a record; a later owner of the same stream replaces the previous one."""
        self._records[record.stream_id] = _KeptRecord(record=record, owner=owner, reported_at=now)

    def remove_records(self, stream_ids: Iterable[str], *, owner: Incarnation) -> None:
        """Remove the records of streams whose owner reports that they have ended.

        Only the last owner of a stream can do so: when a stream was taken over, its previous
        owner stops reading it while the stream continues.
        """
        for stream_id in stream_ids:
            kept = self._records.get(stream_id)
            if kept is not None and kept.owner == owner:
                del self._records[stream_id]

    def pop_due(self, view: MemberView, now: float) -> list[StreamRecord]:
        """Return the streams to cancel, whose owner has been lost for the grace time.

        Their records are removed, so each stream is returned once.
        """
        orphans: list[StreamRecord] = []
        for stream_id, kept in list(self._records.items()):
            if not _is_owner_lost(kept.owner, view):
                kept.lost_at = None
                if now - kept.reported_at > RECORD_TTL_S:
                    del self._records[stream_id]
                continue
            kept.lost_at = now if kept.lost_at is None else kept.lost_at
            if now - kept.lost_at >= GRACE_S:
                orphans.append(kept.record)
                del self._records[stream_id]
        return orphans

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this VM from the time for which owners have been lost.

        While it was paused, this VM could not learn that an owner was alive again.
        """
        for kept in self._records.values():
            if kept.lost_at is not None:
                kept.lost_at += seconds


def _is_owner_lost(owner: Incarnation, view: MemberView) -> bool:
    """Check whether a VM's incarnation is dead or has been replaced by a later one."""
    member = view.find(owner)
    if member is None:
        return view.is_replaced(owner)
    return member.state is MemberState.DEAD
