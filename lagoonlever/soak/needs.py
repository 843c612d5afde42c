"""What a runner in need has told, and whether the VMs keep to it, by what reaches the runner."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import attrs

from lagoonlever.fakes.target_words import TargetWords
from lagoonlever.soak.judge import Judge

LIMIT_KNOWN_S = 3.0
"""From the first answer that names a limit until it has to be kept to."""
LIMIT_WINDOW_S = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5
LEAVE_KNOWN_S = 2.0
REST_KNOWN_S = 0.5
BRITTLE_KNOWN_S = 3.0
"""From the first answer that says so until a runner may let fewer wait."""
BRITTLE_WINDOW_S = 1.0
MOST_IN_REST = 3
"""Requests of one VM in a rest: the one that is turned away, and two more."""


@attrs.define(kw_only=True, eq=False)
class NeedWatch:
    """Of one runner; times are seconds of the monotonic clock.

    A promise is held against the VMs only where no VM was harmed since the word, as one that
    comes back has not heard it, and no link to a target, as it may hold requests up.
    """

    _target: str
    _judge: Judge
    _says: TargetWords
    _vms: Callable[[], int]
    _calm_since: Callable[[float], bool]
    _limit_at: float | None = None
    """When an answer first named the limit."""
    _leaves_at: float | None = None
    _brittle_at: float | None = None
    """When an answer first said that the runner is brittle."""
    _turned_away: deque[float] = attrs.field(factory=deque)
    _rest_at: float | None = None
    """When an answer first asked for the rest that is open."""
    _in_rest: int = 0
    _arrived: deque[float] = attrs.field(factory=deque)

    def says_now(self, now: float, *, refused: bool) -> None:
        """Note that an answer was given with what the runner says now."""
        if self._says.limit is None:
            self._limit_at = None
        elif self._limit_at is None:
            self._limit_at = now
        if self._says.brittle is None:
            self._brittle_at = None
        elif self._brittle_at is None:
            self._brittle_at = now
        if self._says.leaving is not None and self._leaves_at is None:
            self._leaves_at = now
        if refused and self._says.rest is not None and not self._rests(now):
            self._rest_at, self._in_rest = now, 0

    def arrived(self, now: float) -> None:
        """Hold a request that has come against what the runner has told."""
        self._arrived.append(now)
        while now - self._arrived[0] >= LIMIT_WINDOW_S:
            self._arrived.popleft()
        self._judge_limit(now)
        self._judge_leave(now)
        self._judge_rest(now)

    def turned_away(self, now: float) -> None:
        """Hold a request that there was no room for against what the runner bears."""
        said_at, borne = self._brittle_at, self._says.brittle
        if said_at is None or borne is None or now - said_at < BRITTLE_KNOWN_S:
            return
        self._turned_away.append(now)
        while now - self._turned_away[0] >= BRITTLE_WINDOW_S:
            self._turned_away.popleft()
        if len(self._turned_away) > int(borne) and self._calm_since(said_at):
            detail = f"{self._target} turned {len(self._turned_away)} away, and bears {borne}"
            self._judge.break_promise("brittle targets stand", detail)

    def _judge_limit(self, now: float) -> None:
        known_at, limit = self._limit_at, self._says.limit
        if known_at is None or limit is None or now - known_at < LIMIT_KNOWN_S + LIMIT_WINDOW_S:
            return
        if not self._calm_since(known_at):
            return
        self._judge.counts["requests at runners with a limit"] += 1
        allowed = LIMIT_SHARE * float(limit) * LIMIT_WINDOW_S + LIMIT_SLACK
        if len(self._arrived) > allowed:
            detail = f"{self._target} got {len(self._arrived)} in {LIMIT_WINDOW_S:g} s of {limit}/s"
            self._judge.break_promise("limits are kept", detail)

    def _judge_leave(self, now: float) -> None:
        if self._leaves_at is None or now - self._leaves_at < LEAVE_KNOWN_S:
            return
        if self._calm_since(self._leaves_at):
            detail = f"{self._target} had said {now - self._leaves_at:.2f} s before that it leaves"
            self._judge.break_promise("leaving targets get no work", detail)

    def _judge_rest(self, now: float) -> None:
        if self._rest_at is None or not self._rests(now) or now - self._rest_at < REST_KNOWN_S:
            return
        self._in_rest += 1
        if self._in_rest > MOST_IN_REST * self._vms() and self._calm_since(self._rest_at):
            detail = f"{self._target} got {self._in_rest} requests in its rest"
            self._judge.break_promise("rests are kept", detail)

    def _rests(self, now: float) -> bool:
        rest = self._says.rest
        return self._rest_at is not None and rest is not None and now < self._rest_at + float(rest)
