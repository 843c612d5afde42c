"""Finds out whether engines have crashed under requests that were left."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from lagoonlever.decisions.engines.left_attempts import (
    LINGER_S,
    LeftAttempt,
    LeftAttempts,
    weigh_found_late,
)
from lagoonlever.decisions.engines.target_crashes import process_name
from lagoonlever.gateway.accepted import Accepted
from lagoonlever.gateway.beliefs import Beliefs
from lagoonlever.gateway.dialer import TargetDialer
from lagoonlever.gateway.lost_engines import Loss, LostEngines
from lagoonlever.timers import TimerService


@attrs.define(kw_only=True, eq=False)
class LeftEngines:
    """Remembers attempts that were left, and has those judged whose engines may have crashed."""

    _lost_engines: LostEngines
    _beliefs: Beliefs
    _dialer: TargetDialer
    _timers: TimerService
    _has_ends: Callable[[Accepted], bool]
    """Checks whether engines are known to have ended under a request, or under a part of it."""
    _left: LeftAttempts[Loss] = attrs.field(factory=LeftAttempts)

    def left(self, loss: Loss, *, is_broken: bool) -> None:
        """Record that an attempt was left; ``is_broken`` after its connection had broken."""
        if is_broken:
            self._lost_engines.judge(loss)
            return
        if self._has_ends(loss.accepted):
            late = attrs.evolve(loss, at=loss.at + LINGER_S)
            self._lost_engines.judge(late, after_s=LINGER_S)
            return
        process = process_name(loss.engine.id, loss.engine.started_ms)
        self._left.record(
            LeftAttempt(work=loss, process=process, sent_at=loss.sent_at, left_at=loss.at)
        )

    def take_crashes(self, crashes: Mapping[str, float]) -> None:
        """Count the crashes of some processes, by their times, under requests that were there."""
        if not self._left:
            return
        for process, at in crashes.items():
            for loss in self._left.take_crashed(process, at):
                self._lost_engines.record_gone(attrs.evolve(loss, at=at))

    def look(self) -> None:
        """Have engines asked that may have crashed, and forget what is old."""
        now = self._timers.now
        for loss in self._left.take_shown(self._may_be_gone, now):
            weights = weigh_found_late(loss.weights)
            self._lost_engines.judge(attrs.evolve(loss, at=now, weights=weights))
        self._left.expire(now)

    def _may_be_gone(self, loss: Loss) -> bool:
        """Check whether anything says that an engine's process is lost, without asking it."""
        targets, engine = self._beliefs.targets, loss.engine
        listed = targets.find(engine.id)
        if listed is None or listed.draining:
            # One that leaves as planned has crashed under nobody.
            return False
        return (
            listed.has_restarted_since(engine.started_ms)
            or targets.is_in_doubt(engine.id)
            or self._dialer.is_down(engine.address)
            or self._has_ends(loss.accepted)
        )
