"""How the descriptors of a process are shared among those who connect to it and its own work."""

from __future__ import annotations

import attrs

FILE_DESCRIPTORS = 200
"""The platform keeps so many of a process's descriptors for files."""
CALLERS_PART = 3
"""One part in so many is for callers; as many may be needed for the targets that serve them."""
QUESTIONS_PART = 32
"""For each of the addresses that answer questions: readiness, addresses, metrics."""
TUNNELS_PART = 8
"""For tunnels; each takes two descriptors."""
LEAST = 8


@attrs.frozen(kw_only=True)
class DescriptorShares:
    """The connections that a process takes at most; the rest is for targets, store and VMs."""

    callers: int
    questions: int
    """At each address that answers questions."""
    tunnels: int

    @classmethod
    def of_process(cls, descriptors: int) -> DescriptorShares:
        """Share out the descriptors that a process may have, files included."""
        sockets = max(descriptors - FILE_DESCRIPTORS, descriptors // 2)
        return cls(
            callers=max(LEAST, sockets // CALLERS_PART),
            questions=max(LEAST, sockets // QUESTIONS_PART),
            tunnels=max(LEAST, sockets // TUNNELS_PART),
        )
