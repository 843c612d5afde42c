"""Where a request runs that one more end would bar: all its returns at one engine.

The load that is answered: a caller sends a request that ends its engines to every VM, and engines
take seconds to read its prompt. Two have ended when its other returns wait at engines of their own.
They would begin there at the same moment, and no news of the third end comes in time. At one engine
together they end that one only.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from lagoonlever.decisions.fleet.rendezvous import ranked


def choose_suspect_engine(
    fingerprint: str, processes: Mapping[str, str], *, ended: Container[str]
) -> str | None:
    """Give the engine for all returns of a request, or None if there is none.

    ``processes`` has the engines that serve it, each with its process. Every VM finds the same one
    while these, and the processes that have ``ended`` under the request, agree with the others'.
    """
    names = [engine for engine, process in processes.items() if process not in ended]
    return next(iter(ranked(names, purpose=f"suspect|{fingerprint}")), None)
