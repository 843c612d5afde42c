"""Which of its runs an engine serves first, where routes of one service differ in rank.

The load that is answered: a burst meets the crash of a quarter of the engines. Urgent
prompts wait behind patient ones, and where memory is short an engine preempts its newest
run, which is often one that has just come from a crashed engine and whose caller already
waits within its answer. An engine told ranks admits the urgent first and preempts the
newest of the least urgent.
"""

from __future__ import annotations

from lagoonlever.decisions.settings.configuration import Configuration, RouteKind
from lagoonlever.decisions.settings.load_parts import has_ranks
from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

LAST_RANK = 9
"""Engines know ranks from 0, the first, to this one."""
RANKS_EACH = 2
"""Engine ranks for each rank of a route: runs that have begun, then new ones."""


@MECHANISMS.register(
    "engine-ranks",
    does="engines are told the rank of each run, and that one which has begun precedes its equals",
    without="engines serve all runs alike",
    plain=gives(None),
)
def rank_at_engine(
    configuration: Configuration | None, service: str, *, priority: int, begun: bool
) -> int | None:
    """Give the rank of a run at its engine, or None where all work of the service is alike.

    ``priority`` 0 is the highest, and ``begun`` says that the caller has a part of the answer.
    """
    if not has_ranks(configuration, service, RouteKind.STREAM):
        return None
    rank = RANKS_EACH * max(0, priority) + (0 if begun else 1)
    return min(rank, LAST_RANK)
