"""One line for the calls to a service: who goes to which runner now, who waits, who is refused.

The load that is answered: four runners of six slots take 142 calls a second of 60 VMs, demand
swings by half of its mean in seconds, machines turn slow for moments, and an aim of 300 ms
leaves no time for a second try. Each VM by itself hears of a runner every other second, and sends
calls behind a queue while a slot is free elsewhere. So one VM a group of runners gives
out their places, as late as it can: a call waits here and not at a runner.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from lagoonlever.decisions.admission.line_runner import PLACE_KEPT_S, LineRunner, Place
from lagoonlever.decisions.admission.room import (
    RefusedWithReturn,
    RoomAsk,
    RoomGiven,
    RoomOutcome,
    WaitInLine,
)
from lagoonlever.decisions.admission.runners import UNSOUND_EXCESS
from lagoonlever.decisions.targets.reported_load import ReportedLoad

FIRST_WORK_S = 0.1
"""Of one call, until answers have come."""
QUEUED = 1
"""Calls beyond its slots that a runner gets while others wait in the line.

The way from an end to the next begin takes some milliseconds, in which the slot is idle.
"""
WORK_WEIGHT = 0.05
RATE_OVER_S = 0.5
"""The time over which asks are counted."""
RENEW_S = 0.1
"""How often whoever waits asks again."""
SILENT_S = 0.35
"""Whoever has not asked again for so long is gone, or waits elsewhere."""
SLOWER = 1.25
"""Times the pace of the best runner from which on a free slot may be worse than a wait."""
PACE_STEP = 0.25
"""Machines whose pace differs by less count as equal."""
NEAR_SLACK = 1.5
"""Calls that a runner of the same data centre may have more than another one."""
SAMPLE_EVERY = 10
"""Of repeatable calls, one in so many goes to an unsound runner all the same."""
LEAST_RETURN_S = 0.1
MOST_RETURN_S = 5.0
RETURNS_SHARE = 0.2
"""The part of what runners can do that is given to callers that return."""
MOST_AGE_TOLD_S = 99.0
SURE_PART = 0.85
"""Of what runners do, on which calls that are late may count."""
END_SLACK = 1.5
"""Times the usual work that must be left to a call that is to end in its caller's time."""


class CallEnd(enum.Enum):
    """What became of an attempt that had a place."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The runner told of its own failure."""
    LOST = "lost"
    """It could not be reached, refused, or did not answer."""
    UNUSED = "unused"
    """Nothing was sent, through no fault of the runner, or the caller left."""


@attrs.frozen(kw_only=True)
class LineAsk:
    """One attempt that wants a place; its ``request`` is unique to the attempt."""

    room: RoomAsk
    data_center: str = ""
    avoid: frozenset[str] = frozenset()
    """Runners that it has been at already."""


@attrs.frozen(kw_only=True)
class LineNews:
    """What has been decided of an attempt that waited."""

    request: str
    outcome: RoomGiven | RefusedWithReturn
    waited_s: float


@attrs.define(kw_only=True)
class _Waiter:
    ask: LineAsk
    number: int
    """Of the asks, by which the last ties are broken."""
    since: float
    renewed: float
    late: bool = False
    """It began to wait without a prospect to be on time, and goes after all that have one."""

    @property
    def order(self) -> tuple[bool, int, float, bool, int]:
        room = self.ask.room
        return (self.late, room.rank, room.start_by, room.repeatable, self.number)


@attrs.define(kw_only=True)
class CallLine:
    """The places of a group of runners; times are seconds of one monotonic clock."""

    _runners: dict[str, LineRunner] = attrs.field(factory=dict)
    _waiting: dict[str, _Waiter] = attrs.field(factory=dict)
    _news: list[LineNews] = attrs.field(factory=list)
    _work_s: float = FIRST_WORK_S
    _held_s: float = FIRST_WORK_S
    """What a call takes of a slot, with its way there and back, on a machine of the usual pace."""
    _rate: float = 0.0
    """Asks a second, as of ``_rate_at``."""
    _rate_at: float = 0.0
    _short_since: float | None = None
    """Since when some were refused or late without a pause."""
    _last_return: float = float("-inf")
    _samples: int = 0
    _asked: int = 0

    @property
    def work_s(self) -> float:
        """What a call usually takes on a machine of the usual pace."""
        return self._work_s

    @property
    def waiting(self) -> int:
        """The calls that wait."""
        return len(self._waiting)

    def runner(self, name: str) -> LineRunner | None:
        """Give what is known of a runner."""
        return self._runners.get(name)

    def per_s(self, now: float) -> float:
        """Give the calls that the runners can do in a second, at their pace now."""
        able = (each for each in self._runners.values() if self._is_able(each, now))
        return sum(self._per_s_of(each, now) for each in able)

    def describe(self, now: float) -> str:
        """Give each runner's calls, slots, slowness and the age of its word, for a log line."""
        return ", ".join(
            f"{each.name} {each.busy(now):.0f}/{each.slots:g} x{each.slowness(now):.2f}"
            f" {min(each.age_s(now), MOST_AGE_TOLD_S):.2f} s"
            for each in self._runners.values()
        )

    def retain(self, data_centers: Mapping[str, str]) -> None:
        """Give out places at these runners from now on, by name, and at no others."""
        for name in self._runners.keys() - data_centers.keys():
            del self._runners[name]
        for name, data_center in data_centers.items():
            if name not in self._runners:
                self._runners[name] = LineRunner(name=name, data_center=data_center)

    def started_again(self, name: str) -> None:
        """Note that another process has a runner's id: what was known of it is void."""
        former = self._runners.pop(name, None)
        if former is not None:
            self._runners[name] = LineRunner(name=name, data_center=former.data_center)

    def ask(self, ask: LineAsk, now: float) -> RoomOutcome:
        """Decide for an attempt; the same one may ask again, and is given one place at most."""
        request = ask.room.request
        given = self._given(request)
        if given is not None:
            return RoomGiven(target=given.name)
        waiter = self._waiting.get(request)
        if waiter is not None:
            waiter.renewed = now
            return self._in_line(waiter)
        self._count_ask(now)
        self._expire(now)
        self._asked += 1
        return self._join(_Waiter(ask=ask, number=self._asked, since=now, renewed=now), now)

    def ask_second(self, ask: LineAsk, *, first: str, now: float) -> RoomGiven | WaitInLine:
        """Give a place for a second attempt if the runner of the first is in a bad state.

        It never takes a slot that somebody waits for.
        """
        given = self._given(ask.room.request)
        if given is not None:
            return RoomGiven(target=given.name)
        best = None if self._waiting or not self._in_trouble(first, now) else self._best(ask, now)
        if best is None:
            return WaitInLine(seconds=RENEW_S)
        return self._give(ask, best, now)

    def leave(self, request: str) -> None:
        """Note that an attempt neither waits nor has a use for a place any longer."""
        self._waiting.pop(request, None)
        for runner in self._runners.values():
            runner.release(request)

    def ended(
        self,
        request: str,
        runner: str,
        end: CallEnd,
        now: float,
        *,
        seconds: float = 0.0,
        load: ReportedLoad | None = None,
    ) -> None:
        """Take the end of an attempt, its time at the runner, and the runner's word in it."""
        self.leave(request)
        known = self._runners.get(runner)
        if known is None:
            return
        place = known.release(request)
        if end is CallEnd.ANSWERED:
            known.answered(now)
            held_s = now - place.given_at if place else seconds
            # With more calls than slots some of the time was spent in the runner's own queue.
            held_s /= max(1.0, (len(known.places) + 1) / known.slots)
            self._learn(seconds / known.slowness(now), held_s / known.slowness(now))
        elif end is CallEnd.FAILED:
            known.failed(now)
        elif end is CallEnd.LOST:
            known.lost(now)
        if load is not None:
            known.told(load, now, work_s=self._work_s)

    def tick(self, now: float) -> tuple[LineNews, ...]:
        """Give out what is free; gives what was decided of those that wait."""
        self._expire(now)
        for waiter in list(self._waiting.values()):
            if now - waiter.renewed > SILENT_S:
                self.leave(waiter.ask.room.request)
            elif self._is_lost(waiter, now):
                self._put(waiter, self._refusal(waiter.ask, now), now)
        self._serve(now)
        news, self._news = tuple(self._news), []
        return news

    def _expire(self, now: float) -> None:
        for runner in self._runners.values():
            runner.expire(now)

    def _join(self, waiter: _Waiter, now: float) -> RoomOutcome:
        request = waiter.ask.room.request
        self._waiting[request] = waiter
        self._serve(now)
        if request not in self._waiting:
            self._news = [news for news in self._news if news.request != request]
            given = self._given(request)
            assert given is not None
            return RoomGiven(target=given.name)
        if self._start_of(waiter, now) <= waiter.ask.room.start_by:
            return self._in_line(waiter)
        waiter.late = True
        if self._ends_in_time(waiter, now):
            return self._in_line(waiter)
        self.leave(request)
        return self._refusal(waiter.ask, now)

    def _in_line(self, waiter: _Waiter) -> WaitInLine:
        return WaitInLine(seconds=RENEW_S, ahead=self._ahead(waiter))

    def _ahead(self, waiter: _Waiter) -> int:
        return sum(1 for other in self._waiting.values() if other.order < waiter.order)

    def _start_of(self, waiter: _Waiter, now: float) -> float:
        """Give when its turn comes; never where no runner is able."""
        per_s = self.per_s(now)
        return now + (self._ahead(waiter) + 1) / per_s if per_s else float("inf")

    def _ends_in_time(self, waiter: _Waiter, now: float) -> bool:
        """Tell whether a late one is served before its caller's time is over.

        It gets only what those on time leave over: nothing while demand exceeds the runners.
        """
        left_per_s = SURE_PART * self.per_s(now) - self._rate_now(now)
        if left_per_s <= 0:
            return False
        late = sum(1 for other in self._waiting.values() if other.late)
        ahead_s = len(self._waiting) / self.per_s(now) + late / left_per_s
        return now + ahead_s + END_SLACK * self._work_s <= waiter.ask.room.end_by

    def _is_lost(self, waiter: _Waiter, now: float) -> bool:
        """Tell whether one has no prospect any more; one that turned late goes after the others.

        Served in turn, those that are late already would make all behind them late.
        """
        room = waiter.ask.room
        if now + self._work_s > room.end_by:
            return True
        if waiter.late or now <= room.start_by + self._work_s:
            return False
        waiter.late = True
        return not self._ends_in_time(waiter, now)

    def _serve(self, now: float) -> None:
        """Give places to those in front, until the next has to wait."""
        for waiter in sorted(self._waiting.values(), key=lambda each: each.order):
            best = self._best(waiter.ask, now) or self._best(waiter.ask, now, queued=QUEUED)
            if best is None and not waiter.ask.avoid:
                return
            if best is not None and not self._better_waits(waiter, best, now):
                self._put(waiter, self._give(waiter.ask, best, now), now)
        if not self._waiting:
            self._short_since = None

    def _put(self, waiter: _Waiter, outcome: RoomGiven | RefusedWithReturn, now: float) -> None:
        request = waiter.ask.room.request
        del self._waiting[request]
        self._news.append(LineNews(request=request, outcome=outcome, waited_s=now - waiter.since))

    def _best(self, ask: LineAsk, now: float, *, queued: int = 0) -> LineRunner | None:
        """Give the runner at which the call ends first; near and idle ones on ties."""
        open_to = [each for each in self._runners.values() if each.name not in ask.avoid]
        free = [each for each in open_to if each.takes(now, work_s=self._work_s, queued=queued)]
        if not any(self._is_able(each, now) for each in self._runners.values()):
            # Every runner looks stalled: one of them is still better than a refusal.
            free = [each for each in open_to if each.free(now) >= 1.0]
        free = self._sound(free, repeatable=ask.room.repeatable)
        return min(free, key=lambda each: self._cost(each, ask, now), default=None)

    def _cost(self, runner: LineRunner, ask: LineAsk, now: float) -> tuple[bool, int, float]:
        late = runner.is_late(now, work_s=self._work_s)
        pace = round(runner.slowness(now) / PACE_STEP)
        near = NEAR_SLACK if ask.data_center == runner.data_center else 0.0
        return (late, pace, (runner.busy(now) - near) / runner.slots)

    def _sound(self, runners: list[LineRunner], *, repeatable: bool) -> list[LineRunner]:
        """Leave out runners that fail far more often than the best one."""
        if not runners:
            return runners
        least = min(each.failure_rate for each in self._runners.values())
        sound = [each for each in runners if each.failure_rate <= least + UNSOUND_EXCESS]
        if len(sound) == len(runners):
            return runners
        self._samples += repeatable
        if repeatable and self._samples % SAMPLE_EVERY == 0:
            return [each for each in runners if each not in sound]
        return sound or runners

    def _better_waits(self, waiter: _Waiter, best: LineRunner, now: float) -> bool:
        """Tell whether a faster runner that is full now would still end the call sooner."""
        pace = best.slowness(now)
        faster = [
            each
            for each in self._runners.values()
            if self._is_able(each, now)
            and each.name not in waiter.ask.avoid
            and each.slowness(now) * SLOWER < pace
        ]
        per_s = sum(self._per_s_of(each, now) for each in faster)
        if not per_s:
            return False
        wait_s = (self._ahead(waiter) + 1) / per_s
        slowest = max(each.slowness(now) for each in faster)
        ends_sooner = wait_s + slowest * self._work_s < pace * self._work_s
        return ends_sooner and now + wait_s <= waiter.ask.room.start_by

    def _give(self, ask: LineAsk, runner: LineRunner, now: float) -> RoomGiven:
        room = ask.room
        until = min(room.end_by, now + PLACE_KEPT_S)
        runner.give(Place(request=room.request, given_at=now, until=until))
        return RoomGiven(target=runner.name)

    def _given(self, request: str) -> LineRunner | None:
        return next((each for each in self._runners.values() if request in each.places), None)

    def _is_able(self, runner: LineRunner, now: float) -> bool:
        return not runner.stalled and not runner.is_silent(now, work_s=self._work_s)

    def _in_trouble(self, name: str, now: float) -> bool:
        """Tell whether a call there is likely to be answered late or never."""
        runner = self._runners.get(name)
        if runner is None or runner.stalled or runner.is_late(now, work_s=self._work_s):
            return True
        paces = [each.slowness(now) for each in self._runners.values()]
        return runner.slowness(now) > SLOWER * min(paces) or runner.free(now) < 0

    def _refusal(self, ask: LineAsk, now: float) -> RefusedWithReturn:
        """Refuse; those refused come back one after the other, once what is short is over."""
        if self._short_since is None:
            self._short_since = now
        per_s = max(self.per_s(now), 1.0)
        drained_s = max(LEAST_RETURN_S, len(self._waiting) / per_s, now - self._short_since)
        earliest = now + min(drained_s, MOST_RETURN_S / 2)
        self._last_return = max(self._last_return + 1 / (RETURNS_SHARE * per_s), earliest)
        useful_s = ask.room.end_by - now - END_SLACK * self._work_s
        retry_after_s = min(self._last_return - now, max(LEAST_RETURN_S, useful_s), MOST_RETURN_S)
        detail = f"{len(self._waiting)} calls wait for runners that do {per_s:.0f} a second"
        return RefusedWithReturn(detail=detail, retry_after_s=round(retry_after_s, 2))

    def _learn(self, work_s: float, held_s: float) -> None:
        self._work_s += WORK_WEIGHT * (work_s - self._work_s)
        self._held_s += WORK_WEIGHT * (held_s - self._held_s)

    def _per_s_of(self, runner: LineRunner, now: float) -> float:
        return runner.slots / (self._held_s * runner.slowness(now))

    def _count_ask(self, now: float) -> None:
        self._rate = self._rate_now(now) + 1 / RATE_OVER_S
        self._rate_at = now

    def _rate_now(self, now: float) -> float:
        """Give the asks a second; the weight of each falls to nothing in some ``RATE_OVER_S``."""
        return self._rate * max(0.0, 1 - (now - self._rate_at) / RATE_OVER_S)
