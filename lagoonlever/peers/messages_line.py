"""What a gateway asks of the VM that keeps the line for a service's engines, and is told.

Times go as durations, as VMs' clocks differ. All of it is soft: a lost question is asked
again, and a place that is not used runs out.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.admission.capacity import QueuedForCapacity, RejectedWithRetryAfter
from lagoonlever.decisions.streams.run_placement import PlacementRequest
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages import PEER
from lagoonlever.peers.messages_placement import PlacementTold


@attrs.frozen(kw_only=True)
class LineNeed:
    """What the order in line goes by."""

    rank: int
    """0 is the most urgent."""
    waited_s: float
    """Since the request arrived."""
    first_event_in_s: float
    """Until its first event is late; below 0 for one that is."""
    end_in_s: float
    """Until its caller's time is over."""
    broken_off: bool = False
    """Its caller has a part of the answer."""
    refusable: bool = True
    """It has never run, and may be told that it never will."""


@PEER.message("qa")
@attrs.frozen(kw_only=True)
class LineAsk:
    """Asks for a place at an engine, and again while its request waits."""

    number: int
    """Of the question, among those of its VM."""
    reply_to: Address
    ask: PlacementRequest
    need: LineNeed


@PEER.message("qt")
@attrs.frozen(kw_only=True)
class LineTold:
    """What has become of a question so far: one of the three."""

    number: int
    waits: QueuedForCapacity | None = None
    refused: RejectedWithRetryAfter | None = None
    decided: PlacementTold | None = None


@PEER.message("ql")
@attrs.frozen(kw_only=True)
class LineLeft:
    """Tells that a question is no longer open."""

    number: int
    service: str
