"""Which VMs callers are sent to while some of them reach no target by their own paths.

A VM that is cut off serves its callers by way of others, so a caller that stays loses nothing but
a hop. New callers are better off elsewhere, unless too few VMs are left for all of them: one VM
in the place of nine would be overloaded by what nine can carry by way of it.
"""

from __future__ import annotations

from collections.abc import Sequence

from lagoonlever.decisions.fleet.peer_table import PeerState

MIN_REMAINING_SHARE = 0.5
"""Share of the VMs that must be left if callers are not to be sent to those that are cut off."""


def offered_vms(
    peers: Sequence[PeerState], *, own_accepts: bool, own_cut_off: bool
) -> tuple[tuple[PeerState, ...], bool]:
    """Return the peers that callers are sent to, and whether this VM is one of them, too.

    ``peers`` are the peers that accept callers; ``own_accepts`` tells whether this VM does.
    """
    reaching = tuple(peer for peer in peers if not peer.cut_off)
    own_reaches = own_accepts and not own_cut_off
    remaining = len(reaching) + own_reaches
    if remaining < MIN_REMAINING_SHARE * (len(peers) + own_accepts):
        return tuple(peers), own_accepts
    return reaching, own_reaches
