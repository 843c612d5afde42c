"""What the streams of a version need, and whether its engines should be left to them.

A stream goes on only at engines of the version that began it. While several versions serve, new
streams may go anywhere, and would fill the last engines of an old version. When one of those ends,
its streams then find no capacity, though engines of other versions are idle. So new streams spare
the engines of a version that could not hold all of its streams with one engine fewer.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs

from lagoonlever.decisions.settings.configuration import EngineLimits
from lagoonlever.decisions.targets.listed_target import ListedTarget


@attrs.frozen(kw_only=True)
class VersionLoad:
    """The open runs at the engines of one version, and their memory at the longest, in tokens."""

    runs: int = 0
    memory_tokens: int = 0

    def plus(self, memory_tokens: int) -> VersionLoad:
        """Return the load with one more run."""
        return VersionLoad(runs=self.runs + 1, memory_tokens=self.memory_tokens + memory_tokens)

    def fits(self, engines: int, limits: EngineLimits) -> bool:
        """Check whether so many engines can hold the runs."""
        return (
            self.runs <= engines * limits.slots
            and self.memory_tokens <= engines * limits.memory_tokens
        )


def engines_to_spare(
    engines: Iterable[ListedTarget],
    loads: Mapping[str | None, VersionLoad],
    *,
    limits: EngineLimits,
    memory_tokens: int,
) -> frozenset[str]:
    """Return the engines that a new stream should leave to streams of their version.

    ``memory_tokens`` is what the new stream needs. Return none where all engines are of one
    version, or if every version is as short as the others.
    """
    able = tuple(engines)
    counts = Counter(engine.version for engine in able)
    if len(counts) < 2:
        return frozenset()
    short = {
        version
        for version, count in counts.items()
        if not loads.get(version, VersionLoad()).plus(memory_tokens).fits(count - 1, limits)
    }
    if len(short) == len(counts):
        return frozenset()
    return frozenset(engine.id for engine in able if engine.version in short)
