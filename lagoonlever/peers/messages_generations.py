"""What entry VMs tell each other about the streams of callers."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.streams.orphans import StreamRecord
from lagoonlever.peers.messages import PEER


@PEER.message("taken-over")
@attrs.frozen(kw_only=True)
class TakenOver:
    """The sender serves this request's caller now; the receiver shall let it go.

    ``attempt`` is the engine's stream that the sender reads on; any other attempt
    of the receiver is to be cancelled. Losing this message costs engine work only.
    """

    organisation: str
    request_id: str
    attempt: int


@PEER.message("streams-opened")
@attrs.frozen(kw_only=True)
class StreamsOpened:
    """The sender reads on these streams; the receiver cancels them should the sender die."""

    records: tuple[StreamRecord, ...]


@PEER.message("streams-closed")
@attrs.frozen(kw_only=True)
class StreamsClosed:
    """The sender has ended its reading of these streams."""

    stream_ids: tuple[str, ...]
