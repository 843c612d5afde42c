"""Decision from when a part is blocked, where nothing is known of the parts beside it.

In a fleet that has just started, or in which nothing answers, what all requests share is at every
crash, so two prompts that end engines by themselves would shut out everybody as the first work
comes. The block would hide the answers that clear the part. So such a part is in doubt for a
while, and blocked then:

- Requests with it wait. Those that are at engines go on: their answers clear it. Once all is told
  of the crashes one request is sent on as well, as all engines may have crashed: the first one
  that was at none, or at few.
- It is blocked at once if a third request was at the crashes. What one VM tells of a crash is not
  all: a report of another request that was there comes a moment later.
- It is blocked in any case if nothing has cleared it in time.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence

from lagoonlever.decisions.engines.part_blocks import TURN_S, OpenTrial
from lagoonlever.decisions.engines.part_causes import (
    FEW_REQUESTS,
    LIVED_ON_S,
    UNTESTED_BLOCKING,
    PartSet,
    can_explain,
    has_evidence,
)
from lagoonlever.decisions.engines.target_crashes import (
    MAX_REPORT_DELAY_S,
    Crash,
    CrashesByRequest,
)

CLEARING_S = MAX_REPORT_DELAY_S + TURN_S + LIVED_ON_S
"""For how long a part is in doubt at most, from the crash that makes them enough.

All is told of the crashes by then, a request has tried, and its engine has lived on. With the time
until those that wait at engines are called back it is below the three seconds in which requests
with a part may reach engines after the fifth crash.
"""
MIN_CRASHES = 2
"""A request at fewer crashes is of use only if it is named at them."""


def blocked_from(crashes: Mapping[str, Crash], requests: CrashesByRequest) -> float:
    """Return from when crashes block a part that nothing is known of; infinity if too few.

    ``crashes`` are those of the part, ``requests`` those under whole requests.
    """
    if not has_evidence(crashes, bound=UNTESTED_BLOCKING):
        return math.inf
    in_order = sorted(crashes.items(), key=lambda item: item[1].at)
    times = [crash.at for _, crash in in_order]
    latest = _doubted_from(crashes) + CLEARING_S
    present = _present(in_order, requests)
    for count, at in enumerate(times, start=1):
        told_at = at + MAX_REPORT_DELAY_S
        if told_at >= latest:
            break
        if not can_explain(FEW_REQUESTS, present[:count]):
            return told_at
    return latest


def doubt_trial(
    parts: PartSet, crashes: Mapping[str, Crash], now: float, *, own_weight: float
) -> OpenTrial:
    """Return what one request may try alone while a part is in doubt: the same at all VMs.

    It may once ``over_s`` is reached, which is later the more its own crashes weigh.
    """
    told_at = max(crash.at for crash in crashes.values()) + MAX_REPORT_DELAY_S
    over_s = now - told_at - own_weight * TURN_S
    return OpenTrial(
        parts=parts,
        crash_count=len(crashes),
        over_s=over_s,
        is_doubt=True,
        own_weight=own_weight,
    )


def _doubted_from(crashes: Mapping[str, Crash]) -> float:
    return sorted(crash.at for crash in crashes.values())[UNTESTED_BLOCKING.crashes - 1]


def _present(
    crashes: Sequence[tuple[str, Crash]], requests: CrashesByRequest
) -> list[Collection[str]]:
    """Return which requests may have caused each crash.

    At a crash itself only a few are named, and the cause need not be one of them: nothing may have
    come of its own answer, while events of another one had.
    """
    often = {r: processes for r, processes in requests.items() if len(processes) >= MIN_CRASHES}
    return [
        {
            *crash.requests,
            *(request for request, processes in often.items() if process in processes),
        }
        for process, crash in crashes
    ]
