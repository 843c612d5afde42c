"""Which of the digests that several hubs send for one data centre are forwarded.

A hub's digest is the set of the VMs (by the nonce of their incarnation) that it hears itself.
"""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set as AbstractSet


def maximal_digests(digests: Sequence[AbstractSet[int]]) -> list[int]:
    """Return the indexes of the digests that no other contains; of equal ones the last.

    The hubs of a data centre hear the same VMs except for brief differences, so one of their
    digests is enough. It must not be an arbitrary one: a VM that was cut off takes itself for a
    hub for a while, and its digest names hardly any VM. Forwarded in the place of a real hub's
    digest, it made all VMs of that data centre appear silent to the other data centres: their
    runs were discarded, and callers were no longer sent there.
    """
    return [
        index
        for index, nonces in enumerate(digests)
        if not any(
            nonces < other or (nonces == other and index < later)
            for later, other in enumerate(digests)
        )
    ]
