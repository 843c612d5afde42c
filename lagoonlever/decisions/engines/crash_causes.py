"""Which requests are the cause of ends, where several were at the same targets.

The load that is answered: a request that ends its targets is seldom alone there, and those beside
it are lost with it each time. One that is told first is no more the cause than the other; so ends
are weighed by who else was there, and not by the order in which they became known.
"""

from __future__ import annotations

import itertools
from collections.abc import Container, Iterable, Mapping

from lagoonlever.decisions.engines.target_crashes import Crash, CrashesByRequest

BLOCKING_WEIGHT = 3.0
"""Targets that may end under a request: one is an accident, two may be one."""
EXPLAINED = 0.5
"""What an end weighs less where a barred request was at the target, too. Two causes may have met
there: the second one is still found, by an end or two more."""
EXPLAINED_BY_RIVAL = 0.5
"""Part of its weight that an end keeps where another suspect may be the cause as well."""
RIVAL_FROM = 2
"""CrashesByRequest at which two suspects were together, from where on either may be the cause of them."""


def causes_of(ends: CrashesByRequest) -> frozenset[str]:
    """Give the requests with enough ends, found in the order of these ends.

    One that is found explains its ends to those that come to the bound after it. By the
    most ends instead, a request that is barred, and so ends nothing any more, would be
    taken for one that followed another.
    """
    enough = [
        fingerprint for fingerprint in ends if weight_of(ends[fingerprint]) >= BLOCKING_WEIGHT
    ]
    shared = _shared(enough, ends)
    seen: dict[str, dict[str, Crash]] = {fingerprint: {} for fingerprint in enough}
    causes: set[str] = set()
    explained: set[str] = set()
    in_order = sorted((end.at, f, process) for f in enough for process, end in ends[f].items())
    for _, fingerprint, process in in_order:
        seen[fingerprint][process] = ends[fingerprint][process]
        weight = weight_of(seen[fingerprint], explained, shared[fingerprint])
        if fingerprint not in causes and weight >= BLOCKING_WEIGHT:
            causes.add(fingerprint)
            explained.update(ends[fingerprint])
    return frozenset(causes)


def _shared(enough: Iterable[str], ends: CrashesByRequest) -> dict[str, set[str]]:
    """Give for each of some requests the ends that another suspect may explain as well."""
    together: dict[str, list[str]] = {}
    for fingerprint, processes in ends.items():
        for process in processes:
            together.setdefault(process, []).append(fingerprint)
    return {fingerprint: _shared_of(fingerprint, ends, together) for fingerprint in enough}


def _shared_of(
    fingerprint: str, ends: CrashesByRequest, together: Mapping[str, list[str]]
) -> set[str]:
    own = ends[fingerprint]
    shared: set[str] = set()
    looked_at = {fingerprint}
    for other in itertools.chain.from_iterable(together[process] for process in own):
        if other in looked_at:
            continue
        looked_at.add(other)
        rival = ends[other]
        met = own.keys() & rival.keys()
        if len(met) < RIVAL_FROM:
            continue
        both = {process for process in met if rival[process].may_explain(own[process])}
        if len(both) >= RIVAL_FROM:
            shared |= both
        if len(shared) == len(own):
            break
    return shared


def weight_of(
    processes: Mapping[str, Crash], explained: Container[str] = (), shared: Container[str] = ()
) -> float:
    """Give what ends weigh together; ``explained`` by a cause, or ``shared`` with a rival."""
    return sum(
        _counted(end, is_explained=process in explained, is_shared=process in shared)
        for process, end in processes.items()
    )


def _counted(end: Crash, *, is_explained: bool, is_shared: bool) -> float:
    if is_explained:
        return end.weight - EXPLAINED
    return end.weight * EXPLAINED_BY_RIVAL if is_shared else end.weight
