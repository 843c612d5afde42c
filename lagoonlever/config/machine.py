"""What a VM has: the settings that name it, and what the system tells where they don't."""

from __future__ import annotations

import os
import resource

import attrs

from lagoonlever.config.options import option

BYTES_PER_MB = 1024 * 1024
LEAST_MEMORY_MB = 64
LEAST_DESCRIPTORS = 64


@attrs.frozen(kw_only=True)
class MachineSettings:
    """What the process may use of its VM."""

    memory_mb: int | None = option(
        doc="The memory that the process may use, in MB; without it, all that the VM has.",
        default=None,
        at_least=LEAST_MEMORY_MB,
    )
    descriptors: int | None = option(
        doc="The descriptors that the process may have; without it, the limit of the process.",
        default=None,
        at_least=LEAST_DESCRIPTORS,
    )

    @property
    def memory_bytes(self) -> int:
        """The memory that the process may use."""
        if self.memory_mb is not None:
            return self.memory_mb * BYTES_PER_MB
        return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")

    @property
    def usable_descriptors(self) -> int:
        """The descriptors that the process may have, by its settings and by the system."""
        return usable_descriptors(self.descriptors)


def usable_descriptors(allowed: int | None) -> int:
    """Return how many descriptors the process may have, of which ``allowed`` are its own."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [each for each in (allowed, limit) if each is not None and each > 0]
    return min(known)
