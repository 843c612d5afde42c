"""Detectors: policies that decide how long a stream may stay silent.

A dead or frozen engine often leaves its connections open, so its death shows only
in that tokens stop. A detector computes two timeouts for a silent stream, after
which it is suspect and after which it is dead, from the state of the stream, of
its engine and from the engine's learnt token spacing. ``EngineSuspicion`` compares
the actual silence with them. All times are in seconds of the monotonic clock.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

import attrs

from lagoonlever.decisions.suspicion.settings import DetectionSettings
from lagoonlever.decisions.suspicion.spacing import PrefillStats, SpacingStats

NEIGHBOUR_SPACING_FACTOR = 4.0
"""Other streams must have received tokens for more than this multiple of the engine's spacing
(mean plus deviation) after a stream's last token before that stream alone counts as silent."""
NEIGHBOUR_MIN_S = 0.1
"""Lower bound of the time that ``NEIGHBOUR_SPACING_FACTOR`` gives."""
MIN_ENGINE_SILENCE_S = 0.05
"""A longer time without a token on any stream is recorded as a silence of the whole engine."""


class SuspicionReason(enum.Enum):
    """The observation that made a stream suspect or dead."""

    NONE = "none"
    FIRST_TOKEN_LATE = "first-token-late"
    STREAM_SILENT = "stream-silent"
    ENGINE_SILENT = "engine-silent"
    SLOW = "slow"


@attrs.define(kw_only=True)
class StreamState:
    """State of one stream; times are in seconds of the monotonic clock."""

    stream: str
    prompt_tokens: int
    opened_at: float
    last_active_at: float
    """Time of the last token, or of the request before the first one. A pause of this process
    moves it forward, as silence during the pause isn't the engine's."""
    tokens: int = 0
    """Tokens received so far."""


@attrs.define(kw_only=True)
class EngineState:
    """State of one engine over all its streams; times are in seconds of the monotonic clock."""

    spacing: SpacingStats = attrs.field(factory=SpacingStats)
    prefill: PrefillStats = attrs.field(factory=PrefillStats)
    last_active_at: float = float("-inf")
    """Time of the last token on any stream, moved forward by pauses of this process."""
    silent_from: float = float("-inf")
    """Start of the last silence of the whole engine that has ended."""
    silent_until: float = float("-inf")
    """End of that silence."""
    active_streams: int = 0
    """Number of open streams that have received a token."""

    def record_token(self, now: float) -> None:
        """Record a token on any stream, and the silence of the whole engine that it ends.

        After such a silence, one stream receives its token first and the others
        follow in the same step. The bounds of the silence are kept so that it isn't
        mistaken for a silence of those other streams alone.
        """
        if now - self.last_active_at > MIN_ENGINE_SILENCE_S:
            self.silent_from = self.last_active_at
            self.silent_until = now
        self.last_active_at = now


@attrs.frozen(kw_only=True)
class SilenceTimeouts:
    """The silence after which a stream is suspect and after which it is dead, in seconds."""

    suspect_s: float
    dead_s: float
    reason: SuspicionReason
    """The reason to report when one of the timeouts is exceeded."""


class Detector(Protocol):
    """Policy that computes the silence timeouts of a stream."""

    def __init__(self, *, settings: DetectionSettings) -> None: ...

    def should_learn_from_gap(self, stream: StreamState, engine: EngineState) -> bool:
        """Check whether the gap that ends now should update the engine's token spacing."""
        ...

    def timeouts(self, stream: StreamState, engine: EngineState) -> SilenceTimeouts:
        """Compute the timeouts from the two states only, without the current time."""
        ...


DETECTORS: dict[str, type[Detector]] = {}
"""Detector classes by the name that the setting ``method`` selects."""


def detector(name: str) -> Callable[[type[Detector]], type[Detector]]:
    """Register the decorated class as the detector that the setting ``method`` calls ``name``."""

    def register(cls: type[Detector]) -> type[Detector]:
        DETECTORS[name] = cls
        return cls

    return register


def expected_first_token_s(settings: DetectionSettings, prompt_tokens: int) -> float:
    """Return the expected first-token delay of an engine without learnt statistics, in seconds."""
    return settings.first_token_s + prompt_tokens * settings.prefill_token_s


def _first_token_timeouts(
    settings: DetectionSettings, stream: StreamState, engine: EngineState
) -> SilenceTimeouts:
    """Compute the timeouts of a stream that has not yet received a token.

    The dead timeout is a multiple of the expected delay, which grows if earlier
    first tokens of this engine were late.
    """
    expected = expected_first_token_s(settings, stream.prompt_tokens)
    ratio = settings.peak_factor * engine.prefill.peak_ratio if engine.prefill.observed else 0.0
    dead = min(expected * max(settings.first_token_factor, ratio), settings.first_token_at_most_s)
    return _timeouts_from_dead(settings, dead, SuspicionReason.FIRST_TOKEN_LATE)


def _timeouts_from_dead(
    settings: DetectionSettings, dead_s: float, reason: SuspicionReason
) -> SilenceTimeouts:
    """Return timeouts whose suspect timeout is the configured share of the dead timeout."""
    return SilenceTimeouts(suspect_s=settings.suspect_share * dead_s, dead_s=dead_s, reason=reason)


def _learnt_dead_s(settings: DetectionSettings, spacing: SpacingStats) -> float:
    """Compute the dead timeout from the learnt spacing, within the configured bounds.

    Until enough steps were observed it is the upper bound.
    """
    if not spacing.has_enough_steps:
        return settings.dead_at_most_s
    by_deviation = spacing.mean_s + settings.deviations * spacing.deviation_s
    by_peak = settings.peak_factor * spacing.peak_s
    learnt = max(by_deviation, by_peak, settings.dead_at_least_s)
    return min(learnt, settings.dead_at_most_s)


@detector("fixed")
class FixedDetector:
    """Detector with one timeout for every engine; a first token also gets its expected delay."""

    def __init__(self, *, settings: DetectionSettings) -> None:
        self._settings = settings

    def should_learn_from_gap(self, stream: StreamState, engine: EngineState) -> bool:
        """Return False: the timeout doesn't depend on the spacing."""
        return False

    def timeouts(self, stream: StreamState, engine: EngineState) -> SilenceTimeouts:
        """Return the fixed timeout, plus the expected delay before the first token."""
        dead = self._settings.fixed_timeout_s
        if stream.tokens:
            return _timeouts_from_dead(self._settings, dead, SuspicionReason.STREAM_SILENT)
        dead += expected_first_token_s(self._settings, stream.prompt_tokens)
        return _timeouts_from_dead(self._settings, dead, SuspicionReason.FIRST_TOKEN_LATE)


@detector("gap")
class GapDetector:
    """Detector that judges each stream alone, by the learnt token spacing of its engine."""

    def __init__(self, *, settings: DetectionSettings) -> None:
        self._settings = settings

    def should_learn_from_gap(self, stream: StreamState, engine: EngineState) -> bool:
        """Return True: every gap counts."""
        return True

    def timeouts(self, stream: StreamState, engine: EngineState) -> SilenceTimeouts:
        """Return timeouts from the learnt spacing, or from the expected delay of a first token."""
        if not stream.tokens:
            return _first_token_timeouts(self._settings, stream, engine)
        dead = _learnt_dead_s(self._settings, engine.spacing)
        return _timeouts_from_dead(self._settings, dead, SuspicionReason.STREAM_SILENT)


@detector("pooled")
class PooledDetector:
    """Detector that judges all streams of an engine together.

    An engine with continuous batching yields one token for every running stream in
    each step, so when it dies, all streams fall silent at once. If one stream is
    silent while others receive tokens, the engine is alive and has usually
    preempted that stream. Such a stream gets a much longer timeout, and its long
    gap doesn't raise the timeout of the whole engine.
    """

    def __init__(self, *, settings: DetectionSettings) -> None:
        self._settings = settings

    def should_learn_from_gap(self, stream: StreamState, engine: EngineState) -> bool:
        """Return False for a gap during which other streams received tokens."""
        return not self._neighbours_active(stream, engine)

    def timeouts(self, stream: StreamState, engine: EngineState) -> SilenceTimeouts:
        """Return the engine's timeouts, or longer ones for a stream that alone is silent.

        The time during which other streams still received tokens is added to the
        engine's timeouts, up to ``stuck_factor`` times the dead timeout, or up to
        ``first_token_at_most_s`` before the first token.
        """
        settings = self._settings
        if not stream.tokens:
            whole = _first_token_timeouts(settings, stream, engine)
            longest_s = settings.first_token_at_most_s
        else:
            whole = self._engine_timeouts(engine)
            longest_s = whole.dead_s * settings.stuck_factor
        if not self._neighbours_active(stream, engine):
            return whole
        lead_s = engine.last_active_at - stream.last_active_at
        return SilenceTimeouts(
            suspect_s=min(lead_s + whole.suspect_s, settings.suspect_share * longest_s),
            dead_s=min(lead_s + whole.dead_s, longest_s),
            reason=SuspicionReason.STREAM_SILENT if stream.tokens else whole.reason,
        )

    def _engine_timeouts(self, engine: EngineState) -> SilenceTimeouts:
        """Return the timeouts for a silence of the whole engine.

        With fewer than two active streams, a preempted stream can't be told from a
        dead engine, so the upper bound of the dead timeout is used.
        """
        settings = self._settings
        if engine.active_streams < 2:
            return _timeouts_from_dead(
                settings, settings.dead_at_most_s, SuspicionReason.STREAM_SILENT
            )
        dead = _learnt_dead_s(settings, engine.spacing)
        return _timeouts_from_dead(settings, dead, SuspicionReason.ENGINE_SILENT)

    def _neighbours_active(self, stream: StreamState, engine: EngineState) -> bool:
        """Check whether other streams received tokens for long enough after this one's last.

        The last silence of the whole engine is left out: the longer of the times
        before and after it is compared with the minimum.
        """
        if engine.last_active_at - stream.last_active_at <= NEIGHBOUR_MIN_S:
            return False
        spacing = engine.spacing
        steps_s = NEIGHBOUR_SPACING_FACTOR * (spacing.mean_s + spacing.deviation_s)
        active_s = max(
            engine.silent_from - stream.last_active_at,
            engine.last_active_at - max(stream.last_active_at, engine.silent_until),
        )
        return active_s > max(steps_s, NEIGHBOUR_MIN_S)
