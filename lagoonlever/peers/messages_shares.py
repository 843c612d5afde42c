"""What VMs tell each other about their use of the pools, for fair shares."""

from __future__ import annotations

import attrs

from lagoonlever.peers.messages import PEER


@PEER.message("shares")
@attrs.frozen(kw_only=True)
class SharesNews:
    """Sums of one pool at the sender, as columns: one entry a leaf in each tuple.

    ``keys`` are 32-bit keys of paths, ``work`` counts units of one decoded token
    since the sender started, ``running`` and ``waiting`` count requests now.
    With ``full`` the message holds every leaf that the sender ever used.
    """

    pool: str
    sequence: int
    full: bool
    keys: tuple[int, ...]
    work: tuple[int, ...]
    running: tuple[int, ...]
    waiting: tuple[int, ...]
