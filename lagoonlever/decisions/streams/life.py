"""The life of one stream whose events are not interpreted: attempts, position, resumes.

Pure: what happened goes in, the next step comes out. The same rules hold as for a
generation of tokens: an event goes out only if it is the next one, an attempt that was
given up gives nothing any more, and a stream is whole only when its engine ended it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.streams.booked_runs import RunCopy

NO_ENGINE_RETRY_S = 0.1
"""While no engine is known, a stream that has begun looks again this often."""
MOST_ROUNDS = 3
"""How often all engines are tried for a stream that has not begun, with a pause between."""
MOST_REFUSALS = 12
"""Engines that answer that they are full; beyond this many, all of them are."""


@dataclass(frozen=True, kw_only=True)
class Place:
    """Choose an engine other than ``avoid`` and send the request there."""

    avoid: frozenset[str]
    prefer: str | None = None
    """An engine that has read the prompt."""
    after_loss: bool = False


@dataclass(frozen=True, kw_only=True)
class ResumeFrom:
    """Send the request to the engine that holds this copy, if it still takes work."""

    copy: RunCopy


@dataclass(frozen=True, kw_only=True)
class WaitForEngine:
    """No engine is known: look again after ``seconds``."""

    seconds: float


@dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Nothing more is to be had; ``may_have_run`` says what the caller can be told."""

    may_have_run: bool
    detail: str
    retry_after_s: float | None = None
    """When its caller may come back; None for as soon as it likes."""


Step = Place | ResumeFrom | WaitForEngine | GiveUp


class EventVerdict(enum.Enum):
    """What to do with an event of an engine."""

    FORWARD = "forward"
    REPEATED = "repeated"
    """The caller has it already; it is dropped."""
    OUT_OF_ORDER = "out-of-order"
    """An event before it is missing: this attempt can't be used."""


MOST_MOVES = 2
"""A run that finds each place taken by others stays at the third."""


HELD_RETRY_S = 0.1
MOST_HELD_ROUNDS = 10
"""Then the prompt is read again elsewhere, which takes about as long."""

GAPS_NEEDED = 16
"""Between events of one engine, before its pace is told."""
DISTURBED = 0.9
"""The gaps that a prompt of another run widens, where one is read for a tenth of the time."""
APART = 2.5
"""Gaps that differ by less show no prompt beside the stream."""
UNDISTURBED = 0.1
"""The part of the gaps that no prompt of another run widens, even at an engine that reads for
most of its time. By a quarter of the gaps, and by announced lengths, prompts were refused that
engines could bear: 0.898 of streams in time, against 0.950 (three days of engines 1.5 times
slower, each way)."""


@attrs.define(kw_only=True)
class StreamPace:
    """What the caller sees of a stream's time, over all attempts; in monotonic seconds."""

    first_at: float | None = None
    longest_pause_s: float = 0.0
    _last_at: float = 0.0
    _gaps: list[float] = attrs.field(factory=list)
    """Between the events of the open attempt."""

    def event(self, now: float) -> None:
        """Note an event that goes to the caller."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self._last_at)
            self._gaps.append(now - self._last_at)
        self._last_at = now

    def attempt_begins(self) -> None:
        """Leave out what another engine has shown."""
        self._gaps.clear()

    def event_s(self) -> float | None:
        """Give what the engine takes for an event while it reads for nobody, or None."""
        if len(self._gaps) < GAPS_NEEDED:
            return None
        ordered = sorted(self._gaps)
        return ordered[int(UNDISTURBED * len(ordered))]

    def slowdown(self) -> float | None:
        """Give how many times as long an event took beside a prompt, or None."""
        usual_s = self.event_s()
        if not usual_s:
            return None
        ordered = sorted(self._gaps)
        times = ordered[int(DISTURBED * len(ordered))] / usual_s
        return times if times >= APART else None


@attrs.define(kw_only=True)
class StreamLife:
    """One request for a stream; ``position`` is the last event that the caller has whole."""

    _repeatable: bool
    _max_attempts: int
    position: int | None = None
    begun: bool = False
    """The head of an answer has gone to the caller."""
    whole: bool = False
    runs: int = 0
    """Attempts that may have run."""
    sent: int = 0
    """Attempts that reached an engine."""
    pace: StreamPace = attrs.field(factory=StreamPace)
    _refusals: int = 0
    _avoid: set[str] = attrs.field(factory=set)
    _copy: RunCopy | None = None
    """The copy that the next attempt goes on from."""
    _growing: RunCopy | None = None
    """The copy of the open attempt; there is none before its first event."""
    _prefer: str | None = None
    _moves: int = 0
    _stayed: set[str] = attrs.field(factory=set)
    """Engines that were kept to once after they lost an answer."""
    _detail: str = ""
    _no_engine: bool = False
    _none_known: bool = False
    _waits_held: bool = False
    _held_rounds: int = 0
    _rounds: int = 0

    @classmethod
    def returning(
        cls,
        *,
        repeatable: bool,
        max_attempts: int,
        position: int | None,
        copy: RunCopy | None,
        prefer: str | None,
    ) -> StreamLife:
        """Begin a stream whose caller may have a part of it already.

        Its former run may have left a copy, and an engine that has read its prompt.
        """
        return cls(
            repeatable=repeatable,
            max_attempts=max_attempts,
            position=position,
            copy=copy,
            prefer=prefer,
        )

    @property
    def detail(self) -> str:
        """What ended the last attempt."""
        return self._detail

    def next_step(self) -> Step:
        """Give what to do now that no attempt is open."""
        if self.runs and not self._repeatable:
            return self._give_up()
        if self.runs >= self._max_attempts or self._refusals >= MOST_REFUSALS:
            return self._give_up()
        if self._no_engine:
            if not self.begun and (self._none_known or self._rounds > MOST_ROUNDS):
                return self._give_up()
            self._no_engine = False
            return WaitForEngine(seconds=NO_ENGINE_RETRY_S)
        if self._waits_held:
            self._waits_held = False
            return WaitForEngine(seconds=HELD_RETRY_S)
        if self._copy is not None:
            return ResumeFrom(copy=self._copy)
        return Place(avoid=frozenset(self._avoid), prefer=self._prefer, after_loss=self.sent > 0)

    def copy_unusable(self) -> None:
        """Note that the engine with the copy takes no work."""
        self._copy = None

    def no_engine(self) -> None:
        """Note that there is no engine to choose: those that failed may be tried again."""
        self._no_engine = True
        self._none_known = not self._avoid
        self._rounds += 1
        self._avoid.clear()

    def unreachable(self, engine: str, detail: str) -> None:
        """Note that nothing could be sent to an engine.

        Counts as no refusal: when a data centre fails, its engines look idle and are
        tried one after the other, each for some milliseconds, and a stream that was given
        up after a dozen of them was told that no engine takes it while most were free.
        """
        self._avoid.add(engine)
        self._copy = None
        self._detail = detail

    def held_back(self, engine: str) -> None:
        """Note that an engine takes no more for now.

        Where it holds the copy to go on from, a moment's wait costs less than to read again.
        """
        self._detail = f"{engine} takes no more for now"
        if self._copy is None:
            return
        self._waits_held = self._held_rounds < MOST_HELD_ROUNDS
        self._held_rounds += 1
        if not self._waits_held:
            self._copy = None

    def was_sent(self, *, copy: RunCopy | None) -> None:
        """Note that a request is being written: from now on it may have run."""
        self.sent += 1
        self.runs += 1
        self._copy = None
        self._prefer = None
        self._growing = copy
        self.pace.attempt_begins()

    def flows(self) -> None:
        """Note the first event of the open attempt: from now on its copy can be used."""
        self._copy = self._growing

    def copied(self, copy: RunCopy) -> None:
        """Note a copy of the open attempt that was made by a call."""
        self._copy = copy

    def refused(self, engine: str, detail: str) -> None:
        """Note that an engine says that it has not run the request."""
        self.runs -= 1
        self._refusals += 1
        self._avoid.add(engine)
        self._copy = None
        self._detail = detail

    def lost(self, engine: str, detail: str, *, alive: bool = False, read: bool = False) -> None:
        """Note that an attempt broke off; its run may be gone on from a copy.

        An engine that lives and has read the prompt (``read``) is the next best place:
        it only lost an answer. Once, as one that loses answers may lose the next too.
        """
        self._detail = detail
        if alive and read and engine not in self._stayed:
            self._stayed.add(engine)
            self._prefer = engine
            return
        self._avoid.add(engine)

    @property
    def may_repeat(self) -> bool:
        """Whether another attempt may follow the open one."""
        return self._repeatable and self.runs < self._max_attempts

    @property
    def may_resume(self) -> bool:
        """Whether another attempt could go on from a copy."""
        return self.may_repeat and self._copy is not None

    @property
    def may_move(self) -> bool:
        """Whether the open attempt may be left for a better place."""
        return self.may_repeat and self._moves < MOST_MOVES

    def moved(self) -> None:
        """Note that the open attempt was left, before its first event, for a better place."""
        self._moves += 1

    def event(self, event_id: int | None) -> EventVerdict:
        """Judge an event; one without a number goes along with the others."""
        if event_id is None:
            return EventVerdict.FORWARD
        expected = (self.position or 0) + 1
        if event_id < expected:
            return EventVerdict.REPEATED
        if event_id > expected:
            return EventVerdict.OUT_OF_ORDER
        self.position = event_id
        return EventVerdict.FORWARD

    def _give_up(self) -> GiveUp:
        return GiveUp(may_have_run=self.runs > 0, detail=self._detail or "no engine takes it now")
