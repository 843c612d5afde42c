"""Processes of targets that leave as planned, remembered for as long as their ends are judged.

A target that leaves is often gone from the list before a VM finds its end, or another process has
its id by then. So what it said of its leaving is kept by its process: the target's id with the
start of the process.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from lagoonlever.decisions.targets.listed_target import ListedTarget

KEPT_S = 60.0
"""How long a process is remembered after it was last known to leave.

Ends are judged within some seconds; reports of them come later after a loss of all VMs.
"""


@attrs.frozen(kw_only=True)
class TargetProcess:
    """One life of a target; ``started_ms`` is None if it does not report its start."""

    target: str
    started_ms: int | None = None


@attrs.define(kw_only=True)
class _Leaving:
    since: float
    seen_at: float


@attrs.define(kw_only=True)
class LeavingProcesses:
    """The processes that said that they leave; times are seconds of the monotonic clock."""

    _leaving: dict[TargetProcess, _Leaving] = attrs.field(factory=dict)
    _since: dict[TargetProcess, float] = attrs.field(factory=dict)
    changes: int = 0
    """Counts what was added and removed, for those that look again only after a change."""

    @property
    def since(self) -> Mapping[TargetProcess, float]:
        """When each process became known to leave."""
        return self._since

    def is_leaving(self, target: str, started_ms: int | None) -> bool:
        """Check whether a process said that it leaves; of any start if its own isn't known."""
        if started_ms is None:
            return any(process.target == target for process in self._leaving)
        return TargetProcess(target=target, started_ms=started_ms) in self._leaving

    def record(self, target: str, started_ms: int | None, now: float) -> None:
        """Record that a process leaves."""
        process = TargetProcess(target=target, started_ms=started_ms)
        known = self._leaving.get(process)
        if known is not None:
            known.seen_at = now
            return
        self._leaving[process] = _Leaving(since=now, seen_at=now)
        self._note_change()

    def name_start(self, target: str, started_ms: int) -> None:
        """Record the start of a process that was known by its id only."""
        known = self._leaving.get(TargetProcess(target=target))
        if known is not None:
            self._leaving[TargetProcess(target=target, started_ms=started_ms)] = known
            self._note_change()

    def withdraw(self, target: str, started_ms: int | None) -> None:
        """Record that a process is listed as one that stays after all."""
        process = TargetProcess(target=target, started_ms=started_ms)
        if self._leaving.pop(process, None) is not None:
            self._note_change()

    def expire(self, now: float, *, listed: Mapping[str, ListedTarget]) -> None:
        """Forget processes that are gone for long; those that are listed leave still."""
        for process, known in list(self._leaving.items()):
            target = listed.get(process.target)
            if target is not None and target.started_ms == process.started_ms:
                known.seen_at = now
            elif now - known.seen_at > KEPT_S:
                del self._leaving[process]
                self._note_change()

    def _note_change(self) -> None:
        self.changes += 1
        self._since = {process: known.since for process, known in self._leaving.items()}
