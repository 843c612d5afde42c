"""Which of several hubs' digests of one data centre are worth passing on."""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set as AbstractSet


def maximal_digests(heard: Sequence[AbstractSet[int]]) -> list[int]:
    """Give the numbers of those sets of lives that no other one contains; of equal ones the last.

    The hubs of a data centre have heard the same VMs but for moments, so one of their
    digests does. Not any one: a VM that was cut off takes itself for a hub for a while, and
    its digest names hardly anybody. Passed on in the place of a real hub's, it made all
    VMs of that data centre silent for everybody elsewhere, their runs were forgotten, and
    callers were no longer sent there.
    """
    return [
        number
        for number, lives in enumerate(heard)
        if not any(
            lives < other or (lives == other and number < later)
            for later, other in enumerate(heard)
        )
    ]
