"""Which entries of the list may be older than what was known of their targets.

The store may come back from an older copy. It then lists targets as they were some seconds ago,
under revisions of a new era: one that drained since as ready, and one that has left, until its
entry lapses.
"""

from __future__ import annotations

from lagoonlever.revisions import Revision


def may_be_restored(entry: Revision, *, known: Revision) -> bool:
    """Tell whether an entry may be of a copy that is older than what was known.

    In a new era numbers are given out again from the copy on, so a higher one than that of the
    known word was given to a new entry.
    """
    return entry.era > known.era and entry.number <= known.number
