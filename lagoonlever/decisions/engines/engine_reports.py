"""What an engine's report of its leaving and of its queue decides.

The load that is answered: engines are replaced in turn during a burst, and one that leaves
within seconds still takes prompts which it can't end. And a prompt waits in the queue of
an engine whose memory is full of runs, while others have room: its caller waits for the end
of a run that has only begun. A run that such an engine preempts waits in the same queue,
within its answer, though another engine holds its copy.
"""

from __future__ import annotations

from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

LISTED_S = 0.35
"""Of silence: reports are some hundred milliseconds old, and name runs that flowed then."""
MOST_READINGS = 2.0
"""Of the wait at another engine, the run's own reading among them."""


def leaves_too_soon(leaves_in_s: float | None, *, reading_s: float, making_s: float) -> bool:
    """Tell whether a usual run, sent now, can't end before its engine leaves."""
    return leaves_in_s is not None and leaves_in_s < reading_s + making_s


@MECHANISMS.register(
    "stuck-queues",
    does="a run leaves an engine whose queue waits for memory, if another engine has room",
    without="it waits there",
    plain=gives(False),
)
def leaves_queue(
    *,
    first_waiting: int | None,
    memory_used: int,
    memory_total: int,
    elsewhere_s: float | None,
    usual_s: float,
) -> bool:
    """Tell whether a run that waits in an engine's queue should go elsewhere.

    Sizes in tokens; ``elsewhere_s`` until its first event at the best other engine, and
    ``usual_s`` a usual reading. A queue that waits for a slot, or for a reading, moves on by
    itself. Another engine must begin before a usual prompt would be read there.
    """
    if first_waiting is None or elsewhere_s is None:
        return False
    if memory_used + first_waiting <= memory_total:
        return False
    return elsewhere_s < MOST_READINGS * usual_s


@MECHANISMS.register(
    "leave-preempted",
    does="a run that its engine has preempted goes on from its copy",
    without="it waits until it is read again",
    plain=gives(False),
)
def is_preempted(
    *, flowing: bool, listed: bool, waiting: int, silent_s: float, has_copy: bool
) -> bool:
    """Tell whether a run should go on from its copy, as its engine waits to read it again.

    ``listed`` says that the engine's report names the run, ``waiting`` how many wait there.
    """
    if not flowing or not has_copy or listed:
        return False
    return waiting > 0 and silent_s >= LISTED_S
