"""Settings of death detection, and the presets that the measured curve supports."""

from __future__ import annotations

import attrs

from lagoonlever.config.options import option

HEDGE_OFF = "off"
HEDGE_RACE = "race"


@attrs.frozen(kw_only=True)
class DetectionSettings:
    """How the silence of an engine is judged, and what a suspicion may cost."""

    method: str = option(
        default="pooled",
        one_of=("fixed", "gap", "pooled"),
        doc="How silence is judged: one timeout, each engine's own spacing, or all its streams.",
    )
    fixed_timeout_s: float = option(
        default=2.0, at_least=0.05, at_most=600, doc="`fixed`: silence that counts as death."
    )
    suspect_share: float = option(
        default=0.6,
        at_least=0.05,
        at_most=1,
        doc="The share of the silence that counts as death after which a stream is suspect.",
    )
    dead_at_least_s: float = option(
        default=1.3,
        at_least=0.05,
        at_most=60,
        doc="`gap`, `pooled`: silence that never counts as death, whatever was learnt.",
    )
    dead_at_most_s: float = option(
        default=1.7,
        at_least=0.1,
        at_most=600,
        doc="`gap`, `pooled`: silence that always counts as death, whatever was learnt.",
    )
    deviations: float = option(
        default=12.0,
        at_least=1,
        doc="`gap`, `pooled`: deviations above the mean spacing that count as death.",
    )
    peak_factor: float = option(
        default=1.6,
        at_least=1,
        doc="`gap`, `pooled`: how far silence must exceed the longest recent spacing.",
    )
    stuck_factor: float = option(
        default=4.0,
        at_least=1,
        doc="`pooled`: how much longer one stream may be silent while its neighbours move.",
    )
    first_token_s: float = option(
        default=0.5, at_least=0, doc="Time allowed for an engine to take up a request, in seconds."
    )
    prefill_token_s: float = option(
        default=0.0005, at_least=0, doc="Time allowed for each prompt token until one was learnt."
    )
    first_token_factor: float = option(
        default=3.0, at_least=1, doc="How far the first token may exceed the time expected for it."
    )
    first_token_at_most_s: float = option(
        default=20.0, at_least=0.1, doc="A first token later than this always counts as death."
    )
    slow_factor: float = option(
        default=6.0,
        at_least=0,
        doc="An engine slower by this factor than usual is left; 0 never leaves a slow engine.",
    )
    slow_spacing_s: float = option(
        default=0.25, at_least=0, doc="Spacing that is never called slow, in seconds a token."
    )
    slow_for_s: float = option(
        default=1.5, at_least=0, doc="How long an engine must be slow before it is left."
    )
    hedge: str = option(
        default=HEDGE_RACE,
        one_of=(HEDGE_OFF, HEDGE_RACE),
        doc="On suspicion: nothing, or a second attempt elsewhere; whichever goes on first wins.",
    )
    hedge_budget: float = option(
        default=0.005,
        at_least=0,
        at_most=1,
        doc="Engine tokens that hedges may cost, as a share of the tokens that were served.",
    )
    hedge_burst_tokens: float = option(
        default=16_000.0, at_least=0, doc="Unused hedge budget that is kept, in engine tokens."
    )


LOW_LATENCY = DetectionSettings()
"""Hedges on suspicion, within the budget; the default, and Sembrani's place on the curve."""
NO_HEDGING = DetectionSettings(hedge=HEDGE_OFF)
"""Waits for certainty; Motus's place on the curve."""
