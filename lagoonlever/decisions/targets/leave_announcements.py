"""Targets that have announced in an answer that they leave, whatever the list says of them.

An announcement holds for one process: another process under the same target id has not made it.
The list may be older than the announcement, and may name the process before it, if the store was
restored from an older copy.
"""

from __future__ import annotations

from collections.abc import Container

import attrs

from lagoonlever.decisions.targets.listed_target import ListedTarget

FORGET_S = 60.0
"""An announcement older than this is removed unless its target is listed.

No entry of a target that is gone is still on its way after so long.
"""


@attrs.frozen(kw_only=True)
class _Announcement:
    started_ms: int | None
    """When the process started, by its own clock in Unix milliseconds; None if unknown."""
    at: float

    def is_before(self, started_ms: int | None) -> bool:
        """Check whether it was made by an earlier process than one that started then."""
        if self.started_ms is None or started_ms is None:
            return False
        return self.started_ms < started_ms


@attrs.define(kw_only=True)
class LeaveAnnouncements:
    """The leave announcements by target; times are seconds of the monotonic clock."""

    _announcements: dict[str, _Announcement] = attrs.field(factory=dict)

    @property
    def process_starts(self) -> dict[str, int | None]:
        """The targets that announced that they leave, with the starts of their processes."""
        return {target: known.started_ms for target, known in self._announcements.items()}

    def is_leaving(self, target: str) -> bool:
        """Check whether a target has announced that it leaves."""
        return target in self._announcements

    def record(self, target: str, *, started_ms: int | None, now: float) -> bool:
        """Record that a target's process leaves; return whether it was not known.

        An announcement of the same process or an earlier one than the known one changes nothing.
        """
        known = self._announcements.get(target)
        if known is not None and not known.is_before(started_ms):
            return False
        self._announcements[target] = _Announcement(started_ms=started_ms, at=now)
        return True

    def forget(self, target: str) -> None:
        """Remove the announcement of a target that has restarted as another process."""
        self._announcements.pop(target, None)

    def apply_entry(self, entry: ListedTarget, *, former_start: int | None) -> None:
        """Remove the announcement of an earlier process than the one that an entry names.

        ``former_start`` is the start of the process that was known before the entry, in Unix
        milliseconds; None if none was known.
        """
        known = self._announcements.get(entry.id)
        if known is None:
            return
        start = former_start if known.started_ms is None else known.started_ms
        is_new = entry.has_restarted_since(former_start) and entry.has_restarted_since(start)
        if is_new or entry.is_later_than(start):
            del self._announcements[entry.id]

    def expire(self, now: float, *, kept: Container[str]) -> None:
        """Remove announcements older than ``FORGET_S``, but not those of the targets ``kept``."""
        for target in [t for t, known in self._announcements.items() if now - known.at > FORGET_S]:
            if target not in kept:
                del self._announcements[target]
