"""State machine of one stream of opaque events: attempts, position of the caller, resumes.

It does no input or output: what happened is recorded, and the next step is returned. The rules
are those of a token generation: an event is forwarded only if it is the next one, events of an
abandoned attempt are dropped, and a stream is complete only when its engine ended it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import attrs

from lagoonlever.decisions.streams.engine_runs import RunCopy
from lagoonlever.decisions.streams.stream_origins import StreamOrigin

NO_ENGINE_RETRY_S = 0.1
"""Interval in seconds at which a stream looks for an engine again while none can be chosen."""
MAX_ENGINE_ROUNDS = 3
"""Number of times that all engines are tried, with a pause between, for a stream of which the
caller has nothing yet. After them it is given up."""
MAX_REFUSALS = 12
"""Number of refusals after which a stream is given up, as all engines are taken to be full."""


@dataclass(frozen=True, kw_only=True)
class PlaceAttempt:
    """Step: choose an engine that is not in ``avoid`` and send the request there."""

    avoid: frozenset[str]
    prefer: str | None = None
    """An engine that has the prompt in its cache."""
    after_loss: bool = False
    """Whether an engine has received an earlier attempt."""


@dataclass(frozen=True, kw_only=True)
class ResumeFromCopy:
    """Step: send the request to the engine that holds this copy, if it still accepts work."""

    copy: RunCopy


@dataclass(frozen=True, kw_only=True)
class WaitForEngine:
    """Step: no engine can be used now; ask for the next step again after ``seconds``."""

    seconds: float


@dataclass(frozen=True, kw_only=True)
class GiveUp:
    """Step: end the stream as failed.

    Whether an engine may have run the request is told by the state of its stream alone.
    """

    detail: str
    retry_after_s: float | None = None
    """Seconds after which the caller may retry; None if it may retry at once."""
    leaving: bool = False
    """Whether it is this VM that stops, while engines could go on."""
    begin_anew: bool = False
    """Whether no engine can ever go on with the stream, so that a retry only helps without the
    events that the caller has."""


Step = PlaceAttempt | ResumeFromCopy | WaitForEngine | GiveUp


class EventVerdict(enum.Enum):
    """Decision on an event received from an engine."""

    FORWARD = "forward"
    """The event is the next one; it is sent to the caller."""
    REPEATED = "repeated"
    """The caller has the event already; it is dropped."""
    OUT_OF_ORDER = "out-of-order"
    """An event before it is missing, so the attempt cannot be used any more."""


MAX_MOVES = 2
"""Maximum number of times that a run is moved before its first event.

A run that finds each better engine taken by other runs stays at the third engine.
"""


BUSY_ENGINE_RETRY_S = 0.1
"""Interval in seconds at which an engine that has the copy, but is at capacity, is tried again."""
MAX_BUSY_ENGINE_RETRIES = 10
"""Maximum number of such retries. After them the prompt is prefilled again elsewhere, which
takes about as long as the retries did."""

MIN_GAPS = 16
"""Minimum number of gaps between events of one engine before its speed is computed."""
DISTURBED_QUANTILE = 0.9
"""Quantile of the gaps that shows decoding beside the prefill of another run.

A prefill widens these gaps at an engine that prefills for a tenth of its time.
"""
MIN_SLOWDOWN_FACTOR = 2.5
"""Minimum ratio of the two quantiles. A smaller one does not show a prefill beside the stream."""
UNDISTURBED_QUANTILE = 0.1
"""Quantile of the gaps that shows decoding without the prefill of another run.

It is the gap without a prefill even at an engine that prefills for most of its time. With the
quantile 0.25, and with announced lengths, prompts were refused that the engines could serve: 0.898
of the streams were in time, against 0.950 with this quantile (over three days each, on engines 1.5
times slower).
"""


@attrs.define(kw_only=True)
class StreamTiming:
    """Timing of a stream's events as its caller sees it, over all attempts.

    Points in time are seconds of the monotonic clock.
    """

    first_at: float | None = None
    longest_pause_s: float = 0.0
    _last_event_at: float = 0.0
    _gaps: list[float] = attrs.field(factory=list)
    """Seconds between successive events of the open attempt."""

    def record_event(self, now: float) -> None:
        """Record an event that is forwarded to the caller at ``now``."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self._last_event_at)
            self._gaps.append(now - self._last_event_at)
        self._last_event_at = now

    def start_attempt(self) -> None:
        """Discard the gaps of the previous attempt, which may have run at another engine."""
        self._gaps.clear()

    def undisturbed_event_s(self) -> float | None:
        """Return the seconds per event while no prefill of another prompt disturbs the engine.

        Return None while too few gaps are known.
        """
        if len(self._gaps) < MIN_GAPS:
            return None
        ordered = sorted(self._gaps)
        return ordered[int(UNDISTURBED_QUANTILE * len(ordered))]

    def slowdown(self) -> float | None:
        """Return the factor by which a prefill of another run slows the events.

        Return None while it is unknown, and if no prefill shows in the gaps.
        """
        usual_s = self.undisturbed_event_s()
        if not usual_s:
            return None
        ordered = sorted(self._gaps)
        factor = ordered[int(DISTURBED_QUANTILE * len(ordered))] / usual_s
        return factor if factor >= MIN_SLOWDOWN_FACTOR else None


@attrs.define(kw_only=True)
class StreamLifecycle:
    """State machine of one stream request.

    ``position`` is the number of the last event that the caller has received completely.
    """

    _repeatable: bool
    _max_attempts: int
    position: int | None = None
    origin: StreamOrigin | None = None
    """Where the stream began; None while its caller has no event of it."""
    response_started: bool = False
    """Whether the head of the response was sent to the caller."""
    complete: bool = False
    """Whether the stream ended completely."""
    has_flowed: bool = False
    """Whether an engine has written events for longer than one that the request crashes."""
    possible_runs: int = 0
    """Number of attempts that an engine may have run: those sent and not refused."""
    sent_attempts: int = 0
    """Number of attempts that were sent to an engine."""
    timing: StreamTiming = attrs.field(factory=StreamTiming)
    _refusals: int = 0
    _avoided_engines: set[str] = attrs.field(factory=set)
    _copy: RunCopy | None = None
    """The KV-cache copy that the next attempt resumes from."""
    _copy_of_open_attempt: RunCopy | None = None
    """The copy that the engine of the open attempt keeps; usable from its first event on."""
    _prefer: str | None = None
    """An engine that has the prompt in its cache and is tried first."""
    _moves: int = 0
    _preferred_after_loss: set[str] = attrs.field(factory=set)
    """Engines that were preferred once more after they had lost an answer."""
    _detail: str = ""
    _no_engine: bool = False
    """Whether the last placement found no engine to choose."""
    _no_engine_known: bool = False
    """Whether no engine is known at all, because none could be chosen although none was avoided."""
    _waits_for_copy_holder: bool = False
    """Whether the next step is to wait until the holder of the copy accepts work again."""
    _copy_holder_retries: int = 0
    _engine_rounds: int = 0
    """Number of times that all engines were tried."""

    @classmethod
    def for_reconnect(
        cls,
        *,
        repeatable: bool,
        max_attempts: int,
        position: int | None,
        copy: RunCopy | None,
        prefer: str | None,
        origin: StreamOrigin | None = None,
    ) -> StreamLifecycle:
        """Create the state of a stream whose caller may have a part of it already.

        ``origin`` is where the stream began, if the caller has a part of it. ``copy`` is a
        KV-cache copy left by its previous run, and ``prefer`` an engine that has its prompt in
        its cache.
        """
        return cls(
            repeatable=repeatable,
            max_attempts=max_attempts,
            position=position,
            copy=copy,
            prefer=prefer,
            origin=origin,
        )

    @property
    def detail(self) -> str:
        """Why the last attempt ended."""
        return self._detail

    def next_step(self) -> Step:
        """Return what to do next; called while no attempt is open."""
        if self.possible_runs and not self._repeatable:
            return self._give_up()
        if self.possible_runs >= self._max_attempts or self._refusals >= MAX_REFUSALS:
            return self._give_up()
        if self._no_engine:
            if not self.response_started and (
                self._no_engine_known or self._engine_rounds > MAX_ENGINE_ROUNDS
            ):
                return self._give_up()
            self._no_engine = False
            return WaitForEngine(seconds=NO_ENGINE_RETRY_S)
        if self._waits_for_copy_holder:
            self._waits_for_copy_holder = False
            return WaitForEngine(seconds=BUSY_ENGINE_RETRY_S)
        if self._copy is not None:
            return ResumeFromCopy(copy=self._copy)
        return PlaceAttempt(
            avoid=frozenset(self._avoided_engines),
            prefer=self._prefer,
            after_loss=self.sent_attempts > 0,
        )

    def discard_copy(self) -> None:
        """Discard the copy, as the engine that holds it accepts no work."""
        self._copy = None

    def record_no_engine(self) -> None:
        """Record that no engine could be chosen; the engines that failed may be tried again."""
        self._no_engine = True
        self._no_engine_known = not self._avoided_engines
        self._engine_rounds += 1
        self._avoided_engines.clear()

    def record_unreachable(self, engine: str, detail: str) -> None:
        """Record that nothing could be sent to an engine.

        This does not count as a refusal. When a data centre fails, its engines look idle and
        are tried one after the other, each within milliseconds. Counted as refusals, a dozen
        of them made streams fail with "no engine takes it" while most engines were free.
        """
        self._avoided_engines.add(engine)
        self._copy = None
        self._detail = detail

    def record_engine_busy(self, engine: str) -> None:
        """Record that an engine is at capacity.

        If it holds the copy to resume from, a short wait costs less than to prefill again.
        """
        self._detail = f"{engine} takes no more for now"
        if self._copy is None:
            return
        self._waits_for_copy_holder = self._copy_holder_retries < MAX_BUSY_ENGINE_RETRIES
        self._copy_holder_retries += 1
        if not self._waits_for_copy_holder:
            self._copy = None

    def record_sent(self, *, copy: RunCopy | None) -> None:
        """Record that a request is being written to an engine, which may run it from now on.

        ``copy`` is the copy that the engine keeps of this attempt, if any.
        """
        self.sent_attempts += 1
        self.possible_runs += 1
        self._copy = None
        self._prefer = None
        self._copy_of_open_attempt = copy
        self.timing.start_attempt()

    def record_first_event(self) -> None:
        """Record the first event of the open attempt: its copy can be used from now on."""
        self._copy = self._copy_of_open_attempt

    def record_copy(self, copy: RunCopy) -> None:
        """Record an on-demand copy of the open attempt."""
        self._copy = copy

    def record_refusal(self, engine: str, detail: str) -> None:
        """Record that an engine refused the request, and so has not run it."""
        self.possible_runs -= 1
        self._refusals += 1
        self._avoided_engines.add(engine)
        self._copy = None
        self._detail = detail

    def record_loss(
        self, engine: str, detail: str, *, alive: bool = False, read: bool = False
    ) -> None:
        """Record that an attempt broke off; its copy, if any, is kept to resume from.

        An engine that is ``alive`` and has prefilled the prompt (``read``) lost only the
        response, and is preferred for the next attempt. It is preferred only once, as an
        engine that loses responses may lose the next one, too.
        """
        self._detail = detail
        if alive and read and engine not in self._preferred_after_loss:
            self._preferred_after_loss.add(engine)
            self._prefer = engine
            return
        self._avoided_engines.add(engine)

    @property
    def may_repeat(self) -> bool:
        """Whether another attempt may follow the open one."""
        return self._repeatable and self.possible_runs < self._max_attempts

    @property
    def may_resume(self) -> bool:
        """Whether another attempt could resume from a copy."""
        return self.may_repeat and self._copy is not None

    @property
    def may_move(self) -> bool:
        """Whether the open attempt may be moved to a better engine."""
        return self.may_repeat and self._moves < MAX_MOVES

    def record_move(self) -> None:
        """Record that the open attempt was moved to a better engine before its first event."""
        self._moves += 1

    def check_event(self, event_id: int | None) -> EventVerdict:
        """Return what to do with an event, and advance ``position`` if it is the next one.

        An event without a number is forwarded.
        """
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
        return GiveUp(detail=self._detail or "no engine takes it now")
