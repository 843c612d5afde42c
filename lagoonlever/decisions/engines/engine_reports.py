"""Decisions that follow from an engine's report of its planned stop and of its queue.

They answer three faults under load:

- Engines are replaced one by one during a burst, and an engine that stops within seconds still
  accepts prompts whose answers it can't finish.
- A prompt waits in the queue of an engine whose memory is full of runs, while other engines have
  capacity: its caller waits for the end of a run that has only begun.
- A run that such an engine preempts waits in the same queue in the middle of its answer, though
  another engine holds a copy of its KV cache.
"""

from __future__ import annotations

from lagoonlever.decisions.settings.mechanisms import MECHANISMS, gives

MIN_SILENCE_S = 0.35
"""Silence of a run from which on a report that does not list the run shows its preemption.

Reports are some hundred milliseconds old, and list the runs that were decoding at that time.
"""
MAX_WAIT_PREFILLS = 2.0
"""Longest wait at another engine for which a run leaves a queue, in usual prefills.

It includes the prefill of the run itself.
"""


def leaves_before_run_ends(leaves_in_s: float | None, *, prefill_s: float, decode_s: float) -> bool:
    """Check whether a usual run that is sent now can't end before its engine stops."""
    return leaves_in_s is not None and leaves_in_s < prefill_s + decode_s


@MECHANISMS.register(
    "stuck-queues",
    does="a run leaves an engine whose queue waits for memory, if another engine has capacity",
    without="it waits there",
    plain=gives(False),
)
def should_leave_queue(
    *,
    first_waiting: int | None,
    memory_used: int,
    memory_total: int,
    elsewhere_s: float | None,
    usual_prefill_s: float,
) -> bool:
    """Check whether a run that waits in an engine's queue should move to another engine.

    ``first_waiting`` is the size of the first prompt in the queue; sizes are in tokens.
    ``elsewhere_s`` is the time until the first event at the best other engine. The run moves only
    if the queue waits for memory, as one that waits for a slot or a prefill advances by itself,
    and if the other engine would give its first event within ``MAX_WAIT_PREFILLS``.
    """
    if first_waiting is None or elsewhere_s is None:
        return False
    if memory_used + first_waiting <= memory_total:
        return False
    return elsewhere_s < MAX_WAIT_PREFILLS * usual_prefill_s


@MECHANISMS.register(
    "leave-preempted",
    does="a run that its engine has preempted resumes from its copy at another engine",
    without="it waits until its engine has repeated the prefill",
    plain=gives(False),
)
def is_preempted(
    *, flowing: bool, listed: bool, waiting: int, silent_s: float, has_copy: bool
) -> bool:
    """Check whether a run was preempted by its engine and should resume from its copy.

    ``flowing`` is true after the run's first event, ``listed`` if the engine's report names the
    run. ``waiting`` is the number of runs in the engine's queue, ``silent_s`` the time since the
    run's last event.
    """
    if not flowing or not has_copy or listed:
        return False
    return waiting > 0 and silent_s >= MIN_SILENCE_S
