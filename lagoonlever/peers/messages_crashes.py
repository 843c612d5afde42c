"""What gateways tell each other of requests that end the targets that run them."""

from __future__ import annotations

import attrs

from lagoonlever.peers.messages import PEER


@attrs.frozen(kw_only=True)
class EndTold:
    """A process of a target ended under a request, ``age_s`` seconds before it was told."""

    fingerprint: str
    process: str
    age_s: float
    weight: float
    """How much it counts, as in `lagoonlever/decisions/crash_suspects.py`."""


@PEER.message("gd")
@attrs.frozen(kw_only=True)
class TargetsEnded:
    """Ends of targets, of one VM or of all that the sender has heard of."""

    ends: tuple[EndTold, ...]


@PEER.message("gv")
@attrs.frozen(kw_only=True)
class RequestServed:
    """A target has answered a request under which others had ended: it is no cause of ends."""

    fingerprint: str
