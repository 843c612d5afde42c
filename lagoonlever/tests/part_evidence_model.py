"""A fleet in virtual time: parts that end engines, sound requests, and data centres that crash.

All VMs know the same, some time after an engine has ended. Engines read prompts one beside the
other, and all that is at an engine is lost with it.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable

import attrs

from lagoonlever.decisions.engines.answer_stages import BEGUN_S, AnswerStage, weigh_crash
from lagoonlever.decisions.engines.crash_suspects import CrashSuspects
from lagoonlever.decisions.engines.part_causes import SoundParts
from lagoonlever.decisions.engines.suspect_placement import choose_suspect_engine
from lagoonlever.decisions.engines.suspects import Suspects, part_suspects
from lagoonlever.decisions.engines.target_crashes import Crash

ENGINES = 18
DATA_CENTERS = 3
READING_S = (0.6, 1.6)
FLOWS_S = 6.0
NOTICED_S = 0.15
"""From an engine's end until all VMs know."""
BACK_S = 1.4
ATTEMPTS = 5
SOUND_PER_S = 8.0
DEADLY_PER_S = 4.0
STABLE_S = 3.0
MOST_ENDED = 5
DEATHS = {
    AnswerStage.NOTHING: 0.0,
    AnswerStage.PART_OF_HEAD: 0.0,
    AnswerStage.HEAD: 0.01,
    AnswerStage.PART_OF_EVENT: 0.01,
    AnswerStage.BEGUN: 0.02,
}
"""From the begin of an answer until the engine ends, by what has come of it by then."""


@attrs.define(kw_only=True, eq=False)
class Attempt:
    """One request at one engine."""

    asked: Suspects
    attempts: int
    engine: int
    process: str
    deadly: bool
    begins_at: float
    has_flowed: bool = False
    is_over: bool = False


@attrs.frozen(kw_only=True)
class Story:
    """What is played."""

    seed: int
    stage: AnswerStage = AnswerStage.NOTHING
    deadly_parts: int = 1
    subjects: int = 60
    ends_one_in: int = 1
    """A deadly part ends one engine in so many that begin an answer on it."""
    crash_every_s: float = 0.0
    """Between two crashes of all engines of a data centre; none if 0."""
    single_crash_every_s: float = 0.0
    warm_s: float = 3.0
    """For how long sound requests come before those that end engines."""
    length_s: float = 30.0


@attrs.define(kw_only=True, eq=False)
class Model:
    """Plays one story; the counts are the outcome."""

    story: Story
    counts: Counter[str] = attrs.field(factory=Counter)
    late: Counter[str] = attrs.field(factory=Counter)
    """Deadly requests that reached an engine a stable window after the fifth end, by part."""
    ended: dict[str, list[float]] = attrs.field(factory=dict)
    refused_sound: list[str] = attrs.field(factory=list)
    _suspects: CrashSuspects = attrs.field(factory=CrashSuspects)
    _sound: SoundParts = attrs.field(factory=SoundParts)
    _rng: random.Random = attrs.field(init=False)
    _now: float = 0.0
    _queue: list[tuple[float, int, Callable[[], None]]] = attrs.field(factory=list)
    _order: int = 0
    _lives: list[int] = attrs.field(factory=lambda: [0] * ENGINES)
    _down_until: list[float] = attrs.field(factory=lambda: [0.0] * ENGINES)
    _at: list[set[Attempt]] = attrs.field(factory=lambda: [set() for _ in range(ENGINES)])
    _tried: dict[str, float] = attrs.field(factory=dict)

    @_rng.default
    def _make_rng(self) -> random.Random:
        return random.Random(f"{self.story}")

    def play(self) -> Model:
        """Play the story to its end."""
        story = self.story
        self._arrivals(SOUND_PER_S, 0.0, lambda: self._ask("", 0))
        for number in range(story.deadly_parts):
            part = f"bad-{number}"
            rate = DEADLY_PER_S / story.deadly_parts
            self._arrivals(rate, story.warm_s, lambda part=part: self._ask(part, 0))
        if story.crash_every_s:
            self._every(story.crash_every_s, self._crash_data_center)
        if story.single_crash_every_s:
            self._every(story.single_crash_every_s, self._crash_one)
        while self._queue and self._queue[0][0] <= story.length_s:
            self._now, _, act = heapq.heappop(self._queue)
            act()
        return self

    def _later(self, after_s: float, act: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self._now + after_s, self._order, act))

    def _arrivals(self, per_s: float, begin_s: float, act: Callable[[], None]) -> None:
        at = begin_s
        while at < self.story.length_s:
            at += self._rng.expovariate(per_s)
            self._later(at, act)

    def _every(self, period_s: float, act: Callable[[], None]) -> None:
        at = period_s
        while at < self.story.length_s:
            self._later(at, act)
            at += period_s * self._rng.uniform(0.5, 1.5)

    def _ask(self, deadly: str, attempts: int, asked: Suspects | None = None) -> None:
        if asked is None:
            subject = f"subject-{self._rng.randrange(self.story.subjects)}"
            shared = ("all", subject, deadly) if deadly else ("all", subject)
            parts = part_suspects(service="engines", model="m", shared=shared)
            asked = Suspects(request=f"r-{self._rng.getrandbits(60):x}", parts=parts)
        self._suspects.set_answers_known(self._sound.knows_any(self._now))
        if self._waits(asked):
            self._later(0.05, lambda: self._ask(deadly, attempts, asked))
            return
        if self._is_refused(asked):
            self._refuse(asked, deadly)
            return
        engine = self._place(asked)
        if engine is None:
            self._later(0.1, lambda: self._ask(deadly, attempts, asked))
            return
        self._begin(asked, deadly, attempts, engine)

    def _waits(self, asked: Suspects) -> bool:
        """Check whether a request waits until a part of it is cleared or blocked."""
        if self._suspects.find_any_block(asked, self._now) is not None:
            return False
        doubt = self._suspects.find_doubt(asked, self._now)
        if doubt is None:
            return False
        if doubt.over_s < 0:
            return True
        if self._tried.get(doubt.key, -100.0) > self._now - 12.0:
            return True
        self._tried[doubt.key] = self._now
        return False

    def _is_refused(self, asked: Suspects) -> bool:
        if self._suspects.find_any_block(asked, self._now) is not None:
            return True
        trial = self._suspects.find_open_trial(asked, self._now)
        if trial is None:
            return False
        if self._tried.get(trial.key, -100.0) > self._now - 12.0:
            return True
        self._tried[trial.key] = self._now
        return False

    def _refuse(self, asked: Suspects, deadly: str) -> None:
        self.counts["refused deadly" if deadly else "refused sound"] += 1
        if not deadly:
            block = self._suspects.find_any_block(asked, self._now)
            self.refused_sound.append(f"{self._now:.2f} {block}")

    def _place(self, asked: Suspects) -> int | None:
        able = {
            str(engine): self._process(engine)
            for engine in range(ENGINES)
            if self._down_until[engine] <= self._now
        }
        gathering = self._suspects.find_gathering(asked, self._now)
        if gathering is not None:
            chosen = choose_suspect_engine(gathering.key, able, crashed=gathering.crashed)
            return None if chosen is None else int(chosen)
        return int(self._rng.choice(sorted(able))) if able else None

    def _process(self, engine: int) -> str:
        return f"e-{engine}-{self._lives[engine]}"

    def _begin(self, asked: Suspects, deadly: str, attempts: int, engine: int) -> None:
        ends = self.ended.get(deadly, []) if deadly else []
        if len(ends) >= MOST_ENDED and self._now - ends[MOST_ENDED - 1] > STABLE_S:
            self.late[deadly] += 1
        reading_s = self._rng.uniform(*READING_S)
        attempt = Attempt(
            asked=asked,
            attempts=attempts + 1,
            engine=engine,
            process=self._process(engine),
            deadly=bool(deadly) and self._rng.randrange(self.story.ends_one_in) == 0,
            begins_at=self._now + reading_s,
        )
        self._at[engine].add(attempt)
        after_s = reading_s
        if attempt.deadly:
            after_s += DEATHS[self.story.stage]
            self._later(after_s, lambda: self._dies(attempt, deadly))
            return
        self._later(reading_s + BEGUN_S, lambda: self._flows(attempt))
        self._later(reading_s + FLOWS_S, lambda: self._leaves(attempt))

    def _dies(self, attempt: Attempt, deadly: str) -> None:
        if attempt.is_over:
            return
        self.ended.setdefault(deadly, []).append(self._now)
        self._crash(attempt.engine)

    def _flows(self, attempt: Attempt) -> None:
        if attempt.is_over:
            return
        attempt.has_flowed = True
        self._sound.record_begin(attempt.asked.parts, self._now)
        for part in self._suspects.suspected(attempt.asked.parts):
            self._suspects.record_answer(part, self._now, is_own=True)

    def _leaves(self, attempt: Attempt) -> None:
        attempt.is_over = True
        self._at[attempt.engine].discard(attempt)

    def _crash_data_center(self) -> None:
        place = self._rng.randrange(DATA_CENTERS)
        for engine in range(ENGINES):
            if engine % DATA_CENTERS == place:
                self._crash(engine)

    def _crash_one(self) -> None:
        self._crash(self._rng.randrange(ENGINES))

    def _crash(self, engine: int) -> None:
        lost, self._at[engine] = self._at[engine], set()
        self._lives[engine] += 1
        self._down_until[engine] = self._now + BACK_S
        for attempt in lost:
            attempt.is_over = True
            stage = self._stage(attempt)
            self._later(NOTICED_S, lambda a=attempt, s=stage, at=self._now: self._notice(a, s, at))

    def _stage(self, attempt: Attempt) -> AnswerStage:
        if attempt.has_flowed:
            return AnswerStage.FLOWING
        if attempt.begins_at > self._now:
            return AnswerStage.NOTHING
        return self.story.stage if attempt.deadly else AnswerStage.BEGUN

    def _notice(self, attempt: Attempt, stage: AnswerStage, at: float) -> None:
        weights = weigh_crash(stage, has_flowed=False, goes_on=False)
        self._suspects.set_answers_known(self._sound.knows_any(self._now))
        asked, process = attempt.asked, attempt.process
        if weights.request:
            crash = Crash(at=at, weight=weights.request)
            self._suspects.record_crash(asked.request, process, crash)
        if weights.parts:
            for part in self._sound.unproven(asked.parts, self._now):
                crash = Crash(at=at, weight=weights.parts, requests=(asked.request,))
                self._suspects.record_crash(part, process, crash)
        self._call_back()
        if attempt.attempts < ATTEMPTS and stage is not AnswerStage.FLOWING:
            self._ask(_deadly_part(asked), attempt.attempts, asked)

    def _call_back(self) -> None:
        """Call back what waits at engines and is blocked now, or goes to another one."""
        for engine in range(ENGINES):
            for attempt in [a for a in self._at[engine] if a.begins_at > self._now]:
                gathering = self._suspects.find_gathering(attempt.asked, self._now)
                place = self._place(attempt.asked) if gathering is not None else engine
                block = self._suspects.find_any_block(attempt.asked, self._now)
                if block is None and place == engine:
                    continue
                self._leaves(attempt)
                self._ask(_deadly_part(attempt.asked), attempt.attempts - 1, attempt.asked)


def _deadly_part(asked: Suspects) -> str:
    """Return the part of a request that ends engines, or an empty text."""
    names = (part.rpartition("/")[2] for part in asked.parts)
    return next((name for name in names if name.startswith("bad-")), "")
