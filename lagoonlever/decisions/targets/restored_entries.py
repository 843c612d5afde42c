"""Check of whether an entry of the list may be older than what is known of its target.

The store may be restored from an older copy. It then lists targets as they were some seconds
ago, under revisions of a new era: a target that has begun to drain since is listed as ready, and
one that has left is listed until its entry lapses.
"""

from __future__ import annotations

from lagoonlever.revisions import Revision


def may_be_restored(entry: Revision, *, known: Revision) -> bool:
    """Check whether an entry may come from a copy that is older than the known revision.

    In a new era revision numbers are assigned anew, beginning after the copy's last one. An entry
    of a higher number than the known one was therefore written after the store was restored.
    """
    return entry.era > known.era and entry.number <= known.number
