"""Placement of a request that one more crash would block: all its attempts go to one engine.

A caller may send a request that crashes its engines to every VM, while engines take seconds for
the prefill of its prompt. After two engines have crashed, its other attempts wait at engines of
their own. They would start there at the same moment, and the report of the third crash would come
too late for all of them. Placed together at one engine they crash only that one.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from lagoonlever.decisions.fleet.rendezvous import rank_by_hash


def choose_suspect_engine(
    fingerprint: str, processes: Mapping[str, str], *, crashed: Container[str]
) -> str | None:
    """Return the engine for all attempts of a request, or None if there is none.

    ``processes`` maps each engine that serves the request to the name of its process; ``crashed``
    has the processes that have crashed under the request. VMs that agree on both choose the same
    engine, by rendezvous hashing.
    """
    names = [engine for engine, process in processes.items() if process not in crashed]
    return next(iter(rank_by_hash(names, purpose=f"suspect|{fingerprint}")), None)
