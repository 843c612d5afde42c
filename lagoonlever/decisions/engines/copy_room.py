"""How much of an engine's memory copies of runs elsewhere may take.

The load that is answered: a burst meets crashes of a quarter of the engines every few
seconds, and memory is short. A run that is lost without a copy is read again, which slows
all runs beside it and takes the place of a new prompt; so while engines are lost often, a
copy is worth more than the room that it takes, and the engines that are left are filled.
While few are lost, room is kept for prompts.
"""

from __future__ import annotations

from lagoonlever.decisions.settings.mechanisms import MECHANISMS

RISK = 0.05
"""Of a run to lose its engine, from which on copies may fill an engine."""
WHOLE = 1.0


def risk_of_loss(losses: int, *, engines: int, window_s: float, run_s: float) -> float:
    """Give the chance of a run of ``run_s`` to lose its engine, by the losses of a window."""
    if engines <= 0:
        return 0.0
    return min(1.0, losses / engines * run_s / window_s)


def _as_usual(risk: float, *, usual: float) -> float:
    return usual


@MECHANISMS.register(
    "copies-by-risk",
    does="copies may fill an engine while many engines are lost",
    without="copies leave a fixed part of an engine free",
    plain=_as_usual,
)
def copies_most(risk: float, *, usual: float) -> float:
    """Give the part of an engine's memory up to which it takes copies, by a run's risk."""
    return WHOLE if risk >= RISK else usual
