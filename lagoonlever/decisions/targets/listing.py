"""Which targets may be given new work, by lists that may be out of date and by evidence of peers.

A target that was once known to be leaving stays so, by name and address, until a list that was
read at least ``hold_s`` after the last such evidence says that it is live. Neither an outdated
list nor messages that arrive out of order can therefore bring it back, nor can the passage of
time while the platform is down.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.decisions.targets.targets import Target, TargetIncarnation, TargetKind, TargetState
from lagoonlever.http.messages import Address

HOLD_S = 30.0
"""How long evidence that a target leaves overrides a list that says it is live.

It is longer than the platform's list is expected to lag: such a list may be that old.
"""
REPEAT_S = 10.0
"""How often the evidence is sent to peers again while the list still says that a target leaves.

It is sent three times within ``HOLD_S``.
"""
FORGET_S = 60.0
"""How long a target that is no longer in the list is remembered as gone."""


@attrs.frozen(kw_only=True)
class ListEntry:
    """One target as the platform's list, or a peer's copy of it, contains it."""

    name: str
    address: Address
    kind: TargetKind
    leaving: bool = False
    data_center: str = ""


@attrs.frozen(kw_only=True)
class LeavingEvidence:
    """Evidence that a target leaves: a VM read it in the platform's list ``age_s`` seconds ago."""

    name: str
    address: Address
    age_s: float


@attrs.frozen(kw_only=True)
class TargetListReading:
    """A list of targets, read by a call that began at ``read_at`` (monotonic seconds)."""

    targets: tuple[ListEntry, ...]
    read_at: float


@attrs.define(kw_only=True)
class TargetListing:
    """The known targets, and the evidence that some of them are leaving.

    Times are seconds of the monotonic clock.
    """

    _hold_s: float = HOLD_S
    _repeat_s: float = REPEAT_S
    _forget_s: float = FORGET_S
    _read_at: float | None = None
    _listed: dict[str, ListEntry] = attrs.field(factory=dict)
    _absent_since: dict[str, float] = attrs.field(factory=dict)
    """When a list was first read that lacked a known target."""
    _leaving_at: dict[TargetIncarnation, float] = attrs.field(factory=dict)
    """When the last evidence of each leaving target was read."""
    _sent_at: dict[TargetIncarnation, float] = attrs.field(factory=dict)
    """When the evidence was last returned, to be sent to peers."""

    def state_of(self, name: str, address: Address) -> TargetState:
        """Return the state of one incarnation of a target: its name at one address."""
        listed = self._listed.get(name)
        if listed is None or listed.address != address or name in self._absent_since:
            return TargetState.GONE
        if listed.leaving or TargetIncarnation(name, address) in self._leaving_at:
            return TargetState.LEAVING
        return TargetState.LIVE

    def targets(self) -> tuple[Target, ...]:
        """Return every known target, sorted by name, including those that are leaving or gone."""
        return tuple(
            Target(
                name=listed.name,
                address=listed.address,
                kind=listed.kind,
                state=self.state_of(listed.name, listed.address),
                data_center=listed.data_center,
            )
            for _, listed in sorted(self._listed.items())
        )

    def evidence(self, now: float) -> tuple[LeavingEvidence, ...]:
        """Return all evidence that still holds, with its present age."""
        return tuple(
            LeavingEvidence(name=incarnation.name, address=incarnation.address, age_s=now - at)
            for incarnation, at in self._leaving_at.items()
        )

    def apply_list(self, reading: TargetListReading) -> tuple[LeavingEvidence, ...]:
        """Apply a list; return the evidence to send to peers at once.

        A list that was read earlier than the last one is ignored.
        """
        if self._read_at is not None and reading.read_at < self._read_at:
            return ()
        self._read_at = reading.read_at
        fresh = {target.name: target for target in reading.targets}
        for name in self._listed.keys() - fresh.keys():
            self._absent_since.setdefault(name, reading.read_at)
        for name in fresh:
            self._absent_since.pop(name, None)
        self._listed.update(fresh)
        updates = self._record_leaving(reading)
        self._forget(reading.read_at)
        return updates

    def merge_evidence(
        self, evidence: Iterable[LeavingEvidence], now: float
    ) -> tuple[LeavingEvidence, ...]:
        """Merge evidence from peers; return what was new to this VM, to be passed on to others."""
        updates = []
        for item in evidence:
            incarnation = TargetIncarnation(item.name, item.address)
            leaving_at = now - max(0.0, item.age_s)
            if self._is_superseded(leaving_at):
                continue
            if incarnation not in self._leaving_at:
                updates.append(item)
                self._sent_at[incarnation] = now
            self._leaving_at[incarnation] = max(
                leaving_at, self._leaving_at.get(incarnation, leaving_at)
            )
        return tuple(updates)

    def _record_leaving(self, reading: TargetListReading) -> tuple[LeavingEvidence, ...]:
        """Record the targets that a list names as leaving; return the evidence to send now."""
        updates = []
        for target in reading.targets:
            if not target.leaving:
                continue
            incarnation = TargetIncarnation(target.name, target.address)
            self._leaving_at[incarnation] = max(
                reading.read_at, self._leaving_at.get(incarnation, 0.0)
            )
            sent_at = self._sent_at.get(incarnation)
            if sent_at is not None and reading.read_at - sent_at < self._repeat_s:
                continue
            self._sent_at[incarnation] = reading.read_at
            updates.append(
                LeavingEvidence(name=incarnation.name, address=incarnation.address, age_s=0.0)
            )
        return tuple(updates)

    def _is_superseded(self, leaving_at: float) -> bool:
        """Check whether evidence is superseded by a list that was read ``hold_s`` later.

        Guards against a list that lags, or a replica of it that lags more than another. Without
        it a target that is read as leaving, and then as live in an older copy, would get new work
        in between. A list that was read ``hold_s`` later can't be the older copy, as this time
        exceeds the lag.
        """
        return self._read_at is not None and self._read_at - leaving_at >= self._hold_s

    def _forget(self, now: float) -> None:
        """Remove targets absent for ``forget_s`` or longer, and evidence that is superseded."""
        for name, since in list(self._absent_since.items()):
            if now - since < self._forget_s:
                continue
            del self._absent_since[name]
            del self._listed[name]
        for incarnation, leaving_at in list(self._leaving_at.items()):
            if self._is_superseded(leaving_at):
                del self._leaving_at[incarnation]
                self._sent_at.pop(incarnation, None)
