"""An accepted change is in force on every VM within seconds, and is never reverted.

Reads what operators were told, what the platform held, which version each VM
decided by, and when a VM could not have heard. A paused VM has no such excuse
for the work that it takes after it wakes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import attrs

from lagoonlever.history.checkers import Violation, checker
from lagoonlever.history.events import HistoryEvent, RunEnded
from lagoonlever.history.events_settings import (
    SettingsAccepted,
    SettingsInForce,
    SettingsReachable,
    SettingsUnreachable,
    SettingsWorkTaken,
    SettingsWritten,
)
from lagoonlever.history.events_vms import VmStopEnded

NAME = "settings_in_force"
LIMIT_S = 5.0
"""'Within seconds': how long after its acceptance a change may not be in force yet."""


@attrs.define(kw_only=True)
class _Life:
    """One process of one VM: the versions it had in force, and when it could not hear."""

    process: str
    began: float
    versions: list[SettingsInForce] = attrs.field(factory=list)
    deaf: list[tuple[float, float]] = attrs.field(factory=list)

    def version_at(self, at: float) -> int:
        """Give the highest version in force up to a time."""
        return max((each.version for each in self.versions if each.at <= at), default=-1)

    def could_hear(self, start: float, end: float) -> bool:
        """Tell whether the VM was reachable for all of a span, as far as the history tells."""
        return not any(begin < end and start < stop for begin, stop in self.deaf)


@checker(NAME)
def check(events: Sequence[HistoryEvent]) -> list[Violation]:
    """Check the order of writes, the versions of each VM, and how soon they came."""
    lives = _lives(events)
    accepted = [event for event in events if isinstance(event, SettingsAccepted)]
    violations = [
        *_write_violations(events, accepted),
        *_version_violations(lives),
        *_late_violations(events, lives, accepted),
        *_work_violations(events, lives, accepted),
    ]
    return sorted(violations, key=lambda violation: violation.at)


def _violation(subject: str, at: float, message: str) -> Violation:
    return Violation(checker=NAME, subject=subject, at=at, message=message)


def _lives(events: Sequence[HistoryEvent]) -> list[_Life]:
    lives: dict[str, _Life] = {}
    for event in events:
        if isinstance(event, SettingsInForce):
            life = lives.setdefault(event.process, _Life(process=event.process, began=event.at))
            life.versions.append(event)
        elif isinstance(event, SettingsUnreachable | VmStopEnded) and event.process in lives:
            lives[event.process].deaf.append((event.at, math.inf))
        elif isinstance(event, SettingsReachable) and event.process in lives:
            spans = lives[event.process].deaf
            if spans and math.isinf(spans[-1][1]):
                spans[-1] = (spans[-1][0], event.at)
    return list(lives.values())


def _write_violations(
    events: Sequence[HistoryEvent], accepted: list[SettingsAccepted]
) -> Iterable[Violation]:
    written = [event for event in events if isinstance(event, SettingsWritten)]
    if not written:
        return
    last = written[0].base_version
    made: dict[str, int] = {}
    for write in written:
        if write.base_version != last or write.version <= last:
            message = f"version {write.version} overwrites {last}, made of {write.base_version}"
            yield _violation(write.change, write.at, message)
        if write.change in made:
            message = f"made twice, as versions {made[write.change]} and {write.version}"
            yield _violation(write.change, write.at, message)
        made.setdefault(write.change, write.version)
        last = write.version
    for told in accepted:
        if made.get(told.change) != told.version:
            message = f"accepted as version {told.version}, which the platform never held"
            yield _violation(told.change, told.at, message)


def _version_violations(lives: list[_Life]) -> Iterable[Violation]:
    digests: dict[int, str] = {}
    for life in lives:
        highest = -1
        for event in life.versions:
            if event.version < highest:
                message = f"went back from version {highest} to {event.version}"
                yield _violation(life.process, event.at, message)
            highest = max(highest, event.version)
            if digests.setdefault(event.version, event.digest) != event.digest:
                message = f"has other settings in version {event.version} than another VM"
                yield _violation(life.process, event.at, message)


def _late_violations(
    events: Sequence[HistoryEvent], lives: list[_Life], accepted: list[SettingsAccepted]
) -> Iterable[Violation]:
    seen_until = events[-1].at if events and isinstance(events[-1], RunEnded) else -math.inf
    for told in accepted:
        due = told.at + LIMIT_S
        if due > seen_until:
            continue
        for life in lives:
            if life.began > told.at or not life.could_hear(told.at, due):
                continue
            if life.version_at(due) < told.version:
                message = f"version {told.version} is not in force {LIMIT_S:g} s after acceptance"
                yield _violation(life.process, due, message)


def _work_violations(
    events: Sequence[HistoryEvent], lives: list[_Life], accepted: list[SettingsAccepted]
) -> Iterable[Violation]:
    by_process = {life.process: life for life in lives}
    for event in events:
        if not isinstance(event, SettingsWorkTaken) or event.process not in by_process:
            continue
        life = by_process[event.process]
        due = [told.version for told in accepted if told.at + LIMIT_S <= event.at]
        newest = max(due, default=-1)
        # A start or a wake is no excuse: a VM takes no work before it knows the version.
        if event.version < newest and life.could_hear(event.at - LIMIT_S, event.at):
            message = f"took work on version {event.version} long after {newest} was accepted"
            yield _violation(event.process, event.at, message)
