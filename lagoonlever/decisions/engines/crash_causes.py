"""Decision which requests cause crashes, where several requests were at the same targets.

A request that crashes its targets is seldom alone there, and the requests beside it are lost
with it each time. The order in which crashes are reported says nothing about their cause. So each
crash is weighted by the other requests that were at the same process.
"""

from __future__ import annotations

import itertools
from collections.abc import Container, Iterable, Mapping

from lagoonlever.decisions.engines.target_crashes import Crash, CrashesByRequest

BLOCKING_WEIGHT = 3.0
"""A request is blocked when its crashes reach this total weight.

One or two crashes of targets that had the request may be a coincidence.
"""
EXPLAINED_DISCOUNT = 0.5
"""How much less a crash weighs if a request that was found as a cause was at the target, too.

Two causes may have met there: the second one is still found, after one or two more crashes.
"""
RIVAL_WEIGHT_FACTOR = 0.5
"""Factor on the weight of a crash that another request may have caused as well."""
MIN_SHARED_CRASHES = 2
"""If two requests share at least this many crashes, either may be the cause of them."""


def find_causes(
    crashes: CrashesByRequest, *, explained_by_parts: frozenset[str] = frozenset()
) -> frozenset[str]:
    """Return the requests whose crashes reach ``BLOCKING_WEIGHT``, checked in order of time.

    ``explained_by_parts`` are the processes that crashed under a part which was found as a cause.

    A cause that is found explains its crashes, which then weigh less for requests that reach the
    bound later. Ordering by the number of crashes instead would be wrong: a blocked request
    causes no more crashes, and would be taken for one that only accompanied another.
    """
    candidates = [
        fingerprint
        for fingerprint in crashes
        if total_weight(crashes[fingerprint]) >= BLOCKING_WEIGHT
    ]
    shared = _shared_crashes(candidates, crashes)
    seen: dict[str, dict[str, Crash]] = {fingerprint: {} for fingerprint in candidates}
    causes: set[str] = set()
    explained: set[str] = set(explained_by_parts)
    in_order = sorted(
        (crash.at, f, process) for f in candidates for process, crash in crashes[f].items()
    )
    for _, fingerprint, process in in_order:
        seen[fingerprint][process] = crashes[fingerprint][process]
        weight = total_weight(seen[fingerprint], explained, shared[fingerprint])
        if fingerprint not in causes and weight >= BLOCKING_WEIGHT:
            causes.add(fingerprint)
            explained.update(crashes[fingerprint])
    return frozenset(causes)


def _shared_crashes(candidates: Iterable[str], crashes: CrashesByRequest) -> dict[str, set[str]]:
    """Return, for each candidate, the crashed processes that another request may explain."""
    by_process: dict[str, list[str]] = {}
    for fingerprint, processes in crashes.items():
        for process in processes:
            by_process.setdefault(process, []).append(fingerprint)
    return {
        fingerprint: _shared_crashes_of(fingerprint, crashes, by_process)
        for fingerprint in candidates
    }


def _shared_crashes_of(
    fingerprint: str, crashes: CrashesByRequest, by_process: Mapping[str, list[str]]
) -> set[str]:
    own = crashes[fingerprint]
    shared: set[str] = set()
    checked = {fingerprint}
    for other in itertools.chain.from_iterable(by_process[process] for process in own):
        if other in checked:
            continue
        checked.add(other)
        others = crashes[other]
        common = own.keys() & others.keys()
        if len(common) < MIN_SHARED_CRASHES:
            continue
        explained = {process for process in common if others[process].may_explain(own[process])}
        if len(explained) >= MIN_SHARED_CRASHES:
            shared |= explained
        if len(shared) == len(own):
            break
    return shared


def total_weight(
    processes: Mapping[str, Crash], explained: Container[str] = (), shared: Container[str] = ()
) -> float:
    """Return the total weight of the crashes of one request.

    ``explained`` has the processes whose crashes a found cause explains, ``shared`` those that
    another request may have caused.
    """
    return sum(
        _adjusted_weight(crash, is_explained=process in explained, is_shared=process in shared)
        for process, crash in processes.items()
    )


def _adjusted_weight(crash: Crash, *, is_explained: bool, is_shared: bool) -> float:
    if is_explained:
        return crash.weight - EXPLAINED_DISCOUNT
    return crash.weight * RIVAL_WEIGHT_FACTOR if is_shared else crash.weight
