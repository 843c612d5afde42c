"""Settings of failure detection and hedging, and two presets."""

from __future__ import annotations

import attrs

from lagoonlever.config.options import option

HEDGE_OFF = "off"
HEDGE_RACE = "race"


@attrs.frozen(kw_only=True)
class DetectionSettings:
    """When a silent or slow engine counts as suspect or dead, and what hedges may cost."""

    method: str = option(
        default="pooled",
        one_of=("fixed", "gap", "pooled"),
        doc="Detection method: a fixed timeout, the engine's usual token spacing for each stream "
        "alone, or for all streams of the engine together.",
    )
    fixed_timeout_s: float = option(
        default=2.0,
        at_least=0.05,
        at_most=600,
        doc="`fixed`: silence after which a stream counts as dead, in seconds.",
    )
    suspect_share: float = option(
        default=0.6,
        at_least=0.05,
        at_most=1,
        doc="Share of the dead timeout after which a silent stream is suspect.",
    )
    dead_at_least_s: float = option(
        default=1.3,
        at_least=0.05,
        at_most=60,
        doc="`gap`, `pooled`: lower bound of the learnt dead timeout, in seconds.",
    )
    dead_at_most_s: float = option(
        default=1.7,
        at_least=0.1,
        at_most=600,
        doc="`gap`, `pooled`: upper bound of the learnt dead timeout, in seconds.",
    )
    deviations: float = option(
        default=12.0,
        at_least=1,
        doc="`gap`, `pooled`: the dead timeout is at least the mean token spacing plus this many "
        "deviations.",
    )
    peak_factor: float = option(
        default=1.6,
        at_least=1,
        doc="`gap`, `pooled`: the dead timeout is at least this multiple of the longest recent "
        "token spacing.",
    )
    stuck_factor: float = option(
        default=4.0,
        at_least=1,
        doc="`pooled`: upper bound of the dead timeout of a single silent stream while other "
        "streams of its engine receive tokens, as a multiple of the engine's dead timeout.",
    )
    first_token_s: float = option(
        default=0.5,
        at_least=0,
        doc="Expected time for an engine to accept a request, in seconds.",
    )
    prefill_token_s: float = option(
        default=0.0005,
        at_least=0,
        doc="Expected prefill time for each prompt token, in seconds, before anything is learnt of "
        "the engine.",
    )
    first_token_factor: float = option(
        default=3.0,
        at_least=1,
        doc="Dead timeout of the first token, as a multiple of its expected time.",
    )
    first_token_at_most_s: float = option(
        default=20.0,
        at_least=0.1,
        doc="Upper bound of the dead timeout of the first token, in seconds.",
    )
    slow_factor: float = option(
        default=6.0,
        at_least=0,
        doc="An engine is slow if its token spacing exceeds the usual one by this factor; streams "
        "then move to another engine. 0 turns this off.",
    )
    slow_spacing_s: float = option(
        default=0.25,
        at_least=0,
        doc="Token spacing up to which an engine never counts as slow, in seconds per token.",
    )
    slow_for_s: float = option(
        default=1.5,
        at_least=0,
        doc="How long an engine must be slow before its streams move, in seconds.",
    )
    hedge: str = option(
        default=HEDGE_RACE,
        one_of=(HEDGE_OFF, HEDGE_RACE),
        doc="What happens on suspicion: nothing, or a second attempt at another engine; the "
        "attempt that sends the next token first wins.",
    )
    hedge_budget: float = option(
        default=0.005,
        at_least=0,
        at_most=1,
        doc="Engine tokens that hedges may cost, as a share of the served tokens.",
    )
    hedge_burst_tokens: float = option(
        default=16_000.0,
        at_least=0,
        doc="Upper bound of the unused hedge budget, in engine tokens.",
    )


LOW_LATENCY = DetectionSettings()
"""Default preset: hedges a stream when it becomes suspect, within the hedge budget."""
NO_HEDGING = DetectionSettings(hedge=HEDGE_OFF)
"""Preset without hedges: moves a stream only when it counts as dead, which costs the least extra
engine work."""
