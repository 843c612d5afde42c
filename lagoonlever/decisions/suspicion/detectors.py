"""The detectors: how long a stream may be silent before it is suspect, or dead.

Each sees the stream, its engine's other streams and the learnt spacing, and
gives an allowance; the front door in ``suspicion`` compares silence with it.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Protocol

import attrs

from lagoonlever.decisions.suspicion.settings import DetectionSettings
from lagoonlever.decisions.suspicion.spacing import Prefill, Spacing

NEIGHBOUR_DEVIATIONS = 4.0
NEIGHBOUR_AT_LEAST_S = 0.1
"""How long its neighbours must have moved for a silent stream to count as the only one."""
ENGINE_SILENCE_S = 0.05
"""A pause of the whole engine that is kept in mind."""


class SuspicionReason(enum.Enum):
    """What was seen that raised a suspicion."""

    NONE = "none"
    FIRST_TOKEN_LATE = "first-token-late"
    STREAM_SILENT = "stream-silent"
    ENGINE_SILENT = "engine-silent"
    SLOW = "slow"


@attrs.define(kw_only=True)
class StreamTrack:
    """What is known of one stream; times in seconds of the monotonic clock."""

    stream: str
    prompt_tokens: int
    opened_at: float
    last_at: float
    tokens: int = 0


@attrs.define(kw_only=True)
class EngineTrack:
    """What is known of one engine over all its streams."""

    spacing: Spacing = attrs.field(factory=Spacing)
    prefill: Prefill = attrs.field(factory=Prefill)
    last_at: float = float("-inf")
    """When any stream of the engine last gave a token."""
    silent_from: float = float("-inf")
    silent_until: float = float("-inf")
    """The bounds of the last silence of the whole engine."""
    flowing: int = 0
    """Open streams that have given a token."""

    def moved(self, now: float) -> None:
        """Take note of a token of any stream.

        The bounds of a silence are kept because the first token after it must not
        make the other streams, whose tokens follow in the same step, look like the
        only silent ones.
        """
        if now - self.last_at > ENGINE_SILENCE_S:
            self.silent_from = self.last_at
            self.silent_until = now
        self.last_at = now


@attrs.frozen(kw_only=True)
class Allowance:
    """The silence after which a stream is suspect, and dead, in seconds."""

    suspect_s: float
    dead_s: float
    reason: SuspicionReason


class Detector(Protocol):
    """Gives the silence that a stream is allowed now."""

    def __init__(self, *, settings: DetectionSettings) -> None: ...

    def learns_from(self, stream: StreamTrack, engine: EngineTrack) -> bool:
        """Whether the gap that ends now tells something of the engine's spacing."""
        ...

    def allowance(self, stream: StreamTrack, engine: EngineTrack) -> Allowance:
        """Judge by the tracks only; the time does not enter but through them."""
        ...


DETECTORS: dict[str, type[Detector]] = {}


def detector(name: str) -> Callable[[type[Detector]], type[Detector]]:
    """Register the decorated detector under the name that settings give."""

    def register(cls: type[Detector]) -> type[Detector]:
        DETECTORS[name] = cls
        return cls

    return register


def expected_first_token_s(settings: DetectionSettings, prompt_tokens: int) -> float:
    """Time in which an engine that nothing is known of should give the first token."""
    return settings.first_token_s + prompt_tokens * settings.prefill_token_s


def _first_token_allowance(
    settings: DetectionSettings, stream: StreamTrack, engine: EngineTrack
) -> Allowance:
    expected = expected_first_token_s(settings, stream.prompt_tokens)
    ratio = settings.peak_factor * engine.prefill.ratio_peak if engine.prefill.observed else 0.0
    dead = min(expected * max(settings.first_token_factor, ratio), settings.first_token_at_most_s)
    return _shared(settings, dead, SuspicionReason.FIRST_TOKEN_LATE)


def _shared(settings: DetectionSettings, dead_s: float, reason: SuspicionReason) -> Allowance:
    return Allowance(suspect_s=settings.suspect_share * dead_s, dead_s=dead_s, reason=reason)


def _learnt_silence_s(settings: DetectionSettings, spacing: Spacing) -> float:
    if not spacing.learnt:
        return settings.dead_at_most_s
    by_deviation = spacing.mean_s + settings.deviations * spacing.deviation_s
    by_peak = settings.peak_factor * spacing.peak_s
    learnt = max(by_deviation, by_peak, settings.dead_at_least_s)
    return min(learnt, settings.dead_at_most_s)


@detector("fixed")
class FixedDetector:
    """One timeout for every engine; a first token gets its expected prefill on top."""

    def __init__(self, *, settings: DetectionSettings) -> None:
        self._settings = settings

    def learns_from(self, stream: StreamTrack, engine: EngineTrack) -> bool:
        """Learn nothing."""
        return False

    def allowance(self, stream: StreamTrack, engine: EngineTrack) -> Allowance:
        """Give the timeout."""
        dead = self._settings.fixed_timeout_s
        if stream.tokens:
            return _shared(self._settings, dead, SuspicionReason.STREAM_SILENT)
        dead += expected_first_token_s(self._settings, stream.prompt_tokens)
        return _shared(self._settings, dead, SuspicionReason.FIRST_TOKEN_LATE)


@detector("gap")
class GapDetector:
    """Each stream alone, against the spacing that its engine was seen to keep."""

    def __init__(self, *, settings: DetectionSettings) -> None:
        self._settings = settings

    def learns_from(self, stream: StreamTrack, engine: EngineTrack) -> bool:
        """Learn from every gap."""
        return True

    def allowance(self, stream: StreamTrack, engine: EngineTrack) -> Allowance:
        """Give the learnt silence."""
        if not stream.tokens:
            return _first_token_allowance(self._settings, stream, engine)
        dead = _learnt_silence_s(self._settings, engine.spacing)
        return _shared(self._settings, dead, SuspicionReason.STREAM_SILENT)


@detector("pooled")
class PooledDetector:
    """All streams of the engine together.

    A batching engine gives every running stream a token a step, so that a death
    silences all at once. One silent stream beside moving neighbours is another
    case, usually a preempted one: it is allowed much longer, and its long gap
    does not raise what the whole engine is allowed.
    """

    def __init__(self, *, settings: DetectionSettings) -> None:
        self._settings = settings

    def learns_from(self, stream: StreamTrack, engine: EngineTrack) -> bool:
        """Learn nothing from a gap in which the neighbours moved."""
        return not self._neighbours_moved(stream, engine)

    def allowance(self, stream: StreamTrack, engine: EngineTrack) -> Allowance:
        """Give the engine's learnt silence, or more while its neighbours move."""
        settings = self._settings
        if not stream.tokens:
            whole = _first_token_allowance(settings, stream, engine)
            longest_s = settings.first_token_at_most_s
        else:
            whole = self._engine_allowance(engine)
            longest_s = whole.dead_s * settings.stuck_factor
        if not self._neighbours_moved(stream, engine):
            return whole
        lead_s = engine.last_at - stream.last_at
        return Allowance(
            suspect_s=min(lead_s + whole.suspect_s, settings.suspect_share * longest_s),
            dead_s=min(lead_s + whole.dead_s, longest_s),
            reason=SuspicionReason.STREAM_SILENT if stream.tokens else whole.reason,
        )

    def _engine_allowance(self, engine: EngineTrack) -> Allowance:
        settings = self._settings
        if engine.flowing < 2:
            return _shared(settings, settings.dead_at_most_s, SuspicionReason.STREAM_SILENT)
        dead = _learnt_silence_s(settings, engine.spacing)
        return _shared(settings, dead, SuspicionReason.ENGINE_SILENT)

    def _neighbours_moved(self, stream: StreamTrack, engine: EngineTrack) -> bool:
        if engine.last_at - stream.last_at <= NEIGHBOUR_AT_LEAST_S:
            return False
        spacing = engine.spacing
        step_s = NEIGHBOUR_DEVIATIONS * (spacing.mean_s + spacing.deviation_s)
        moved_s = max(
            engine.silent_from - stream.last_at,
            engine.last_at - max(stream.last_at, engine.silent_until),
        )
        return moved_s > max(step_s, NEIGHBOUR_AT_LEAST_S)
