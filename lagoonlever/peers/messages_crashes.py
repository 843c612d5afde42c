"""What gateways tell each other of requests that end the targets that run them."""

from __future__ import annotations

import attrs

from lagoonlever.decisions.engines.target_crashes import Crash, CrashesByRequest
from lagoonlever.peers.messages import PEER


@attrs.frozen(kw_only=True)
class EndTold:
    """A process of a target ended under a suspect, ``age_s`` seconds before it was told."""

    fingerprint: str
    """The suspect: a request's fingerprint, or a part as in `suspects.py`."""
    process: str
    age_s: float
    weight: float
    """How much it counts, as in `lagoonlever/decisions/engines/crash_suspects.py`."""
    requests: tuple[str, ...] = ()
    """Of a part: the fingerprints of requests with it that were there."""
    tested: bool = False
    """Whether it was known by then on which parts answers begin."""


@PEER.message("gd")
@attrs.frozen(kw_only=True)
class TargetsEnded:
    """Ends of targets, of one VM or of all that the sender has heard of."""

    ends: tuple[EndTold, ...]


@PEER.message("gv")
@attrs.frozen(kw_only=True)
class RequestServed:
    """A target has answered where others had ended: the suspect is no cause of ends.

    A request was answered whole; on a part an answer has begun.
    """

    fingerprint: str


@PEER.message("g7")
@attrs.frozen(kw_only=True)
class PartTried:
    """A VM tries a part whose block is over; nobody else does until it ends."""

    key: str
    """The trial, as in `lagoonlever/decisions/engines/part_blocks.py`."""
    vm: str = ""
    """The VM that tries, whichever hub has passed the word on; empty for the sender."""


@PEER.message("gX")
@attrs.frozen(kw_only=True)
class TrialEnded:
    """A trial has ended, and its caller has its answer; somebody else may try."""

    key: str
    """The trial, as in `lagoonlever/decisions/engines/part_blocks.py`."""
    vm: str
    """The VM that tried."""


def read_ends(message: TargetsEnded, now: float) -> CrashesByRequest:
    """Return what a message tells, in seconds of the receiver's clock."""
    ends: dict[str, dict[str, Crash]] = {}
    for told in message.ends:
        end = Crash.from_report(
            at=now - max(0.0, told.age_s),
            weight=told.weight,
            requests=told.requests,
            tested=told.tested,
        )
        ends.setdefault(told.fingerprint, {})[told.process] = end
    return ends
