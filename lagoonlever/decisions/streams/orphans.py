"""Streams at engines whose VM died: known to a peer, and cancelled if nobody takes them up.

A VM tells one peer of each stream that has run for a while. The records are soft
state: a lost one costs the engine work of a stream that nobody reads.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.decisions.membership.membership import MemberState, MemberView
from lagoonlever.http.messages import Address
from lagoonlever.identity import Incarnation

RECORD_AFTER_S = 2.0
"""Shorter streams end by themselves before anybody would cancel them."""
GRACE_S = 20.0
"""Longer than a caller takes to come back at another VM, and that VM to tell of it."""
FORGET_S = 900.0


@attrs.frozen(kw_only=True)
class StreamRecord:
    """A stream at an engine, by the engine's own id of it."""

    stream_id: str
    engine: Address


@attrs.define(kw_only=True)
class _Kept:
    record: StreamRecord
    owner: Incarnation
    told_at: float
    lost_at: float | None = None


@attrs.define(kw_only=True)
class StreamReporter:
    """What this VM has told of its own streams, and to whom."""

    _told: dict[str, Incarnation] = attrs.field(factory=dict)

    def due(self, open_since: dict[str, float], now: float) -> list[str]:
        """Give the streams that are to be told of now."""
        return [
            stream_id
            for stream_id, since in open_since.items()
            if stream_id not in self._told and now - since >= RECORD_AFTER_S
        ]

    def told(self, stream_id: str, holder: Incarnation) -> None:
        """Note that a holder was told of a stream."""
        self._told[stream_id] = holder

    def ended(self, open_since: dict[str, float]) -> list[tuple[str, Incarnation]]:
        """Give the streams that are over, with whom to tell, once."""
        over = [(name, at) for name, at in self._told.items() if name not in open_since]
        for name, _ in over:
            del self._told[name]
        return over


@attrs.define(kw_only=True)
class OrphanHolder:
    """The records that this VM holds for others."""

    _kept: dict[str, _Kept] = attrs.field(factory=dict)

    @property
    def records(self) -> int:
        """How many records are held."""
        return len(self._kept)

    def opened(self, record: StreamRecord, *, owner: Incarnation, now: float) -> None:
        """Take a record; a later owner of the same stream replaces the former one."""
        self._kept[record.stream_id] = _Kept(record=record, owner=owner, told_at=now)

    def closed(self, stream_ids: Iterable[str], *, owner: Incarnation) -> None:
        """Drop records whose owner says that the streams are over.

        Only its last owner may say so: the former one of a stream that was taken
        over ends its own reading while the stream goes on.
        """
        for stream_id in stream_ids:
            kept = self._kept.get(stream_id)
            if kept is not None and kept.owner == owner:
                del self._kept[stream_id]

    def due(self, view: MemberView, now: float) -> list[StreamRecord]:
        """Give the streams to cancel now: their owner has been gone for the grace time."""
        orphans: list[StreamRecord] = []
        for stream_id, kept in list(self._kept.items()):
            if not _is_lost(kept.owner, view):
                kept.lost_at = None
                if now - kept.told_at > FORGET_S:
                    del self._kept[stream_id]
                continue
            kept.lost_at = now if kept.lost_at is None else kept.lost_at
            if now - kept.lost_at >= GRACE_S:
                orphans.append(kept.record)
                del self._kept[stream_id]
        return orphans

    def paused(self, seconds: float) -> None:
        """Count this VM's own pause as no absence of others."""
        for kept in self._kept.values():
            if kept.lost_at is not None:
                kept.lost_at += seconds


def _is_lost(owner: Incarnation, view: MemberView) -> bool:
    member = view.find(owner)
    if member is None:
        return view.is_replaced(owner)
    return member.state is MemberState.DEAD
