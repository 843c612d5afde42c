"""What gateways tell each other of what targets have said of themselves."""

from __future__ import annotations

import attrs

from lagoonlever.peers.messages import PEER


@attrs.frozen(kw_only=True)
class LeavingTarget:
    """A target that has said that it leaves."""

    target: str
    started_ms: int | None = None
    """The start of its process, where it is known."""


@PEER.message("lv")
@attrs.frozen(kw_only=True)
class TargetsLeave:
    """Targets that have said that they leave; lost, each VM hears it from their answers."""

    targets: tuple[LeavingTarget, ...]
