"""What gateways tell each other: themselves, their runs, the engines they lost, what they know.

All of it is soft state that is said again; nothing may be needed for correctness.
"""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engine_book import BookedRun, RunCopy
from lagoonlever.decisions.fellows import FellowState
from lagoonlever.decisions.target_registry import ListedTarget
from lagoonlever.http.messages import Address
from lagoonlever.peers.messages import PEER

PEER.message("gs")(FellowState)
PEER.message("gr")(BookedRun)


@PEER.message("gf")
@attrs.frozen(kw_only=True)
class RunFlows:
    """A run has given its first event."""

    request: str


@PEER.message("gc")
@attrs.frozen(kw_only=True)
class RunCopied:
    """A run's memory was copied by a call."""

    request: str
    copy: RunCopy


@PEER.message("ge")
@attrs.frozen(kw_only=True)
class RunEnded:
    """A run is over; ``whole`` if its answer was given to its end."""

    request: str
    whole: bool


@PEER.message("gx")
@attrs.frozen(kw_only=True)
class EngineLost:
    """An engine broke a stream or does not answer; streams on it are to be looked at."""

    engine: str
    replaced: bool = False
    """Another process answers at its address."""


@PEER.message("ga")
@attrs.frozen(kw_only=True)
class KnowledgeAsk:
    """Asks for what the receiver knows better; the sender has these."""

    configuration: int
    list_revision: int
    fellows: bool = False


@PEER.message("gk")
@attrs.frozen(kw_only=True)
class Knowledge:
    """What a VM knows better than the one that asked."""

    configuration: bytes | None = None
    """As it is stored."""
    targets: tuple[ListedTarget, ...] | None = None
    list_revision: int = 0
    fellows: tuple[Address, ...] = ()
    """Where the bus of other VMs listens."""
    runs: tuple[BookedRun, ...] = ()


__all__ = ("EngineLost", "Knowledge", "KnowledgeAsk", "RunCopied", "RunEnded", "RunFlows")
