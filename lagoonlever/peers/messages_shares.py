"""What VMs tell each other about their use of the pools, for fair shares."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.shares.exchange import LeafSum, SumsNews
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


def message_of(pool: str, news: SumsNews) -> SharesNews:
    """Give the wire form of news of one pool."""
    return SharesNews(
        pool=pool,
        sequence=news.sequence,
        full=news.full,
        keys=tuple(leaf.key for leaf in news.leaves),
        work=tuple(leaf.committed for leaf in news.leaves),
        running=tuple(leaf.running for leaf in news.leaves),
        waiting=tuple(leaf.waiting for leaf in news.leaves),
    )


def news_of(message: SharesNews) -> SumsNews:
    """Read the wire form."""
    columns = zip(message.keys, message.work, message.running, message.waiting, strict=False)
    return SumsNews(
        sequence=message.sequence,
        full=message.full,
        leaves=tuple(
            LeafSum(key=key, committed=work, running=running, waiting=waiting)
            for key, work, running, waiting in columns
        ),
    )
