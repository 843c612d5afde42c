"""Failure detection for one engine, from the silence and the speed of its streams.

An engine that freezes or whose VM is lost may leave its connections open, so that
no error shows its death. ``EngineSuspicion`` holds the state of one engine: its
user reports streams and tokens, and calls ``assess`` to learn which streams
became suspect (start a hedge at another engine) or dead (move to another engine).
A closed connection is a certain failure, which the user handles without this
module. All times are in seconds of the monotonic clock.
"""

from __future__ import annotations

import enum
import math

import attrs

from lagoonlever.decisions.suspicion.detectors import (
    DETECTORS,
    Detector,
    EngineState,
    SilenceTimeouts,
    StreamState,
    SuspicionReason,
    expected_first_token_s,
)
from lagoonlever.decisions.suspicion.settings import DetectionSettings

LATE_CHECK_S = 0.1
"""If ``assess`` runs later than its due time by more than this, the delay counts as a pause of
this process, not as silence of the engine. Call ``assess`` at shorter intervals."""


class SuspicionLevel(enum.IntEnum):
    """What to do about a stream, by how likely its engine is dead or too slow to keep it."""

    HEALTHY = 0
    SUSPECT = 1
    """Start a hedge: prefill the stream's prompt and tokens at another engine."""
    DEAD = 2
    """Move the stream to another engine: its engine counts as dead or is too slow."""


@attrs.frozen(kw_only=True)
class StreamVerdict:
    """The new level of a stream, and the reason for it."""

    stream: str
    level: SuspicionLevel
    reason: SuspicionReason
    silence_s: float
    takeover_tokens: int
    """Tokens that another engine must compute to take the stream over: the prompt and the tokens
    received so far."""


@attrs.define(kw_only=True)
class EngineSuspicion:
    """Failure detector for one engine, over all streams that this process has there."""

    _settings: DetectionSettings
    _detector: Detector = attrs.field(init=False)
    _engine: EngineState = attrs.field(factory=EngineState, init=False)
    _streams: dict[str, StreamState] = attrs.field(factory=dict, init=False)
    _levels: dict[str, SuspicionLevel] = attrs.field(factory=dict, init=False)
    _slow_since: float | None = attrs.field(default=None, init=False)
    _next_check_at: float = attrs.field(default=math.inf, init=False)
    _uncounted_tokens: int = attrs.field(default=0, init=False)
    """Tokens recorded since the last call of ``take_token_count``."""
    peers_spacing_s: float | None = None
    """Current token spacing of comparable engines, in seconds per token; None if unknown."""

    def __attrs_post_init__(self) -> None:
        self._detector = DETECTORS[self._settings.method](settings=self._settings)

    @property
    def next_check_at(self) -> float:
        """Return the time at which ``assess`` is due; infinity without streams."""
        return self._next_check_at

    @property
    def spacing_s(self) -> float | None:
        """Return the engine's recent spacing in seconds per token, or None before it is learnt."""
        spacing = self._engine.spacing
        return spacing.recent_s if spacing.has_enough_steps else None

    def level_of(self, stream: str) -> SuspicionLevel:
        """Return the level of an open stream as of the last ``assess``."""
        return self._levels[stream]

    def add_stream(self, stream: str, *, now: float, prompt_tokens: int) -> None:
        """Start to monitor a stream whose request was just sent to the engine."""
        state = StreamState(
            stream=stream, prompt_tokens=prompt_tokens, opened_at=now, last_active_at=now
        )
        self._streams[stream] = state
        self._levels[stream] = SuspicionLevel.HEALTHY
        timeouts = self._detector.timeouts(state, self._engine)
        self._next_check_at = min(self._next_check_at, now + timeouts.suspect_s)

    def record_token(self, stream: str, *, now: float) -> None:
        """Record a token of a stream; ignore it if the stream isn't monitored."""
        state = self._streams.get(stream)
        if state is None:
            return
        engine = self._engine
        gap_s = now - state.last_active_at
        if not state.tokens:
            engine.active_streams += 1
            expected_s = expected_first_token_s(self._settings, state.prompt_tokens)
            engine.prefill.observe(delay_s=gap_s, expected_s=expected_s)
        elif self._detector.should_learn_from_gap(state, engine):
            slow = self._slow_since is not None
            engine.spacing.observe(gap_s, streams=engine.active_streams, slow=slow)
        self._uncounted_tokens += 1
        state.tokens += 1
        state.last_active_at = now
        engine.record_token(now)

    def take_token_count(self) -> int:
        """Return the number of tokens recorded since the last call, and reset it."""
        count, self._uncounted_tokens = self._uncounted_tokens, 0
        return count

    def remove_stream(self, stream: str) -> None:
        """Stop monitoring a stream that ended for any reason; ignore an unknown one.

        Without streams the slow phase ends, because the engine may recover unseen.
        """
        state = self._streams.pop(stream, None)
        if state is None:
            return
        del self._levels[stream]
        if state.tokens:
            self._engine.active_streams -= 1
        if not self._streams:
            self._next_check_at = math.inf
            self._slow_since = None
            self._engine.spacing.reset_recent()

    def discount_pause(self, seconds: float, *, now: float) -> None:
        """Subtract a pause of this process from the silence of all streams.

        After SIGCONT or a long garbage collection, tokens that arrived during the
        pause are still unread in the socket. Without this correction every stream
        would count as dead at once.
        """
        for state in self._streams.values():
            state.last_active_at = min(state.last_active_at + seconds, now)
        self._engine.last_active_at = min(self._engine.last_active_at + seconds, now)

    def assess(self, now: float) -> tuple[StreamVerdict, ...]:
        """Return the streams whose level changed since the last call, and schedule the next."""
        late_s = now - self._next_check_at
        if late_s > LATE_CHECK_S:
            self.discount_pause(late_s, now=now)
        self._update_slow_since(now)
        verdicts: list[StreamVerdict] = []
        next_check_at = math.inf
        for state in self._streams.values():
            timeouts = self._detector.timeouts(state, self._engine)
            silence_s = now - state.last_active_at
            verdict = self._verdict(state, timeouts, silence_s, now)
            if verdict.level is not self._levels[state.stream]:
                self._levels[state.stream] = verdict.level
                verdicts.append(verdict)
            due_s = timeouts.dead_s if silence_s >= timeouts.suspect_s else timeouts.suspect_s
            if verdict.level is not SuspicionLevel.DEAD:
                next_check_at = min(next_check_at, state.last_active_at + due_s)
        self._next_check_at = max(next_check_at, now)
        return tuple(verdicts)

    def _verdict(
        self, state: StreamState, timeouts: SilenceTimeouts, silence_s: float, now: float
    ) -> StreamVerdict:
        """Return the level of a stream from its silence and the engine's speed.

        A slow engine doesn't affect a stream before its first token.
        """
        level = SuspicionLevel.HEALTHY
        reason = SuspicionReason.NONE
        if silence_s >= timeouts.dead_s:
            level, reason = SuspicionLevel.DEAD, timeouts.reason
        elif state.tokens and self._is_slow_for_long(now):
            level, reason = SuspicionLevel.DEAD, SuspicionReason.SLOW
        elif silence_s >= timeouts.suspect_s:
            level, reason = SuspicionLevel.SUSPECT, timeouts.reason
        return StreamVerdict(
            stream=state.stream,
            level=level,
            reason=reason,
            silence_s=silence_s,
            takeover_tokens=state.prompt_tokens + state.tokens,
        )

    def _is_slow_for_long(self, now: float) -> bool:
        """Check whether the engine has been slow for at least ``slow_for_s``."""
        return self._slow_since is not None and now - self._slow_since >= self._settings.slow_for_s

    def _update_slow_since(self, now: float) -> None:
        """Record when the engine became slow, or that it no longer is."""
        if not self._is_slow():
            self._slow_since = None
        elif self._slow_since is None:
            self._slow_since = now

    def _is_slow(self) -> bool:
        """Check whether the engine is slow by its own usual spacing and by its peers' spacing.

        Under overload all engines slow down. Moving streams between them would then
        cost a prefill and gain nothing, so an engine that is only as slow as its
        peers doesn't count as slow.
        """
        settings, spacing = self._settings, self._engine.spacing
        if settings.method == "fixed" or not settings.slow_factor or not spacing.has_enough_steps:
            return False
        usual_s = max(spacing.usual_s, self.peers_spacing_s or 0.0)
        return spacing.recent_s > max(settings.slow_factor * usual_s, settings.slow_spacing_s)
