"""How much of an engine's memory may hold KV-cache copies of runs of other engines.

The limit matters when a burst of requests meets crashes that take a quarter of the engines every
few seconds, and memory is short. A run that is lost without a copy needs a new prefill, which
slows all runs beside it and takes the slot of a new prompt. So while engines are lost often a
copy is worth more than the memory that it takes, and copies may fill the remaining engines. While
few engines are lost, a share of the memory is kept free for prompts.
"""

from __future__ import annotations

from lagoonlever.decisions.settings.mechanisms import MECHANISMS

FULL_COPIES_RISK = 0.05
"""Probability of a run losing its engine from which on copies may fill an engine's memory."""
WHOLE_MEMORY = 1.0


def loss_probability(losses: int, *, engines: int, window_s: float, run_s: float) -> float:
    """Return the probability that a run of ``run_s`` loses its engine.

    It is estimated from the number of engines lost within the last ``window_s``.
    """
    if engines <= 0:
        return 0.0
    return min(1.0, losses / engines * run_s / window_s)


def _usual_share(risk: float, *, usual: float) -> float:
    return usual


@MECHANISMS.register(
    "copies-by-risk",
    does="copies may fill an engine's memory while many engines are lost",
    without="a fixed share of an engine's memory is kept free of copies",
    plain=_usual_share,
)
def max_copies_share(risk: float, *, usual: float) -> float:
    """Return the share of an engine's memory up to which it accepts copies.

    ``risk`` is the probability that a run loses its engine.
    """
    return WHOLE_MEMORY if risk >= FULL_COPIES_RISK else usual
