"""Which targets may be given new work, from late lists and the news of peers.

A target that was once known to be leaving stays so, by name and address, until
a list that was read ``hold_s`` after the last such reading says that it is live.
A late list or a crossed message can therefore not bring it back, nor can time
alone while the platform is down.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lagoonlever.decisions.targets.targets import Target, TargetIncarnation, TargetKind, TargetState
from lagoonlever.http.messages import Address

HOLD_S = 30.0
"""Longer than the platform's list is expected to lag: a list that says live may be that old."""
REPEAT_S = 10.0
"""Peers are told again this often while the list still says leaving: thrice within the hold."""
FORGET_S = 60.0


@attrs.frozen(kw_only=True)
class ListedTarget:
    """One target as the platform's list, or a peer's copy of it, gives it."""

    name: str
    address: Address
    kind: TargetKind
    leaving: bool = False
    data_center: str = ""


@attrs.frozen(kw_only=True)
class LeavingEvidence:
    """Somebody read, ``age_s`` seconds ago, in the platform's list that a target leaves."""

    name: str
    address: Address
    age_s: float


@attrs.frozen(kw_only=True)
class TargetListReading:
    """A list of targets, read by a call that began at ``read_at`` (monotonic seconds)."""

    targets: tuple[ListedTarget, ...]
    read_at: float


@attrs.define(kw_only=True)
class TargetListing:
    """The targets known, and the evidence that some of them are leaving; times are monotonic."""

    _hold_s: float = HOLD_S
    _repeat_s: float = REPEAT_S
    _forget_s: float = FORGET_S
    _read_at: float | None = None
    _listed: dict[str, ListedTarget] = attrs.field(factory=dict)
    _absent_since: dict[str, float] = attrs.field(factory=dict)
    _leaving_at: dict[TargetIncarnation, float] = attrs.field(factory=dict)
    _told_at: dict[TargetIncarnation, float] = attrs.field(factory=dict)

    def state_of(self, name: str, address: Address) -> TargetState:
        """Give the state of one life of a target: its name at one address."""
        listed = self._listed.get(name)
        if listed is None or listed.address != address or name in self._absent_since:
            return TargetState.GONE
        if listed.leaving or TargetIncarnation(name, address) in self._leaving_at:
            return TargetState.LEAVING
        return TargetState.LIVE

    def targets(self) -> tuple[Target, ...]:
        """Give every target known, in order of name, also those that are leaving or gone."""
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
        """Give all evidence that still holds, with its age."""
        return tuple(
            LeavingEvidence(name=life.name, address=life.address, age_s=now - at)
            for life, at in self._leaving_at.items()
        )

    def read_list(self, reading: TargetListReading) -> tuple[LeavingEvidence, ...]:
        """Take a list; gives the evidence to tell peers at once."""
        if self._read_at is not None and reading.read_at < self._read_at:
            return ()
        self._read_at = reading.read_at
        fresh = {target.name: target for target in reading.targets}
        for name in self._listed.keys() - fresh.keys():
            self._absent_since.setdefault(name, reading.read_at)
        for name in fresh:
            self._absent_since.pop(name, None)
        self._listed.update(fresh)
        news = self._news_of(reading)
        self._forget(reading.read_at)
        return news

    def hear(self, evidence: Iterable[LeavingEvidence], now: float) -> tuple[LeavingEvidence, ...]:
        """Take peers' evidence; gives what was new here, to be told further."""
        news = []
        for item in evidence:
            life = TargetIncarnation(item.name, item.address)
            leaving_at = now - max(0.0, item.age_s)
            if self._outlived(leaving_at):
                continue
            if life not in self._leaving_at:
                news.append(item)
                self._told_at[life] = now
            self._leaving_at[life] = max(leaving_at, self._leaving_at.get(life, leaving_at))
        return tuple(news)

    def _news_of(self, reading: TargetListReading) -> tuple[LeavingEvidence, ...]:
        news = []
        for target in reading.targets:
            if not target.leaving:
                continue
            life = TargetIncarnation(target.name, target.address)
            self._leaving_at[life] = max(reading.read_at, self._leaving_at.get(life, 0.0))
            told_at = self._told_at.get(life)
            if told_at is not None and reading.read_at - told_at < self._repeat_s:
                continue
            self._told_at[life] = reading.read_at
            news.append(LeavingEvidence(name=life.name, address=life.address, age_s=0.0))
        return tuple(news)

    def _outlived(self, leaving_at: float) -> bool:
        """Guard against a list that lags, or a replica of it that lags more than another.

        Without it a target read as leaving, then as live in an older copy, would
        get new work in between. Only a list read ``hold_s`` later counts against
        the evidence: that exceeds the lag, so it can't be the older copy.
        """
        return self._read_at is not None and self._read_at - leaving_at >= self._hold_s

    def _forget(self, now: float) -> None:
        for name, since in list(self._absent_since.items()):
            if now - since < self._forget_s:
                continue
            del self._absent_since[name]
            del self._listed[name]
        for life, leaving_at in list(self._leaving_at.items()):
            if self._outlived(leaving_at):
                del self._leaving_at[life]
                self._told_at.pop(life, None)
