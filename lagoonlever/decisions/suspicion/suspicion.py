"""Whether an engine still lives, judged by the silence of its streams.

``EngineSuspicion`` is the front door, one for each engine: it is told of
streams and tokens, and tells which streams became suspect (start a hedge
elsewhere) or dead (switch). A closed connection needs no judgement and does
not pass here. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import enum
import math

import attrs

from lagoonlever.decisions.suspicion.detectors import (
    DETECTORS,
    Allowance,
    Detector,
    EngineTrack,
    StreamTrack,
    SuspicionReason,
    expected_first_token_s,
)
from lagoonlever.decisions.suspicion.settings import DetectionSettings

LATE_CHECK_S = 0.1
"""A check later than this was held up by this process; call ``assess`` sooner than that."""


class SuspicionLevel(enum.IntEnum):
    """What to do about a stream."""

    HEALTHY = 0
    SUSPECT = 1
    """Start a hedge elsewhere: fill the cache of another engine."""
    DEAD = 2
    """Switch to another engine."""


@attrs.frozen(kw_only=True)
class StreamVerdict:
    """A stream whose level changed, and why."""

    stream: str
    level: SuspicionLevel
    reason: SuspicionReason
    silence_s: float
    takeover_tokens: int
    """What another engine computes to take the stream over: its prompt and its tokens."""


@attrs.define(kw_only=True)
class EngineSuspicion:
    """Judges the streams of one engine; ``peers_spacing_s`` is what its like keep now."""

    _settings: DetectionSettings
    _detector: Detector = attrs.field(init=False)
    _engine: EngineTrack = attrs.field(factory=EngineTrack, init=False)
    _streams: dict[str, StreamTrack] = attrs.field(factory=dict, init=False)
    _levels: dict[str, SuspicionLevel] = attrs.field(factory=dict, init=False)
    _slow_since: float | None = attrs.field(default=None, init=False)
    _next_check_at: float = attrs.field(default=math.inf, init=False)
    _untold_tokens: int = attrs.field(default=0, init=False)
    peers_spacing_s: float | None = None

    def __attrs_post_init__(self) -> None:
        self._detector = DETECTORS[self._settings.method](settings=self._settings)

    @property
    def next_check_at(self) -> float:
        """When ``assess`` may next have something to tell; infinity without streams."""
        return self._next_check_at

    @property
    def spacing_s(self) -> float | None:
        """The engine's spacing of now in seconds a token, or None before it was learnt."""
        spacing = self._engine.spacing
        return spacing.fast_s if spacing.learnt else None

    def level_of(self, stream: str) -> SuspicionLevel:
        """Give the level of an open stream, as last assessed."""
        return self._levels[stream]

    def add_stream(self, stream: str, *, now: float, prompt_tokens: int) -> None:
        """Begin to watch a stream whose request was just written to the engine."""
        track = StreamTrack(stream=stream, prompt_tokens=prompt_tokens, opened_at=now, last_at=now)
        self._streams[stream] = track
        self._levels[stream] = SuspicionLevel.HEALTHY
        allowed = self._detector.allowance(track, self._engine)
        self._next_check_at = min(self._next_check_at, now + allowed.suspect_s)

    def record_token(self, stream: str, *, now: float) -> None:
        """Take note of a token; one of a stream that is not watched is ignored."""
        track = self._streams.get(stream)
        if track is None:
            return
        engine = self._engine
        gap_s = now - track.last_at
        if not track.tokens:
            engine.flowing += 1
            expected_s = expected_first_token_s(self._settings, track.prompt_tokens)
            engine.prefill.observe(delay_s=gap_s, expected_s=expected_s)
        elif self._detector.learns_from(track, engine):
            slow = self._slow_since is not None
            engine.spacing.observe(gap_s, streams=engine.flowing, slow=slow)
        self._untold_tokens += 1
        track.tokens += 1
        track.last_at = now
        engine.moved(now)

    def take_token_count(self) -> int:
        """Give the tokens noted since the last call."""
        count, self._untold_tokens = self._untold_tokens, 0
        return count

    def remove_stream(self, stream: str) -> None:
        """Stop watching a stream, however it ended."""
        track = self._streams.pop(stream, None)
        if track is None:
            return
        del self._levels[stream]
        if track.tokens:
            self._engine.flowing -= 1
        if not self._streams:
            self._next_check_at = math.inf
            self._slow_since = None
            self._engine.spacing.forget_slowness()

    def discount_pause(self, seconds: float, *, now: float) -> None:
        """Count this process's own pause as no silence of the engine.

        After SIGCONT or a long garbage collection the engine's tokens wait unread
        in the socket; without this every stream would look dead at once.
        """
        for track in self._streams.values():
            track.last_at = min(track.last_at + seconds, now)
        self._engine.last_at = min(self._engine.last_at + seconds, now)

    def assess(self, now: float) -> tuple[StreamVerdict, ...]:
        """Give the streams whose level changed since the last assessment."""
        late_s = now - self._next_check_at
        if late_s > LATE_CHECK_S:
            self.discount_pause(late_s, now=now)
        self._note_slowness(now)
        verdicts: list[StreamVerdict] = []
        next_check_at = math.inf
        for track in self._streams.values():
            allowed = self._detector.allowance(track, self._engine)
            silence_s = now - track.last_at
            verdict = self._verdict(track, allowed, silence_s, now)
            if verdict.level is not self._levels[track.stream]:
                self._levels[track.stream] = verdict.level
                verdicts.append(verdict)
            due_s = allowed.dead_s if silence_s >= allowed.suspect_s else allowed.suspect_s
            if verdict.level is not SuspicionLevel.DEAD:
                next_check_at = min(next_check_at, track.last_at + due_s)
        self._next_check_at = max(next_check_at, now)
        return tuple(verdicts)

    def _verdict(
        self, track: StreamTrack, allowed: Allowance, silence_s: float, now: float
    ) -> StreamVerdict:
        level = SuspicionLevel.HEALTHY
        reason = SuspicionReason.NONE
        if silence_s >= allowed.dead_s:
            level, reason = SuspicionLevel.DEAD, allowed.reason
        elif track.tokens and self._slow_long(now):
            level, reason = SuspicionLevel.DEAD, SuspicionReason.SLOW
        elif silence_s >= allowed.suspect_s:
            level, reason = SuspicionLevel.SUSPECT, allowed.reason
        return StreamVerdict(
            stream=track.stream,
            level=level,
            reason=reason,
            silence_s=silence_s,
            takeover_tokens=track.prompt_tokens + track.tokens,
        )

    def _slow_long(self, now: float) -> bool:
        return self._slow_since is not None and now - self._slow_since >= self._settings.slow_for_s

    def _note_slowness(self, now: float) -> None:
        """Tell a slow engine by its own past, unless its like are as slow.

        Under overload all engines slow down; leaving one for another would then
        add a prefill for nothing, so the peers' spacing is the second measure.
        """
        if not self._is_slow():
            self._slow_since = None
        elif self._slow_since is None:
            self._slow_since = now

    def _is_slow(self) -> bool:
        settings, spacing = self._settings, self._engine.spacing
        if settings.method == "fixed" or not settings.slow_factor or not spacing.learnt:
            return False
        usual_s = max(spacing.usual_s, self.peers_spacing_s or 0.0)
        return spacing.fast_s > max(settings.slow_factor * usual_s, settings.slow_spacing_s)
